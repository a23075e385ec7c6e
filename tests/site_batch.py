#!/usr/bin/python3
"""Guards against batch jobs that are accepted and then given up, cut short or
never finished."""

import asyncio
import re
import time

import site_helper as sh

SHORT_READ_MS = 100
# A step of a host's clock on the users' platform (clock_step).
CLOCK_ERROR_MS = 2000


class LateFleet(sh.Fleet):
    """Its first host owns all partitions, and reads the declared state late
    while `is_late` is set."""

    def __init__(self, name):
        super().__init__(name, hosts=3)
        self.is_late = asyncio.Event()
        self.own_store = sh.stand_in.HttpServer(self.handle_late)
        self.own_store_ip = f"127.{self.net}.0.2"

    def store_address(self, host):
        ip = self.own_store_ip if host is self.hosts[0] else self.store_ip
        return f"{ip}:{sh.STORE}"

    async def handle_late(self, request, reader, writer):
        if request[2].get("topic") == sh.stand_in.STATE_TOPIC:
            while self.is_late.is_set():
                await asyncio.sleep(0.02)
            if int(request[2].get("waitMs", 0)) > SHORT_READ_MS:
                request[2]["waitMs"] = str(SHORT_READ_MS)
        return await self.store.handle(request, reader, writer)

    async def __aenter__(self):
        await self.own_store.start(self.own_store_ip, sh.STORE)
        await super().__aenter__()
        sh.assign_all(self, self.hosts[0].member)
        await asyncio.sleep(1.5)
        return self

    async def __aexit__(self, kind, error, trace):
        await super().__aexit__(kind, error, trace)
        await self.own_store.stop()


async def version_of(host):
    """Returns the version of the declared state that a host has applied."""
    return await host.metric("dogwood_state_version")


async def job_on_a_route_its_owner_does_not_know(route):
    """Guards against items that are given up, or run by an older route with a
    shorter prefix, because the owner of their partition learns of their route
    later than the host that accepted them."""
    async with LateFleet("late_route") as fleet:
        late, other = fleet.hosts[:2]
        fleet.is_late.set()
        await asyncio.sleep(3 * SHORT_READ_MS / 1000)  # Until no read is held that began before.
        declared = sh.state(2)
        declared["routes"].append(dict(declared["routes"][-1], name="late", pathPrefix=f"/{route}/"))
        await fleet.store.put(sh.stand_in.STATE_TOPIC, "config", declared)

        async def is_current():
            return await version_of(other) == 2
        await sh.until(is_current, "another host has the new route")
        jobs = [fleet.new_id("job") for _ in range(4)]
        for job in jobs:
            answer = await fleet.submit(other, job, 3, route=route)
            sh.check(answer.status == 202, f"job {job}: {answer}")
        # The jobs were accepted by a substitute; reading them makes the owner find them.
        for job in jobs:
            await fleet.results(late, job)
        sh.check(await version_of(late) == 1, "the owner has the new route too early for this test")
        await asyncio.sleep(0.5)
        ran = [job for job in jobs for i in range(3) if fleet.runs(f"{job}-{i}") > 0]
        sh.check(not ran, f"the owner ran items by an older route: {ran}")
        fleet.is_late.clear()
        for job in jobs:
            for item, end, output in await fleet.all_results(job, 3):
                sh.check(end == "done", f"item {item} was given up although its route exists")
                sh.check(output == sh.stand_in.whole_output(item), f"output of {item}: {output}")


class SmallStore(sh.stand_in.Store):
    """Refuses what is larger than a record or an append may be."""

    RECORD_BYTES, APPEND_BYTES = 262144, 2097152
    refused = 0

    async def log_append(self, query, body, writer):
        sizes, rest = [], body
        while rest:
            sizes.append(int.from_bytes(rest[:4], "big"))
            rest = rest[4 + sizes[-1]:]
        if max(sizes) > self.RECORD_BYTES or len(body) > self.APPEND_BYTES:
            self.refused += 1
            sh.stand_in.answer(writer, 413)
            return
        await super().log_append(query, body, writer)


class StoreFleet(sh.Fleet):
    """A fleet with a store of its own kind."""

    def __init__(self, name, store, **sizes):
        super().__init__(name, **sizes)
        self.store = store
        for engine in self.engines:
            engine.store = store


