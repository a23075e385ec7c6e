#!/usr/bin/python3
"""Guards against what servers and hosts in trouble do to callers: late copies
and halves of answers, sound streams that are cut because they are slow, bytes
that are no answer and never end, and items that run twice because their host was
silent for a moment."""

import asyncio
import contextlib
import re
import signal
import time

import site_helper as sh

# Another server continues a stalled stream well before its caller gives up,
# which is after 2 s without an event (PROTOCOL.md, Requests).
MOVE_ON_S = 2
# Memory of the smallest machines of the users' sites.
MACHINE_MB = 130


async def slow_stream_lives():
    """Each pause is below the route's longest one on time, 500 ms. A stream
    that other servers have made fast before must not be cut."""
    async with sh.Fleet("slow_stream_lives", hosts=1, engines=2) as fleet:
        for _ in range(20):
            await fleet.ask(fleet.hosts[0], "stream")
        for engine in fleet.engines:
            engine.gap_s = 0.45
        before = sum(len(engine.seen) for engine in fleet.engines)
        attempts = [fleet.new_id() for _ in range(4)]
        answers = await asyncio.gather(*(fleet.ask(fleet.hosts[0], "stream", attempt) for attempt in attempts))
        for attempt, answer in zip(attempts, answers):
            sh.check(answer.status == 200, f"slow stream: {answer}")
            got, whole = answer.events(), sh.expected_events(attempt)
            # The longest ones reach the caller's deadline of 8 s.
            least = min(len(whole), 14)
            sh.check(got == whole[:len(got)] and len(got) >= least, f"slow stream: {got} of {len(whole)}")
        runs = sum(len(engine.seen) for engine in fleet.engines) - before
        sh.check(runs == len(attempts), f"{len(attempts)} sound streams ran {runs} times")


async def dripping_stream_moves_on():
    async with sh.Fleet("dripping_stream", hosts=1, engines=2) as fleet:
        bad = fleet.engines[0]
        bad.drip_after = 2
        for _ in range(8):
            attempt = fleet.new_id()
            begun = time.monotonic()
            answer = await fleet.ask(fleet.hosts[0], "stream", attempt)
            sh.check(answer.status == 200 and answer.is_whole, f"dripping server: {answer}")
            sh.check(answer.events() == sh.expected_events(attempt), f"dripping server: {answer.events()}")
            longest = sh.stand_in.EVENT_GAP_S * sh.stand_in.event_count(attempt) + MOVE_ON_S
            took = time.monotonic() - begun
            sh.check(took < longest, f"stream stalled by a byte now and then took {took:.1f} s")
        sh.check(bad.seen, "no request met the dripping server")


def peak_mb(host):
    with open(f"/proc/{host.process.pid}/status", encoding="ascii") as status:
        return int(re.search(r"VmHWM:\s+(\d+) kB", status.read())[1]) / 1024


async def endless_bytes():
    for flood in ("head", "interim", "body", "event", "chunk_extension", "trailer"):
        async with sh.Fleet(f"endless_{flood}", hosts=1, engines=1) as fleet:
            host, engine = fleet.hosts[0], fleet.engines[0]
            engine.slots = 50
            await engine.register("ready")
            await asyncio.sleep(1)
            engine.flood = flood
            begun = time.monotonic()
            answers = await asyncio.gather(*(
                fleet.ask(host, "once", fleet.new_id()) for _ in range(50)))
            took = time.monotonic() - begun
            for answer in answers:
                sh.check(answer.status in (502, 503, 504) or not answer.is_whole, f"{flood}: {answer}")
                sh.check(answer.status != 503 or not engine.seen, f"{flood}: reported as not run, but ran")
            sh.check(took < 8 + MOVE_ON_S, f"{flood}: answered after {took:.1f} s")
            sh.check(peak_mb(host) < MACHINE_MB, f"{flood}: the host's memory reached {peak_mb(host):.0f} MB")
            engine.flood = None

            async def works():
                return (await fleet.ask(host, "stream", fleet.new_id())).status == 200
            await sh.until(works, f"{flood}: the server is used again", 10)


async def endless_store():
    """Answers of the store without end, while jobs are submitted."""
    for flood in ("head", "body", "chunk_extension", "trailer"):
        async with sh.Fleet(f"endless_store_{flood}", hosts=2, engines=1) as fleet:
            fleet.store.flood = flood
            end = time.monotonic() + 6
            while time.monotonic() < end:
                answers = await asyncio.gather(*(fleet.submit(fleet.hosts[i % 2], fleet.new_id("job"), 1) for i in range(12)))
                for answer in answers:
                    sh.check(answer.status in (503, 504), f"{flood}: {answer}")
            fleet.store.flood = None
            for host in fleet.hosts:
                sh.check(peak_mb(host) < MACHINE_MB, f"{flood}: the host's memory reached {peak_mb(host):.0f} MB")

            async def works():
                return (await fleet.submit(fleet.hosts[0], fleet.new_id("job"), 1)).status == 202
            await sh.until(works, f"{flood}: the store is used again", 10)


