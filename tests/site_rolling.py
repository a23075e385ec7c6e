#!/usr/bin/python3
"""Guards against requests that planned work cuts off: hosts are stopped in turn
and started again, reload their settings, follow new declared states and see
servers replaced, while callers send streams on new and on kept connections.

    tests/site_rolling.py --seed 1 --seconds 30 --hosts 11 --engines 12
    tests/site_rolling.py --fresh 50 --busy 8   # new seeds, beside busy processes
"""

import argparse
import asyncio
import collections
import contextlib
import json
import multiprocessing
import os
import random
import signal
import sys
import time

import site_helper as sh

GRACE_S = 8  # A host that still runs this long after SIGTERM is killed.
LOST_UNTIL_S = GRACE_S + 1  # A stop is no reason to lose a request until then.
EXCUSED_SENT_S = 3  # Requests sent up to then after SIGTERM may be cut in the
EXCUSED_END_S = GRACE_S * 5 / 6  # last sixth of the grace, if their server works.
LOSS_SLACK_S = 0.2  # A request that crosses the close of its connection.
TIME_LIMIT_S = 5
CONNECT_LIMIT_S = 1
CONNECTION_ERRORS = (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError)
ROUTES = ("stream", "stream", "stream", "once")
Connection = collections.namedtuple("Connection", "reader writer")


class RecordingEngine(sh.stand_in.Engine):
    """Records when it worked on each request, and whether to its end."""

    def __init__(self, *given):
        super().__init__(*given)
        self.work = {}  # attempt -> [(begin, end, whether to its end)]

    async def run(self, attempt, *rest):
        begun, is_whole = time.monotonic(), False
        try:
            is_whole = await super().run(attempt, *rest)
            return is_whole
        finally:
            self.work.setdefault(attempt, []).append((begun, time.monotonic(), is_whole))


class RollingHost(sh.Host):
    def __init__(self, fleet, index):
        super().__init__(fleet, index)
        self.stops = []  # Times of SIGTERM.

    def settings(self):
        return {**super().settings(), "drain_limit_s": GRACE_S}


class RollingFleet(sh.Fleet):
    def __init__(self, seed, hosts, engines, rng):
        # Seeds that run in parallel use separate networks.
        net = int(os.environ.get("DOGWOOD_TEST_NET", 80 + seed % 100))
        super().__init__(f"rolling-{seed}", 0, 0, net=net)
        self.hosts = [RollingHost(self, i) for i in range(hosts)]
        self.engines = [
            RecordingEngine(self.store, f"e{i}", sh.SERVICE, f"127.{self.net}.2.{i + 1}", sh.ENGINE,
                            list(sh.ZONES)[i % len(sh.ZONES)]) for i in range(engines)]
        for engine in self.engines:
            engine.gap_s = rng.uniform(0.02, 0.2)  # Streams of 0.1 s to 4.8 s.
            engine.slots = 8


class Request:
    """What its caller saw of one request."""

    def __init__(self, attempt, route, host, is_kept):
        self.attempt, self.route, self.host, self.is_kept = attempt, route, host, is_kept
        self.sent = self.ended = self.answer = None
        self.is_written = False