class SmallStoreFleet(StoreFleet):
    def __init__(self, name, **sizes):
        super().__init__(name, SmallStore(), **sizes)


async def job_larger_than_an_append():
    """Guards against accepted jobs whose results are never listed, because a
    job that the store refuses stays first among what is to be written. Such a
    job is rejected for good before it is accepted."""
    async with SmallStoreFleet("large_job", hosts=2) as fleet:
        store = fleet.store
        for host in fleet.hosts:
            for size, status in ((13000, 413), (2 << 20, 413), (9000, 202)):
                items = 190 if size < 100000 else 1
                job = fleet.new_id("job")
                answer = await fleet.submit(host, job, items, body=b"x" * size)
                sh.check(answer.status == status, f"job of {items} items of {size} bytes: {answer}")
                if status != 202:
                    sh.check(answer.json()["error"]["ran"] == "no", f"refusal of a large job: {answer}")
                    answer = await fleet.results(host, job)
                    sh.check(answer.status == 404, f"refused job: {answer}")
        sh.check(store.refused == 0, f"{store.refused} appends that the store must refuse were sent")
        jobs = [fleet.new_id("job") for _ in range(20)]
        for job in jobs:
            answer = await fleet.submit(fleet.hosts[0], job, 1)
            sh.check(answer.status == 202, f"job {job}: {answer}")
        for job in jobs:
            await fleet.all_results(job, 1)


async def output_larger_than_a_record():
    """Guards against partitions that are blocked by an item whose output is
    larger than a record, and against outputs without end."""
    async with SmallStoreFleet("large_output", hosts=2) as fleet:
        sh.assign_all(fleet, fleet.hosts[0].member)
        await asyncio.sleep(1.5)
        for text, outcome in (("a" * 120000, "done"), ("b" * 250000, "dead_letter")):
            sh.stand_in.EVENT_TEXTS = {1: text, 2: text, 3: text, 4: text}
            jobs = [fleet.new_id("job") for _ in range(4)]
            for job in jobs:
                answer = await fleet.submit(fleet.hosts[1], job, 1)
                sh.check(answer.status == 202, f"job {job}: {answer}")
            for job in jobs:
                for item, end, output in await fleet.all_results(job, 1):
                    sh.check(end == outcome, f"item {item} with texts of {len(text)} bytes: {end}")
                    sh.check(end != "done" or output == sh.stand_in.whole_output(item), f"output of {item}")
        sh.stand_in.EVENT_TEXTS = {}
        sh.check(fleet.store.refused == 0, f"{fleet.store.refused} appends that the store must refuse were sent")
        answer = await fleet.submit(fleet.hosts[1], "last", 2)
        sh.check(answer.status == 202, f"last job: {answer}")
        await fleet.all_results("last", 2)


async def store_smaller_than_the_settings():
    """Guards against partitions that are blocked for good by a record that the
    store refuses although the settings allow its size."""
    async with SmallStoreFleet("refused_append", hosts=2) as fleet:
        sh.assign_all(fleet, fleet.hosts[0].member)
        await asyncio.sleep(1.5)
        fleet.store.APPEND_BYTES = 100000
        sh.stand_in.EVENT_TEXTS = {1: "a" * 60000, 2: "b" * 60000}
        # One job, so that all its records are in one partition. An item's number of events depends on its
        # name; the first two texts of each are the large ones.
        answer = await fleet.submit(fleet.hosts[1], "large", 2)
        sh.check(answer.status == 202, f"job: {answer}")
        for item, end, _ in await fleet.all_results("large", 2):
            sh.check(end == "dead_letter", f"item {item} with an output that the store refuses: {end}")
        answer = await fleet.submit(fleet.hosts[1], "refused", 1, body=b"x" * 150000)
        sh.check(answer.status == 413, f"job that the store refuses: {answer}")
        sh.check(fleet.store.refused >= 2, "the store refused nothing")
        sh.stand_in.EVENT_TEXTS = {}
        answer = await fleet.submit(fleet.hosts[1], "refused", 2)
        sh.check(answer.status == 202, f"job with a name that was refused before: {answer}")
        for item, end, output in await fleet.all_results("refused", 2):
            sh.check((end, output) == ("done", sh.stand_in.whole_output(item)), f"item {item}: {end} {output}")


