#!/usr/bin/python3
"""Guards against planned stops of daemons that cut off requests, break exactly-once
of batch items, or end by the signal instead of in order."""

import http.client
import itertools
import json
import os
import signal
import threading
import time

import failure_helper as fh

SETTINGS = {
    "dogwood_entryd": {"address_keep_ms": 2000, "drain_limit_ms": 30000},
    "dogwood_batchd": {"stop_limit_ms": 20000},
}
CALLERS = 6  # Of each kind.
# A request that crosses the end of the process may be lost unread.
CROSSING_S = 0.3
EXIT_LIMIT_S = 60


def await_exit(process):
    """Returns the exit status of a process, negative if a signal ended it, and
    the time of its exit."""
    end = time.monotonic() + EXIT_LIMIT_S
    while time.monotonic() < end:
        pid, status = os.waitpid(process.pid, os.WNOHANG)
        if pid == process.pid:
            return os.waitstatus_to_exitcode(status), time.monotonic()
        time.sleep(0.01)
    raise AssertionError(f"process {process.pid} still runs {EXIT_LIMIT_S} s after its signal")


class Caller:
    """Sends requests on one kept connection, one after the other, until the
    daemon refuses connections. Opens another when the daemon closes it. With
    `idle_s` it sends one request, waits so long, and sends another."""

    def __init__(self, running, host, kind, number, idle_s=None):
        self.running, self.host, self.kind, self.idle_s = running, host, kind, idle_s
        self.name = f"{kind} {host} {number}"
        self.cut = []  # (prompt or path, time sent, error)
        self.answered = 0
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self):
        address, port = self.running.entry(self.host).rsplit(":", 1)
        connection = http.client.HTTPConnection(address, int(port), timeout=40)
        for i in itertools.count() if self.idle_s is None else range(2):
            if i == 1 and self.idle_s is not None:
                time.sleep(self.idle_s)
            if connection.sock is None:
                try:
                    connection.connect()
                except ConnectionError:
                    return  # Nothing was sent.
            sent_at = time.monotonic()
            try:
                self._send(connection, f"{self.name} {i}")
                self.answered += 1
            except (OSError, http.client.HTTPException, AssertionError) as error:
                self.cut.append((f"{self.name} {i}", sent_at, repr(error)))
                connection.close()

    def _send(self, connection, name):
        headers = self.running.caller_headers("alpha", "main", Content_Type="application/json")
        if self.kind == "call":
            path = "/services/echo/" + name.replace(" ", "-")
            connection.request("POST", path, "{}", headers)
            response = connection.getresponse()
            body = response.read()
            is_right = response.status == 200 and json.loads(body)["path"].endswith(name.replace(" ", "-"))
        else:
            body = {"model": fh.MODEL, "prompt": name, "max_tokens": 5, "stream": self.kind == "stream"}
            connection.request("POST", "/v1/completions", json.dumps(body), headers)
            response = connection.getresponse()
            answer = fh.Answer()
            answer.status = response.status
            if self.kind == "stream" and response.status == 200:
                fh.read_stream(response, answer, None)
            else:
                fh.read_body(response, answer)
            is_right = answer.is_correct(name, 5)
        # A request that is refused as not run has its answer.
        is_refused = response.status in (429, 503) and response.getheader("Dogwood-Ran") == "no"
        fh.check(is_right or is_refused, f"status {response.status}, {body}")


def requests_that_ran(running):
    """Returns the names of all requests that reached an engine or the service."""
    names = set()
    for engine in running.engines():
        _, seen = fh.dc.request_json(engine["address"], "GET", "/requests", timeout=30)
        names |= {json.loads(r["body"]).get("prompt") for r in seen["requests"] if r["body"]}
    for service in running.services():
        _, seen = fh.dc.request_json(service["address"], "GET", "/calls", timeout=30)
        names |= {path.rsplit("/", 1)[-1].replace("-", " ") for path in seen["by_path"]}
    return names


