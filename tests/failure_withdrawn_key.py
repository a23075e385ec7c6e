#!/usr/bin/python3
"""Guards against a withdrawn key that keeps working for connected callers, or on
a host that has not received the withdrawal yet."""

import failure_helper as fh


def test():
    with fh.cluster("withdrawn_key") as running:
        streams = [
            fh.BackgroundStream(running, f"long {i}", 20000, host=i, key="spare", timeout=120)
            for i in range(3)
        ]
        kept = fh.BackgroundStream(running, "other key", 400, host=0)
        for stream in streams:
            stream.wait_for_token()
        running.change("/workspaces/alpha/keys/spare", {"withdrawn": True})
        for host in range(3):
            answer = fh.complete(running, "new", host=host, key="spare")
            fh.check(answer.status == 401, f"withdrawn key accepted on host {host}: {answer}")
            fh.check(answer.ran == "no", f"refusal has Dogwood-Ran: {answer.ran}")
        for stream in streams:
            answer = stream.finish()
            tokens = len(answer.text.split())
            fh.check(tokens < 20000, "a stream with the withdrawn key ran to its end")
            fh.check(not answer.is_complete, f"an interrupted stream looks complete: {answer}")
        answer = kept.finish()
        fh.check(answer.is_correct("other key", 400), f"stream with another key: {answer}")


fh.run(test)
