"""Starts, configures and stops a cluster of processes on 127.0.0.1.

Used by scripts/cluster, scripts/experiment, the measuring scripts and the
failure tests. Uses the standard library only. Processes are ended by the ids
recorded when they were started, never by name.
"""

import concurrent.futures
import hashlib
import http.client
import json
import os
import pathlib
import re
import secrets
import signal
import socket
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("DOGWOOD_BUILD", ROOT / "build"))
SCENARIOS = ROOT / "tests" / "scenarios"
DAEMONS = ("dogwood_controld", "dogwood_entryd", "dogwood_batchd")
# Ports are allocated in blocks; a block suffices for a scenario of 15 hosts.
PORT_BASE = int(os.environ.get("DOGWOOD_PORT_BASE", "25000"))
PORT_BLOCK = 125
PORT_BLOCKS = 8
LOOPBACK = "127.0.0.1"
STATE_FILE = "cluster.json"


class ClusterError(Exception):
    """An operation on the cluster failed."""


def request(address, method, path, body=None, headers=None, timeout=10):
    """Sends one HTTP request; returns (status, headers, body as bytes)."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        if isinstance(body, (dict, list)):
            body = json.dumps(body)
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def request_json(address, method, path, body=None, headers=None, timeout=10):
    """Like request(), but returns (status, body); a body that is not JSON is None."""
    status, _, text = request(address, method, path, body, headers, timeout)
    try:
        return status, json.loads(text)
    except ValueError:
        return status, None


def wait_until(check, what, timeout=30.0, period=0.1):
    """Polls `check` until it returns a true value, and returns that value.
    Connection errors count as false. Raises ClusterError after `timeout`
    seconds; `what` names the awaited condition in the message."""
    deadline = time.monotonic() + timeout
    last_error = None
    while time.monotonic() < deadline:
        try:
            value = check()
            if value:
                return value
        except (OSError, http.client.HTTPException) as error:
            last_error = error
        time.sleep(period)
    raise ClusterError(f"{what}: not within {timeout} s (last error: {last_error})")


def load_scenario(name, hosts=None, engines=None):
    """Reads tests/scenarios/NAME.json, or NAME itself if it is a JSON file.
    `hosts` and `engines` override the numbers in it. Both become lists of data
    centres, in round robin."""
    path = pathlib.Path(name)
    if path.suffix != ".json":
        path = SCENARIOS / f"{name}.json"
    scenario = json.loads(path.read_text())
    for kind, count in (("hosts", hosts), ("engines", engines)):
        counts = scenario[kind]
        order = [
            centre
            for round_number in range(max(counts.values(), default=0))
            for centre in counts
            if counts[centre] > round_number
        ]
        if count is not None:
            if count > len(order):
                order += [order[i % len(order)] for i in range(count - len(order))]
            order = order[:count]
        scenario[kind] = order
    return scenario


def port_is_free(port):
    """Returns whether the port can be bound."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
            return True
        except OSError:
            return False


def allocate_ports(count):
    """Returns `count` free ports of one block."""
    for block in range(PORT_BLOCKS):
        first = PORT_BASE + block * PORT_BLOCK
        ports = range(first, first + count)
        if count <= PORT_BLOCK and all(port_is_free(p) for p in ports):
            return iter(ports)
    raise ClusterError(f"no block of {count} free ports from {PORT_BASE} on")


def process_start_time(pid):
    """Returns the start time of a process in clock ticks, None if it has ended.
    Together with the id it identifies the process even if the id is reused."""
    try:
        text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return None
    fields = text.rsplit(")", 1)[1].split()
    return None if fields[0] == "Z" else int(fields[19])


