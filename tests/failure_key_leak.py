#!/usr/bin/python3
"""Guards against forwarding a caller's key to a backend server in a header, the
query or the body, and against keys or operator tokens in logs."""

import json
import pathlib

import failure_helper as fh


def send_key_in_every_field(running, key):
    """Sends requests with the key in each header and query field that callers use."""
    body = json.dumps({"model": fh.MODEL, "prompt": "p", "max_tokens": 3})
    bearer = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
    others = {**bearer, "X-Api-Key": key, "Api-Key": key, "Cookie": f"key={key}"}
    others["Proxy-Authorization"] = f"Bearer {key}"
    for target in ("/v1/completions", f"/v1/completions?api_key={key}&key={key}"):
        for headers in (bearer, others):
            fh.dc.request(running.entry(0), "POST", target, body, headers)
            service = target.replace("/v1/completions", "/services/echo/x")
            fh.dc.request(running.entry(1), "POST", service, "{}", headers)
            open_route = target.replace("/v1/completions", "/services/notice/x")
            fh.dc.request(running.entry(2), "GET", open_route, headers=headers)


def test():
    with fh.cluster("key_leak") as running:
        key = running.key("alpha")
        send_key_in_every_field(running, key)
        items = fh.completion_items(10) + fh.service_items(10)
        job = fh.submit_until_accepted(running, items, "keys")
        fh.wait_for_job(running, job)
        seen = 0
        for server in running.servers:
            path = "/requests" if server["models"] else "/calls"
            _, _, text = fh.dc.request(server["address"], "GET", path)
            seen += len(json.loads(text).get("requests" if server["models"] else "seen"))
            fh.check(key not in text.decode(), f"{server['id']} received the caller's key")
        fh.check(seen >= 20, f"only {seen} requests reached the servers")
        token = pathlib.Path(running.state["operator_token_file"]).read_text()
        for log in running.directory.glob("*.log"):
            text = log.read_text(errors="replace")
            fh.check(key not in text, f"{log.name} contains the caller's key")
            fh.check(token not in text, f"{log.name} contains the operator's token")


fh.run(test)
