"""Helpers of the failure tests: clusters, online requests, batch jobs, faults.

Tests count outcomes and never judge by elapsed time. All waits have a timeout,
so that a fault fails the test instead of hanging it.
"""

import concurrent.futures
import contextlib
import hashlib
import http.client
import json
import pathlib
import sys
import threading

sys.dont_write_bytecode = True
ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

import dogwood_cluster as dc  # noqa: E402

MODEL = "local-model"
# Short timeouts, so that they expire within a test.
SHORT_TIMEOUTS = {
    "all": {"freshness_limit_ms": 2000, "pull_period_ms": 200},
    "dogwood_controld": {"loss_after_ms": 4000},
    "dogwood_entryd": {"first_byte_ms": 3000, "between_bytes_ms": 3000, "connect_ms": 500},
    "dogwood_batchd": {"first_byte_ms": 3000, "between_bytes_ms": 3000, "connect_ms": 500},
}


def check(condition, message):
    """Fails the test with a message that states what was counted."""
    if not condition:
        raise AssertionError(message)


@contextlib.contextmanager
def cluster(name, hosts=3, engines=3, settings=None, **changes):
    """Runs a cluster of the scenario "local" with short timeouts and stops it at
    the end. Prints the last lines of all logs after a failure."""
    scenario = dc.load_scenario("local", hosts, engines)
    scenario["settings"] = {
        daemon: {**values, **(settings or {}).get(daemon, {})}
        for daemon, values in SHORT_TIMEOUTS.items()
    }
    scenario.update(changes)
    running = dc.Cluster(ROOT / "out" / "failure" / name)
    try:
        running.start(scenario)
        yield running
    except BaseException:
        print_logs(running)
        raise
    finally:
        running.stop(timeout=0)


def print_logs(running):
    """Prints the last 12 lines of every log."""
    for path in sorted(running.directory.glob("*.log")):
        lines = path.read_text(errors="replace").splitlines()
        print(f"-- {path.name}")
        print("\n".join(lines[-12:]))


def run(test):
    """Runs a test function and exits with status 1 if it fails."""
    try:
        test()
    except (AssertionError, dc.ClusterError) as error:
        print(f"FAILED: {error}")
        sys.exit(1)
    print("passed")


def set_faults(address, **faults):
    """Injects faults into a stand-in."""
    status, body = dc.request_json(address, "POST", "/fault", faults)
    check(status == 200, f"fault refused: {status} {body}")


# Online requests.


def expected_text(prompt, tokens):
    """Returns the answer of fake_engine to a prompt."""
    digest = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    return " ".join(f"{digest}-{i}" for i in range(tokens))


class Answer:
    """Outcome of one online request."""

    def __init__(self):
        self.status = 0  # 0: no response.
        self.ran = None  # Value of the header Dogwood-Ran.
        self.text = ""
        self.is_complete = False
        self.error = None

    def is_correct(self, prompt, tokens):
        return self.is_complete and self.status == 200 and self.text == expected_text(
            prompt, tokens
        )

    def __repr__(self):
        return (
            f"status {self.status}, ran {self.ran}, complete {self.is_complete}, "
            f"{len(self.text.split())} tokens, error {self.error}"
        )


def complete(running, prompt, tokens=5, host=0, workspace="alpha", key="main", stream=False,
             on_token=None, timeout=30):
    """Sends one online request and reads the answer to its end."""
    answer = Answer()
    body = {"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": stream}
    headers = running.caller_headers(workspace, key, Content_Type="application/json")
    address, port = running.entry(host).rsplit(":", 1)
    connection = http.client.HTTPConnection(address, int(port), timeout=timeout)
    try:
        connection.request("POST", "/v1/completions", json.dumps(body), headers)
        response = connection.getresponse()
        answer.status = response.status
        answer.ran = response.getheader("Dogwood-Ran")
        if stream and response.status == 200:
            read_stream(response, answer, on_token)
        else:
            read_body(response, answer)
    except (OSError, http.client.HTTPException) as error:
        answer.error = repr(error)
    finally:
        connection.close()
    return answer


