#!/usr/bin/python3
"""Guards against failing online requests, accepting changes or jobs that are not
in the log, and applying them twice when the store is down, slow or drops its
responses."""

import concurrent.futures
import time

import failure_helper as fh

# Several times the freshness limit (2 s).
OUTAGE_S = 8
# Requests per second while the store is down. It stays below the workspace's
# rate limit of 200, but is frequent enough to hit a freshness proof that is
# expired for only a few milliseconds. At 250 per second the burst of 400 is used
# up after 8 s, and refusals are correct.
OUTAGE_RATE = 150


def check_online(running, when, hosts=None):
    """Checks that all online requests are answered correctly."""
    prompts = [f"{when} {i}" for i in range(30)]
    answers = fh.complete_many(running, prompts, hosts=hosts)
    wrong = [a for a, p in zip(answers, prompts) if not a.is_correct(p, 5)]
    fh.check(not wrong, f"{when}: {len(wrong)} of 30 online requests failed, {wrong[:3]}")


def check_online_at_rate(running, when, length_s, per_s):
    """Checks the same for requests that are sent at a constant rate, round-robin
    over all hosts."""
    count = length_s * per_s
    start = time.monotonic()

    def send(index):
        time.sleep(max(0.0, start + index / per_s - time.monotonic()))
        prompt = f"{when} {index}"
        answer = fh.complete(running, prompt, 5, host=index % len(running.hosts))
        return None if answer.is_correct(prompt, 5) else answer

    with concurrent.futures.ThreadPoolExecutor(64) as pool:
        wrong = [answer for answer in pool.map(send, range(count)) if answer is not None]
    elapsed = time.monotonic() - start
    fh.check(
        not wrong,
        f"{when}: {len(wrong)} of {count} online requests in {elapsed:.1f} s failed, {wrong[:3]}",
    )


def check_outage(running):
    """Takes the store down: no job may be accepted, and online requests must be
    served beyond the freshness limit."""
    job = fh.submit_until_accepted(running, fh.completion_items(40, 40), "before-outage")
    fh.set_faults(running.platform, outage=True)
    status, body = fh.submit(running, fh.completion_items(5), "during-outage")
    fh.check(status in (503, 504), f"job during an outage: {status} {body}")
    # Sent during the whole outage: a freshness proof that expires between two
    # replies causes refusals for a few milliseconds only.
    check_online_at_rate(running, "store down", OUTAGE_S, OUTAGE_RATE)
    fh.set_faults(running.platform, clear=True)
    fh.wait_for_job(running, job)
    fh.check_exactly_once(running, job, fh.completion_items(40, 40))


def check_lost_answers(running):
    """Drops responses of the store after their effect: the job and the change must
    be applied exactly once."""
    items = fh.completion_items(30) + fh.service_items(10, "lost")
    fh.set_faults(running.platform, lose_next=6)
    job = fh.submit_until_accepted(running, items, "lost-answers", hosts=(0, 1, 2))
    fh.wait_for_job(running, job)
    fh.check_exactly_once(running, job, items)
    fh.check_calls_at_most_once(running, items)
    fh.set_faults(running.platform, lose_next=3)
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
        fh.set_faults(running.platform, delay_ms=700)
        check_online(running, "store slow")
        items = fh.completion_items(20, name="slow")
        job = fh.submit_until_accepted(running, items, "slow-store")
        fh.wait_for_job(running, job)
        fh.check_exactly_once(running, job, items)


fh.run(test)
