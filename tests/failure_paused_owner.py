#!/usr/bin/python3
"""Guards against a batch owner that is paused beyond its lease and then continues
as if it still owned its partitions."""

import signal
import time

import failure_helper as fh

# Exceeds the sum of the freshness limit (2 s), the time after which a host is
# declared lost (4 s) and the delay before a new owner takes over.
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
