#!/usr/bin/python3
"""Guards against requests that are cut off by a planned stop of their host,
and against a lost dispatcher that blocks the other hosts."""

import asyncio
import contextlib
import fcntl
import json
import os
import signal
import struct
import termios
import time

import site_helper as sh

LOSS_SLACK_S = 0.2  # lossSlackMs: a request may cross the close of its connection.


async def planned_stop():
    async with sh.Fleet("planned_stop", hosts=3, engines=3) as fleet:
        stopping = fleet.hosts[1]
        outcomes = []

        async def caller(host):
            for _ in range(12):
                try:
                    answer = await fleet.ask(host, "once")
                except ConnectionRefusedError:
                    return  # The host has stopped listening: nothing was sent.
                outcomes.append(answer)

        callers = [asyncio.create_task(caller(stopping)) for _ in range(6)]
        await asyncio.sleep(0.3)
        stop = asyncio.create_task(stopping.end(signal.SIGTERM))
        await asyncio.gather(*callers)
        await stop
        sh.check(stopping.process.returncode == 0, f"ended with {stopping.process.returncode}")
        sh.check(len(outcomes) >= 6, f"only {len(outcomes)} answers")
        for answer in outcomes:
            sh.check(answer.is_whole and answer.status in (200, 503), f"cut off by a planned stop: {answer}")


async def late_in_the_grace():
    """Guards against requests that a stopping host takes although it exits
    before their end: on new connections, on kept ones until the process is gone,
    and jobs. Each gets its whole answer, or a refusal that is true."""
    async with sh.Fleet("late_in_the_grace", hosts=3, engines=3) as fleet:
        stopping = fleet.hosts[1]
        for engine in fleet.engines:
            engine.gap_s = 0.15  # Streams take up to 3.6 s; the host exits after 5.3 s.
        for _ in range(3):
            await fleet.ask(stopping, "once")
        kept = [await asyncio.open_connection(stopping.ip, sh.FRONT) for _ in range(24)]
        counts = {"whole": 0, "refused": 0, "unread": 0}

        def judge(attempt, answer, sent_at, what):
            # A request that crosses the end of the process is neither read nor run.
            is_unread = answer is None and fleet.runs(attempt) == 0 and time.monotonic() - sent_at < 0.3
            is_whole = answer is not None and answer.is_whole and answer.status == 200
            is_refused = answer is not None and answer.status == 503 and fleet.runs(attempt) == 0
            sh.check(is_unread or is_whole or is_refused, f"{what}, {sent_at - stopped:.1f} s after SIGTERM: {answer}, "
                     f"ran {fleet.runs(attempt)} times, ended after {time.monotonic() - sent_at:.1f} s")
            counts["whole" if is_whole else "refused" if is_refused else "unread"] += 1

        async def on_kept(number, connection):
            await asyncio.sleep(0.24 * number)
            attempt, sent_at, answer = fleet.new_id(), time.monotonic(), None
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                answer = await sh.send(*connection, "POST", "/once/x", Host=sh.HOST_NAME, X_Attempt_Id=attempt,
                                       X_Deadline_Ms=8000, X_Key=sh.KEY)
            judge(attempt, answer, sent_at, "kept connection")

        async def on_new(number):
            await asyncio.sleep(0.2 * number)
            attempt, sent_at, answer = fleet.new_id(), time.monotonic(), None
            with contextlib.suppress(ConnectionRefusedError, ConnectionResetError, asyncio.IncompleteReadError):
                answer = await fleet.ask(stopping, "once", attempt)
            judge(attempt, answer, sent_at, "new connection")

        async def submits(number):
            await asyncio.sleep(0.4 * number)
            job, sent_at, answer = fleet.new_id("job"), time.monotonic(), None
            with contextlib.suppress(ConnectionRefusedError, ConnectionResetError, asyncio.IncompleteReadError):
                answer = await fleet.submit(stopping, job, 2)
            is_unread = answer is None and time.monotonic() - sent_at < 0.3
            sh.check(is_unread or (answer is not None and answer.status in (202, 503)),
                     f"job, {sent_at - stopped:.1f} s after SIGTERM: {answer}")

        stopped = time.monotonic()
        stop = asyncio.create_task(stopping.end(signal.SIGTERM))
        await asyncio.gather(stop, *(on_kept(i, connection) for i, connection in enumerate(kept)),
                             *(on_new(i) for i in range(30)), *(submits(i) for i in range(15)))
        sh.check(stopping.process.returncode == 0, f"ended with {stopping.process.returncode}")
        sh.check(counts["whole"] > 0 and counts["refused"] > 0, f"answers: {counts}")


