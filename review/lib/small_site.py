"""A small deployment on loopback for the cases of this review.

It starts the program of the deploy file on several hosts, before the project's
stand-in of the platform's store and of the model servers
(tests/fakes/site_stand_in.py), with the limits of the platform's pages that the
stand-in does not check. Ports and addresses are free ones, files are in a
temporary folder, and all processes are ended at the end."""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

sys.dont_write_bytecode = True
ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "fakes"))

import site_stand_in as stand_in  # noqa: E402

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110  # A case that takes longer could not run.
STARTED = []  # Processes that were started.
SERVICE, HOST_NAME, KEY, SPARE_KEY = "llm", "one.example", "key-of-alpha", "spare-of-alpha"
ZONES = {"ankara-a": "ic-anadolu", "konya-a": "ic-anadolu", "izmir-a": "ege"}
PARTS, RECORD_BYTES, CALL_BYTES, RETENTION_S = 12, 262144, 2097152, 300
JOB_TOPICS = 10  # Of the project: fleet_func.h, kJobTopics.


def command():
    """Returns the command of the role in the deploy file."""
    text = (ROOT / "deploy" / "system.toml").read_text()
    return re.search(r'^run = "([^"]+)"', text, re.MULTILINE).group(1).split()


def stable_hash(text):
    """text_func.cc, StableHash()."""
    mask, value = (1 << 64) - 1, 0xCBF29CE484222325
    for byte in text.encode():
        value = ((value ^ byte) * 0x100000001B3) & mask
    value ^= value >> 33
    value = (value * 0xFF51AFD7ED558CCD) & mask
    value ^= value >> 33
    return value


def partition_of(job):
    """Returns the number of a job's partition."""
    return stable_hash(job) % (JOB_TOPICS * PARTS)


def route(name, kind, **more):
    return {"name": name, "host": HOST_NAME, "pathPrefix": f"/{name}/", "kind": kind, "timeoutMs": 5000,
            "targetLatencyMs": 300, "gapAimMs": 300, "service": SERVICE, "maxAttempts": 2, "priority": 0,
            "public": False, "sticky": True, "resumable": False, **more}


def batch_route(name):
    return route(name, "batch", timeoutMs=15000, targetLatencyMs=500, completionTargetMs=18000, maxAttempts=3,
                 retentionS=60, priority=2)


def state(version=1, more_routes=(), tenants=()):
    """Returns a declared state like those of the small sites."""
    return {
        "version": version,
        "routes": [route("stream", "streaming", resumable=True), route("once", "streaming", maxAttempts=1),
                   route("read", "idempotent"), batch_route("job"), *more_routes],
        "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 170, "protocol": "h1",
                      "engine": {"slots": 8, "kvCacheTokens": 72000}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "alpha", "apiKeys": [KEY, SPARE_KEY], "ratePerS": 0, "burst": 0}, *tenants]}


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


class Store(stand_in.Store):
    """The project's stand-in, which also refuses what is larger than a record
    or a call may be (PROTOCOL.md, "The platform's metadata store")."""

    def __init__(self, record):
        super().__init__(PARTS)
        self.record = record

    async def log_append(self, query, body, writer):
        sizes, rest = [], body
        while rest:
            size = int.from_bytes(rest[:4], "big")
            sizes.append(size)
            rest = rest[4 + size:]
        if any(size > RECORD_BYTES for size in sizes) or sum(sizes) > CALL_BYTES:
            self.record(f"store: append of {sum(sizes)} bytes to {query['topic']}/{query['part']} answered 413")
            stand_in.answer(writer, 413)
            return
        await super().log_append(query, body, writer)

    def owner(self, partition):
        """Returns the member that owns a partition of batch jobs."""
        place = (f"jobs-{partition // PARTS}", partition % PARTS)
        for group in self.groups.values():
            if place in group["owners"]:
                return group["owners"][place]
        return None


