"""Fleet of hostd processes for the cases of review 3.

Starts `target/dogwood_hostd`, which the deploy file builds, on loopback
addresses with free ports and a temporary folder, before the project's stand-in
of the platform and the model servers (tests/fakes/site_stand_in.py).
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback

sys.dont_write_bytecode = True
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tests"))

import site_helper as sh  # noqa: E402

stand_in = sh.stand_in
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Longest time of a case, in seconds.
LIMIT_S = 110
STARTED = []  # All host processes of this case.


class CannotRun(Exception):
    """The case could not be set up as it claims."""


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} s  {text}\n")
        self.file.flush()


def free_net():
    """Returns a second byte of loopback addresses that nobody uses, and ports
    that are free on them."""
    for _ in range(50):
        net = random.randrange(2, 250)
        try:
            ports = []
            held = []
            for _ in range(7):
                probe = socket.socket()
                probe.bind((f"127.{net}.1.1", 0))
                held.append(probe)
                ports.append(probe.getsockname()[1])
            for probe in held:
                probe.close()
            for ip in [f"127.{net}.0.1"] + [f"127.{net}.{a}.{b}" for a in (1, 2, 3, 4) for b in range(1, 28)]:
                for port in ports:
                    with socket.socket() as probe:
                        probe.bind((ip, port))
            return net, ports
        except OSError:
            continue
    raise CannotRun("no free ports")


class Host(sh.Host):
    """One hostd process, started as the deploy file says."""

    def settings(self):
        return {**super().settings(), "drain_limit_s": 8, "result_keep_s": 120,
                "partitions_per_topic": 12, "record_bytes": 262144, "append_bytes": 2097152,
                "contracts": ["base", "drain", "config", "cost", "recover", "batch", "stream", "engine",
                              "tenants", "quota", "platform"], **self.fleet.settings}

    async def start(self, output=None):
        path = self.fleet.directory / f"host-{self.index}.json"
        path.write_text(json.dumps(self.settings()))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["DOGWOODPASS_SETTINGS"] = str(path)
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "target/dogwood_hostd", cwd=ROOT, env=environment, stdout=log, stderr=log)
        STARTED.append(self.process)


def stop(*_):
    """Ends the case, and with it the hosts, as an interrupt from the keyboard does."""
    raise KeyboardInterrupt


def run(folder, test):
    """Runs `test(record, directory)`, which returns why the rule was broken, or
    nothing if it held. Exits with 1, 0, or 2 if the case could not run."""
    folder = pathlib.Path(folder)
    record = Record(folder)
    record.line("with the disruption" if TROUBLE else "without the disruption")
    temporary = pathlib.Path(tempfile.mkdtemp(prefix="dogwood-review-"))
    code = 2
    signal.signal(signal.SIGTERM, stop)
    try:
        if not (ROOT / "target" / "dogwood_hostd").exists():
            raise CannotRun("target/dogwood_hostd has not been built")
        net, ports = free_net()
        (sh.FRONT, sh.READY, sh.DIRECTORY, sh.LINK, sh.METRICS, sh.STORE, sh.ENGINE) = ports
        sh.NET, sh.ROOT, sh.Host = net, temporary, Host
        sh.Fleet.__init__.__defaults__ = (*sh.Fleet.__init__.__defaults__[:2], net,
                                          *sh.Fleet.__init__.__defaults__[3:])
        broken = asyncio.run(asyncio.wait_for(test(record), LIMIT_S))
        record.line(f"RULE BROKEN: {broken}" if broken else "the rule held")
        print(f"broken: {broken}" if broken else "held")
        code = 1 if broken else 0
    except Exception as error:  # Whatever went wrong, the case proves nothing.
        record.line(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        traceback.print_exc()
    finally:
        for process in STARTED:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(process.pid, signal.SIGKILL)
        if os.environ.get("KEEP_LOGS"):
            print(temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(code)