def stop_entryd_under_load(running, host):
    """Stops the entry daemon of a host by several signals, under load."""
    streams = [fh.BackgroundStream(running, f"long {host} {i}", 600, host=host) for i in range(3)]
    for stream in streams:
        stream.wait_for_token()
    callers = [Caller(running, host, kind, i) for kind in ("plain", "stream", "call") for i in range(CALLERS)]
    callers += [Caller(running, host, ("plain", "stream", "call")[i % 3], f"kept {i}", 0.2 * (i + 3))
                for i in range(3 * CALLERS)]
    time.sleep(0.5)
    process = running.process(host, "dogwood_entryd")
    for pause, number in ((0.2, signal.SIGTERM), (0.5, signal.SIGTERM), (0.3, signal.SIGINT), (0, signal.SIGTERM)):
        process.signal(number)
        time.sleep(pause)
    status, ended_at = await_exit(process)
    for caller in callers:
        caller.thread.join(60)
        fh.check(not caller.thread.is_alive(), f"{caller.name} waits for an answer")
    fh.check(status == 0, f"entryd of host {host} ended with {status}")
    for stream in streams:
        answer = stream.finish()
        fh.check(answer.is_correct(stream.prompt, 600), f"a stream was cut off by a planned stop: {answer}")
    ran = requests_that_ran(running)
    cut = [(c, f"ran: {c[0] in ran}", f"sent {ended_at - c[1]:.3f} s before the end")
           for caller in callers for c in caller.cut if c[0] in ran or ended_at - c[1] > CROSSING_S]
    idle = [caller.name for caller in callers if caller.answered == 0]
    fh.check(not idle, f"callers without an answer: {idle}")
    answered = sum(caller.answered for caller in callers)
    crossed = sum(len(caller.cut) for caller in callers) - len(cut)
    print(f"host {host}: {answered} answered, {crossed} crossed the end unread")
    fh.check(not cut, f"{len(cut)} requests were cut off by a planned stop: {cut[:3]}")
    fh.check(answered >= 10 * len(callers), f"only {answered} answers")
    running.start_daemon(host, "dogwood_entryd")
    running.wait_ready()


def stop_batchd_in_turn(running):
    """Stops the batch daemons in turn while they run a job."""
    items = fh.completion_items(150, tokens=40, name="turn") + fh.service_items(60, name="turncall")
    job = fh.submit_until_accepted(running, items, "in turn", hosts=(0, 1, 2))
    fh.wait_for_progress(running, job)
    for host in range(3):
        process = running.process(host, "dogwood_batchd")
        process.signal(signal.SIGTERM)
        status, _ = await_exit(process)
        fh.check(status == 0, f"batchd of host {host} ended with {status}")
        running.start_daemon(host, "dogwood_batchd")
        time.sleep(1)
    fh.wait_for_job(running, job)
    fh.check_exactly_once(running, job, items)
    fh.check_calls_at_most_once(running, items)


def stop_while_starting(running, host, daemon):
    """A signal that comes while a daemon starts stops it in order. Its settings
    file is a FIFO, so that the test knows that main() has begun."""
    running.process(host, daemon).stop()
    path = running.directory / f"{running.hosts[host]['id']}-{daemon}.json"
    text = path.read_bytes()
    path.unlink()
    os.mkfifo(path, 0o600)
    running.start_daemon(host, daemon)
    process = running.process(host, daemon)
    with open(path, "wb") as fifo:  # Returns when the daemon has opened it.
        process.signal(signal.SIGTERM)
        fifo.write(text)
    status, _ = await_exit(process)
    path.unlink()
    path.write_bytes(text)
    fh.check(status == 0, f"{daemon}, stopped while it started, ended with {status}")
    running.start_daemon(host, daemon)
    running.wait_ready()


def test():
    with fh.cluster("planned_stop", settings=SETTINGS) as running:
        for daemon in ("dogwood_entryd", "dogwood_batchd", "dogwood_controld"):
            stop_while_starting(running, 2, daemon)
        for host in range(3):
            stop_entryd_under_load(running, host)
        stop_batchd_in_turn(running)


fh.run(test)
