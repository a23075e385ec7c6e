#!/usr/bin/python3
"""Randomized soak test: runs real hostd processes on loopback addresses, and
injects several faults at a time from outside while callers send requests. It
checks what callers and servers observe; docs/invariants.md lists the assertions.

    tests/soak.py --seed 1 --seconds 20 --hosts 4
    tests/soak.py --fresh 2 --hosts 60   # as many processes as the machine bears
    tests/soak.py --fresh 10        # ten new random seeds
    tests/soak.py --kept            # seeds that have failed before
"""

import argparse
import asyncio
import contextlib
import json
import random
import signal
import sys
import time

import site_helper as sh

# Seeds that have failed before, with the cause; kept as regression tests.
KEPT_SEEDS = {
    # seed: cause
}
PROXY_PORT = 7301
JOB_ITEMS = 4
RECOVERY_S = 45
REFUSALS = (408, 421, 429, 503)  # They guarantee that nothing ran or will run.
CONNECTION_ERRORS = (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError)


class Proxy:
    """Forwards TCP connections, with faults according to `mode` and `delay_s`:
    "pass" forwards both directions, "silent" drops all data, and "one_way" drops
    the data from the target."""

    def __init__(self, ip, port, target):
        self.ip, self.port, self.target = ip, port, target
        self.mode, self.delay_s = "pass", 0.0
        self.open = set()  # Writers of the open connections.

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    def reset(self):
        for writer in list(self.open):
            sh.stand_in.reset(writer)

    async def stop(self):
        self.server.close()
        self.reset()

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
            self.open.add(target_writer)
            await asyncio.gather(self.pump(reader, target_writer, False), self.pump(target_reader, writer, True))
        except (OSError, asyncio.CancelledError):
            sh.stand_in.reset(writer)
        finally:
            self.open.discard(writer)

    async def pump(self, reader, writer, is_from_target):
        try:
            while data := await reader.read(65536):
                await asyncio.sleep(self.delay_s)
                if self.mode == "silent" or (self.mode == "one_way" and is_from_target):
                    continue
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            # A reset is passed on as such: a close would end an answer without length.
            sh.stand_in.reset(writer)
        self.open.discard(writer)


class SoakFleet(sh.Fleet):
    """A fleet whose connections to the store and the servers pass through proxies."""

    def __init__(self, seed, hosts, engines):
        # Seeds that run in parallel use separate networks.
        super().__init__(f"soak-{seed}", hosts, engines, net=80 + seed % 100)
        self.store_proxies = [
            Proxy(self.store_ip, PROXY_PORT + h.index, (self.store_ip, sh.STORE)) for h in self.hosts]
        self.engine_proxies = [Proxy(e.ip, PROXY_PORT, (e.ip, sh.ENGINE)) for e in self.engines]
        for engine in self.engines:
            engine.told_port = PROXY_PORT

    def store_address(self, host):
        return f"{self.store_ip}:{PROXY_PORT + host.index}"

    async def __aenter__(self):
        for proxy in self.store_proxies + self.engine_proxies:
            await proxy.start()
        return await super().__aenter__()

    async def __aexit__(self, *error):
        await super().__aexit__(*error)
        for proxy in self.store_proxies + self.engine_proxies:
            await proxy.stop()


