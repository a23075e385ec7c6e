#!/usr/bin/python3
"""Guards against delivering the answer to another request to a caller or batch
item when an engine answers late or swaps answers between requests."""

import failure_helper as fh


def check_online(running, when):
    """Checks that no complete answer belongs to another request."""
    prompts = [f"{when} {i}" for i in range(60)]
    for stream in (False, True):
        answers = fh.complete_many(running, prompts, stream=stream)
        wrong = [a for a, p in zip(answers, prompts) if a.is_complete and not a.is_correct(p, 5)]
        fh.check(
            not wrong,
            f"{when}: {len(wrong)} of 60 got the answer to another request: {wrong[:3]}"
        )


def test():
    with fh.cluster("crossed_answers") as running:
        for engine in running.engines():
            fh.set_faults(engine["address"], cross_answers=15)
        check_online(running, "crossed")
        items = fh.completion_items(60)
        for engine in running.engines():
            fh.set_faults(engine["address"], cross_answers=10)
        job = fh.submit_until_accepted(running, items, "crossed")
        fh.wait_for_job(running, job)
        fh.check_exactly_once(running, job, items)
        # Longer than the first-byte timeout of the entry daemons (3 s).
        for engine in running.engines():
            fh.set_faults(engine["address"], clear=True, delay_ms=3500)
        check_online(running, "late")
        for engine in running.engines():
            fh.set_faults(engine["address"], clear=True)
        check_online(running, "after")


fh.run(test)
