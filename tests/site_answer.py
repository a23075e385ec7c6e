#!/usr/bin/python3
"""Guards against answers of faulty servers that reach callers as something else:
an earlier refusal, an error within a stream, half an answer as a whole one."""

import asyncio
import re
import time

import site_helper as sh

# The caller of a broken stream gets its beginning, or an error, but no end.
BROKEN = (502, 504)
# What a status line and a field line may be (RFC 9112, 4 and 5; RFC 9110, 5.5, 5.6.2 and 15).
STATUS_LINE = re.compile(rb"HTTP/1\.1 ([1-5][0-9][0-9]) [\t\x20-\x7e\x80-\xff]*")
FIELD_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[\t\x20-\x7e\x80-\xff]*")
# The time after which a host tries a server again that has failed is below this.
AGAIN_S = 15
# One route of each kind, with the path that its requests have.
PATHS = {"read": "plain", "call": "plain", "open": "plain", "once": "x", "stream": "x"}
REPEATED = ("read", "open", "stream")
# Bytes of uploads: one that the sockets hold, and one that they don't.
UPLOADS = (1 << 20, 4_000_000)


def read_strictly(received):
    """Reads the bytes that a caller got until its connection ended. Fails if
    they are no answer; one that breaks off has is_whole=False."""
    head, end, rest = received.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    status = STATUS_LINE.fullmatch(lines[0])
    sh.check(end and status, f"no answer: {received[:200]!r}")
    for line in lines[1:]:
        sh.check(FIELD_LINE.fullmatch(line), f"no field line: {line!r}")
    fields = {name.decode().lower(): value.strip() for name, value in (line.split(b":", 1) for line in lines[1:])}
    body, is_whole = rest, False
    if b"chunked" == fields.get("transfer-encoding"):
        sh.check("content-length" not in fields, f"two framings: {head!r}")
        body = b""
        while size := re.match(rb"([0-9a-f]+)\r\n", rest):
            length, chunk = int(size[1], 16), rest[size.end():]
            is_whole = length == 0 and chunk == b"\r\n"
            sh.check(length > 0 or b"\r\n".startswith(chunk[:2]) and len(chunk) <= 2, f"after the end: {rest[:200]!r}")
            body, rest = body + chunk[:length], chunk[length + 2:]
    elif "content-length" in fields:
        sh.check(len(rest) <= int(fields["content-length"]), f"after the end: {rest[-200:]!r}")
        is_whole = len(rest) == int(fields["content-length"])
    else:
        sh.check(status[1] in (b"204", b"304") and not rest, f"no framing: {received[:200]!r}")
        is_whole = True
    return sh.Answer(int(status[1]), fields, body, is_whole)