class Host:
    """One process of the deployment."""

    def __init__(self, site, index):
        self.site, self.index = site, index
        self.ip = f"127.{site.net}.1.{index + 1}"
        self.zone = list(ZONES)[index % len(ZONES)]
        self.store_address = f"{site.store_ip}:{site.port['store']}"
        self.process = None
        self.log = site.folder / f"host-{index}.log"

    @property
    def name(self):
        return f"host-{self.index}"

    @property
    def member(self):
        return f"{self.ip}|{self.zone}|500"

    def settings(self):
        """The settings template of the deploy file, filled in."""
        port = self.site.port
        return {
            "host": self.name, "data_centre": self.zone, "region": ZONES[self.zone],
            "data_centres": [f"{zone}={region}" for zone, region in ZONES.items()],
            "front_address": f"{self.ip}:{port['front']}", "ready_address": f"{self.ip}:{port['ready']}",
            "directory_address": f"{self.ip}:{port['directory']}", "link_address": f"{self.ip}:{port['link']}",
            "metrics_address": f"{self.ip}:{port['metrics']}", "store_address": self.store_address,
            "peers": [f"{host.ip}:{port['link']}" for host in self.site.hosts[:3]],
            "secret": "dogwoodpass-link", "processor_share": 0.5, "partitions_per_topic": PARTS,
            "record_bytes": RECORD_BYTES, "append_bytes": CALL_BYTES, "drain_limit_s": 8, "result_keep_s": 120}

    async def start(self):
        path = self.site.folder / f"host-{self.index}.json"
        path.write_text(json.dumps(self.settings()))
        program, *arguments = command()
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(ROOT / program), *arguments, stdout=log, stderr=log, cwd=ROOT,
                env={"PATH": os.environ["PATH"], "DOGWOODPASS_SETTINGS": str(path)})
        STARTED.append(self.process)
        self.site.record(f"{self.name} started")

    async def end(self, how=signal.SIGKILL):
        if self.process is not None and self.process.returncode is None:
            self.site.record(f"{self.name} gets {how.name}")
            self.process.send_signal(how)
            await self.process.wait()
            self.site.record(f"{self.name} has ended")

    async def metric(self, name):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            text = (await call(self.ip, self.site.port["metrics"], "GET", "/metrics", limit=2)).body.decode()
            for line in text.splitlines():
                if line.startswith(name + " "):
                    return float(line.split(" ")[1])
        return None

    async def is_ready(self):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return (await call(self.ip, self.site.port["ready"], "GET", "/api/ready", limit=1)).status == 200
        return False


class Answer:
    """An HTTP answer; `is_whole` is false if it was cut off."""

    def __init__(self, status, headers, body, is_whole):
        self.status, self.headers, self.body, self.is_whole = status, headers, body, is_whole

    def events(self):
        """Returns (id, data) of every complete event."""
        found = []
        for event in self.body.decode().split("\n\n")[:-1]:
            fields = dict(line.split(": ", 1) for line in event.split("\n") if ": " in line)
            found.append((int(fields.get("id", 0)), fields.get("data", "")))
        return found


async def read_answer(reader):
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


async def call(ip, port, method, path, body=b"", limit=20, **headers):
    """Sends one request on a new connection."""
    async def run():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
            lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            return await read_answer(reader)
        finally:
            writer.close()
    return await asyncio.wait_for(run(), limit)


def item(name, body=b"item", path="/job/x", tokens=300, **headers):
    """Returns an item of a batch job as a client sends it."""
    fields = {"X-Model": "m", "X-Token-Usage": "250,40", "X-Prompt-Prefix": "9c2e41:100,5d07b8:150"}
    fields.update({key.replace("_", "-"): value for key, value in headers.items()})
    return {"id": name, "path": path, "headers": fields, "body": base64.b64encode(body).decode(), "tokens": tokens}


