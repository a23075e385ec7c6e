#!/usr/bin/python3
"""Guards against hosts that a signal ends by itself, or that miss a signal:
during the start, when the reader of their log is gone, and while their settings
file is being written."""

import asyncio
import contextlib
import errno
import json
import os
import random
import signal
import time

import site_helper as sh

SEED = 20261205
STARTS = 120  # Of each kind.
AT_ONCE = 8
MAX_DELAY_S = 0.1
SIGNAL_BITS = (1 << (signal.SIGHUP - 1))


class Start(sh.Host):
    """A host whose settings file is a FIFO at first, so that the test holds the
    process in its start and knows that main() has begun."""

    def __init__(self, fleet, index):
        super().__init__(fleet, index)
        self.path = fleet.directory / f"start-{index}.json"
        self.fifo = None

    async def begin(self):
        """Starts the process and waits until it opens its settings file."""
        self.log_path.write_bytes(b"")
        self.path.unlink(missing_ok=True)
        os.mkfifo(self.path)
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(sh.BUILD / "dogwood_hostd"), "--settings", str(self.path), stdout=log, stderr=log)
        end = time.monotonic() + sh.START_LIMIT_S
        while True:
            try:
                self.fifo = os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
                return
            except OSError as error:
                sh.check(error.errno == errno.ENXIO, f"{self.path}: {error}")
            sh.check(time.monotonic() < end, f"{self.path} was not opened")
            await asyncio.sleep(0.002)

    def go_on(self):
        """Lets the process read its settings; later reads get a file."""
        text = json.dumps(dict(self.settings(), address_keep_s=1)).encode()
        file = self.path.with_suffix(".new")
        file.write_bytes(text)
        file.replace(self.path)
        with contextlib.suppress(BrokenPipeError):  # The process has ended.
            os.write(self.fifo, text)
        os.close(self.fifo)

    def logged(self, text):
        return self.log_path.read_text(errors="replace").count(text)

    def holds_signal(self):
        """Whether the process blocks or catches SIGHUP now."""
        with open(f"/proc/{self.process.pid}/status") as status:
            fields = dict(line.split(":", 1) for line in status)
        return bool((int(fields["SigBlk"], 16) | int(fields["SigCgt"], 16)) & SIGNAL_BITS)