async def ask_strictly(fleet, route, body):
    """Sends one request through the first host and reads all bytes that come
    back. Returns its id and the answer."""
    attempt, key = fleet.new_id(), {} if route == "open" else {"X-Key": sh.KEY}
    fields = {"Host": sh.HOST_NAME, "X-Attempt-Id": attempt, "X-Deadline-Ms": 8000, "Connection": "close",
              "Content-Length": len(body), **key}
    lines = [f"POST /{route}/{PATHS[route]} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    reader, writer = await asyncio.open_connection(fleet.hosts[0].ip, sh.FRONT)
    writer.write("\r\n".join([*lines, "\r\n"]).encode() + body)
    received = await asyncio.wait_for(reader.read(), 12)
    writer.close()
    return attempt, read_strictly(received)


async def ask_until_it_runs(fleet, engines, route, size=16):
    """Sends requests with new bodies until one reaches one of these servers,
    which a host leaves alone for a moment after a failure. Returns its id and
    the answer."""
    end = time.monotonic() + AGAIN_S
    while time.monotonic() < end:
        body = fleet.new_id("body").encode()
        attempt, answer = await ask_strictly(fleet, route, body * (size // len(body) + 1))
        if any(seen[0] == attempt for engine in engines for seen in engine.seen):
            return attempt, answer
        sh.check(answer.status != 502, f"{route}: {answer} for a request that no server got")
        await asyncio.sleep(0.1)
    raise AssertionError(f"{route}: no request came to {[engine.name for engine in engines]}")


def check_failure(what, attempt, answer, has_begun=False):
    """Checks what the caller of a broken answer gets; `has_begun` tells that a
    stream may have begun before it broke."""
    if has_begun and answer.status == 200:
        got = answer.events()
        sh.check(not answer.is_whole, f"{what}: half an answer came as a whole one: {answer}")
        sh.check(got == sh.expected_events(attempt)[:len(got)], f"{what}: {got}")
        return
    sh.check(answer.status in BROKEN and answer.is_whole, f"{what}: {answer}")
    sh.check("x-server-seal" not in answer.headers, f"{what}: a server's seal on {answer}")
    sh.check(answer.headers.get("dogwood-ran") == b"maybe", f"{what}: {answer.headers}")


def raw_answer(status_line, fields=b"", last_chunk=None):
    """Returns what makes the bytes of an answer with this status line and these
    field lines, a whole stream or "echo", by its length or in chunks that end
    with `last_chunk`."""
    def make(attempt, path):
        content, kind = b"echo", b"text/plain"
        if path.endswith("/x"):
            events = sh.expected_events(attempt)
            content, kind = "".join(f"id: {e}\ndata: {data}\n\n" for e, data in events).encode(), b"text/event-stream"
        framing, body = b"Content-Length: %d" % len(content), content
        if last_chunk is not None:
            framing, body = b"Transfer-Encoding: chunked", b"%x\r\n%s\r\n%s" % (len(content), content, last_chunk)
        return b"\r\n".join([status_line, b"Content-Type: " + kind, b"X-Attempt-Id: " + attempt.encode(),
                             b"X-Server-Seal: seal", fields + framing, b"", body])
    return make


async def fail_on_each_route(name, answers, has_begun=False):
    """Each of these answers is a failure for the callers of a route of each
    kind, and its connection is not used again. `has_begun` tells that parts of a
    stream are passed on before it breaks."""
    async with sh.Fleet(name, hosts=1, engines=12) as fleet:
        for what, raw in answers.items():
            for engine in fleet.engines:
                engine.raw = raw
            for route in PATHS:
                attempt, answer = await ask_until_it_runs(fleet, fleet.engines, route)
                check_failure(f"{what}, {route}", attempt, answer, has_begun and PATHS[route] == "x")
                runs = fleet.runs(attempt)
                sh.check(route in REPEATED or runs == 1, f"{what}, {route}: {attempt} ran {runs} times")
        reused = sum(engine.raw_reused for engine in fleet.engines)
        sh.check(reused == 0, f"{reused} requests on connections with a broken answer")


async def broken_answers(name, answers):
    """Each of these answers is a failure; a request that may be repeated gets its
    answer from a sound server, and an item is done by a later run."""
    await fail_on_each_route(name, answers)
    async with sh.Fleet(name, hosts=1, engines=3) as fleet:
        *broken, sound = fleet.engines
        for what, raw in answers.items():
            for engine in broken:
                engine.raw = raw
            for route in ("read", "stream"):
                attempt, answer = await ask_until_it_runs(fleet, broken, route)
                sh.check(answer.status == 200 and answer.is_whole, f"{what}, {route}: {answer}")
                sh.check(answer.headers["x-server-seal"] == b"seal-" + sound.name.encode(), f"{what}: {answer.headers}")
                if route == "stream":
                    sh.check(answer.events() == sh.expected_events(attempt), f"{what}: {answer.events()}")
    await broken_items(name, answers)


async def broken_items(name, answers):
    async with sh.Fleet(name, hosts=1, engines=1) as fleet:
        for what, fleet.engines[0].raw in answers.items():
            await broken_item(fleet, what)


async def broken_item(fleet, what, **more):
    """An item that gets a broken answer from the only server has no result, and
    is done by a later run."""
    job, engine = fleet.new_id("job"), fleet.engines[0]
    answer = await fleet.submit(fleet.hosts[0], job, 1, **more)
    sh.check(answer.status == 202, f"{what}: {answer}")

    async def has_run():
        return fleet.runs(f"{job}-0") > 1
    await sh.until(has_run, f"{what}: the item runs again")
    answer = await fleet.results(fleet.hosts[0], job)
    sh.check(answer.json()["results"] == [], f"{what}: {answer.json()}")
    engine.raw = engine.early = None
    found = await fleet.all_results(job, 1)
    sh.check(found == [(f"{job}-0", "done", sh.stand_in.whole_output(f"{job}-0"))], f"{what}: {found}")


async def odd_statuses():
    """Digits where the status is due that are no status."""
    await broken_answers("odd_statuses", {
        code: raw_answer(b"HTTP/1.1 %s X" % code) for code in (b"000", b"099", b"600", b"999")})


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


async def odd_field_lines():
    """Lines of a head that are no field lines, or hide one."""
    await broken_answers("odd_field_lines", {
        line: raw_answer(b"HTTP/1.1 200 OK", line + b"\r\n")
        for line in (b"X Bad: 1", b"X\x01Bad: 1", b"X-Ok: 1\r\n X-Bad: 2", b"X-Ok: 1\r\n\tX-Bad : 2",
                     b"Transfer-Encoding : chunked", b"Connection: close, X-Server-Seal")})


async def odd_framing():
    """Bodies in a coding that the caller would not undo, and where none may be."""
    await broken_answers("odd_framing", {
        "gzip": raw_answer(b"HTTP/1.1 200 OK", b"Transfer-Encoding: gzip\r\n"),
        "two codings": raw_answer(b"HTTP/1.1 200 OK", b"Transfer-Encoding: chunked, identity\r\n"),
        "204": raw_answer(b"HTTP/1.1 204 X")})


async def odd_ends():
    """All of a body, and then an end that is none. What has been passed on of a
    stream stays without its end, unless a sound server gives it."""
    ends = {end: raw_answer(b"HTTP/1.1 200 OK", last_chunk=end) for end in (
        b"0\r\nX Bad: 1\r\n\r\n", b'0;a="\x01"\r\n\r\n', b"-0\r\n\r\n", b"0\r\nContent-Length: 4\r\n\r\n")}
    await fail_on_each_route("odd_ends", ends, has_begun=True)
    async with sh.Fleet("odd_ends", hosts=1, engines=3) as fleet:
        *broken, _ = fleet.engines
        for what, raw in ends.items():
            for engine in broken:
                engine.raw = raw
            attempt, answer = await ask_until_it_runs(fleet, broken, "stream")
            sh.check(answer.is_whole and answer.events() == sh.expected_events(attempt), f"{what}: {answer}")
    await broken_items("odd_ends", ends)


async def sound_answers():
    """What is odd and permitted reaches the caller as the server sent it."""
    odd = b"a\tb d\xc3\xa9j\xc3\xa0 \x80\xff, \"c\""
    answers = {
        "no reason": raw_answer(b"HTTP/1.1 200 ", b"X-Odd:" + odd + b" \r\n"),
        "odd reason": raw_answer(b"HTTP/1.1 200 \tSo far, \xe9 so good! ", b"x-odd: \t" + odd + b"\r\nX-Empty:\r\n"),
        "interim": raw_answer(b"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nLink: </a>\r\nX-Odd: 1\r\n\r\nHTTP/1.1 200 OK",
                              b"X-Odd: " + odd + b"\r\n")}
    async with sh.Fleet("sound_answers", hosts=1, engines=1) as fleet:
        engine = fleet.engines[0]
        for what, engine.raw in answers.items():
            for route in PATHS:
                attempt, answer = await ask_until_it_runs(fleet, [engine], route)
                sh.check(answer.status == 200 and answer.is_whole, f"{what}, {route}: {answer}")
                sh.check(answer.headers["x-server-seal"] == b"seal", f"{what}, {route}: {answer.headers}")
                sh.check(answer.headers["x-odd"] == odd, f"{what}, {route}: {answer.headers}")
                sh.check(answer.body == b"echo" or answer.events() == sh.expected_events(attempt), f"{what}: {answer}")
            job = fleet.new_id("job")
            answer = await fleet.submit(fleet.hosts[0], job, 1)
            sh.check(answer.status == 202, f"{what}: {answer}")
            found = await fleet.all_results(job, 1)
            sh.check(found == [(f"{job}-0", "done", sh.stand_in.whole_output(f"{job}-0"))], f"{what}: {found}")
        for status in (203, 299, 404, 499, 599):
            engine.raw = raw_answer(b"HTTP/1.1 %d X" % status)
            attempt, answer = await ask_until_it_runs(fleet, [engine], "call")
            sh.check(answer.status == status and answer.body == b"echo" and answer.is_whole, f"{status}: {answer}")
        engine.raw, engine.is_unframed = None, True
        for route in PATHS:
            attempt, answer = await ask_until_it_runs(fleet, [engine], route, 100_000)
            sh.check(answer.status == 200 and answer.is_whole, f"no length, {route}: {answer}")
            whole = len(answer.body) >= 100_000 if PATHS[route] == "plain" else answer.events() == sh.expected_events(attempt)
            sh.check(whole, f"no length, {route}: {answer}")


async def answer_early(engine, how):
    """Lets a server answer early, with most of a long upload still on its way."""
    await engine.http.stop()
    engine.http.receive_buffer = 8 << 10
    await engine.http.start(engine.ip, engine.port)
    engine.early = how


async def early_answers():
    """A server answers a long upload at once, without a length, sends a part and
    breaks the connection; sound servers answer early and read on."""
    for how in ("reset", "half_reset"):
        async with sh.Fleet(f"early_{how}", hosts=1, engines=12) as fleet:
            for engine in fleet.engines:
                await answer_early(engine, how)
            for route in PATHS:
                for size in UPLOADS:
                    attempt, answer = await ask_until_it_runs(fleet, fleet.engines, route, size)
                    check_failure(f"{how}, {size} bytes, {route}", attempt, answer, PATHS[route] == "x")
                    sh.check(route in REPEATED or fleet.runs(attempt) == 1, f"{how}: {route} ran {fleet.runs(attempt)} times")
        async with sh.Fleet(f"early_{how}", hosts=1, engines=1) as fleet:
            engine = fleet.engines[0]
            await answer_early(engine, how)
            await broken_item(fleet, how, body=b"x" * min(UPLOADS))
    for how in ("length", "half_read"):
        async with sh.Fleet(f"early_{how}", hosts=1, engines=1) as fleet:
            engine = fleet.engines[0]
            await answer_early(engine, how)
            for route in PATHS:
                for size in UPLOADS:
                    attempt, answer = await ask_until_it_runs(fleet, [engine], route, size)
                    sh.check(answer.status == 200 and answer.is_whole, f"{how}, {size} bytes, {route}: {answer}")
                    sh.check(answer.body == b"early" or answer.events() == sh.expected_events(attempt), f"{how}: {answer}")
            job = fleet.new_id("job")
            answer = await fleet.submit(fleet.hosts[0], job, 1, body=b"x" * min(UPLOADS))
            sh.check(answer.status == 202, f"{how}: {answer}")
            found = await fleet.all_results(job, 1)
            sh.check(found == [(f"{job}-0", "done", sh.stand_in.whole_output(f"{job}-0"))], f"{how}: {found}")


async def test():
    await earlier_refusals()
    await errors_within_streams()
    await cut_heads()
    await answers_without_length()
    await odd_statuses()
    await odd_field_lines()
    await odd_framing()
    await odd_ends()
    await early_answers()
    await sound_answers()


sh.run(test)