class Site:
    """The hosts, servers and store of one case."""

    def __init__(self, record, hosts=3, engines=3, engine_class=stand_in.Engine, slots=8, first_state=None):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.first_state = first_state or state()
        self.net, self.port = self.free_addresses(hosts, engines)
        self.store_ip = f"127.{self.net}.0.1"
        self.store = Store(record)
        self.engines = [engine_class(self.store, f"i-{i}", SERVICE, f"127.{self.net}.2.{i + 1}", self.port["engine"],
                                     list(ZONES)[i % len(ZONES)], slots) for i in range(engines)]
        self.hosts = [Host(self, i) for i in range(hosts)]

    @staticmethod
    def free_addresses(hosts, engines):
        """Returns the second byte of the addresses and the ports, all free now."""
        names = ("front", "ready", "directory", "link", "metrics", "store", "engine")
        for _ in range(100):
            net, first = random.randint(2, 250), random.randint(10000, 28000)
            port = {name: first + i for i, name in enumerate(names)}
            ips = [f"127.{net}.1.{i + 1}" for i in range(hosts)] + [f"127.{net}.2.{i + 1}" for i in range(engines)]
            try:
                for ip in [*ips, f"127.{net}.0.1"]:
                    for number in port.values():
                        with socket.socket() as probe:
                            probe.bind((ip, number))
                return net, port
            except OSError:
                continue
        raise OSError("no free addresses")

    async def __aenter__(self):
        await self.store.http.start(self.store_ip, self.port["store"])
        await self.put_state(self.first_state)
        for engine in self.engines:
            await engine.start()
        try:
            for host in self.hosts:
                await host.start()
            await self.settled(self.hosts)
        except BaseException:
            await self.__aexit__(None, None, None)
            raise
        return self

    async def __aexit__(self, kind, error, trace):
        for host in self.hosts:
            await host.end()
        for engine in self.engines:
            await engine.http.stop()
        await self.store.http.stop()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def put_state(self, declared):
        await self.store.put(stand_in.STATE_TOPIC, "config", declared)
        self.record(f"operator: version {declared['version']} of the desired state is confirmed")

    async def settled(self, hosts, limit=20):
        """Waits until the hosts are ready, know each other and have a dispatcher."""
        end = time.monotonic() + limit
        for host in hosts:
            while not (await host.is_ready() and await host.metric("dogwood_members") == len(hosts)
                       and await host.metric("dogwood_has_dispatcher") == 1):
                if time.monotonic() > end:
                    raise RuntimeError(f"{host.name} is not ready")
                await asyncio.sleep(0.1)
        self.record("all hosts are ready")

    def host_of(self, member):
        return next(host for host in self.hosts if host.member == member)

    async def ask(self, host, path, attempt, key=KEY, body=b"hello", **headers):
        return await call(host.ip, self.port["front"], "POST", path, body, Host=HOST_NAME, X_Attempt_Id=attempt,
                          X_Deadline_Ms=5000, X_Key=key, X_Model="m", X_Token_Usage="250,40", **headers)

    async def submit(self, host, job, items, path=None, key=KEY):
        """Submits a batch job once; returns the status, None for a broken channel."""
        body = json.dumps({"items": items}).encode()
        self.record(f"client: submits job {job} ({len(items)} items, body of {len(body)} bytes) at {host.name}")
        status = None
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            answer = await call(host.ip, self.port["front"], "POST", path or f"/job/{job}", body, 5.5,
                                Host=HOST_NAME, X_Attempt_Id=job, X_Key=key, Content_Type="application/json")
            status = answer.status
        self.record(f"client: job {job} answered {status}")
        return status

    async def submit_until_accepted(self, hosts, job, items, path=None):
        """Submits a job at one host after another; returns whether it was accepted."""
        for host in hosts:
            if await self.submit(host, job, items, path) == 202:
                return True
            await asyncio.sleep(0.3)
        return False

    async def results(self, host, job, after=0):
        """Reads the results of a job; None unless the answer is 200."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            answer = await call(host.ip, self.port["front"], "GET", f"/api/lots/{job}?after={after}", b"", 4,
                                Host=HOST_NAME, X_Key=KEY, X_Wait_Ms=1000)
            if answer.status != 200:
                self.record(f"client: read of job {job} at {host.name} answered {answer.status}")
                return None
            return json.loads(answer.body)["results"]
        return None

    async def follow(self, job, count, until):
        """Reads a job twice a second, at all hosts in turn, until all results are
        there or the time `until` has come. Returns the results."""
        found, turn = [], 0
        while len(found) < count and time.monotonic() < until:
            host = self.hosts[turn % len(self.hosts)]
            turn += 1
            more = await self.results(host, job, len(found))
            for result in more or ():
                found.append(result)
                self.record(f"client: job {job} position {len(found) - 1}: item {result['id']} {result['state']}")
            if not more:
                await asyncio.sleep(0.5)
        self.record(f"client: job {job}: {len(found)} of {count} items are listed")
        return found

    def runs(self, attempt):
        """Returns how many times servers began to run a request."""
        return sum(seen[0] == attempt for engine in self.engines for seen in engine.seen)

    def record_runs(self):
        for engine in self.engines:
            for attempt, headers, path, _ in engine.seen:
                self.record(f"server {engine.name} ran {attempt} {path} for tenant {headers.get('x-tenant')}")


def watch():
    """Ends the case and its processes if it doesn't end by itself."""
    def end(*_):
        for process in STARTED:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(process.pid, signal.SIGKILL)
        os._exit(CANNOT_RUN)
    signal.signal(signal.SIGALRM, end)
    signal.alarm(LIMIT_S + 5)


def run(case, folder):
    """Runs a case: an async function that gets the record and returns the list of
    what broke the rule. Exits with 0 if there was nothing, 1 if the rule was
    broken, 2 if the case could not run."""
    record = Record(pathlib.Path(folder))
    record(f"TROUBLE={int(TROUBLE)}")
    watch()
    try:
        broken = asyncio.run(asyncio.wait_for(case(record), LIMIT_S))
    except Exception as error:  # Whatever happens here, the case did not run.
        record(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(CANNOT_RUN)
    for line in broken:
        record(f"BROKEN: {line}")
        print(f"BROKEN: {line}")
    record("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)
