#!/usr/bin/python3
"""Guards against a broken stream that looks like a whole answer when an entry
daemon is killed, and against other hosts or batch work that stop with it."""

import failure_helper as fh


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
        prompts = [f"after {i}" for i in range(40)]
        answers = fh.complete_many(running, prompts, hosts=(1, 2))
        wrong = [a for a, p in zip(answers, prompts) if not a.is_right(p, 5)]
        fh.check(not wrong, f"{len(wrong)} of 40 requests through other hosts failed: {wrong[:3]}")
        running.start_daemon(0, "dogwood_entryd")
        running.wait_ready()
        answer = fh.complete(running, "again", host=0)
        fh.check(answer.is_right("again", 5), f"restarted host: {answer}")
        fh.wait_for_job(running, job, host=1)
        fh.check_exactly_once(running, job, items, host=1)


fh.run(test)
