#!/usr/bin/python3
"""Guards against interrupting online requests on any host when a control daemon
is killed, against a host that then keeps accepting a withdrawn key because its
configuration is outdated, and against refusals that are not justified."""

import time

import failure_helper as fh

# Exceeds the sum of the freshness limit (2 s), the time after which the host is
# declared lost (4 s) and the delay before a new owner takes over its limits (2 s
# plus clock drift).
OBSERVATION_S = 12


def check_served(running, when, hosts):
    """Checks that all hosts answer correctly, whichever owns the workspace's limit."""
    for host in hosts:
        prompt = f"{when} on host {host}"
        answer = fh.complete(running, prompt, host=host)
        fh.check(answer.is_correct(prompt, 5), f"{prompt}: {answer}")


def test():
    with fh.cluster("kill_controld") as running:
        running.process(0, "dogwood_controld").kill()
        end = time.monotonic() + OBSERVATION_S
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
