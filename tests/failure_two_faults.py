#!/usr/bin/python3
"""Guards against faults that are tolerated alone but not together: the store is
down while a batch daemon and an engine are killed, and then drops responses
while the daemon restarts."""

import time

import failure_helper as fh


def test():
    with fh.cluster("two_faults") as running:
        items = fh.completion_items(200, tokens=60) + fh.service_items(30)
        job = fh.submit_until_accepted(running, items, "two-faults")
        fh.wait_for_progress(running, job, 10)
        fh.set_faults(running.platform, outage=True)
        running.process(0, "dogwood_batchd").kill()
        running.server_process(running.engines()[0]["id"]).kill()
        time.sleep(4)
        prompts = [f"online {i}" for i in range(40)]
        answers = fh.complete_many(running, prompts)
        wrong = [a for a, p in zip(answers, prompts) if a.is_complete and not a.is_correct(p, 5)]
        right = [a for a, p in zip(answers, prompts) if a.is_correct(p, 5)]
        fh.check(not wrong, f"{len(wrong)} answers to another request")
        fh.check(len(right) >= 36, f"only {len(right)} of 40 requests were answered")
        fh.set_faults(running.platform, clear=True, lose_next=8)
        running.start_daemon(0, "dogwood_batchd")
        running.process(1, "dogwood_batchd").kill()
        running.start_daemon(1, "dogwood_batchd")
        fh.wait_for_job(running, job, timeout=180)
        for host in range(3):
            fh.check_exactly_once(running, job, items, host, allow_unknown=True)
        fh.check_calls_at_most_once(running, items)


fh.run(test)