async def waiting_at_the_end():
    """Guards against requests that wait for a slot, or run without an answer
    yet, when a stopping host exits: they are answered before it does."""
    async with sh.Fleet("waiting_at_the_end", hosts=2, engines=1) as fleet:
        stopping, engine = fleet.hosts[0], fleet.engines[0]
        declared = sh.state(2)
        for route in declared["routes"]:
            route["timeoutMs"] = 20000
        await fleet.store.put(sh.stand_in.STATE_TOPIC, "config", declared)
        engine.slots = 2
        await engine.register("ready")
        await asyncio.sleep(1)
        engine.silent_after = 0
        attempts = [fleet.new_id() for _ in range(8)]

        async def ask(attempt):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                return await fleet.ask(stopping, "once", attempt, X_Deadline_Ms=20000)

        callers = [asyncio.create_task(ask(attempt)) for attempt in attempts]
        await asyncio.sleep(0.5)
        await stopping.end(signal.SIGTERM)
        for attempt, answer in zip(attempts, await asyncio.gather(*callers)):
            sh.check(answer is not None and answer.is_whole, f"{attempt} got no answer")
            ran = fleet.runs(attempt) > 0
            sh.check(answer.status in ((502, 504) if ran else (503,)), f"ran: {ran}, {answer}")


async def cut_requests_are_named():
    """Guards against a stop that cuts requests without a line that names them."""
    async with sh.Fleet("cut_requests", hosts=2, engines=2) as fleet:
        stopping = fleet.hosts[0]
        declared = sh.state(2)
        for route in declared["routes"]:
            route["timeoutMs"] = 20000
        await fleet.store.put(sh.stand_in.STATE_TOPIC, "config", declared)
        await asyncio.sleep(1)
        for engine in fleet.engines:
            engine.silent_after = 2  # Streams that have begun and do not end.
        attempt = fleet.new_id()
        caller = asyncio.create_task(fleet.ask(stopping, "once", attempt, X_Deadline_Ms=20000))
        await asyncio.sleep(0.5)
        await stopping.end(signal.SIGTERM)
        sh.check(not (await caller).is_whole, "the stream ended although its server was silent")
        lines = [json.loads(line) for line in stopping.log_path.read_text().splitlines() if "event" in line]
        cut = [line["request"] for line in lines if line["event"] == "request_cut"]
        active = [line["active_requests"] for line in lines if line["event"] == "stopped"]
        ended = [line["request"] for line in lines if line["event"] == "request_end"]
        sh.check(cut == [attempt] and active == [1] and attempt not in ended, f"{attempt} was cut, the log names {cut} and counts {active}")


async def kept_callers(fleet, host, sent_at):
    """Sends requests on kept connections at the given times in s. Each must get an
    answer, unless it crosses the close of its connection."""
    begun = time.monotonic()

    async def ask(at):
        connection = await asyncio.open_connection(host.ip, sh.FRONT)
        await asyncio.sleep(begun + at - time.monotonic())
        attempt, answer, sent = fleet.new_id(), None, time.monotonic()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            answer = await sh.send(*connection, "POST", "/once/x", Host=sh.HOST_NAME, X_Attempt_Id=attempt,
                                   X_Deadline_Ms=5000, X_Key=sh.KEY)
        took = time.monotonic() - sent
        sh.check((answer is not None and answer.is_whole) or (took < LOSS_SLACK_S and fleet.runs(attempt) == 0),
                 f"sent {at:.1f} s after SIGTERM: {answer} after {took:.2f} s")
    await asyncio.gather(*map(ask, sent_at))


