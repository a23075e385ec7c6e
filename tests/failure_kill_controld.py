#!/usr/bin/python3
"""Guards against a host that serves on an old configuration, or that refuses
without telling the truth, after its control daemon was killed."""

import time

import failure_helper as fh


def test():
    with fh.cluster("kill_controld") as running:
        running.process(0, "dogwood_controld").kill()
        refused = []

        def is_refused():
            """Whether host 0 has noticed that it has no proof any more."""
            answer = fh.complete(running, f"probe {time.monotonic()}", host=0)
            refused.append(answer)
            return answer.status == 503

        fh.dc.wait_until(is_refused, "host 0 refuses without proof", 30, 0.3)
        running.change("/workspaces/alpha/keys/spare", {"withdrawn": True}, index=1)
        for host in range(3):
            answer = fh.complete(running, "withdrawn", host=host, key="spare")
            fh.check(answer.status in (401, 503), f"withdrawn key on host {host}: {answer}")
        last = refused[-1]
        fh.check(last.ran == "no", f"refusal without proof says ran {last.ran}")
        answer = fh.complete(running, "other host", host=1)
        fh.check(answer.is_right("other host", 5), f"other host: {answer}")
        running.start_daemon(0, "dogwood_controld")
        running.wait_ready()
        answer = fh.complete(running, "again", host=0)
        fh.check(answer.is_right("again", 5), f"host 0 after the restart: {answer}")
        answer = fh.complete(running, "withdrawn", host=0, key="spare")
        fh.check(answer.status == 401, f"withdrawn key after the restart: {answer}")


fh.run(test)
