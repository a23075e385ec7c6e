#!/usr/bin/python3
"""Guards against a caller or a batch item that gets the answer to another
request when an engine's answers come late or crossed."""

import failure_helper as fh


def check_online(running, when):
    """No whole answer is that of another request."""
    prompts = [f"{when} {i}" for i in range(60)]
    for stream in (False, True):
        answers = fh.complete_many(running, prompts, stream=stream)
        wrong = [a for a, p in zip(answers, prompts) if a.whole and not a.is_right(p, 5)]
        fh.check(not wrong, f"{when}: {len(wrong)} of 60 got another's answer: {wrong[:3]}")


def test():
    with fh.cluster("crossed_answers") as running:
        for engine in running.engines():
            fh.fault(engine["address"], cross_answers=15)
        check_online(running, "crossed")
        items = fh.completion_items(60)
        for engine in running.engines():
            fh.fault(engine["address"], cross_answers=10)
        job = fh.submit_until_accepted(running, items, "crossed")
        fh.wait_for_job(running, job)
        fh.check_exactly_once(running, job, items)
        # Later than the entry daemons wait for a first byte.
        for engine in running.engines():
            fh.fault(engine["address"], clear=True, delay_ms=3500)
        check_online(running, "late")
        for engine in running.engines():
            fh.fault(engine["address"], clear=True)
        check_online(running, "after")


fh.run(test)
