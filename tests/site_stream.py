#!/usr/bin/python3
"""Guards against streams that repeat or lose events, end as complete too
early, or run twice, when servers break off a stream, fall silent, are replaced
or leave."""

import asyncio

import site_helper as sh


def expected(attempt):
    return [(e, sh.stand_in.event_data(attempt, e))
            for e in range(1, sh.stand_in.event_count(attempt) + 1)]


async def broken_servers():
    async with sh.Fleet("broken_servers", hosts=2) as fleet:
        bad = fleet.engines[0]
        for fault in ("cut_after", "silent_after"):
            setattr(bad, fault, 2)
            for i in range(8):
                attempt = fleet.new_id()
                answer = await fleet.ask(fleet.hosts[i % 2], "stream", attempt)
                sh.check(answer.status == 200 and answer.is_whole, f"{fault}: {answer}")
                sh.check(answer.events() == expected(attempt), f"{fault}: {answer.events()}")
            setattr(bad, fault, None)
        bad.cut_after = 2
        for i in range(8):
            attempt = fleet.new_id()
            answer = await fleet.ask(fleet.hosts[i % 2], "once", attempt)
            sh.check(fleet.runs(attempt) <= 1, f"{attempt} ran {fleet.runs(attempt)} times")
            if answer.status == 200 and answer.is_whole:
                sh.check(answer.events() == expected(attempt), f"complete, but with events {answer.events()}")
            else:
                sh.check(answer.status not in (408, 421, 429, 503) or fleet.runs(attempt) == 0,
                         f"reported as not run, but ran: {answer}")


async def replaced_server():
    """Guards against a request that is run by another server which has taken
    over the address of a registered one."""
    async with sh.Fleet("replaced_server", hosts=1, engines=2) as fleet:
        fleet.engines[0].name = "other"
        for _ in range(6):
            attempt = fleet.new_id()
            answer = await fleet.ask(fleet.hosts[0], "once", attempt)
            sh.check(answer.status == 200 and answer.is_whole, f"replaced server: {answer}")
            sh.check(fleet.runs(attempt) == 1, f"{attempt} ran {fleet.runs(attempt)} times")


async def leaving_server():
    async with sh.Fleet("leaving_server", hosts=2, engines=2) as fleet:
        await fleet.engines[0].register("draining")
        await asyncio.sleep(1)
        before = len(fleet.engines[0].seen)
        for i in range(10):
            answer = await fleet.ask(fleet.hosts[i % 2], "stream")
            sh.check(answer.status == 200, f"while one server is leaving: {answer}")
        sh.check(len(fleet.engines[0].seen) == before, "a leaving server got new work")


async def odd_texts():
    """Guards against streams and outputs that end as complete at an event with
    the text [DONE], or lose events whose text resembles the format's own."""
    texts = ["[DONE]", "id: 99", ": no comment", "event: end", "data: x", " leading space", "\u00e7\u2603", "null", "0"]
    async with sh.Fleet("odd_texts", hosts=1, engines=1) as fleet:
        for text in texts:
            sh.stand_in.EVENT_TEXTS = {3: text}
            for route in ("stream", "once"):
                attempt = fleet.new_id()
                answer = await fleet.ask(fleet.hosts[0], route, attempt)
                sh.check(answer.status == 200 and answer.is_whole, f"text {text!r}: {answer}")
                sh.check(answer.events() == expected(attempt), f"text {text!r}: {answer.events()}")
            job = fleet.new_id("job")
            answer = await fleet.submit(fleet.hosts[0], job, 2)
            sh.check(answer.status == 202, f"job {job}: {answer}")
            for item, end, output in await fleet.all_results(job, 2):
                sh.check((end, output) == ("done", sh.stand_in.whole_output(item)), f"text {text!r}: {end} {output!r}")
        sh.stand_in.EVENT_TEXTS = {}


async def empty_text_before_a_resume():
    """Guards against a line feed that is lost from an item's output when its
    run is resumed after an event with an empty text."""
    async with sh.Fleet("empty_text", hosts=1, engines=1) as fleet:
        sh.stand_in.EVENT_TEXTS = {1: "", 4: ""}
        fleet.engines[0].cut_after = 1  # Each run gives one event.
        answer = await fleet.submit(fleet.hosts[0], "job", 2)
        sh.check(answer.status == 202, f"job: {answer}")
        for item, end, output in await fleet.all_results("job", 2):
            sh.check((end, output) == ("done", sh.stand_in.whole_output(item)), f"{end} {output!r}")
        sh.stand_in.EVENT_TEXTS = {}


async def caller_leaves():
    async with sh.Fleet("caller_leaves", hosts=1, engines=1) as fleet:
        engine = fleet.engines[0]
        engine.silent_after = 1
        _, writer = await asyncio.open_connection(fleet.hosts[0].ip, sh.FRONT)
        writer.write(f"POST /once/x HTTP/1.1\r\nHost: {sh.HOST_NAME}\r\nX-Key: {sh.KEY}\r\n"
                     "X-Attempt-Id: gone\r\nX-Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n".encode())

        async def runs():
            return engine.running == 1
        await sh.until(runs, "the request runs")
        writer.close()

        async def stopped():
            return engine.running == 0
        await sh.until(stopped, "the server stops after its caller has disconnected", 5)


async def dropped_idle_connections():
    """Guards against failed or repeated requests when servers drop idle
    connections without notice, earlier than announced."""
    async with sh.Fleet("dropped_idle_connections", hosts=1, engines=1) as fleet:
        fleet.engines[0].http.idle_limit_s = 0.6
        for route in ("once", "read", "call") * 2:
            path = f"/{route}/plain" if route != "once" else "/once/x"
            attempt = fleet.new_id()
            answer = await sh.call(fleet.hosts[0].ip, sh.FRONT, "POST", path, Host=sh.HOST_NAME,
                                   X_Attempt_Id=attempt, X_Deadline_Ms=8000, X_Key=sh.KEY)
            sh.check(answer.status == 200 and answer.is_whole, f"{route}: {answer}")
            sh.check(fleet.runs(attempt) == 1, f"{attempt} ran {fleet.runs(attempt)} times")
            await asyncio.sleep(0.9)


async def test():
    await broken_servers()
    await replaced_server()
    await leaving_server()
    await odd_texts()
    await empty_text_before_a_resume()
    await caller_leaves()
    await dropped_idle_connections()


sh.run(test)
