"""One event in the middle of a stream has the text "[DONE]". The caller gets the
events before it as a complete stream; a batch item is done with that much text."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import small_site as ss  # noqa: E402

FINISH_S = 18
EVENT = 3  # The event with that text.
TEXT = "[DONE]" if ss.TROUBLE else "[ENDED]"
REQUESTS, ITEMS = 3, 3


def event_data(attempt, event):
    """Returns the text of an event; the same at every server."""
    return TEXT if event == EVENT else f"{attempt}/{event}"


ss.stand_in.event_data = event_data


async def case(record):
    async with ss.Site(record) as site:
        broken = []
        for number in range(REQUESTS):
            for path in ("/stream/x", "/once/x"):
                attempt = f"{path[1]}{number:015x}"
                answer = await site.ask(site.hosts[number], path, attempt)
                whole = [(event, event_data(attempt, event))
                         for event in range(1, ss.stand_in.event_count(attempt) + 1)]
                found = answer.events()
                record(f"client: {attempt} at {path}: status {answer.status}, {len(found)} of {len(whole)} events, "
                       f"{'complete' if answer.is_whole else 'cut off'}")
                if answer.status == 200 and answer.is_whole and found != whole:
                    broken.append(f"ORDER: {attempt} ended as complete after {len(found)} of {len(whole)} events")
        job = "d0"
        items = [ss.item(f"{job}-{number}") for number in range(ITEMS)]
        if await site.submit(site.hosts[0], job, items) != 202:
            raise RuntimeError("the job was refused")
        for result in await site.follow(job, ITEMS, time.monotonic() + FINISH_S):
            whole = ss.stand_in.whole_output(result["id"])
            if result["state"] == "done" and result["output"] != whole:
                broken.append(f"MIXED: item {result['id']} is done with {result['output']!r}, "
                              f"{len(result['output'])} of {len(whole)} bytes")
        site.record_runs()
        return broken


ss.run(case, FOLDER)