def read_body(response, answer):
    """Reads an answer that is not streamed."""
    body = json.loads(response.read())
    if answer.status == 200:
        answer.text = body["choices"][0]["text"]
        answer.is_complete = True
    else:
        answer.error = body.get("error")


def read_stream(response, answer, on_token):
    """Reads server-sent events. The answer is complete only if "[DONE]" and the
    last chunk arrived and no event reported an error."""
    done = False
    while True:
        line = response.readline()
        if not line:
            break
        line = line.decode().strip()
        if line == "data: [DONE]":
            done = True
        elif line.startswith("data: "):
            event = json.loads(line[6:])
            if "error" in event:
                answer.error = event["error"]
            else:
                answer.text += event["choices"][0]["text"]
                if on_token:
                    on_token()
    answer.is_complete = done and answer.error is None


class BackgroundStream:
    """A streamed request that runs in its own thread."""

    def __init__(self, running, prompt, tokens, **options):
        self.started = threading.Event()
        self.answer = None
        self.prompt = prompt
        self.tokens = tokens
        self.thread = threading.Thread(target=self._run, args=(running, options))
        self.thread.start()

    def _run(self, running, options):
        self.answer = complete(
            running, self.prompt, self.tokens, stream=True, on_token=self.started.set, **options
        )
        self.started.set()

    def wait_for_token(self, timeout=30):
        check(self.started.wait(timeout), "no token arrived")

    def finish(self, timeout=60):
        self.thread.join(timeout)
        check(not self.thread.is_alive(), "the stream did not end")
        return self.answer


def complete_many(running, prompts, tokens=5, hosts=None, **options):
    """Sends requests concurrently, round-robin over the hosts."""
    hosts = hosts if hosts is not None else range(len(running.hosts))
    hosts = list(hosts)
    with concurrent.futures.ThreadPoolExecutor(32) as pool:
        futures = [
            pool.submit(complete, running, p, tokens, host=hosts[i % len(hosts)], **options)
            for i, p in enumerate(prompts)
        ]
        return [f.result() for f in futures]


# Batch jobs.


def completion_items(count, tokens=5, name="item"):
    """Returns items that may be executed more than once."""
    return [
        {
            "custom_id": f"{name}-{i}",
            "method": "POST",
            "url": "/v1/completions",
            "body": {"model": MODEL, "prompt": f"{name} {i}", "max_tokens": tokens},
        }
        for i in range(count)
    ]


def service_items(count, name="call"):
    """Returns items that must not be executed twice; each has its own path, so
    that the service counts its calls."""
    return [
        {
            "custom_id": f"{name}-{i}",
            "method": "POST",
            "url": f"/services/echo/{name}-{i}",
            "body": {"number": i},
        }
        for i in range(count)
    ]


def submit(running, items, name, host=0, workspace="alpha", timeout=30):
    """Tries once to submit a job. Returns (status, body); the status is 0 if the
    connection failed."""
    headers = running.caller_headers(
        workspace, Idempotency_Key=name, Content_Type="application/jsonl"
    )
    lines = "".join(json.dumps(item) + "\n" for item in items)
    try:
        return dc.request_json(
            running.entry(host), "POST", "/v1/batches", lines, headers, timeout
        )
    except (OSError, http.client.HTTPException) as error:
        return 0, {"error": repr(error)}


def submit_until_accepted(running, items, name, hosts=(0,), timeout=60, **options):
    """Submits a job, round-robin over the hosts, until it is acknowledged.
    Returns its id."""
    turn = iter(range(1 << 30))

    def attempt():
        host = hosts[next(turn) % len(hosts)]
        status, body = submit(running, items, name, host, **options)
        check(status not in (400, 401, 403, 404, 409, 413), f"job refused: {status} {body}")
        return body if status // 100 == 2 else None

    return dc.wait_until(attempt, f"job {name} is acknowledged", timeout, 0.2)["id"]


