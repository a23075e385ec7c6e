"""Runs a fleet of hostd processes on loopback against the stand-in of the
users' platform, and provides the callers of the tests. Each host has its own
address, as on the platform; all traffic stays within 127.0.0.0/8."""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import signal
import sys
import time

sys.dont_write_bytecode = True
ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "fakes"))

import site_stand_in as stand_in  # noqa: E402

BUILD = pathlib.Path(os.environ.get("DOGWOOD_BUILD", ROOT / "build"))
# Second byte of the addresses; runs at the same time on one machine need different ones.
NET = int(os.environ.get("DOGWOOD_TEST_NET", "77"))
SERVICE, HOST_NAME, KEY = "llm", "one.example", "key-of-alpha"
ZONES = {"east-a": "east", "east-b": "east", "west-a": "west"}
FRONT, READY, DIRECTORY, LINK, METRICS, STORE, ENGINE = 7001, 7002, 7003, 7004, 7005, 7101, 7201
START_LIMIT_S = 20
# Once a result has been read, every host must return it (RULES.md, LOST,
# settleMs). The limit here is twice settleMs, because reads are slow in these
# tests.
SETTLE_S = 2


def check(condition, message):
    """Fails the test with `message` if `condition` is false."""
    if not condition:
        raise AssertionError(message)


def state(version=1, **changes):
    """Returns a declared state with one route of each kind."""
    def route(name, kind, **more):
        return {"name": name, "host": HOST_NAME, "pathPrefix": f"/{name}/", "kind": kind,
                "timeoutMs": 8000, "targetLatencyMs": 1000, "gapAimMs": 500, "service": SERVICE,
                "maxAttempts": 3, "priority": 0, **more}
    declared = {
        "version": version,
        "routes": [route("stream", "streaming", resumable=True),
                   route("once", "streaming", resumable=False, maxAttempts=1),
                   route("call", "non_idempotent", maxAttempts=1),
                   route("read", "idempotent"),
                   route("open", "idempotent", public=True),
                   route("job", "batch", completionTargetMs=30000, retentionS=60)],
        "services": [{"name": SERVICE, "maxConns": 100, "engine": {"slots": 8}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "alpha", "apiKeys": [KEY, "spare"], "ratePerS": 0, "burst": 0},
                    {"name": "beta", "apiKeys": ["key-of-beta"], "ratePerS": 10, "burst": 10}]}
    declared.update(changes)
    return declared


class Host:
    """One hostd process."""

    def __init__(self, fleet, index):
        self.fleet, self.index = fleet, index
        self.ip = f"127.{fleet.net}.1.{index + 1}"
        self.zone = list(ZONES)[index % len(ZONES)]
        self.process = None
        self.log_path = fleet.directory / f"host-{index}.log"

    @property
    def member(self):
        return f"{self.ip}|{self.zone}|500"

    def settings(self):
        return {
            "host": f"host-{self.index}", "data_centre": self.zone, "region": ZONES[self.zone],
            "data_centres": [f"{zone}={region}" for zone, region in ZONES.items()],
            "front_address": f"{self.ip}:{FRONT}", "ready_address": f"{self.ip}:{READY}",
            "directory_address": f"{self.ip}:{DIRECTORY}", "link_address": f"{self.ip}:{LINK}",
            "metrics_address": f"{self.ip}:{METRICS}", "store_address": self.fleet.store_address(self),
            "peers": [f"{other.ip}:{LINK}" for other in self.fleet.hosts[:3]],
            "secret": "test", "processor_share": 0.5, "drain_limit_s": 6, **self.fleet.more_settings}

    async def start(self, output=None):
        """Starts the process. Its lines go to the log file, or to the descriptor `output`."""
        path = self.fleet.directory / f"host-{self.index}.json"
        path.write_text(json.dumps(self.settings()))
        with open(self.log_path, "ab") as log:
            log = log if output is None else output
            self.process = await asyncio.create_subprocess_exec(
                str(BUILD / "dogwood_hostd"), "--settings", str(path), stdout=log, stderr=log)

    async def end(self, how=signal.SIGKILL):
        """Sends a signal to the process that start() created, and waits for its exit."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(how)
            await self.process.wait()

    async def metric(self, name):
        """Returns the value of a metric; None if the host does not tell it."""
        text = (await call(self.ip, METRICS, "GET", "/metrics", limit=2)).body.decode()
        values = [line.split(" ")[1] for line in text.splitlines() if line.startswith(name + " ")]
        return float(values[0]) if values else None

    async def is_ready(self):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return (await call(self.ip, READY, "GET", "/api/ready", limit=1)).status == 200
        return False


class Answer:
    """An HTTP answer; `is_whole` is false if it was cut off."""

    def __init__(self, status, headers, body, is_whole):
        self.status, self.headers, self.body, self.is_whole = status, headers, body, is_whole

    def __repr__(self):
        return f"{self.status} whole={self.is_whole} {self.body[:80]!r}"

    def json(self):
        return json.loads(self.body)

    def events(self):
        """Returns (id, data) of every complete event."""
        found = []
        for event in self.body.decode().split("\n\n")[:-1]:
            fields = dict(line.split(": ", 1) for line in event.split("\n") if ": " in line)
            check("id" in fields, f"event without a number: {event!r}")
            found.append((int(fields["id"]), fields["data"]))
        return found


async def read_answer(reader):
    """Reads an answer; one that is cut off has is_whole=False."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split(" ")[1])
    headers = {k.lower(): v.strip() for k, v in (line.split(":", 1) for line in head[1:] if ":" in line)}
    body = b""
    try:
        if headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    return Answer(status, headers, body, True)
                body += chunk[:-2]
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return Answer(status, headers, body, True)
    except (asyncio.IncompleteReadError, OSError):
        return Answer(status, headers, body, False)


