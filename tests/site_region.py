#!/usr/bin/python3
"""Guards against batch jobs that are held or run in regions that their route or
workspace excludes, and against accepted jobs of a region that other hosts do not
find."""

import asyncio
import functools
import signal
import time

import site_helper as sh

REGION_TOPIC = "region-jobs-"
# A region of the settings that has no host.
EMPTY = {"south-a": "south"}
# The owner of a lost host's partitions follows after the lifetime of its membership.
TAKEOVER_S = 3


def declared(version, route_regions, tenant_regions=None):
    """Returns a state with a batch route for each entry of `route_regions`."""
    state = sh.state(version)
    job = state["routes"][-1]
    state["routes"] += [dict(job, name=name, pathPrefix=f"/{name}/", allowedRegions=regions)
                        for name, regions in route_regions.items()]
    for tenant in state["tenants"]:
        tenant["allowedRegions"] = (tenant_regions or {}).get(tenant["name"], [])
    return state


BOUND = {"toeast": ["east"], "towest": ["west"], "tonone": ["south"], "tounknown": ["nowhere"],
         "toboth": ["east", "west"]}


class RegionFleet(sh.Fleet):
    """Six hosts, four of them in the east, each with an address of the store of
    its own, so that the test sees which host reads and writes what."""

    def __init__(self, name, contracts=("places",), hosts=6, engines=3, more_zones=None):
        zones = [f"{zone}={region}" for zone, region in {**sh.ZONES, **(more_zones or {})}.items()]
        super().__init__(name, hosts=hosts, engines=engines,
                         settings={"contracts": list(contracts), "data_centres": zones})
        self.calls = []  # (host, topic of the call) of all calls on logs of jobs.
        self.stores = [sh.stand_in.HttpServer(self.handler_of(host)) for host in self.hosts]

    def first_state(self):
        return declared(1, BOUND)

    def store_address(self, host):
        return f"127.{self.net}.3.{host.index + 1}:{sh.STORE}"

    def handler_of(self, host):
        async def handle(request, reader, writer):
            topic = request[2].get("topic", "")
            if "jobs-" in topic:
                self.calls.append((host, topic))
            return await self.store.handle(request, reader, writer)
        return handle

    async def __aenter__(self):
        for host, server in zip(self.hosts, self.stores):
            await server.start(f"127.{self.net}.3.{host.index + 1}", sh.STORE)
        return await super().__aenter__()

    async def __aexit__(self, kind, error, trace):
        await super().__aexit__(kind, error, trace)
        for server in self.stores:
            await server.stop()

    async def declare(self, state):
        await self.store.put(sh.stand_in.STATE_TOPIC, "config", state)

        async def is_known():
            return all([await host.metric("dogwood_state_version") == state["version"]
                        for host in self.hosts if host.process.returncode is None])
        await sh.until(is_known, f"all hosts have state {state['version']}")

    def region_of(self, host_or_engine):
        return sh.ZONES[host_or_engine.zone]

    def hosts_in(self, region):
        return [host for host in self.hosts if self.region_of(host) == region]

    def topics_of(self, job):
        """Returns the topics that hold a record of a job."""
        name = job.encode()
        return {topic for (topic, _), records in self.store.logs.items()
                if "jobs-" in topic and any(name in record for record in records)}

    def check_bound(self, job, items, region):
        """Checks that a job was held and run in one region only."""
        sh.check(self.topics_of(job) == {REGION_TOPIC + region}, f"job {job} is in {self.topics_of(job)}")
        for i in range(items):
            ran = {self.region_of(engine) for engine in self.engines
                   for seen in engine.seen if seen[0] == f"{job}-{i}"}
            sh.check(ran <= {region}, f"item {i} of job {job} ran in {ran}")

    def check_calls(self):
        """Checks that no host has read or written the jobs of another region."""
        for host, topic in self.calls:
            if topic.startswith(REGION_TOPIC):
                region = topic[len(REGION_TOPIC):]
                sh.check(self.region_of(host) == region, f"{host.zone} has called the store on {topic}")

    async def is_done(self, job, items, key):
        answer = await self.results(self.hosts[0], job, key=key)
        sh.check(answer.status in (200, 503), f"read of job {job}: {answer}")
        return answer.status == 200 and len(answer.json()["results"]) == items

    async def submit_all(self, hosts, per_host, **fields):
        """Submits jobs on the bound routes through `hosts`; returns (job, region)."""
        jobs = []
        for host in hosts:
            for region in ("east", "west"):
                for _ in range(per_host):
                    job = self.new_id("job")
                    answer = await self.submit(host, job, 3, route=f"to{region}", **fields)
                    sh.check(answer.status == 202, f"job {job} of {region} at {host.zone}: {answer}")
                    jobs.append((job, region))
        return jobs