class Process:
    """A process of the cluster, given by its record from start_process()."""

    def __init__(self, record):
        self.record = record

    @property
    def pid(self):
        return self.record["pid"]

    def is_alive(self):
        self._reap()
        return process_start_time(self.pid) == self.record["start_time"]

    def signal(self, number):
        if self.is_alive():
            os.kill(self.pid, number)

    def _reap(self):
        try:
            os.waitpid(self.pid, os.WNOHANG)
        except OSError:
            pass

    def stop(self, timeout=10.0):
        """Sends SIGTERM, and SIGKILL if the process has not ended within `timeout`
        seconds. A paused process is continued first."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        deadline = time.monotonic() + timeout
        while self.is_alive() and time.monotonic() < deadline:
            time.sleep(0.05)
        self.kill()

    def kill(self):
        self.signal(signal.SIGKILL)
        while self.is_alive():
            time.sleep(0.01)


def start_process(arguments, log_path):
    """Starts a program with its output appended to `log_path`; returns its record."""
    with open(log_path, "ab") as log:
        child = subprocess.Popen(
            [str(a) for a in arguments],
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            start_new_session=True,
        )
    return {
        "pid": child.pid,
        "start_time": process_start_time(child.pid),
        "arguments": [str(a) for a in arguments],
        "log": str(log_path),
    }


def known_settings(program):
    """Returns the settings of a daemon as {name: whether it is required}."""
    printed = subprocess.run(
        [BUILD / program, "--print-settings"], capture_output=True, text=True, check=True
    ).stdout
    names = {n: True for n in re.findall(r'^  // required: "(\w+)"', printed, re.M)}
    names.update({n: False for n in re.findall(r'^  "(\w+)":', printed, re.M)})
    return names


def select_known_settings(program, values):
    """Returns the values that are settings of the daemon. Raises ClusterError if a
    required one is missing."""
    known = known_settings(program)
    missing = [n for n, required in known.items() if required and n not in values]
    if missing:
        raise ClusterError(f"{program} requires settings {missing}")
    return {n: v for n, v in values.items() if n in known}


class Cluster:
    """A cluster, described by the state file in its directory."""

    def __init__(self, directory):
        self.directory = pathlib.Path(directory).resolve()
        self.state = {}

    # State.

    @classmethod
    def open(cls, directory):
        cluster = cls(directory)
        path = cluster.directory / STATE_FILE
        if not path.exists():
            raise ClusterError(f"no cluster in {cluster.directory}")
        cluster.state = json.loads(path.read_text())
        return cluster

    @property
    def platform(self):
        return self.state["platform"]["address"]

    @property
    def hosts(self):
        return self.state["hosts"]

    @property
    def servers(self):
        return self.state["backend_servers"]

    def engines(self):
        return [s for s in self.servers if s["models"]]

    def services(self):
        return [s for s in self.servers if s["services"]]

    def entry(self, index=0):
        return self.hosts[index]["entry_address"]

    def operator(self, index=0):
        return self.hosts[index]["operator_address"]

    def operator_headers(self):
        token = pathlib.Path(self.state["operator_token_file"]).read_text().strip()
        return {"Authorization": f"Bearer {token}", "Content-Type": "application/json"}

    def key(self, workspace, key="main"):
        keys = json.loads(pathlib.Path(self.state["keys_file"]).read_text())
        return keys[workspace][key]

    def caller_headers(self, workspace, key="main", **more):
        headers = {"Authorization": f"Bearer {self.key(workspace, key)}"}
        headers.update({n.replace("_", "-"): v for n, v in more.items()})
        return headers

    def process(self, host_index, daemon):
        return Process(self.hosts[host_index]["processes"][daemon])

    def server_process(self, server_id):
        return Process(self.server(server_id)["process"])

    def server(self, server_id):
        return next(s for s in self.servers if s["id"] == server_id)

    def all_processes(self):
        """Returns all recorded processes, daemons first and the platform last."""
        records = []
        for host in self.state.get("hosts", []):
            records += [host["processes"][d] for d in reversed(DAEMONS) if d in host["processes"]]
        records += [s["process"] for s in self.state.get("backend_servers", [])]
        if "platform" in self.state:
            records.append(self.state["platform"]["process"])
        return [Process(r) for r in records]

    def save(self):
        path = self.directory / STATE_FILE
        temporary = path.with_suffix(".part")
        temporary.write_text(json.dumps(self.state, indent=1))
        temporary.replace(path)

    # Starting.

    def start(self, scenario):
        """Starts and configures the cluster; on failure stops what was started."""
        self.directory.mkdir(parents=True, exist_ok=True)
        if (self.directory / STATE_FILE).exists():
            old = Cluster.open(self.directory)
            if any(p.is_alive() for p in old.all_processes()):
                raise ClusterError(f"a cluster is running in {self.directory}; stop it first")
        try:
            self._start(scenario)
        except BaseException:
            self.save()
            self.stop()
            raise

    def _start(self, scenario):
        services = scenario.get("services", {})
        count = 1 + 6 * len(scenario["hosts"]) + len(scenario["engines"]) + len(services)
        ports = allocate_ports(count)
        self.scenario = scenario
        self.state = {"scenario": scenario["name"], "hosts": [], "backend_servers": []}
        self._write_secrets(scenario)
        self._start_platform(scenario, next(ports))
        self._start_servers(scenario, ports)
        self._register_hosts(scenario, ports)
        for index in range(len(self.hosts)):
            for daemon in DAEMONS:
                self.start_daemon(index, daemon)
        self.save()
        self.wait_ready()
        self._configure(scenario)
        self.wait_until_admitting(scenario)
        self.save()

    def _write_secrets(self, scenario):
        self.state["operator_token_file"] = str(self.directory / "operator_token")
        self.state["keys_file"] = str(self.directory / "keys.json")
        self.state["secret_file"] = str(self.directory / "secret")
        keys = {
            name: {key: f"dgw-{secrets.token_hex(16)}" for key in w.get("keys", ["main"])}
            for name, w in scenario["workspaces"].items()
        }
        self.write_private("operator_token", secrets.token_hex(16))
        self.write_private("secret", secrets.token_hex(32))
        self.write_private("keys.json", json.dumps(keys, indent=1))

    def write_private(self, name, text):
        path = self.directory / name
        path.touch(mode=0o600)
        path.write_text(text)

    def log_path(self, name):
        return self.directory / f"{name}.log"

    def _start_platform(self, scenario, port):
        arguments = [BUILD / "fake_platform", "--port", port]
        arguments += scenario.get("platform_arguments", [])
        record = start_process(arguments, self.log_path("platform"))
        self.state["platform"] = {"address": f"{LOOPBACK}:{port}", "process": record}
        wait_until(
            lambda: request(self.platform, "GET", "/stats")[0] == 200, "platform responds"
        )

    def _start_servers(self, scenario, ports):
        regions = scenario["data_centres"]
        model = scenario["model"]
        for i, centre in enumerate(scenario["engines"]):
            slots = scenario.get("engine_slots", 8)
            row = {"id": f"engine-{i}", "models": [model], "services": [], "slots": slots}
            arguments = [BUILD / "fake_engine", "--model", model, "--slots", slots]
            # Every third engine ignores fencing numbers.
            row["checks_fencing"] = i % 3 != 2
            arguments += [] if row["checks_fencing"] else ["--ignore-fencing"]
            arguments += scenario.get("engine_arguments", [])
            self._start_server(row, arguments, next(ports), centre, regions[centre])
        for name, centre in scenario.get("services", {}).items():
            row = {"id": f"service-{name}", "models": [], "services": [name], "slots": 64}
            row["checks_fencing"] = False
            arguments = [BUILD / "fake_service"]
            self._start_server(row, arguments, next(ports), centre, regions[centre])
        for server in self.servers:
            wait_until(
                lambda s=server: request(s["address"], "GET", "/load")[0] < 500,
                f"{server['id']} responds",
            )

    def _start_server(self, row, arguments, port, centre, region):
        row.update(
            kind="backend_server",
            address=f"{LOOPBACK}:{port}",
            data_centre=centre,
            region=region,
            state="live",
        )
        self.register(row)
        record = start_process([*arguments, "--port", port], self.log_path(row["id"]))
        self.servers.append({**row, "process": record})

    def register(self, row):
        """Adds a row to the platform's host list, or replaces it."""
        status, _, text = request(self.platform, "PUT", f"/hosts/{row['id']}", row)
        if status != 200:
            raise ClusterError(f"host list refused {row['id']}: {status} {text}")

    def unregister(self, row_id):
        """Removes a row from the platform's host list."""
        request(self.platform, "DELETE", f"/hosts/{row_id}")

    def _register_hosts(self, scenario, ports):
        for i, centre in enumerate(scenario["hosts"]):
            host = {
                "id": f"host-{i}",
                "data_centre": centre,
                "region": scenario["data_centres"][centre],
                "processes": {},
            }
            for name in (
                "entry_address",
                "operator_address",
                "control_link",
                "entry_link",
                "batch_link",
                "batch_http_address",
            ):
                host[name] = f"{LOOPBACK}:{next(ports)}"
            self.hosts.append(host)
            self.register(
                {
                    "id": host["id"],
                    "kind": "host",
                    "address": host["entry_address"],
                    "data_centre": centre,
                    "region": host["region"],
                    "state": "live",
                    "models": [],
                    "services": [],
                    "slots": 1,
                    "checks_fencing": False,
                }
            )

    def settings_of(self, host, daemon):
        """Returns the settings of one daemon. Those in the scenario take precedence."""
        secret = pathlib.Path(self.state["secret_file"]).read_text()
        token = pathlib.Path(self.state["operator_token_file"]).read_text()
        addresses = ("entry_address", "operator_address", "control_link", "entry_link")
        more = ("batch_link", "batch_http_address", "data_centre", "region")
        values = {n: host[n] for n in (*addresses, *more)}
        values.update(
            host=host["id"],
            controld_link=host["control_link"],
            entryd_link=host["entry_link"],
            batchd_link=host["batch_link"],
            platform_address=self.platform,
            log_region=self.scenario["log_region"],
            secret=secret,
            operator_tokens=["local:" + hashlib.sha256(token.encode()).hexdigest()],
        )
        overrides = self.scenario.get("settings", {})
        values.update(overrides.get("all", {}))
        values.update(overrides.get(daemon, {}))
        return select_known_settings(daemon, values)

    def start_daemon(self, index, daemon):
        """Starts or restarts a daemon of a host. A restart reuses its settings file."""
        host = self.hosts[index]
        name = f"{host['id']}-{daemon}"
        path = self.directory / f"{name}.json"
        if not path.exists() or daemon not in host["processes"]:
            self.write_private(path.name, json.dumps(self.settings_of(host, daemon), indent=1))
        arguments = [BUILD / daemon, "--settings", path]
        host["processes"][daemon] = start_process(arguments, self.log_path(name))
        self.save()

    def is_ready(self, index):
        """Returns whether all daemons of a host are ready. Raises ClusterError if one
        of them has ended."""
        host = self.hosts[index]
        for daemon, record in host["processes"].items():
            if not Process(record).is_alive():
                raise ClusterError(f"{daemon} of {host['id']} has ended; see {record['log']}")
        return all(
            request(host[name], "GET", "/readyz", timeout=2)[0] == 200
            for name in ("operator_address", "entry_address")
        )

    def wait_ready(self, timeout=60.0):
        for index in range(len(self.hosts)):
            name = self.hosts[index]["id"]
            wait_until(lambda i=index: self.is_ready(i), f"{name} is ready", timeout)

    # Configuration.

    def node_version(self, path, index=0):
        """Returns the version of a node, 0 if it is absent."""
        status, body = request_json(
            self.operator(index), "GET", f"/v1/tree?path={path}", headers=self.operator_headers()
        )
        if status != 200 or body is None:
            raise ConnectionError(f"version of {path}: {status} {body}")
        return body["version"]

    def change(self, path, values, index=0, timeout=60.0, **more):
        """Sets values at a node through the operator interface and waits until the
        change is accepted. Retries after responses that leave the outcome open."""

        def attempt():
            """Sends the change once; returns None if the outcome is open."""
            body = {
                "path": path,
                "expected_version": self.node_version(path, index),
                "set": values,
                **more,
            }
            status, answer = request_json(
                self.operator(index), "POST", "/v1/changes", body, self.operator_headers(), 30
            )
            if status in (400, 401, 403, 404, 413):
                raise ClusterError(f"change of {path} refused: {status} {answer}")
            return answer if status == 200 else None

        return wait_until(attempt, f"change of {path} is accepted", timeout)

    def _configure(self, scenario):
        changes = []
        for name, workspace in scenario["workspaces"].items():
            values = {n: workspace[n] for n in ("rate_per_s", "burst", "weight") if n in workspace}
            group = [(f"/workspaces/{name}", values)]
            for key in workspace.get("keys", ["main"]):
                digest = hashlib.sha256(self.key(name, key).encode()).hexdigest()
                group.append((f"/workspaces/{name}/keys/{key}", {"hash": digest}))
            changes.append(group)
        changes.append([(f"/models/{scenario['model']}", {"served": True})])
        for name, values in scenario.get("routes", {}).items():
            changes.append([(f"/routes/{name}", values)])

        def apply(group):
            for path, values in group:
                self.change(path, values)

        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            list(pool.map(apply, changes))

    def wait_until_admitting(self, scenario, timeout=60.0):
        """Waits until every host admits requests of every workspace and the token
        buckets are full: the owner of a new limit starts with an empty bucket."""

        def is_admitted(address, workspace):
            body = {"model": scenario["model"], "prompt": "ready", "max_tokens": 1}
            headers = {"Content-Type": "application/json", **self.caller_headers(workspace)}
            return request(address, "POST", "/v1/completions", body, headers)[0] == 200

        for name in scenario["workspaces"]:
            for host in self.hosts:
                address = host["entry_address"]
                what = f"{host['id']} admits requests of {name}"
                wait_until(lambda a=address, n=name: is_admitted(a, n), what, timeout)
        rates = scenario["workspaces"].values()
        time.sleep(max(w["burst"] / w["rate_per_s"] for w in rates))

    # Stopping.

    def stop(self, timeout=15.0):
        """Stops only the recorded processes: first all daemons in parallel, then the
        others. Each has `timeout` seconds to stop; 0 kills it immediately."""
        daemons = [Process(r) for h in self.state.get("hosts", []) for r in h["processes"].values()]
        others = [p for p in self.all_processes() if p.pid not in {d.pid for d in daemons}]
        for group in (daemons, others):
            with concurrent.futures.ThreadPoolExecutor(max(1, len(group))) as pool:
                list(pool.map(lambda p: p.stop(timeout), group))

    def status(self):
        """Returns the description that scripts/cluster status prints."""
        names = ("scenario", "operator_token_file", "keys_file")
        report = {n: self.state[n] for n in names if n in self.state}
        report["platform"] = {
            "address": self.platform,
            "pid": self.state["platform"]["process"]["pid"],
        }
        report["hosts"] = [
            {
                "name": h["id"],
                **{n: h[n] for n in h if n != "processes"},
                "processes": {d: r["pid"] for d, r in h["processes"].items()},
                "running": {d: Process(r).is_alive() for d, r in h["processes"].items()},
            }
            for h in self.hosts
        ]
        report["backend_servers"] = [
            {
                **{n: s[n] for n in s if n != "process"},
                "pid": s["process"]["pid"],
                "running": Process(s["process"]).is_alive(),
            }
            for s in self.servers
        ]
        return report
