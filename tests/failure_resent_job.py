#!/usr/bin/python3
"""Guards against running a job twice that was submitted through several hosts at
once, and against one idempotency key that identifies two jobs."""

import concurrent.futures

import failure_helper as fh


def test():
    with fh.cluster("resent_job") as running:
        items = fh.completion_items(30) + fh.service_items(30)
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            futures = [
                pool.submit(fh.submit_until_accepted, running, items, "resent", (i % 3,))
                for i in range(6)
            ]
            jobs = {f.result() for f in futures}
        fh.check(len(jobs) == 1, f"one idempotency key created {len(jobs)} jobs")
        job = jobs.pop()
        status, body = fh.submit(running, items[:-1], "resent", host=2)
        fh.check(status == 409, f"same idempotency key with another body: {status} {body}")
        fh.wait_for_job(running, job)
        again = fh.submit_until_accepted(running, items, "resent", (1,))
        fh.check(again == job, f"resubmitted after completion: got job {again} instead of {job}")
        for host in range(3):
            fh.check_exactly_once(running, job, items, host)
        fh.check_calls_at_most_once(running, items)


fh.run(test)