def set_silent(engines, after):
    for engine in engines:
        engine.silent_after = after


async def held_and_run_in_their_region():
    """Guards against bodies in another region, before and after the hosts that
    hold them are lost, and against 404 for accepted jobs."""
    async with RegionFleet("region_held") as fleet:
        jobs = await fleet.submit_all(fleet.hosts, 1)
        for job, region in jobs:
            await fleet.all_results(job, 3)
            fleet.check_bound(job, 3, region)
            for host in fleet.hosts:
                answer = await fleet.item_body(host, job, f"{job}-0")
                sh.check(answer.status == 404, f"body of an item of {job} that is listed: {answer}")
        # No server takes the next ones, so that they stay open.
        for engine in fleet.engines:
            await engine.register("draining")
        await asyncio.sleep(1)
        jobs = await fleet.submit_all(fleet.hosts, 2)
        # Every host finds them at once, with any call, and unknown jobs in none.
        for job, _ in jobs:
            for host in fleet.hosts:
                answer = await fleet.results(host, job)
                sh.check(answer.status == 200, f"job {job} at {host.zone}: {answer}")
                answer = await fleet.item_body(host, job, f"{job}-0")
                sh.check((answer.status, answer.body) == (200, b"item"), f"body of {job} at {host.zone}: {answer}")
        for host in fleet.hosts:
            for key, status in ((sh.KEY, 404), ("unknown", 401), ("key-of-beta", 404)):
                for job in ("none", *((jobs[0][0],) if key != sh.KEY else ())):
                    answer = await fleet.results(host, job, key=key)
                    sh.check(answer.status == status, f"job {job} with {key} at {host.zone}: {answer}")
        again = await fleet.submit(fleet.hosts[2], jobs[0][0], 3, route="toeast")
        sh.check(again.status == 202, f"job {jobs[0][0]} once more: {again}")
        # An end from the other region.
        ended, region = jobs.pop()
        answer = await fleet.end_job(next(h for h in fleet.hosts if fleet.region_of(h) != region), ended)
        sh.check(answer.status == 200, f"end of {ended}: {answer}")
        answer = await fleet.results(fleet.hosts[0], ended)
        sh.check(answer.status == 200, f"ended job {ended}: {answer}")
        lost = [fleet.hosts[0], fleet.hosts[5]]
        for host in lost:
            await host.end()
        survivors = [host for host in fleet.hosts if host not in lost]
        for engine in fleet.engines:
            await engine.register("ready")
        end = time.monotonic() + TAKEOVER_S
        while time.monotonic() < end:
            for job, _ in jobs:
                answer = await fleet.results(survivors[len(fleet.calls) % len(survivors)], job)
                sh.check(answer.status in (200, 503), f"job {job} during the takeover: {answer}")
        jobs += await fleet.submit_all(survivors, 1)
        for job, region in jobs:
            for item, state, output in await fleet.all_results(job, 3, hosts=survivors):
                sh.check((state, output) == ("done", sh.stand_in.whole_output(item)), f"{item}: {state}")
            fleet.check_bound(job, 3, region)
        for host in lost:
            await host.start()
        await fleet.settled(len(fleet.hosts))
        for job, region in jobs:
            await fleet.all_results(job, 3, hosts=lost)
            fleet.check_bound(job, 3, region)
        # A planned stop hands the jobs over.
        set_silent(fleet.engines, 2)
        more = await fleet.submit_all(fleet.hosts[:1], 4)
        await asyncio.sleep(0.5)
        set_silent(fleet.engines, None)
        await fleet.hosts[1].end(signal.SIGTERM)
        for job, region in more:
            await fleet.all_results(job, 3, hosts=[h for h in fleet.hosts if h is not fleet.hosts[1]])
            fleet.check_bound(job, 3, region)
        fleet.check_calls()


