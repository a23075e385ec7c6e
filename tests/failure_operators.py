#!/usr/bin/python3
"""Guards against accepting both of two concurrent operator changes to the same
version, and against hosts that disagree about which one was accepted."""

import concurrent.futures

import failure_helper as fh

ROUNDS = 5


def change(running, host, version, weight):
    """Sends the change of one operator, without retries."""
    body = {"path": "/workspaces/beta", "expected_version": version, "set": {"weight": weight}}
    return fh.dc.request_json(
        running.operator(host), "POST", "/v1/changes", body, running.operator_headers(), 30
    )


def check_round(running, number):
    """Sends two changes concurrently: one must be accepted, the other must get a
    conflict, and all hosts must show the accepted one."""
    version = running.node_version("/workspaces/beta")
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        weights = {0: 10 + number, 1: 50 + number}
        futures = {
            h: pool.submit(change, running, h, version, weights[h]) for h in weights
        }
        answers = {h: f.result() for h, f in futures.items()}
    statuses = sorted(status for status, _ in answers.values())
    fh.check(statuses == [200, 409], f"round {number}: {answers}")
    winner = next(h for h, (status, _) in answers.items() if status == 200)
    for host in range(3):
        _, tree = fh.dc.request_json(
            running.operator(host), "GET", "/v1/tree?path=/workspaces/beta",
            headers=running.operator_headers(),
        )
        fh.check(
            tree["values"]["weight"] == weights[winner],
            f"round {number}, host {host}: {tree['values']}, accepted was {weights[winner]}",
        )


def test():
    with fh.cluster("operators") as running:
        for number in range(ROUNDS):
            check_round(running, number)


fh.run(test)
