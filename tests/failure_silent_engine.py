#!/usr/bin/python3
"""Guards against requests that hang, get a wrong answer or run twice when the
open connections to an engine go silent permanently while new ones work."""

import failure_helper as fh


def test():
    with fh.cluster("silent_engine") as running:
        warm = [f"warm {i}" for i in range(60)]
        answers = fh.complete_many(running, warm)
        wrong = [a for a, p in zip(answers, warm) if not a.is_correct(p, 5)]
        fh.check(not wrong, f"before the fault {len(wrong)} failed: {wrong[:3]}")
        streams = [fh.BackgroundStream(running, f"open {i}", 500, host=i % 3) for i in range(6)]
        for stream in streams:
            stream.wait_for_token()
        for engine in running.engines():
            fh.set_faults(engine["address"], silent_open=True)
        for stream in streams:
            answer = stream.finish()
            right = answer.is_correct(stream.prompt, 500)
            fh.check(
                right or not answer.is_complete,
                f"an interrupted stream looks complete: {answer}"
            )
        prompts = [f"after {i}" for i in range(60)]
        answers = fh.complete_many(running, prompts)
        hung = [a for a in answers if a.status == 0]
        fh.check(not hung, f"{len(hung)} of 60 requests got no answer: {hung[:3]}")
        right = [a for a, p in zip(answers, prompts) if a.is_correct(p, 5)]
        wrong = [a for a, p in zip(answers, prompts) if a.is_complete and not a.is_correct(p, 5)]
        fh.check(not wrong, f"{len(wrong)} answers to another request")
        fh.check(len(right) >= 50, f"only {len(right)} of 60 were answered on new connections")
        items = fh.completion_items(40)
        job = fh.submit_until_accepted(running, items, "silent")
        fh.set_faults(running.engines()[0]["address"], silent_open=True)
        fh.wait_for_job(running, job)
        fh.check_exactly_once(running, job, items)


fh.run(test)