async def silent_owner():
    """Guards against substitutes in other regions while the owners of a region's
    partitions do not answer, and against jobs that nobody accepts then."""
    async with RegionFleet("region_silent") as fleet:
        for host in fleet.hosts_in("east")[:2]:
            host.process.send_signal(signal.SIGSTOP)
        jobs = []
        for host in fleet.hosts_in("west") + fleet.hosts_in("east")[2:]:
            for _ in range(3):
                job = fleet.new_id("job")
                answer = await fleet.submit(host, job, 2, route="toeast")
                sh.check(answer.status == 202, f"job {job} while owners are silent: {answer}")
                jobs.append(job)
        for host in fleet.hosts_in("east")[:2]:
            host.process.send_signal(signal.SIGCONT)
        for job in jobs:
            found = await fleet.all_results(job, 2)
            sh.check(len({item for item, _, _ in found}) == 2, f"job {job}: {found}")
            fleet.check_bound(job, 2, "east")
        fleet.check_calls()


async def refused_without_a_region():
    """Guards against jobs that wait where nobody may run them, and against a
    refusal that does not tell why."""
    async with RegionFleet("region_refused", hosts=3, more_zones=EMPTY) as fleet:
        await fleet.declare(declared(2, BOUND, {"beta": ["west"]}))
        cases = (("toeast", "key-of-beta", "beta", "no allowed region in common"),
                 ("tonone", sh.KEY, "alpha", "no host is in an allowed region"),
                 ("tounknown", sh.KEY, "alpha", "no host is in an allowed region"))
        for host in fleet.hosts:
            for route, key, tenant, reason in cases:
                job = fleet.new_id("job")
                sent_at = time.monotonic()
                answer = await fleet.submit(host, job, 1, route=route, key=key)
                sh.check(answer.status == 503, f"job on {route} of {tenant}: {answer}")
                sh.check(time.monotonic() - sent_at < 1, f"refusal of a job on {route} took too long")
                message = answer.json()["error"]["message"]
                sh.check(all(word in message for word in (route, tenant, reason)), f"refusal: {message}")
                sh.check("retry-after" in answer.headers, f"refusal: {answer.headers}")
                sh.check(not fleet.topics_of(job), f"refused job {job} is in {fleet.topics_of(job)}")
            # A region without hosts may have any job that no other has.
            answer = await fleet.results(host, "none")
            sh.check(answer.status == 503, f"unknown job: {answer}")
            # The regions of a workspace alone bind, too.
            job = fleet.new_id("job")
            answer = await fleet.submit(host, job, 2, key="key-of-beta")
            sh.check(answer.status == 202, f"job of beta: {answer}")
            done = functools.partial(fleet.is_done, job, 2, "key-of-beta")
            await sh.until(done, f"job {job} is done")
            fleet.check_bound(job, 2, "west")


async def all_hosts_of_a_region_lost():
    """Guards against 404 for jobs whose region has lost all its hosts, and
    against jobs that are taken elsewhere or lost."""
    async with RegionFleet("region_lost", more_zones=EMPTY) as fleet:
        set_silent(fleet.engines, 2)
        jobs = [job for job, region in await fleet.submit_all(fleet.hosts[:1], 4) if region == "west"]
        both = [fleet.new_id("job") for _ in range(12)]
        for job in both:
            answer = await fleet.submit(fleet.hosts[0], job, 1, route="toboth")
            sh.check(answer.status == 202, f"job {job}: {answer}")
        west, east = fleet.hosts_in("west"), fleet.hosts_in("east")
        for host in west:
            await host.end()
        set_silent(fleet.engines, None)
        end = time.monotonic() + TAKEOVER_S
        while time.monotonic() < end:
            for host in east:
                for job in jobs:
                    answer = await fleet.results(host, job)
                    sh.check(answer.status == 503, f"job {job} without hosts in its region: {answer}")
            await asyncio.sleep(0.2)
        answer = await fleet.submit(east[0], fleet.new_id("job"), 1, route="towest")
        sh.check(answer.status == 503, f"job for a region without hosts: {answer}")
        # A job that may be in the west already is not accepted in the east, too.
        for job in both:
            before = fleet.topics_of(job)
            answer = await fleet.submit(east[0], job, 1, route="toboth")
            sh.check(answer.status == (202 if before == {REGION_TOPIC + "east"} else 504),
                     f"job {job} of {before} once more: {answer}")
            sh.check(fleet.topics_of(job) == before, f"job {job} is in {fleet.topics_of(job)}, was in {before}")
        sh.check({topic for job in both for topic in fleet.topics_of(job)} ==
                 {REGION_TOPIC + "east", REGION_TOPIC + "west"}, "the jobs for both regions are all in one")
        for host in west:
            await host.start()
        await fleet.settled(len(fleet.hosts))
        for job in jobs:
            await fleet.all_results(job, 3)
            fleet.check_bound(job, 3, "west")
        for job in both:
            await fleet.all_results(job, 1)
        fleet.check_calls()