async def endless_hosts():
    """Frames without end from processes that connect as another host does."""
    async with sh.Fleet("endless_hosts", hosts=1, engines=1) as fleet:
        host = fleet.hosts[0]

        async def peer():
            reader, writer = await asyncio.open_connection(host.ip, sh.LINK)
            with contextlib.suppress(OSError):
                writer.write((60 << 20).to_bytes(4, "little"))
                for _ in range(60 << 20 >> 16):
                    if reader.at_eof():
                        break
                    writer.write(b"x" * 65536)
                    await writer.drain()
            writer.close()
        await asyncio.gather(*(peer() for _ in range(10)))
        sh.check(peak_mb(host) < MACHINE_MB, f"the host's memory reached {peak_mb(host):.0f} MB")
        answer = await fleet.ask(host, "stream")
        sh.check(answer.status == 200, f"after endless frames: {answer}")


async def endless_request():
    """Bytes without end from callers, where the size of a chunk or the end of a
    body is due."""
    async with sh.Fleet("endless_request", hosts=1, engines=1) as fleet:
        host = fleet.hosts[0]
        head = (f"POST /once/x HTTP/1.1\r\nHost: {sh.HOST_NAME}\r\nX-Key: {sh.KEY}\r\nX-Attempt-Id: endless\r\n"
                "Transfer-Encoding: chunked\r\n\r\n")

        async def caller(start):
            _, writer = await asyncio.open_connection(host.ip, sh.FRONT)
            with contextlib.suppress(OSError):
                writer.write((head + start).encode())
                for _ in range(40 << 20 >> 16):
                    writer.write(b"x" * 65536)
                    await writer.drain()
            writer.close()
        await asyncio.gather(*(caller(start) for start in ("5;x=", "0\r\nX-Junk: ") for _ in range(4)))
        sh.check(peak_mb(host) < MACHINE_MB, f"the host's memory reached {peak_mb(host):.0f} MB")
        answer = await fleet.ask(host, "stream")
        sh.check(answer.status == 200, f"after endless requests: {answer}")


async def late_copies():
    """A second copy of an answer comes while its connection is idle, or in use
    again."""
    async with sh.Fleet("late_copies", hosts=1, engines=1) as fleet:
        engine = fleet.engines[0]
        for engine.copy_after_s in (0, 0.005, 0.03):
            for i in range(40):
                body = f"body {engine.copy_after_s} {i}".encode()
                attempt, answer = await fleet.ask_plain(("read", "call")[i % 2], body)
                # A copy that is taken for the answer's beginning fails the call.
                if answer.status == 200:
                    sh.check(answer.body == b"echo " + body, f"answer to another request: {answer}")
                sh.check(answer.status in (200, 502), f"late copies: {answer}")
                sh.check(i % 2 == 0 or fleet.runs(attempt) <= 1, f"{attempt} ran {fleet.runs(attempt)} times")
                await asyncio.sleep(0.002 * (i % 9))


async def cut_answers():
    """An answer that ends before its length is never complete."""
    async with sh.Fleet("cut_answers", hosts=1, engines=1) as fleet:
        fleet.engines[0].cut_plain = True
        for i in range(6):
            _, answer = await fleet.ask_plain(("read", "call")[i % 2], b"body")
            sh.check(answer.status in (502, 504) or not answer.is_whole, f"cut answer: {answer}")


async def paused_host():
    """A host that is silent for less than the lifetime of its membership keeps
    its items: none is given up, and none runs twice."""
    async with sh.Fleet("paused_host", hosts=3, engines=2) as fleet:
        jobs = [fleet.new_id("job") for _ in range(12)]
        for engine in fleet.engines:
            engine.gap_s = 0.15
        for i, job in enumerate(jobs):
            answer = await fleet.submit(fleet.hosts[i % 3], job, 2)
            sh.check(answer.status == 202, f"job {job}: {answer}")
        await asyncio.sleep(0.5)
        paused = fleet.hosts[2]
        paused.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(1.0)
        paused.process.send_signal(signal.SIGCONT)
        for job in jobs:
            found = await fleet.all_results(job, 2)
            sh.check(all(end == "done" for _, end, _ in found), f"job {job}: {found}")
            for item, _, output in found:
                sh.check(output == sh.stand_in.whole_output(item), f"output of {item}: {output}")
                sh.check(fleet.runs(item) == 1, f"item {item} ran {fleet.runs(item)} times")


async def test():
    await late_copies()
    await cut_answers()
    await paused_host()
    await slow_stream_lives()
    await dripping_stream_moves_on()
    await endless_bytes()
    await endless_request()
    await endless_store()
    await endless_hosts()


sh.run(test)