async def send(reader, writer, method, path, body=b"", **headers):
    """Sends one request on an open connection and reads its answer."""
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    await writer.drain()
    return await read_answer(reader)


async def call(ip, port, method, path, body=b"", limit=20, **headers):
    """Sends one request on a new connection."""
    async def run():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            return await send(reader, writer, method, path, body, **headers)
        finally:
            writer.close()
    return await asyncio.wait_for(run(), limit)


def key_field(key):
    """Returns the field with a caller's key; none if it has no key."""
    return {} if key is None else {"X_Key": key}


class Fleet:
    """Fixture with the hosts, servers and store of one test."""

    def __init__(self, name, hosts=3, engines=2, net=NET, **more_settings):
        self.net = net
        self.more_settings = more_settings  # Of each host.
        self.directory = ROOT / "out" / "site" / name
        self.directory.mkdir(parents=True, exist_ok=True)
        for old in self.directory.glob("*"):
            old.unlink()
        self.store_ip = f"127.{net}.0.1"
        self.store = stand_in.Store()
        self.engines = [
            stand_in.Engine(self.store, f"e{i}", SERVICE, f"127.{net}.2.{i + 1}", ENGINE,
                            list(ZONES)[i % len(ZONES)]) for i in range(engines)]
        self.hosts = [Host(self, i) for i in range(hosts)]
        self.names = 0

    def store_address(self, host):
        return f"{self.store_ip}:{STORE}"

    async def __aenter__(self):
        await self.store.http.start(self.store_ip, STORE)
        await self.store.put(stand_in.STATE_TOPIC, "config", state())
        for engine in self.engines:
            await engine.start()
        for host in self.hosts:
            await host.start()
        try:
            await self.settled(len(self.hosts))
        except AssertionError:
            await self.__aexit__(AssertionError, None, None)
            raise
        return self

    async def __aexit__(self, kind, error, trace):
        for host in self.hosts:
            await host.end()
        for host in self.hosts if kind is not None else ():
            print(f"-- {host.log_path.name}")
            print("\n".join(host.log_path.read_text(errors="replace").splitlines()[-15:]))
        for engine in self.engines:
            for task in engine.tasks:  # Crashed engines would start again.
                task.cancel()
            await engine.http.stop()
        await self.store.http.stop()

    async def settled(self, count):
        """Waits until `count` hosts are ready and see `count` members."""
        async def members():
            texts = [(await call(host.ip, METRICS, "GET", "/metrics", limit=2)).body.decode()
                     for host in self.hosts if host.process.returncode is None]
            return all(f"dogwood_members {count}\n" in text for text in texts)
        for host in self.hosts[:count]:
            check(host.process.returncode is None, f"{host.log_path.name}: the process has ended by itself")
            await until(host.is_ready, f"{host.log_path.name} is ready")
        await until(members, f"{count} members")

    def new_id(self, prefix="r"):
        self.names += 1
        return f"{prefix}{self.names:06d}"

    async def ask(self, host, route, attempt=None, key=KEY, body=b"hello", **headers):
        """Sends one request to a route through one host."""
        attempt = attempt or self.new_id()
        fields = {"Host": HOST_NAME, "X_Attempt_Id": attempt, "X_Deadline_Ms": 8000, **headers, **key_field(key)}
        return await call(host.ip, FRONT, "POST", f"/{route}/x", body, **fields)

    async def ask_plain(self, route, body):
        """Sends a request whose answer is no stream through the first host.
        Returns its id and the answer."""
        attempt = self.new_id()
        answer = await call(self.hosts[0].ip, FRONT, "POST", f"/{route}/plain", body, Host=HOST_NAME,
                            X_Attempt_Id=attempt, X_Deadline_Ms=8000, X_Key=KEY)
        return attempt, answer

    async def submit(self, host, job, items, kinds=(), key=KEY, route="job", body=b"item", **headers):
        """Submits a job of `items` items with the same body; `kinds` holds the
        paths of the first ones, such as "poison", and `headers` those of all
        items."""
        listed = []
        for i in range(items):
            path = kinds[i] if i < len(kinds) else "x"
            listed.append({"id": f"{job}-{i}", "path": f"/{route}/{path}",
                           "headers": {"X-Model": "m", **{k.replace("_", "-"): v for k, v in headers.items()}},
                           "body": base64.b64encode(body).decode(), "tokens": 10})
        return await call(host.ip, FRONT, "POST", f"/{route}/{job}", json.dumps({"items": listed}).encode(),
                          Host=HOST_NAME, X_Attempt_Id=job, **key_field(key))

    async def results(self, host, job, after=0, key=KEY):
        return await call(host.ip, FRONT, "GET", f"/api/lots/{job}?after={after}", Host=HOST_NAME,
                          X_Wait_Ms=200, **key_field(key))

    async def item_body(self, host, job, item, key=KEY):
        return await call(host.ip, FRONT, "GET", f"/api/items/{job}?id={item}", Host=HOST_NAME, **key_field(key))

    async def end_job(self, host, job, key=KEY):
        return await call(host.ip, FRONT, "DELETE", f"/api/lots/{job}", Host=HOST_NAME, **key_field(key))

    async def all_results(self, job, total, limit=40, hosts=None):
        """Polls the results until every item is listed; refused reads are retried."""
        end = time.monotonic() + limit
        found, read_at = [], []
        while time.monotonic() < end:
            for host in hosts or self.hosts:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                    sent_at = time.monotonic()
                    answer = await self.results(host, job)
                    check(answer.status in (200, 503), f"read of job {job}: {answer}")
                    if answer.status == 200:
                        now = [(r["id"], r["state"], r["output"]) for r in answer.json()["results"]]
                        both = min(len(now), len(found))
                        check(now[:both] == found[:both], f"positions of job {job} changed")
                        settled = sum(t < sent_at - SETTLE_S for t in read_at)
                        check(len(now) >= settled, f"job {job}: {settled} results had been read, {len(now)} came")
                        read_at += [time.monotonic()] * (len(now) - both)
                        found = now if len(now) > len(found) else found
                if len(found) == total:
                    return found
            await asyncio.sleep(0.1)
        raise AssertionError(f"job {job}: {len(found)} of {total} items listed in {limit} s")

    def runs(self, attempt):
        """Returns how many times servers started to run a request."""
        return sum(seen[0] == attempt for engine in self.engines for seen in engine.seen)


def assign_all(fleet, member):
    """Assigns every partition to one member, as the store may do at any time.
    From then on only the test moves partitions."""
    fleet.store.assign_partitions = lambda group, topics: None
    group = fleet.store.groups["dogwood-hosts"]
    group["owners"] = dict.fromkeys(group["owners"], member)
    group["generation"] += 1


def expected_events(attempt):
    """Returns (id, data) of every event of a request's stream."""
    return [(e, stand_in.event_data(attempt, e)) for e in range(1, stand_in.event_count(attempt) + 1)]


async def until(condition, what, limit=START_LIMIT_S):
    """Waits until an async condition is true."""
    end = time.monotonic() + limit
    while time.monotonic() < end:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            if await condition():
                return
        await asyncio.sleep(0.1)
    raise AssertionError(f"not within {limit} s: {what}")


def run(test):
    """Runs an async test; exits with 1 if it fails."""
    try:
        asyncio.run(test())
    except AssertionError as error:
        print(f"FAILED: {error}")
        sys.exit(1)
    print("passed")
