#!/usr/bin/python3
"""Runs requests, streams, a batch job and address queries while all processes
are healthy. Guards against failures anywhere on their paths."""

import site_helper as sh


async def test():
    async with sh.Fleet("calm") as fleet:
        for host in fleet.hosts:
            attempt = fleet.new_id()
            answer = await fleet.ask(host, "stream", attempt)
            expected = [(e, sh.stand_in.event_data(attempt, e))
                        for e in range(1, sh.stand_in.event_count(attempt) + 1)]
            sh.check(answer.status == 200 and answer.is_whole, f"stream: {answer}")
            sh.check(answer.events() == expected, f"events: {answer.events()}")
            sh.check(answer.headers["x-server-seal"].startswith("seal-"), "the server's seal header is missing")
            answer = await fleet.ask(host, "read/plain")
            sh.check(answer.status == 200 and answer.body == b"echo hello", f"plain: {answer}")
            answer = await fleet.ask(host, "open/plain", key=None)
            sh.check(answer.status == 200, f"open route without a key: {answer}")
            answer = await fleet.ask(host, "stream", key="wrong")
            sh.check(answer.status == 401, f"wrong key: {answer}")
            answer = await fleet.ask(host, "nothing")
            sh.check(answer.status == 404, f"no route: {answer}")
            answer = await sh.call(host.ip, sh.DIRECTORY, "GET", "/api/resolve?region=west&zone=west-a")
            sh.check(len(answer.json()["addresses"]) >= 2, f"addresses: {answer}")
        for engine in fleet.engines:
            for attempt, headers, path, _ in engine.seen:
                sh.check("x-key" not in headers, f"the key reached a server with {attempt}")
                sh.check(headers.get("x-tenant", "alpha") == "alpha", f"foreign workspace: {headers}")
                sh.check(int(headers["x-deadline-ms"]) <= 8000, f"deadline exceeds the caller's: {headers}")
        job = fleet.new_id("job")
        answer = await fleet.submit(fleet.hosts[1], job, 6, ["poison", "fail"])
        sh.check(answer.status == 202, f"job: {answer}")
        again = await fleet.submit(fleet.hosts[2], job, 6, ["poison", "fail"])
        sh.check(again.status == 202, f"job sent again: {again}")
        found = await fleet.all_results(job, 6)
        by_item = {item: (end, output) for item, end, output in found}
        for i in range(6):
            expected = ("dead_letter", "") if i < 2 else ("done", sh.stand_in.whole_output(f"{job}-{i}"))
            sh.check(by_item[f"{job}-{i}"] == expected, f"item {i}: {by_item[f'{job}-{i}']}")
        sh.check(fleet.runs(f"{job}-1") == 3, f"failing item ran {fleet.runs(f'{job}-1')} times")
        sh.check(fleet.runs(f"{job}-0") == 1, "an item that cannot succeed was retried")
        other = await fleet.results(fleet.hosts[0], job, key="key-of-beta")
        sh.check(other.status == 404, f"job of another workspace: {other}")
        unknown = await fleet.results(fleet.hosts[0], "unknown")
        sh.check(unknown.status == 404, f"unknown job: {unknown}")


sh.run(test)
