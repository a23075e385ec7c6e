#!/usr/bin/python3
"""Guards against losing items or running them twice when batch daemons are
killed with items in flight, and against losing a job that was acknowledged just
before the daemon was killed."""

import failure_helper as fh


def test():
    with fh.cluster("kill_batchd") as running:
        items = fh.completion_items(240, tokens=60) + fh.service_items(40)
        job = fh.submit_until_accepted(running, items, "in-flight")
        fh.wait_for_progress(running, job, 20)
        for host in (0, 1):
            running.process(host, "dogwood_batchd").kill()
        late = fh.completion_items(20, name="late")
        acknowledged = fh.submit_until_accepted(running, late, "acknowledged", hosts=(2,))
        running.process(2, "dogwood_batchd").kill()
        for host in range(3):
            running.start_daemon(host, "dogwood_batchd")
        fh.wait_for_job(running, job, timeout=180)
        fh.wait_for_job(running, acknowledged, timeout=120)
        for host in range(3):
            fh.check_exactly_once(running, job, items, host, allow_unknown=True)
            fh.check_exactly_once(running, acknowledged, late, host)
        fh.check_calls_at_most_once(running, items)


fh.run(test)