async def stop_by_platform(host):
    """Stops a host as the platform does: SIGTERM, and SIGKILL after the grace."""
    try:
        await asyncio.wait_for(host.end(signal.SIGTERM), host.settings()["drain_limit_s"])
    except asyncio.TimeoutError:
        await host.end()
    return host.process.returncode


async def reader_of_the_log_is_slow():
    """Guards against a stop that waits for whoever reads the log: meanwhile the
    host serves nobody, until it is killed with the connections of its callers."""
    async with sh.Fleet("slow_log", hosts=2, engines=2) as fleet:
        host = fleet.hosts[0]
        await host.end()
        reads, writes = os.pipe()
        fcntl.fcntl(writes, fcntl.F_SETPIPE_SZ, 4096)
        await host.start(output=writes)
        os.close(writes)
        await sh.until(host.is_ready, "the host is ready")
        for _ in range(40):
            await fleet.ask(host, "read")
        waiting = struct.unpack("i", fcntl.ioctl(reads, termios.FIONREAD, b"\0" * 4))[0]
        sh.check(waiting > fcntl.fcntl(reads, fcntl.F_GETPIPE_SZ) - 1000, f"only {waiting} bytes in the pipe")
        stop = asyncio.create_task(stop_by_platform(host))
        await kept_callers(fleet, host, [0.2 * i for i in range(30)])
        sh.check(await stop == 0, f"ended with {host.process.returncode}")
        os.close(reads)


async def late_process_at_the_exit(exit_s, is_idle):
    """Guards against a stop that takes time in which the process did not run for
    quiet: requests that came meanwhile are answered before the exit."""
    async with sh.Fleet("late_process", hosts=2, engines=2) as fleet:
        host = fleet.hosts[0]
        begun = []
        if not is_idle:
            for engine in fleet.engines:
                engine.silent_after = 2  # The stream lasts until the exit.
            begun.append(asyncio.create_task(fleet.ask(host, "once")))
            await asyncio.sleep(0.5)

        async def pause():
            await asyncio.sleep(exit_s - 0.1)
            sh.check(host.process.returncode is None, "the host has ended before the pause")
            host.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(0.4)
            host.process.send_signal(signal.SIGCONT)
        stop = asyncio.create_task(stop_by_platform(host))
        await asyncio.gather(kept_callers(fleet, host, [exit_s - 0.07, exit_s - 0.02, exit_s + 0.05]), pause())
        sh.check(await stop == 0, f"ended with {host.process.returncode}")
        await asyncio.gather(*begun)


async def limits_change_while_idle():
    """Guards against requests that are dropped or rejected on connections that
    were idle while a new declared state raised the limits."""
    async with sh.Fleet("limits_change", hosts=1, engines=1) as fleet:
        host = fleet.hosts[0]
        limits = {"maxHeaderBytes": 2000, "maxBodyBytes": 1000, "headerTimeoutMs": 3000, "idleTimeoutMs": 1500}
        await fleet.store.put(sh.stand_in.STATE_TOPIC, "config", sh.state(2, limits=limits))
        await asyncio.sleep(1.5)

        async def ask(connection, body):
            attempt = fleet.new_id()
            return await sh.send(*connection, "POST", "/read/plain", body, Host=sh.HOST_NAME, X_Attempt_Id=attempt,
                                 X_Deadline_Ms=8000, X_Key=sh.KEY)

        kept = [await asyncio.open_connection(host.ip, sh.FRONT) for _ in range(4)]
        for connection in kept:
            answer = await ask(connection, b"short")
            sh.check(answer.status == 200, f"before the change: {answer}")
        await fleet.store.put(sh.stand_in.STATE_TOPIC, "config", sh.state(3))
        for pause, connection in zip((1.0, 1.5, 0.5, 2.0), kept):
            await asyncio.sleep(pause)
            try:
                answer = await ask(connection, b"x" * 20000)
            except (OSError, asyncio.IncompleteReadError):
                answer = None
            sh.check(answer is not None and answer.status == 200, f"idle for more than the old limit: {answer}")
        # A lower limit still closes connections that are idle for longer.
        await fleet.store.put(sh.stand_in.STATE_TOPIC, "config", sh.state(4, limits=limits))
        _, writer = await asyncio.open_connection(host.ip, sh.FRONT)
        for reader, _ in kept:
            sh.check(await asyncio.wait_for(reader.read(1), 20) == b"", "idle connection is not closed")
        writer.close()


