#!/usr/bin/python3
"""Guards against a broken stream that looks like a whole answer when an entry
daemon is killed, and against other hosts or batch work that stop with it."""

import failure_helper as fh


def all_are_right(running, hosts, round_name):
    """Whether 40 requests are answered right; a refusal must be a true one."""
    prompts = [f"{round_name} {i}" for i in range(40)]
    answers = fh.complete_many(running, prompts, hosts=hosts)
    wrong = [a for a, p in zip(answers, prompts) if a.whole and not a.is_right(p, 5)]
    fh.check(not wrong, f"{len(wrong)} answers to another request: {wrong[:3]}")
    untrue = [a for a in answers if a.status in (429, 503) and a.ran not in ("no", "maybe")]
    fh.check(not untrue, f"{len(untrue)} refusals do not say whether they ran: {untrue[:3]}")
    return all(a.is_right(p, 5) for a, p in zip(answers, prompts))


def check_others_go_on(running, dead):
    """Each host owns some limit: without its entry daemon the others must find
    tokens elsewhere. Restarts the daemon."""
    running.process(dead, "dogwood_entryd").kill()
    others = [h for h in range(3) if h != dead]
    fh.dc.wait_until(
        lambda: all_are_right(running, others, f"without {dead}"),
        f"others serve without the entry daemon of host {dead}",
        40,
        0.5,
    )
    running.start_daemon(dead, "dogwood_entryd")
    running.wait_ready()
    fh.dc.wait_until(
        lambda: all_are_right(running, [dead], f"again {dead}"),
        f"host {dead} serves again",
        40,
        0.5,
    )


def test():
    with fh.cluster("kill_entryd") as running:
        items = fh.completion_items(60, tokens=30)
        job = fh.submit_until_accepted(running, items, "beside", hosts=(1, 2))
        streams = [
            fh.BackgroundStream(running, f"long {i}", 2000, host=0) for i in range(5)
        ]
        for stream in streams:
            stream.wait_for_token()
        running.process(0, "dogwood_entryd").kill()
        answers = [stream.finish() for stream in streams]
        whole = [a for a in answers if a.whole]
        fh.check(not whole, f"{len(whole)} broken streams look whole")
        for host in range(3):
            check_others_go_on(running, host)
        fh.wait_for_job(running, job, host=1)
        fh.check_exactly_once(running, job, items, host=1)


fh.run(test)
