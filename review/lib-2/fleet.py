"""Hosts of a small deployment on loopback addresses, for the scripts of this
review. They run as the deploy file says, before the project's own stand-in for
the store and the model servers (tests/fakes/site_stand_in.py)."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time

sys.dont_write_bytecode = True
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tests"))
sys.path.insert(0, str(ROOT / "tests" / "fakes"))

import site_helper as sh  # noqa: E402
import site_stand_in as stand_in  # noqa: E402

PROGRAM = ROOT / "target" / "dogwood_hostd"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 110


class NotRun(Exception):
    """The case could not run, which says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file, self.begun = open(path, "w", encoding="utf-8"), time.monotonic()

    def __call__(self, text, at=None):
        at = time.monotonic() if at is None else at
        self.file.write(f"{at - self.begun:9.3f} s  {text}\n")
        self.file.flush()


def choose_net():
    """Returns the second byte of loopback addresses whose ports are free."""
    ports = [sh.FRONT, sh.READY, sh.DIRECTORY, sh.LINK, sh.METRICS]
    for net in random.sample(range(120, 250), 60):
        try:
            for ip, port in [(f"127.{net}.1.1", p) for p in ports] + [
                    (f"127.{net}.0.1", sh.STORE), (f"127.{net}.2.1", sh.ENGINE)]:
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return net
        except OSError:
            continue
    raise NotRun("no free addresses")


class Host(sh.Host):
    """One process, started by the command of the deploy file with the fields of
    deploy/settings.json."""

    def settings(self):
        return {
            "host": f"host-{self.index}", "data_centre": self.zone, "region": sh.ZONES[self.zone],
            "data_centres": [f"{zone}={region}" for zone, region in sh.ZONES.items()],
            "contracts": ["base", "drain", "config", "cost", "recover", "batch", "stream", "engine", "tenants",
                          "quota", "platform"],
            "front_address": f"{self.ip}:{sh.FRONT}", "ready_address": f"{self.ip}:{sh.READY}",
            "directory_address": f"{self.ip}:{sh.DIRECTORY}", "link_address": f"{self.ip}:{sh.LINK}",
            "metrics_address": f"{self.ip}:{sh.METRICS}", "store_address": self.fleet.store_address(self),
            "peers": [f"{other.ip}:{sh.LINK}" for other in self.fleet.hosts[:3]],
            "secret": "dogwoodpass-link", "processor_share": 0.5, "partitions_per_topic": 12,
            "record_bytes": 262144, "append_bytes": 2097152, "drain_limit_s": 8, "result_keep_s": 120}

    async def start(self, output=None):
        path = self.fleet.directory / f"host-{self.index}.json"
        path.write_text(json.dumps(self.settings()))
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(PROGRAM), stdout=log, stderr=log, cwd=ROOT,
                env={"PATH": os.environ.get("PATH", ""), "DOGWOODPASS_SETTINGS": str(path)})


class Fleet(sh.Fleet):
    """A fleet whose files are in a temporary folder."""

    def __init__(self, hosts=3, engines=2, engine=stand_in.Engine, store=None, declared=None):
        self.net, self.settings, self.names = choose_net(), {}, 0
        self.temporary = tempfile.TemporaryDirectory(prefix="dogwood-review-")
        self.directory = pathlib.Path(self.temporary.name)
        self.store_ip = f"127.{self.net}.0.1"
        self.store = store or stand_in.Store()
        self.declared = declared or sh.state()
        self.engines = [
            engine(self.store, f"e{i}", sh.SERVICE, f"127.{self.net}.2.{i + 1}", sh.ENGINE,
                   list(sh.ZONES)[i % len(sh.ZONES)]) for i in range(engines)]
        self.hosts = [Host(self, i) for i in range(hosts)]

    def first_state(self):
        return self.declared

    def logs(self):
        return "\n".join(f"-- {host.log_path.name}\n{host.log_path.read_text(errors='replace')}"
                         for host in self.hosts if host.log_path.exists())


class Proxy:
    """Passes connections on. A connection that is open while the proxy is cut is
    silent from then on, in each direction from the first byte that was lost."""

    def __init__(self, ip, port, target):
        self.ip, self.port, self.target, self.is_cut, self.tasks = ip, port, target, False, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    async def serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        self.tasks |= {asyncio.ensure_future(self.pump(reader, far_writer)),
                       asyncio.ensure_future(self.pump(far_reader, writer))}

    async def pump(self, reader, writer):
        has_lost = False
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                has_lost = has_lost or self.is_cut
                if not has_lost:
                    writer.write(data)
                    await writer.drain()
        writer.close()


async def guarded(case, folder):
    record = Record(folder / "record.txt")
    try:
        return await asyncio.wait_for(case(record), LIMIT_S)
    except (NotRun, AssertionError, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        record(f"the case could not run: {type(error).__name__} {error}")
        print(f"not run: {type(error).__name__} {error}")
        return NOT_RUN


def run(case, folder):
    """Runs a case and exits with its result. A signal ends the hosts too."""
    if not PROGRAM.exists():
        print(f"{PROGRAM} has not been built")
        sys.exit(NOT_RUN)
    loop = asyncio.new_event_loop()
    task = loop.create_task(guarded(case, pathlib.Path(folder)))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        result = loop.run_until_complete(task)
    except asyncio.CancelledError:
        result = NOT_RUN
    rest = asyncio.all_tasks(loop)
    for left in rest:
        left.cancel()
    loop.run_until_complete(asyncio.gather(*rest, return_exceptions=True))
    print({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case did not run"}[result])
    sys.exit(result)