async def lost_dispatcher():
    async with sh.Fleet("lost_dispatcher", hosts=3, engines=3) as fleet:
        for victim in range(3):
            # Each host is paused once, because one of the three is the dispatcher.
            host = fleet.hosts[victim]
            host.process.send_signal(signal.SIGSTOP)
            others = [h for h in fleet.hosts if h is not host]
            for i in range(12):
                answer = await fleet.ask(others[i % 2], "stream")
                sh.check(answer.status == 200 and answer.is_whole, f"while host {victim} is paused: {answer}")
            host.process.send_signal(signal.SIGCONT)
            await sh.until(host.is_ready, "the paused host is ready again")
            answer = await fleet.ask(host, "stream")
            sh.check(answer.status == 200, f"after the pause: {answer}")


async def all_killed():
    """Guards against accepted jobs that are lost when all hosts are killed,
    and against hosts that do not serve requests after that."""
    async with sh.Fleet("all_killed", hosts=3, engines=3) as fleet:
        for i in range(4):
            answer = await fleet.submit(fleet.hosts[i % 3], f"job{i}", 6)
            sh.check(answer.status == 202, f"job {i}: {answer}")
        await asyncio.gather(*(host.end() for host in fleet.hosts))
        for host in fleet.hosts:
            await host.start()
        await fleet.settled(3)
        for host in fleet.hosts:
            async def served():
                return (await fleet.ask(host, "stream", key="key-of-beta")).status == 200
            await sh.until(served, f"host {host.index} serves again", 5)
        for i in range(4):
            await fleet.all_results(f"job{i}", 6)


async def early_requests():
    """Guards against refusals right after a start: callers reach a host before
    it knows the declared state; one of them has been refused before, and a
    second refusal would end its request."""
    async with sh.Fleet("early_requests", hosts=1, engines=1) as fleet:
        host = fleet.hosts[0]
        for _ in range(3):
            await host.end()
            fleet.store.newest_delay_s = 0.1
            await host.start()

            async def ask(**headers):
                end = asyncio.get_running_loop().time() + 5
                while True:
                    try:
                        return await fleet.ask(host, "stream", **headers)
                    except ConnectionRefusedError:
                        sh.check(asyncio.get_running_loop().time() < end, "the host does not listen")
                        await asyncio.sleep(0.002)

            answers = await asyncio.gather(*(ask() for _ in range(4)), ask(X_Deadline_Ms=3000))
            for answer in answers:
                sh.check(answer.status == 200 and answer.is_whole, f"right after the start: {answer}")
            fleet.store.newest_delay_s = 0
            await fleet.settled(1)


async def taken_metrics_port():
    """Guards against a host that does not start because its metrics port is in
    use: that port is fixed before the ports of the day are known."""
    async with sh.Fleet("taken_metrics_port", hosts=1, engines=1) as fleet:
        host = fleet.hosts[0]
        await host.end()
        other = await asyncio.start_server(lambda *_: None, host.ip, sh.METRICS)
        await host.start()
        await sh.until(host.is_ready, "the host is ready without metrics", 10)
        answer = await fleet.ask(host, "stream")
        sh.check(answer.status == 200 and answer.is_whole, f"without metrics: {answer}")
        other.close()


async def test():
    await planned_stop()
    await late_in_the_grace()
    await waiting_at_the_end()
    await cut_requests_are_named()
    await reader_of_the_log_is_slow()
    await late_process_at_the_exit(4.7, is_idle=True)
    await late_process_at_the_exit(5.3, is_idle=False)
    await limits_change_while_idle()
    await taken_metrics_port()
    await early_requests()
    await all_killed()
    await lost_dispatcher()


sh.run(test)