def job(running, job_id, host=0, workspace="alpha"):
    """Returns the state of a job, or None if it cannot be read now."""
    headers = running.caller_headers(workspace)
    status, body = dc.request_json(
        running.entry(host), "GET", f"/v1/batches/{job_id}", headers=headers
    )
    return body if status == 200 else None


def wait_for_job(running, job_id, wanted="completed", host=0, timeout=120):
    """Waits until the job has the status `wanted`. Returns its description."""

    def attempt():
        body = job(running, job_id, host)
        return body if body and body["status"] == wanted else None

    return dc.wait_until(attempt, f"job {job_id} is {wanted}", timeout, 0.3)


def wait_for_progress(running, job_id, minimum=1, host=0, timeout=60):
    """Waits until at least `minimum` items are completed."""

    def attempt():
        body = job(running, job_id, host)
        return body and body["request_counts"]["completed"] >= minimum

    dc.wait_until(attempt, f"job {job_id} has {minimum} items completed", timeout, 0.05)


def results(running, job_id, host=0, workspace="alpha"):
    """Returns the result lines of a job."""

    def attempt():
        status, _, text = dc.request(
            running.entry(host),
            "GET",
            f"/v1/batches/{job_id}/results",
            headers=running.caller_headers(workspace),
        )
        return (status, text) if status == 200 else None

    _, text = dc.wait_until(attempt, f"results of {job_id} can be read", 60, 0.3)
    return [json.loads(line) for line in text.decode().splitlines()]


def check_exactly_once(running, job_id, items, host=0, allow_unknown=False):
    """Checks that each item has one result line with the answer to that item.
    Items that must not be executed twice may end as "outcome unknown" if
    `allow_unknown`."""
    lines = results(running, job_id, host)
    ids = [line["custom_id"] for line in lines]
    check(len(ids) == len(set(ids)), f"{len(ids) - len(set(ids))} duplicate result lines")
    check(set(ids) == {i["custom_id"] for i in items}, f"{len(ids)} of {len(items)} result lines")
    by_id = {line["custom_id"]: line for line in lines}
    wrong = [
        i["custom_id"]
        for i in items
        if not is_correct_result(i, by_id[i["custom_id"]], allow_unknown)
    ]
    example = by_id[wrong[0]] if wrong else None
    check(not wrong, f"{len(wrong)} items with a wrong result, such as {example}")


def is_correct_result(item, line, allow_unknown):
    """Returns whether a result line holds the answer to the item."""
    response = line.get("response")
    if not response or response.get("status_code") != 200:
        repeatable = not item["url"].startswith("/services/")
        return allow_unknown and not repeatable
    body = response["body"]
    if item["url"].startswith("/services/"):
        return body["path"].endswith("/" + item["custom_id"])
    text = expected_text(item["body"]["prompt"], item["body"]["max_tokens"])
    return body["choices"][0]["text"] == text


def check_calls_at_most_once(running, items):
    """Checks that no item that must not be executed twice reached a service twice."""
    counts = {}
    for server in running.services():
        _, seen = dc.request_json(server["address"], "GET", "/calls")
        for path, count in seen["by_path"].items():
            name = path.rsplit("/", 1)[-1]
            counts[name] = counts.get(name, 0) + count
    twice = {i["custom_id"]: counts.get(i["custom_id"], 0) for i in items}
    twice = {n: c for n, c in twice.items() if c > 1}
    check(not twice, f"calls that must not be repeated were executed again: {twice}")


def started_sequences(server):
    """Returns the number of sequences that an engine has started."""
    _, seen = dc.request_json(server["address"], "GET", "/requests")
    return sum(c["started"] for c in seen["counts"].values())
