#!/usr/bin/python3
"""Guards against a killed control daemon that stops online requests on its own
host or on others, against a host that goes on serving on an old configuration
after it, and against a refusal that does not tell the truth."""

import time

import failure_helper as fh

# Beyond the freshness limit (2 s), the time after which the host is declared
# lost (4 s) and the wait of the new owner of its limits (2 s and drift).
WATCHED_S = 12


def check_served(running, when, hosts):
    """All hosts answer right, whoever owns the workspace's limit."""
    for host in hosts:
        prompt = f"{when} on host {host}"
        answer = fh.complete(running, prompt, host=host)
        fh.check(answer.is_right(prompt, 5), f"{prompt}: {answer}")


def test():
    with fh.cluster("kill_controld") as running:
        running.process(0, "dogwood_controld").kill()
        end = time.monotonic() + WATCHED_S
        turn = 0
        while time.monotonic() < end:
            check_served(running, f"turn {turn}", range(3))
            turn += 1
            time.sleep(0.2)
        running.change("/workspaces/alpha/keys/spare", {"withdrawn": True}, index=1)
        for host in range(3):
            answer = fh.complete(running, "withdrawn", host=host, key="spare")
            fh.check(answer.status == 401, f"withdrawn key on host {host}: {answer}")
        check_served(running, "after the change", range(3))
        running.start_daemon(0, "dogwood_controld")
        running.wait_ready()
        check_served(running, "after the restart", range(3))
        answer = fh.complete(running, "withdrawn", host=0, key="spare")
        fh.check(answer.status == 401, f"withdrawn key after the restart: {answer}")


fh.run(test)