async def many_starts(name, one_start):
    """Runs `one_start` for STARTS starts, several at a time, and prints how many
    of each outcome there were."""
    fleet = sh.Fleet(name, hosts=AT_ONCE, engines=0)
    hosts = [Start(fleet, i) for i in range(AT_ONCE)]
    outcomes = []
    await fleet.store.http.start(fleet.store_ip, sh.STORE)

    async def run(host):
        chance = random.Random(SEED + host.index)
        for _ in range(STARTS // AT_ONCE):
            try:
                outcomes.append(await one_start(host, chance))
            finally:
                await host.end()
    try:
        ended = await asyncio.gather(*(run(host) for host in hosts), return_exceptions=True)
    finally:
        await fleet.store.http.stop()
    print(name, {o: outcomes.count(o) for o in sorted(set(outcomes))})
    for error in ended:
        if error is not None:
            raise error
    return outcomes


async def reload_while_starting():
    """SIGHUP before the settings are read, or 0 to 100 ms after: the host goes
    on and reloads its settings once it serves."""
    async def start(host, chance):
        await host.begin()
        before = chance.random() < 0.5
        if before:
            host.process.send_signal(signal.SIGHUP)
        host.go_on()
        if not before:
            await asyncio.sleep(chance.uniform(0, MAX_DELAY_S))
            host.process.send_signal(signal.SIGHUP)

        async def reloaded():
            return host.process.returncode is not None or host.logged("settings reloaded")
        await sh.until(reloaded, "settings reloaded")
        return "ended" if host.process.returncode is not None else "reloaded"
    outcomes = await many_starts("reload_while_starting", start)
    sh.check(set(outcomes) == {"reloaded"}, f"{outcomes.count('ended')} of {len(outcomes)} hosts ended by themselves")


async def reload_right_after_exec():
    """SIGHUP 0 to 100 ms after exec(). Only before main() may it end the
    process: nothing in a program can prevent that."""
    async def start(host, chance):
        host.path.unlink(missing_ok=True)
        host.path.write_text(json.dumps(host.settings()))
        with open(host.log_path, "wb") as log:
            host.process = await asyncio.create_subprocess_exec(
                str(sh.BUILD / "dogwood_hostd"), "--settings", str(host.path), stdout=log, stderr=log)
        await asyncio.sleep(chance.uniform(0, MAX_DELAY_S))
        held = host.holds_signal()
        host.process.send_signal(signal.SIGHUP)

        async def is_decided():
            return host.process.returncode is not None or host.logged("settings reloaded")
        await sh.until(is_decided, "settings reloaded")
        if host.process.returncode is None:
            return "reloaded"
        sh.check(not held, "a host that held SIGHUP ended by itself")
        return "ended before main()"
    await many_starts("reload_right_after_exec", start)


async def stop_while_starting():
    """SIGTERM or SIGINT before the settings are read or soon after: the host
    stops in order, with status 0."""
    async def start(host, chance):
        await host.begin()
        how = chance.choice([signal.SIGTERM, signal.SIGTERM, signal.SIGINT])
        before = chance.random() < 0.7
        if before:
            host.process.send_signal(how)
        host.go_on()
        if not before:
            await asyncio.sleep(chance.uniform(0, MAX_DELAY_S))
            host.process.send_signal(how)
        return await asyncio.wait_for(host.process.wait(), host.settings()["drain_limit_s"])
    outcomes = await many_starts("stop_while_starting", start)
    sh.check(set(outcomes) == {0}, f"{len(outcomes) - outcomes.count(0)} of {len(outcomes)} hosts did not stop in order")


async def log_reader_gone():
    """The reader of standard output closes its end: the host serves on, reloads
    and stops in order."""
    async with sh.Fleet("log_reader_gone", hosts=2, engines=2) as fleet:
        host = fleet.hosts[1]
        await host.end()
        host.process = await asyncio.create_subprocess_exec(
            str(sh.BUILD / "dogwood_hostd"), "--settings", str(fleet.directory / "host-1.json"),
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT)
        await fleet.settled(2)
        host.process._transport.get_pipe_transport(1).close()
        for _ in range(10):
            host.process.send_signal(signal.SIGHUP)  # Each reload writes a line.
            await asyncio.sleep(0.1)
            sh.check(host.process.returncode is None, f"the process ended with {host.process.returncode}")
            answer = await fleet.ask(host, "read")
            sh.check(answer.status == 200 and answer.is_whole, f"without a reader of the log: {answer}")
        await host.end(signal.SIGTERM)
        sh.check(host.process.returncode == 0, f"stopped with {host.process.returncode}")


async def half_written_settings():
    """A settings file that is read while it is being written changes nothing and
    is read again when it is complete, also if its time and size tell nothing;
    a host that is started with one ends with an error and can be started again."""
    async with sh.Fleet("half_written_settings", hosts=2, engines=2) as fleet:
        host = fleet.hosts[1]
        path = fleet.directory / "host-1.json"

        async def kept_s():
            answer = await sh.call(host.ip, sh.DIRECTORY, "GET", "/api/resolve?region=west&zone=west-a")
            return answer.json()["ttlS"]

        def logged(text):
            return host.log_path.read_text(errors="replace").count(text)

        for keep_s in range(2, 8):
            half, whole = (json.dumps(dict(host.settings(), address_keep_s=n)) for n in (keep_s, keep_s + 10))
            before, errors = await kept_s(), logged("is not valid JSON")
            half = half[:len(half) // 2].ljust(len(whole) if keep_s % 2 else 0)
            path.write_text(half)
            times = path.stat()
            if keep_s % 3 == 0:
                host.process.send_signal(signal.SIGHUP)

            async def is_refused():
                return host.process.returncode is not None or logged("is not valid JSON") > errors
            await sh.until(is_refused, "an error is logged")
            sh.check(host.process.returncode is None, f"the process ended with {host.process.returncode}")
            sh.check(await kept_s() == before, "half a file changed the settings")
            path.write_text(whole)
            os.utime(path, ns=(times.st_atime_ns, times.st_mtime_ns))  # Complete within the same tick.

            async def is_taken():
                return await kept_s() == keep_s + 10
            await sh.until(is_taken, f"address_keep_s is {keep_s + 10}", limit=5)
        await host.end()
        path.write_text(half)
        failed = await asyncio.create_subprocess_exec(
            str(sh.BUILD / "dogwood_hostd"), "--settings", str(path), stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT)
        output, _ = await failed.communicate()
        sh.check(failed.returncode == 2 and str(path) in output.decode(), f"{failed.returncode}: {output}")
        await host.start()
        await fleet.settled(2)


async def test():
    failures = []
    for scenario in (reload_while_starting, reload_right_after_exec, stop_while_starting, log_reader_gone,
                     half_written_settings):
        try:
            await scenario()
        except (AssertionError, asyncio.TimeoutError, OSError) as error:
            failures.append(f"{scenario.__name__}: {error!r}")
            print(failures[-1])
    sh.check(not failures, f"{len(failures)} scenarios")


sh.run(test)