class Caller:
    """A client that keeps addresses and connections."""

    def __init__(self, run, zone, keeps_times):
        self.run, self.zone, self.keeps_times = run, zone, keeps_times
        self.random = random.Random(run.random.random())
        self.addresses, self.valid_until = [], 0
        self.idle = collections.defaultdict(list)  # ip -> connections

    async def resolve(self):
        if time.monotonic() < self.valid_until:
            return
        for host in self.random.sample(self.run.fleet.hosts, min(3, len(self.run.fleet.hosts))):
            with contextlib.suppress(*CONNECTION_ERRORS):
                answer = await sh.call(host.ip, sh.DIRECTORY, "GET", f"/api/resolve?name={sh.HOST_NAME}"
                                       f"&region={sh.ZONES[self.zone]}&zone={self.zone}", limit=1)
                if answer.status == 200:
                    found = json.loads(answer.body)
                    self.addresses = [address.split(":")[0] for address in found["addresses"]]
                    self.valid_until = time.monotonic() + found["ttlS"] * self.keeps_times
                    return

    async def connect(self, avoided):
        """Returns an open connection, its host and whether it was used before."""
        await self.resolve()
        choices = [ip for ip in self.addresses if ip not in avoided] or self.addresses
        if not choices:
            return None
        ip = self.random.choice(choices)
        host = next(h for h in self.run.fleet.hosts if h.ip == ip)
        while self.idle[ip] and not avoided:
            connection = self.idle[ip].pop()
            if not connection.reader.at_eof():
                return connection, host, True
            connection.writer.close()
        with contextlib.suppress(*CONNECTION_ERRORS):
            opened = await asyncio.wait_for(asyncio.open_connection(ip, sh.FRONT), CONNECT_LIMIT_S)
            return Connection(*opened), host, False
        return None

    async def send(self, avoided=()):
        """Sends one request, and once more elsewhere after a refusal."""
        found = await self.connect(avoided)
        if found is None:
            self.run.counts["no connection"] += 1
            self.valid_until = 0
            return
        connection, host, is_kept = found
        request = Request(self.run.fleet.new_id(), self.random.choice(ROUTES), host, is_kept)
        self.run.requests.append(request)
        is_reusable = False
        try:
            await self.write(connection.writer, request)
            request.answer = await asyncio.wait_for(sh.read_answer(connection.reader), TIME_LIMIT_S + 1)
            is_reusable = (request.answer.is_whole and
                           request.answer.headers.get("connection", "").lower() != "close")
        except CONNECTION_ERRORS:
            pass
        request.ended = time.monotonic()
        if is_reusable:
            self.idle[host.ip].append(connection)
        else:
            connection.writer.close()
        is_refused = request.answer is None or request.answer.status in (503, 429)
        if is_refused and not avoided:
            await self.send((host.ip,))

    async def write(self, writer, request):
        body = b"x" * self.random.choice([5, 1500, 20000])
        is_chunked = self.random.random() < 0.3
        length = "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {len(body)}"
        head = (f"POST /{request.route}/x HTTP/1.1\r\nHost: {sh.HOST_NAME}\r\nX-Attempt-Id: {request.attempt}\r\n"
                f"X-Deadline-Ms: {TIME_LIMIT_S * 1000}\r\nX-Key: {sh.KEY}\r\n{length}\r\n\r\n").encode()
        request.sent = time.monotonic()
        writer.write(head)
        if is_chunked:
            half = len(body) // 2
            for part in (body[:half], body[half:]):
                writer.write(f"{len(part):x}\r\n".encode() + part + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        else:
            writer.write(body)
        await writer.drain()
        request.sent, request.is_written = time.monotonic(), True


class Run:
    def __init__(self, fleet, given, rng):
        self.fleet, self.given, self.random = fleet, given, rng
        self.requests, self.counts, self.tasks = [], collections.Counter(), set()
        self.end = time.monotonic() + given.seconds
        self.version = 1

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def traffic(self):
        callers = [Caller(self, self.random.choice(list(sh.ZONES)), self.random.choice([1, 1, 3])) for _ in range(24)]
        while time.monotonic() < self.end:
            burst = 1.9 if int(time.monotonic() / 3) % 2 else 0.4
            self.spawn(self.random.choice(callers).send())
            await asyncio.sleep(self.random.expovariate(self.given.rate * burst))
        while self.tasks:
            await asyncio.wait(list(self.tasks))

    async def stop_in_turn(self, hosts):
        for host in hosts:
            if time.monotonic() > self.end - 1:
                return
            host.stops.append(time.monotonic())
            host.process.send_signal(signal.SIGTERM)
            self.counts["stops"] += 1
            if self.random.random() < 0.3:
                await asyncio.sleep(self.random.uniform(0, 1))
                with contextlib.suppress(ProcessLookupError):
                    host.process.send_signal(self.random.choice([signal.SIGTERM, signal.SIGHUP]))
            try:
                await asyncio.wait_for(host.process.wait(), host.stops[-1] + GRACE_S - time.monotonic())
            except asyncio.TimeoutError:
                self.counts["killed at the end of the grace"] += 1
                await host.end()
            self.counts["longest stop"] = max(self.counts["longest stop"], round(time.monotonic() - host.stops[-1], 2))
            await asyncio.sleep(self.random.uniform(0, 0.3))
            await host.start()
            await asyncio.sleep(self.random.uniform(0.5, 2))

    async def change_states(self):
        while time.monotonic() < self.end:
            await asyncio.sleep(self.random.uniform(0.5, 4))
            self.version += self.random.randrange(1, 4)
            declared = sh.state(self.version)
            for route in declared["routes"]:
                route["timeoutMs"] = self.random.choice([5000, 6000, 8000])
            await self.fleet.store.put(sh.stand_in.STATE_TOPIC, "config", declared)

    async def reload(self):
        while time.monotonic() < self.end:
            await asyncio.sleep(self.random.uniform(0.5, 3))
            host = self.random.choice(self.fleet.hosts)
            if await host.is_ready():
                host.process.send_signal(signal.SIGHUP)

    async def replace_servers(self):
        while time.monotonic() < self.end:
            await asyncio.sleep(self.random.uniform(1, 4))
            engine = self.random.choice(self.fleet.engines)
            await engine.register("draining")
            await asyncio.sleep(2.5)
            while engine.running > 0:
                await asyncio.sleep(0.1)
            await engine.crash()
            await asyncio.sleep(self.random.uniform(0, 1))
            engine.born += 1
            await engine.start()

    async def silence_servers(self):
        """Sound servers fall silent for a second or so and go on."""
        while time.monotonic() < self.end:
            await asyncio.sleep(self.random.uniform(0.2, 2))
            engine = self.random.choice(self.fleet.engines)
            engine.silent_after = 0
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
            engine.silent_after = None

    def check_request(self, request):
        """Returns what is wrong with the end of a request; None if nothing is."""
        self.counts[f"{request.answer.status if request.answer else None}"
                    f"{'' if request.answer and request.answer.is_whole else ' cut'}"] += 1
        if request.answer is not None and request.answer.is_whole:
            return None
        stops = [t for t in request.host.stops if t - TIME_LIMIT_S - 1 < request.sent < t + LOST_UNTIL_S and t < request.ended]
        work = [w for engine in self.fleet.engines for w in engine.work.get(request.attempt, [])]
        took = request.ended - request.sent if request.sent else 0
        if not request.is_written or took >= TIME_LIMIT_S - LOSS_SLACK_S / 2:
            self.counts["time limit reached"] += 1
            return None
        if not stops:
            return None if not work else f"{request.attempt} was cut without a stop of its host after {took:.2f} s"
        if not work and took <= LOSS_SLACK_S:
            self.counts["crossed the close"] += 1
            return None
        after = request.ended - stops[-1]
        if (request.sent <= stops[-1] + EXCUSED_SENT_S and after >= EXCUSED_END_S and
                any(end >= stops[-1] + EXCUSED_END_S for _, end, _ in work)):
            self.counts["excused"] += 1
            return None
        return (f"LOST: {request.attempt} ({request.route}, {'kept' if request.is_kept else 'new'} connection), "
                f"sent {request.sent - stops[-1]:.2f} s after SIGTERM to {request.host.log_path.stem}, ended after "
                f"{took:.2f} s: {request.answer}; at servers: "
                f"{[(round(b - request.sent, 2), round(e - request.sent, 2), w) for b, e, w in work]}")

    async def check(self):
        order = list(self.fleet.hosts)
        self.random.shuffle(order)
        half = len(order) // 2
        work = [self.stop_in_turn(order[:half] * 9)] + [self.stop_in_turn(order[half:] * 9)]
        work += [self.change_states(), self.reload(), self.replace_servers()]
        work += [self.silence_servers() for _ in range(2)]
        await asyncio.gather(self.traffic(), *work)
        broken = [text for text in map(self.check_request, self.requests) if text is not None]
        print(f"{len(self.requests)} requests, {dict(self.counts)}")
        sh.check(self.counts["200"] > 0, "no request was served")
        sh.check(not broken, "\n".join([f"{len(broken)} requests", *broken]))


async def run_seed(seed, given):
    rng = random.Random(seed)
    async with RollingFleet(seed, given.hosts, given.engines, rng) as fleet:
        await Run(fleet, given, rng).check()


def spin():
    while True:
        pass


def main():
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--seed", type=int, default=1)
    options.add_argument("--fresh", type=int, default=0, help="run this many new random seeds")
    options.add_argument("--seconds", type=float, default=30)
    options.add_argument("--hosts", type=int, default=11)
    options.add_argument("--engines", type=int, default=12)
    options.add_argument("--rate", type=float, default=50, help="requests per second")
    options.add_argument("--busy", type=int, default=0, help="busy processes beside the run")
    given = options.parse_args()
    seeds = [random.SystemRandom().randrange(1 << 30) for _ in range(given.fresh)] or [given.seed]
    busy = [multiprocessing.Process(target=spin, daemon=True) for _ in range(given.busy)]
    for process in busy:
        process.start()
    failed = []
    for seed in seeds:
        try:
            asyncio.run(run_seed(seed, given))
            print(f"seed {seed}: passed", flush=True)
        except AssertionError as error:
            print(f"seed {seed} FAILED: {error}", flush=True)
            failed.append(seed)
    for process in busy:
        process.terminate()
    print(f"{len(seeds) - len(failed)} passed, {len(failed)} failed")
    sys.exit(1 if failed else 0)


main()
