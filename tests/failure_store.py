#!/usr/bin/python3
"""Guards against a store that is down, slow or loses its answers: online
requests go on, nothing is accepted that is not in the log, nothing twice."""

import concurrent.futures
import time

import failure_helper as fh

# Several times the freshness limit of 2 s.
OUTAGE_S = 8
# Requests a second while the store is down: below the workspace's rate of 200,
# and dense enough to meet a proof that is too old for a few milliseconds. At
# 250 a second the burst of 400 is used up after 8 s, and a refusal is right.
OUTAGE_RATE = 150


def check_online(running, when, hosts=None):
    """All online requests are answered right."""
    prompts = [f"{when} {i}" for i in range(30)]
    answers = fh.complete_many(running, prompts, hosts=hosts)
    wrong = [a for a, p in zip(answers, prompts) if not a.is_right(p, 5)]
    fh.check(not wrong, f"{when}: {len(wrong)} of 30 online requests failed, {wrong[:3]}")


def check_online_steadily(running, when, length_s, per_s):
    """The same for requests that are sent at an even rate over all hosts."""
    count = length_s * per_s
    start = time.monotonic()

    def send(index):
        time.sleep(max(0.0, start + index / per_s - time.monotonic()))
        prompt = f"{when} {index}"
        answer = fh.complete(running, prompt, 5, host=index % len(running.hosts))
        return None if answer.is_right(prompt, 5) else answer

    with concurrent.futures.ThreadPoolExecutor(64) as pool:
        wrong = [answer for answer in pool.map(send, range(count)) if answer is not None]
    elapsed = time.monotonic() - start
    fh.check(
        not wrong,
        f"{when}: {len(wrong)} of {count} online requests in {elapsed:.1f} s failed, {wrong[:3]}",
    )


def check_outage(running):
    """Store down: no change, no job; online goes on past the limit."""
    job = fh.submit_until_accepted(running, fh.completion_items(40, 40), "before-outage")
    fh.fault(running.platform, outage=True)
    status, body = fh.submit(running, fh.completion_items(5), "during-outage")
    fh.check(status in (503, 504), f"job during an outage: {status} {body}")
    # All the time: a proof that ages to the limit between two replies refuses
    # requests for a few milliseconds only.
    check_online_steadily(running, "store down", OUTAGE_S, OUTAGE_RATE)
    fh.fault(running.platform, clear=True)
    fh.wait_for_job(running, job)
    fh.check_exactly_once(running, job, fh.completion_items(40, 40))


def check_lost_answers(running):
    """Answers lost after the effect: the job and the change are there once."""
    items = fh.completion_items(30) + fh.service_items(10, "lost")
    fh.fault(running.platform, lose_next=6)
    job = fh.submit_until_accepted(running, items, "lost-answers", hosts=(0, 1, 2))
    fh.wait_for_job(running, job)
    fh.check_exactly_once(running, job, items)
    fh.check_calls_at_most_once(running, items)
    fh.fault(running.platform, lose_next=3)
    running.change("/workspaces/beta", {"weight": 3})
    fh.check(running.node_version("/workspaces/beta") > 0, "the change was lost")
    _, tree = fh.dc.request_json(
        running.operator(1), "GET", "/v1/tree?path=/workspaces/beta",
        headers=running.operator_headers(),
    )
    fh.check(tree["values"]["weight"] == 3, f"change on host 1: {tree}")


def test():
    with fh.cluster("store") as running:
        check_outage(running)
        check_lost_answers(running)
        fh.fault(running.platform, delay_ms=700)
        check_online(running, "store slow")
        items = fh.completion_items(20, name="slow")
        job = fh.submit_until_accepted(running, items, "slow-store")
        fh.wait_for_job(running, job)
        fh.check_exactly_once(running, job, items)


fh.run(test)