async def malformed_jobs():
    """Guards against a host that crashes on a job that it rejects, and takes the
    requests of all its callers with it."""
    async with sh.Fleet("malformed_jobs", hosts=1, engines=1) as fleet:
        host = fleet.hosts[0]
        for body in (b"", b"{}", b"[", b'{"items":[{"id":5}]}', b'{"items":[{"id":"a","path":"/job/x","body":"*"}]}'):
            for attempt in ({"X_Attempt_Id": "odd"}, {}):
                answer = await sh.call(host.ip, sh.FRONT, "POST", "/job/odd", body, Host=sh.HOST_NAME, X_Key=sh.KEY,
                                       **attempt)
                sh.check(answer.status == 400, f"job {body}: {answer}")
        sh.check(host.process.returncode is None, f"the host ended with {host.process.returncode}")
        answer = await fleet.submit(host, "sound", 1)
        sh.check(answer.status == 202, f"sound job: {answer}")
        await fleet.all_results("sound", 1)


async def smuggled_requests():
    """Guards against a job whose items' header fields, paths or names hold
    further requests, or are too long to be sent."""
    async with sh.Fleet("smuggled", hosts=1, engines=1) as fleet:
        host, engine = fleet.hosts[0], fleet.engines[0]
        smuggled = "1\r\nContent-Length: 0\r\n\r\nPOST /job/smuggled HTTP/1.1\r\nX-Attempt-Id: smuggled\r\nX-Tenant: beta"
        for fields in ({"X_Odd": smuggled}, {"X_Odd": "a\0b"}, {"X_Long": "x" * 70000}, {"X Odd": "1"}):
            job = fleet.new_id("job")
            answer = await fleet.submit(host, job, 2, **fields)
            sh.check(answer.status == 400, f"job with fields {str(fields)[:80]}: {answer}")
            sh.check(f"{job}-0" in answer.json()["error"]["message"], f"refusal of {job}: {answer}")
            answer = await fleet.results(host, job)
            sh.check(answer.status == 404, f"refused job: {answer}")
        await asyncio.sleep(1)
        sh.check(not engine.seen, f"servers ran {engine.seen}")
        answer = await fleet.submit(host, "sound", 2)
        sh.check(answer.status == 202, f"sound job: {answer}")
        await fleet.all_results("sound", 2)


async def jobs_on_a_public_route():
    """Guards against jobs that are accepted on a public route and that nobody
    can read or end, and against jobs of a workspace that others can read."""
    async with sh.Fleet("public_jobs", hosts=3, engines=2) as fleet:
        declared = sh.state(2)
        declared["routes"].append(dict(declared["routes"][-1], name="public", pathPrefix="/public/", public=True))
        await fleet.store.put(sh.stand_in.STATE_TOPIC, "config", declared)

        async def are_current():
            return all([await version_of(host) == 2 for host in fleet.hosts])
        await sh.until(are_current, "all hosts have the public route")
        # Callers without a key, with one of a workspace and with one that is not known.
        keys = (None, sh.KEY, "key-of-beta", "unknown")
        for key in keys:
            job = fleet.new_id("job")
            answer = await fleet.submit(fleet.hosts[0], job, 2, key=key, route="public")
            sh.check(answer.status == 202, f"public job of key {key}: {answer}")
            for host in fleet.hosts:
                for reader in keys:
                    answer = await fleet.results(host, job, key=reader)
                    sh.check(answer.status == 200, f"job of key {key} read with key {reader}: {answer}")
            await fleet.all_results(job, 2)
            seen = [fields for engine in fleet.engines for name, fields, *_ in engine.seen if name.startswith(job)]
            sh.check(seen and not any("x-tenant" in fields or "x-key" in fields for fields in seen),
                     f"items of a public job ran with {seen}")
        # An item's body, and the end of the job, while no server takes its items.
        for engine in fleet.engines:
            await engine.register("draining")
        for key in keys:
            job = fleet.new_id("job")
            answer = await fleet.submit(fleet.hosts[0], job, 1, key=key, route="public", body=b"own")
            sh.check(answer.status == 202, f"public job of key {key}: {answer}")
            answer = await fleet.item_body(fleet.hosts[1], job, f"{job}-0", key=None)
            sh.check((answer.status, answer.body) == (200, b"own"), f"body of an item of a public job: {answer}")
            answer = await fleet.item_body(fleet.hosts[1], job, "other", key=None)
            sh.check(answer.status == 404, f"body of no item: {answer}")
            answer = await fleet.end_job(fleet.hosts[2], job, key=None)
            sh.check(answer.status == 200, f"end of a public job: {answer}")
        for engine in fleet.engines:
            await engine.register("ready")
        # A workspace's jobs stay its own, and a caller without a key learns nothing about them.
        own, kept = fleet.new_id("job"), fleet.new_id("job")
        for job, route in ((own, "job"), (kept, "public")):
            answer = await fleet.submit(fleet.hosts[0], job, 1, route=route)
            sh.check(answer.status == 202, f"job {job}: {answer}")

        async def check_own():
            for host in fleet.hosts:
                for job in (own, "none"):
                    for key, status in ((None, 401), ("unknown", 401), ("key-of-beta", 404)):
                        answers = [await fleet.results(host, job, key=key), await fleet.end_job(host, job, key=key),
                                   await fleet.item_body(host, job, f"{job}-0", key=key)]
                        sh.check(all(a.status == status for a in answers), f"job {job} with key {key}: {answers}")
        await check_own()
        # A job outlives its route: who could read it still can.
        await fleet.store.put(sh.stand_in.STATE_TOPIC, "config", sh.state(3))

        async def are_without():
            return all([await version_of(host) == 3 for host in fleet.hosts])
        await sh.until(are_without, "no host has the public route")
        for host in fleet.hosts:
            for key in keys:
                answer = await fleet.results(host, kept, key=key)
                sh.check(answer.status == 200, f"job of a removed public route with key {key}: {answer}")
        await check_own()
        await fleet.all_results(own, 1)


