#!/usr/bin/python3
"""Guards against batch jobs that are accepted and then given up, cut short or
never finished."""

import asyncio

import site_helper as sh

SHORT_READ_MS = 100


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


async def test():
    await job_on_a_route_its_owner_does_not_know("late")
    await job_on_a_route_its_owner_does_not_know("job/late")


sh.run(test)