class Soak:
    def __init__(self, fleet, seed, seconds):
        self.fleet, self.random, self.end = fleet, random.Random(seed), time.monotonic() + seconds
        self.requests, self.jobs, self.counts = {}, {}, {}
        self.faulty_hosts = set()  # Hosts that are being stopped, restarted or paused.
        self.hard_faults = []  # (host, begin, end) of kills and pauses.
        self.cut_requests = []  # (host, sent, attempt) on kept connections that ended without an answer.

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    # Callers.

    async def caller(self):
        while time.monotonic() < self.end:
            kind = self.random.choice(["stream", "once", "call/plain", "read/plain"])
            attempt, host = self.fleet.new_id(), self.random.choice(self.fleet.hosts)
            status = None
            with contextlib.suppress(*CONNECTION_ERRORS):
                answer = await self.fleet.ask(host, kind, attempt, limit=10)
                status = answer.status
                self.check_answer(kind, attempt, answer)
            self.requests[attempt] = (kind, status)
            self.count(f"{kind.split('/')[0]} {status}")
            await asyncio.sleep(self.random.uniform(0, 0.1))

    def check_answer(self, kind, attempt, answer):
        if answer.status != 200:
            return
        if "plain" in kind:
            sh.check(not answer.is_whole or answer.body == b"echo hello", f"{attempt}: {answer}")
            return
        expected = sh.expected_events(attempt)
        events = answer.events()
        sh.check(events == expected[: len(events)], f"{attempt}: events {events}")
        sh.check(not answer.is_whole or len(events) == len(expected), f"{attempt}: complete before its last event")

    async def keeping_caller(self):
        """Uses each connection until the host closes it or is gone."""
        while time.monotonic() < self.end:
            host = self.random.choice(self.fleet.hosts)
            with contextlib.suppress(*CONNECTION_ERRORS):
                reader, writer = await asyncio.wait_for(asyncio.open_connection(host.ip, sh.FRONT), 2)
                try:
                    while time.monotonic() < self.end and await self.ask_on(host, reader, writer):
                        await asyncio.sleep(self.random.uniform(0, 0.2))
                finally:
                    writer.close()
            await asyncio.sleep(0.05)

    async def ask_on(self, host, reader, writer):
        """Sends one request. Returns whether the connection can be used again."""
        kind = self.random.choice(["call/plain", "read/plain"])
        attempt, sent = self.fleet.new_id("k"), time.monotonic()
        writer.write(f"POST /{kind} HTTP/1.1\r\nHost: {sh.HOST_NAME}\r\nX-Attempt-Id: {attempt}\r\n"
                     f"X-Deadline-Ms: 3000\r\nX-Key: {sh.KEY}\r\nContent-Length: 5\r\n\r\nhello".encode())
        self.requests[attempt] = (kind, None)
        try:
            answer = await asyncio.wait_for(sh.read_answer(reader), 10)
        except asyncio.IncompleteReadError as error:
            if not error.partial:
                self.cut_requests.append((host.index, sent, attempt))
            return False
        self.requests[attempt] = (kind, answer.status)
        self.check_answer(kind, attempt, answer)
        self.count(f"kept {answer.status}")
        return answer.is_whole and answer.headers.get("connection", "").lower() != "close"

    async def job_caller(self):
        while time.monotonic() < self.end:
            job, statuses = self.fleet.new_id("job"), []
            for _ in range(2):
                with contextlib.suppress(*CONNECTION_ERRORS):
                    answer = await self.fleet.submit(self.random.choice(self.fleet.hosts), job, JOB_ITEMS)
                    statuses.append(answer.status)
                    if answer.status == 202:
                        break
                    continue
                statuses.append(None)
            self.jobs[job] = statuses
            self.count(f"job {statuses[-1]}")
            await asyncio.sleep(self.random.uniform(0.2, 0.8))

    # Faults. Each lasts for a while and is then reverted.

    async def inject_faults(self):
        while time.monotonic() < self.end:
            fault = self.random.choice([self.disturb_proxy, self.disturb_proxy, self.kill, self.pause, self.stop,
                                        self.store_down, self.lose_appends, self.crash_engine, self.drain_engine,
                                        self.change_state, self.disturb_engine, self.signal_series,
                                        self.change_series, self.announce_leaving])
            self.count(fault.__name__)
            await fault(self.random.uniform(0.3, 3))
            await asyncio.sleep(self.random.uniform(0, 0.5))

    async def disturb_proxy(self, seconds):
        proxy = self.random.choice(self.fleet.store_proxies + self.fleet.engine_proxies)
        how = self.random.choice(["silent", "one_way", "reset", "delay"])
        if how == "reset":
            proxy.reset()
            return
        proxy.mode, proxy.delay_s = ("pass", 0.2) if how == "delay" else (how, 0)
        await asyncio.sleep(seconds)
        proxy.mode, proxy.delay_s = "pass", 0
        if self.random.random() < 0.5:
            proxy.reset()  # Without a reset, connections that lost data stay stalled.

    @contextlib.contextmanager
    def reserve_host(self):
        """Reserves a host for a fault; None if only one is free, so that at least one
        host always runs."""
        free = [h for h in self.fleet.hosts if h.index not in self.faulty_hosts]
        host = self.random.choice(free) if len(free) > 1 else None
        if host is not None:
            self.faulty_hosts.add(host.index)
        try:
            yield host
        finally:
            if host is not None:
                self.faulty_hosts.discard(host.index)

    async def end_host(self, how, seconds):
        with self.reserve_host() as host:
            if host is not None:
                sh.check(host.process.returncode is None, f"host {host.index} ended without a fault")
                begun = time.monotonic()
                await host.end(how)
                if how == signal.SIGKILL:
                    self.hard_faults.append((host.index, begun, time.monotonic()))
                await asyncio.sleep(seconds / 3)
                await host.start()

    async def kill(self, seconds):
        await self.end_host(signal.SIGKILL, seconds)

    async def stop(self, seconds):
        await self.end_host(signal.SIGTERM, seconds)

    async def pause(self, seconds):
        with self.reserve_host() as host:
            if host is not None:
                begun = time.monotonic()
                host.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(seconds)
                host.process.send_signal(signal.SIGCONT)
                self.hard_faults.append((host.index, begun, time.monotonic()))

    async def signal_series(self, seconds):
        """Several signals to one host, and several restarts one after the other."""
        with self.reserve_host() as host:
            for _ in range(self.random.randrange(1, 4) if host is not None else 0):
                for _ in range(self.random.randrange(0, 3)):
                    host.process.send_signal(signal.SIGHUP)
                    await asyncio.sleep(self.random.uniform(0, 0.1))
                host.process.send_signal(signal.SIGTERM)
                await asyncio.sleep(self.random.uniform(0, 0.1))
                await host.end(self.random.choice([signal.SIGTERM, signal.SIGHUP]))
                await host.start()
                await asyncio.sleep(seconds / 3)

    async def change_series(self, seconds):
        for _ in range(self.random.randrange(2, 6)):
            await self.change_state(seconds)
            await asyncio.sleep(seconds / 6)

    async def announce_leaving(self, seconds):
        engine = self.random.choice(self.fleet.engines)
        engine.says_it_leaves = True
        await asyncio.sleep(seconds)
        engine.says_it_leaves = False
        engine.born += 1
        await engine.register("ready")

    async def store_down(self, seconds):
        self.fleet.store.is_down = True
        await asyncio.sleep(seconds)
        self.fleet.store.is_down = False

    async def lose_appends(self, seconds):
        self.fleet.store.lose_appends += self.random.randrange(1, 6)

    async def crash_engine(self, seconds):
        engine = self.random.choice(self.fleet.engines)
        await engine.crash()
        await asyncio.sleep(seconds)
        await engine.start()

    async def drain_engine(self, seconds):
        engine = self.random.choice(self.fleet.engines)
        await engine.register("draining")
        await asyncio.sleep(seconds)
        await engine.register("ready")

    async def disturb_engine(self, seconds):
        engine = self.random.choice(self.fleet.engines)
        fault, value = self.random.choice([
            ("cut_after", self.random.randrange(0, 4)), ("silent_after", self.random.randrange(0, 4)),
            ("drip_after", self.random.randrange(0, 4)), ("cut_plain", True), ("cut_head", True),
            ("is_unframed", True), ("flood", self.random.choice(["head", "interim", "plain", "event"]))])
        before = getattr(engine, fault)
        setattr(engine, fault, value)
        await asyncio.sleep(seconds)
        setattr(engine, fault, before)

    async def change_state(self, seconds):
        self.version = getattr(self, "version", 1) + self.random.randrange(1, 4)
        await self.fleet.store.put(sh.stand_in.STATE_TOPIC, "config", sh.state(self.version))

    # Checks.

    def check_servers(self):
        for engine in self.fleet.engines:
            for attempt, headers, path, _ in engine.seen:
                sh.check("x-key" not in headers, f"a server received the caller's key with {attempt}")
                sh.check(headers.get("x-tenant") == "alpha", f"a server received a wrong workspace with {attempt}")
        runs = {}
        for engine in self.fleet.engines:
            for attempt, *_ in engine.seen:
                runs[attempt] = runs.get(attempt, 0) + 1
        for attempt, (kind, status) in self.requests.items():
            if kind in ("once", "call/plain"):
                sh.check(runs.get(attempt, 0) <= 1, f"{attempt} ({kind}) ran {runs.get(attempt)} times")
                if status in REFUSALS:
                    sh.check(runs.get(attempt, 0) == 0, f"{attempt} ({kind}) was refused with {status} and ran")
        for index, sent, attempt in self.cut_requests:
            is_lost = any(host == index and sent < end + 1 and begin < sent + 10
                          for host, begin, end in self.hard_faults)
            sh.check(is_lost or attempt not in runs,
                     f"{attempt} ran, but host {index} closed its connection without an answer")
        for job, statuses in self.jobs.items():
            if all(s in REFUSALS for s in statuses):
                ran = [a for a in runs if a.startswith(job + "-")]
                sh.check(not ran, f"items of refused job {job} ran: {ran}")

    async def check_jobs(self):
        accepted = [job for job, statuses in self.jobs.items() if 202 in statuses]
        for job in accepted:
            for item, state, output in await self.fleet.all_results(job, JOB_ITEMS, RECOVERY_S):
                sh.check(state == "done", f"{item} ended as {state}, not as done")
                sh.check(output == sh.stand_in.whole_output(item), f"output of {item}: {output!r}")
        return len(accepted)

    async def run(self):
        tasks = [self.caller() for _ in range(6)] + [self.job_caller() for _ in range(2)]
        tasks += [self.keeping_caller() for _ in range(max(4, len(self.fleet.hosts)))]
        running = [asyncio.ensure_future(task) for task in (*tasks, *(self.inject_faults() for _ in range(3)))]
        try:
            await asyncio.gather(*running)
        finally:
            # A fault that goes on after a failure would start its host once more.
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)
        await self.fleet.settled(len(self.fleet.hosts))
        accepted = await self.check_jobs()
        self.check_servers()
        sh.check(accepted > 0 and any(status == 200 for _, status in self.requests.values()),
                 "no job was accepted, or no request succeeded")


async def run_seed(seed, seconds, hosts):
    async with SoakFleet(seed, hosts, 3) as fleet:
        soak = Soak(fleet, seed, seconds)
        await soak.run()
        print(f"seed {seed}: {len(soak.requests)} requests, {len(soak.jobs)} jobs, {json.dumps(soak.counts)}")


def main():
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--seed", type=int, default=1)
    options.add_argument("--seconds", type=float, default=15)
    options.add_argument("--hosts", type=int, default=4)
    options.add_argument("--fresh", type=int, default=0, help="run this many new random seeds")
    options.add_argument("--kept", action="store_true", help="run the seeds that have failed before")
    given = options.parse_args()
    seeds = [given.seed]
    if given.fresh:
        seeds = [random.SystemRandom().randrange(1 << 30) for _ in range(given.fresh)]
    if given.kept:
        seeds = list(KEPT_SEEDS)
    failed = []
    for seed in seeds:
        try:
            asyncio.run(run_seed(seed, given.seconds, given.hosts))
        except AssertionError as error:
            print(f"seed {seed} FAILED: {error}")
            failed.append(seed)
    print(f"{len(seeds) - len(failed)} passed, {len(failed)} failed")
    sys.exit(1 if failed else 0)


main()