async def regions_change_while_jobs_are_open():
    """Guards against open jobs that are lost, accepted twice or run in a region
    that is no longer allowed when the regions of their route change."""
    async with RegionFleet("region_change") as fleet:
        set_silent(fleet.engines, 2)
        jobs = [fleet.new_id("job") for _ in range(4)]
        for job in jobs:
            answer = await fleet.submit(fleet.hosts[2], job, 2, route="towest")
            sh.check(answer.status == 202, f"job {job}: {answer}")
        free = [fleet.new_id("job") for _ in range(4)]
        for job in free:
            answer = await fleet.submit(fleet.hosts[2], job, 2)
            sh.check(answer.status == 202, f"job {job}: {answer}")
            sh.check(not any(topic.startswith(REGION_TOPIC) for topic in fleet.topics_of(job)),
                     f"job {job} without regions is in {fleet.topics_of(job)}")
        held = {job: fleet.topics_of(job) for job in jobs + free}
        state = declared(2, dict(BOUND, towest=["east"]))
        job_route = next(route for route in state["routes"] if route["name"] == "job")
        job_route["allowedRegions"] = ["east"]
        await fleet.declare(state)
        changed_at = time.monotonic()
        for job, route in [(job, "towest") for job in jobs] + [(job, "job") for job in free]:
            for host in fleet.hosts:
                answer = await fleet.results(host, job)
                sh.check(answer.status == 200, f"job {job} at {host.zone} after the change: {answer}")
                answer = await fleet.submit(host, job, 2, route=route)
                sh.check(answer.status == 202, f"job {job} once more at {host.zone}: {answer}")
            sh.check(fleet.topics_of(job) == held[job], f"job {job} is in {fleet.topics_of(job)}")
        set_silent(fleet.engines, None)
        for job in jobs + free:
            await fleet.all_results(job, 2)
            for engine in fleet.engines:
                late = [s for s in engine.seen if s[0].startswith(job) and s[3] > changed_at]
                sh.check(not late or fleet.region_of(engine) == "east", f"job {job} ran at {engine.zone}: {late}")
        job = fleet.new_id("job")
        answer = await fleet.submit(fleet.hosts[2], job, 2, route="towest")
        sh.check(answer.status == 202, f"job {job}: {answer}")
        await fleet.all_results(job, 2)
        fleet.check_bound(job, 2, "east")


async def unchanged_without_the_feature():
    """Guards against a deployment that did not ask for it and whose jobs move,
    or whose hosts call the store more."""
    async with RegionFleet("region_off", contracts=(), hosts=3) as fleet:
        await fleet.declare(declared(2, BOUND, {"beta": ["west"]}))
        for host in fleet.hosts:
            for route, key in (("toeast", sh.KEY), ("toeast", "key-of-beta"), ("tonone", sh.KEY)):
                job = fleet.new_id("job")
                answer = await fleet.submit(host, job, 1, route=route, key=key)
                sh.check(answer.status == 202, f"job on {route}: {answer}")
                answer = await fleet.results(host, job, key=key)
                sh.check(answer.status == 200, f"job {job}: {answer}")
        sh.check(not any(topic.startswith(REGION_TOPIC) for topic, _ in fleet.store.logs),
                 f"topics of the store: {sorted({topic for topic, _ in fleet.store.logs})}")


async def test():
    await held_and_run_in_their_region()
    await silent_owner()
    await refused_without_a_region()
    await all_hosts_of_a_region_lost()
    await regions_change_while_jobs_are_open()
    await unchanged_without_the_feature()


sh.run(test)
