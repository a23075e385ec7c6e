#!/usr/bin/python3
"""Guards against a broken stream that looks like a complete answer when an entry
daemon is killed, and against interrupting other hosts or batch jobs."""

import failure_helper as fh


def all_are_correct(running, hosts, round_name):
    """Returns whether 40 requests are answered correctly. Fails if one gets the
    answer to another, or if a refusal does not state whether the request ran."""
    prompts = [f"{round_name} {i}" for i in range(40)]
    answers = fh.complete_many(running, prompts, hosts=hosts)
    wrong = [a for a, p in zip(answers, prompts) if a.is_complete and not a.is_correct(p, 5)]
    fh.check(not wrong, f"{len(wrong)} answers to another request: {wrong[:3]}")
    ambiguous = [a for a in answers if a.status in (429, 503) and a.ran not in ("no", "maybe")]
    fh.check(
        not ambiguous,
        f"{len(ambiguous)} refusals do not state whether the request ran: {ambiguous[:3]}"
    )
    return all(a.is_correct(p, 5) for a, p in zip(answers, prompts))


def check_other_hosts_serve(running, dead):
    """Kills the entry daemon of a host and checks that the others keep serving.
    Each host owns some limit, so the others must get tokens elsewhere. Restarts
    the daemon."""
    running.process(dead, "dogwood_entryd").kill()
    others = [h for h in range(3) if h != dead]
    fh.dc.wait_until(
        lambda: all_are_correct(running, others, f"without {dead}"),
        f"others serve without the entry daemon of host {dead}",
        40,
        0.5,
    )
    running.start_daemon(dead, "dogwood_entryd")
    running.wait_ready()
    fh.dc.wait_until(
        lambda: all_are_correct(running, [dead], f"again {dead}"),
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
        complete = [a for a in answers if a.is_complete]
        fh.check(not complete, f"{len(complete)} broken streams look complete")
        for host in range(3):
            check_other_hosts_serve(running, host)
        fh.wait_for_job(running, job, host=1)
        fh.check_exactly_once(running, job, items, host=1)


fh.run(test)
