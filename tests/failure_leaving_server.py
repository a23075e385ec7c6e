#!/usr/bin/python3
"""Guards against sending new requests to a backend server that is leaving or
draining, and against aborting the requests that it still runs."""

import time

import failure_helper as fh

# The host list is polled every second: two poll intervals and the time of a
# response.
SETTLE_S = 4


def leave(running, server):
    """Marks a server as leaving in the platform's host list."""
    row = {n: v for n, v in server.items() if n != "process"}
    running.register({**row, "state": "leaving"})


def test():
    with fh.cluster("leaving_server") as running:
        first, second, third = running.engines()
        streams = [fh.BackgroundStream(running, f"long {i}", 600, host=i % 3) for i in range(9)]
        for stream in streams:
            stream.wait_for_token()
        leave(running, first)
        running.change(f"/servers/{second['id']}", {"draining": True})
        time.sleep(SETTLE_S)
        before = {s["id"]: fh.started_sequences(s) for s in (first, second)}
        items = fh.completion_items(40)
        job = fh.submit_until_accepted(running, items, "leaving")
        prompts = [f"after {i}" for i in range(60)]
        answers = fh.complete_many(running, prompts)
        wrong = [a for a, p in zip(answers, prompts) if not a.is_correct(p, 5)]
        fh.check(not wrong, f"{len(wrong)} of 60 requests failed: {wrong[:3]}")
        fh.wait_for_job(running, job)
        fh.check_exactly_once(running, job, items)
        after = {s["id"]: fh.started_sequences(s) for s in (first, second)}
        fh.check(after == before, f"new requests on leaving servers: {before}, then {after}")
        fh.check(fh.started_sequences(third) > 0, "the remaining server got no requests")
        for stream in streams:
            answer = stream.finish()
            fh.check(answer.is_correct(stream.prompt, 600), f"a stream was aborted: {answer}")


fh.run(test)
