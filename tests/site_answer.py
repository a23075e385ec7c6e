#!/usr/bin/python3
"""Guards against answers of faulty servers that reach callers as something else:
an earlier refusal, an error within a stream, half an answer as a whole one."""

import asyncio

import site_helper as sh

# The caller of a broken stream gets its beginning, or an error, but no end.
BROKEN = (502, 504)


async def earlier_refusals():
    """A server writes a refusal once more on its kept connection, with or
    without the name of the request. "Not run" must stay true."""
    async with sh.Fleet("earlier_refusals", hosts=1, engines=1) as fleet:
        engine = fleet.engines[0]
        for engine.copies_have_id in (True, False):
            for _ in range(12):
                await asyncio.gather(*(fleet.ask_plain("call", b"body") for _ in range(3)))
                refused = fleet.new_id()
                engine.refuses = {refused}
                await fleet.ask(fleet.hosts[0], "once", refused)
                await asyncio.sleep(0.2)  # A full server is left alone for a moment.
                attempt, answer = await fleet.ask_plain("call", b"body")
                is_promise = answer.status in (408, 421, 429, 503)
                sh.check(not is_promise or fleet.runs(attempt) == 0,
                         f"named={engine.copies_have_id}: {answer} for a request that ran {fleet.runs(attempt)} times")
                sh.check(fleet.runs(attempt) <= 1, f"{attempt} ran {fleet.runs(attempt)} times")
            sh.check(engine.refusals_repeated, f"named={engine.copies_have_id}: no refusal came twice")
            engine.refusals_repeated = 0


async def errors_within_streams():
    """A stream begins at one server and breaks off; the other one fails."""
    for status in (400, 404, 500, 503):
        async with sh.Fleet(f"errors_within_streams_{status}", hosts=1, engines=2) as fleet:
            fleet.engines[0].cut_after = 2
            fleet.engines[1].fails_with = status
            begun = 0
            for _ in range(12):
                attempt = fleet.new_id()
                answer = await fleet.ask(fleet.hosts[0], "stream", attempt)
                if answer.status != 200:
                    continue
                begun += 1
                got = answer.events()
                sh.check(b"error" not in answer.body and b"HTTP" not in answer.body, f"{status}: {answer.body}")
                sh.check(got == sh.expected_events(attempt)[:len(got)], f"{status}: {got}")
                sh.check(not answer.is_whole or len(got) == len(sh.expected_events(attempt)),
                         f"{status}: a stream of {len(got)} events ended as if it were complete")
            sh.check(begun, f"{status}: no stream had begun")


async def cut_heads():
    async with sh.Fleet("cut_heads", hosts=1, engines=1) as fleet:
        fleet.engines[0].cut_head = True
        for i in range(6):
            if i % 2:
                answer = await fleet.ask(fleet.hosts[0], "once")
            else:
                _, answer = await fleet.ask_plain("call", b"body")
            # The server is not used for a moment after it has failed.
            sh.check(answer.status in (*BROKEN, 503) or not answer.is_whole, f"cut head: {answer}")
            await asyncio.sleep(1)


async def answers_without_length():
    async with sh.Fleet("answers_without_length", hosts=1, engines=2) as fleet:
        host = fleet.hosts[0]
        for engine in fleet.engines:
            engine.is_unframed = True
        for _ in range(6):
            attempt, answer = await fleet.ask_plain("call", b"body")
            sh.check(answer.status == 200 and answer.body == b"echo body" and answer.is_whole, f"plain: {answer}")
            attempt = fleet.new_id()
            answer = await fleet.ask(host, "once", attempt)
            sh.check(answer.is_whole and answer.events() == sh.expected_events(attempt), f"stream: {answer}")
        for how in ("close", "reset"):
            fleet.engines[0].cut_unframed = how
            for _ in range(6):
                attempt = fleet.new_id()
                answer = await fleet.ask(host, "stream", attempt)
                sh.check(answer.is_whole and answer.events() == sh.expected_events(attempt), f"{how}: {answer}")
            fleet.engines[1].cut_unframed = how
            for _ in range(4):
                attempt = fleet.new_id()
                answer = await fleet.ask(host, "once", attempt)
                sh.check(answer.status in (*BROKEN, 503) or not answer.is_whole, f"{how}: {answer}")
            fleet.engines[1].cut_unframed = None
            if how == "reset":
                fleet.engines[1].cut_unframed = how
                _, answer = await fleet.ask_plain("call", b"body")
                sh.check(answer.status != 200 or not answer.is_whole, f"reset: {answer}")


async def test():
    await earlier_refusals()
    await errors_within_streams()
    await cut_heads()
    await answers_without_length()


sh.run(test)
