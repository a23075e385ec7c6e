#!/usr/bin/python3
"""Guards against a withdrawn key that goes on working for callers that were
connected, or on a host that has not heard of the withdrawal."""

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
            fh.check(answer.status == 401, f"accepted withdrawal, host {host}: {answer}")
            fh.check(answer.ran == "no", f"refusal says ran {answer.ran}")
        for stream in streams:
            answer = stream.finish()
            tokens = len(answer.text.split())
            fh.check(tokens < 20000, "a stream with the withdrawn key ran to its end")
            fh.check(not answer.whole, f"a cut stream looks whole: {answer}")
        answer = kept.finish()
        fh.check(answer.is_right("other key", 400), f"stream with another key: {answer}")


fh.run(test)
