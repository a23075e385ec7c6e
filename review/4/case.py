"""A host gets SIGTERM. Clients that keep its address for three times ttlS send
streams to it 4 s later; the host takes them, and cuts them off when it exits."""

import asyncio
import contextlib
import json
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import small_site as ss  # noqa: E402

GRACE_S = 8  # graceS of the sheet.
SENT_AFTER_S = 4.0  # Within three times the ttlS that the host announces.
EXCUSED_S = 3  # Requests sent later than this after SIGTERM are not excused.
CLIENTS = 6
GAP_S = 0.15  # Pause before each event, under gapAimMs (300).
EVENTS = 24


def attempts():
    """Returns names of requests whose streams have 24 events."""
    names = (f"{number:016x}" for number in range(100000))
    found = (name for name in names if ss.stand_in.event_count(name) == EVENTS)
    return [next(found) for _ in range(CLIENTS)]


async def case(record):
    async with ss.Site(record) as site:
        for engine in site.engines:
            engine.gap_s = GAP_S
        stopped = site.hosts[1]
        answer = await ss.call(stopped.ip, site.port["directory"], "GET",
                               f"/api/resolve?name={ss.HOST_NAME}&region=ic-anadolu&zone={stopped.zone}")
        kept_s = 3 * json.loads(answer.body)["ttlS"]
        record(f"the addresses are valid for {kept_s / 3} s, some clients keep them for {kept_s} s")
        assert SENT_AFTER_S < kept_s
        stop_at = time.monotonic()
        ending = None
        if ss.TROUBLE:
            ending = asyncio.ensure_future(stopped.end(signal.SIGTERM))

        async def client(attempt):
            started = time.monotonic()
            record(f"client: sends {attempt} on a new channel, {started - stop_at:.2f} s after the SIGTERM")
            answer = None
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                answer = await site.ask(stopped, "/once/x", attempt)
            took = time.monotonic() - started
            if answer is None:
                record(f"client: {attempt}: the channel ended without an answer after {took:.2f} s")
            else:
                record(f"client: {attempt}: {answer.status}, {len(answer.events())} events, "
                       f"{'complete' if answer.is_whole else 'cut off'} after {took:.2f} s")
            return attempt, answer, took

        await asyncio.sleep(stop_at + SENT_AFTER_S - time.monotonic())
        answers = await asyncio.gather(*(client(name) for name in attempts()))
        if ending is not None:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(ending, max(0.1, stop_at + GRACE_S - time.monotonic()))
            await stopped.start()
        site.record_runs()
        broken = []
        for attempt, answer, took in answers:
            has_run = site.runs(attempt) > 0
            is_cut = answer is None or not answer.is_whole
            if has_run and is_cut and took < 5:
                broken.append(f"LOST: {attempt} was sent {SENT_AFTER_S} s after the SIGTERM (more than {EXCUSED_S} s), "
                              f"passed on to a server and cut off after {took:.2f} s of its 5 s")
        return broken


ss.run(case, FOLDER)