class ShiftedClocksStore(sh.stand_in.Store):
    """Stores jobs as hosts do whose clock is behind that of the others."""

    BEHIND_MS = 0

    async def log_append(self, query, body, writer):
        def shift(found):
            return b'"submitted":%d' % (int(found.group(1)) - self.BEHIND_MS)
        await super().log_append(query, re.sub(rb'"submitted":(\d+)', shift, body), writer)


async def clocks_of_two_hosts():
    """Guards against items that are given up too early, because the clock of the
    host that accepted their job is behind that of the owner."""
    retention_s, late_s = 5, 20
    async with StoreFleet("clocks", ShiftedClocksStore(), hosts=2, engines=1) as fleet:
        fleet.store.BEHIND_MS = 2 * CLOCK_ERROR_MS
        declared = sh.state(2)
        declared["routes"][-1].update(retentionS=retention_s)
        await fleet.store.put(sh.stand_in.STATE_TOPIC, "config", declared)
        await fleet.engines[0].register("draining")
        sh.assign_all(fleet, fleet.hosts[0].member)
        await asyncio.sleep(1.5)
        sent_at = time.monotonic()
        answer = await fleet.submit(fleet.hosts[0], "job", 2)
        sh.check(answer.status == 202, f"job: {answer}")
        # Its new owner reads the job from the log.
        sh.assign_all(fleet, fleet.hosts[1].member)
        version = 3
        while time.monotonic() < sent_at + retention_s:
            answer = await fleet.results(fleet.hosts[1], "job")
            age = time.monotonic() - sent_at
            given_up = answer.status == 200 and answer.json()["results"]
            sh.check(not given_up, f"items were given up {age:.1f} s after their job was sent")
            # Each state decides anew what it says about items that wait.
            await fleet.store.put(sh.stand_in.STATE_TOPIC, "config", dict(declared, version=version))
            version += 1
            await asyncio.sleep(0.3)
        for item, end, _ in await fleet.all_results("job", 2, limit=late_s):
            sh.check(end == "dead_letter", f"item {item} that no server could run: {end}")


async def test():
    await job_on_a_route_its_owner_does_not_know("late")
    await job_on_a_route_its_owner_does_not_know("job/late")
    await job_larger_than_an_append()
    await output_larger_than_a_record()
    await store_smaller_than_the_settings()
    await malformed_jobs()
    await smuggled_requests()
    await jobs_on_a_public_route()
    await clocks_of_two_hosts()


sh.run(test)
