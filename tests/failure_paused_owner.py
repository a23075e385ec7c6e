#!/usr/bin/python3
"""Guards against a batch owner that is paused past its lease and then goes on
as if it still owned its partitions."""

import signal
import time

import failure_helper as fh

# Longer than the freshness limit of 2 s, the loss time of 4 s and the wait of
# a new owner together.
PAUSE_S = 12


def test():
    with fh.cluster("paused_owner") as running:
        jobs = []
        for i in range(4):
            items = fh.completion_items(100, tokens=60, name=f"job{i}")
            items += fh.service_items(20, name=f"call{i}")
            jobs.append((fh.submit_until_accepted(running, items, f"paused-{i}"), items))
        fh.wait_for_progress(running, jobs[0][0], 5)
        paused = [running.process(1, daemon) for daemon in fh.dc.DAEMONS]
        for process in paused:
            process.signal(signal.SIGSTOP)
        time.sleep(PAUSE_S)
        for process in paused:
            process.signal(signal.SIGCONT)
        for job, items in jobs:
            fh.wait_for_job(running, job, timeout=180)
            for host in (0, 2):
                fh.check_exactly_once(running, job, items, host, allow_unknown=True)
            fh.check_calls_at_most_once(running, items)


fh.run(test)
