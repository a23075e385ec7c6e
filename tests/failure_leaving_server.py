#!/usr/bin/python3
"""Guards against new work on a backend server that is leaving, and against
requests that are cut because it leaves."""

import time

import failure_helper as fh

# The host list is polled each second; twice that and the time of an answer.
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
        before = {s["id"]: fh.started_on(s) for s in (first, second)}
        items = fh.completion_items(40)
        job = fh.submit_until_accepted(running, items, "leaving")
        prompts = [f"after {i}" for i in range(60)]
        answers = fh.complete_many(running, prompts)
        wrong = [a for a, p in zip(answers, prompts) if not a.is_right(p, 5)]
        fh.check(not wrong, f"{len(wrong)} of 60 requests failed: {wrong[:3]}")
        fh.wait_for_job(running, job)
        fh.check_exactly_once(running, job, items)
        after = {s["id"]: fh.started_on(s) for s in (first, second)}
        fh.check(after == before, f"new work on leaving servers: {before}, then {after}")
        fh.check(fh.started_on(third) > 0, "the live server got nothing")
        for stream in streams:
            answer = stream.finish()
            fh.check(answer.is_right(stream.prompt, 600), f"a stream was cut: {answer}")


fh.run(test)
