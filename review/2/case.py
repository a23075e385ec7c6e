"""A new batch route comes into force, and one host learns of it a second later
than the others, because its channel to the store has gone silent. Jobs on the
new route that are accepted meanwhile are given up by that host."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import proxy  # noqa: E402
import small_site as ss  # noqa: E402

ITEMS, JOBS = 10, 3
FINISH_S = 18
NEW_ROUTE = "night"


class Site(ss.Site):
    """Each host reaches the store through a proxy of its own."""

    async def __aenter__(self):
        port = self.port["store"]
        self.proxies = {}
        for host in self.hosts:
            ip = f"127.{self.net}.3.{host.index + 1}"
            self.proxies[host] = proxy.Proxy(ip, port, (self.store_ip, port))
            await self.proxies[host].start()
            host.store_address = f"{ip}:{port}"
        return await super().__aenter__()

    async def __aexit__(self, *error):
        await super().__aexit__(*error)
        for one in self.proxies.values():
            await one.stop()


async def case(record):
    async with Site(record) as site:
        # Some hosts own topics of members only, by the order in which they joined.
        late = site.host_of(site.store.owner(0))
        other = next(host for host in site.hosts if host is not late)
        owned = [number for number in range(120) if site.store.owner(number) == late.member]
        names = (f"{number:016x}" for number in range(10000))
        jobs = [name for name in names if ss.partition_of(name) in owned][:JOBS]
        record(f"the partitions of the jobs are owned by {late.name}")
        if ss.TROUBLE:
            count = site.proxies[late].silence("keyed.op")
            record(f"{count} channels on which {late.name} reads the desired state go silent; new ones work")
            if count == 0:
                raise RuntimeError("no channel to silence")
        await site.put_state(ss.state(2, [ss.batch_route(NEW_ROUTE)]))
        confirmed = time.monotonic()
        while await other.metric("dogwood_state_version") != 2:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.1)
        record(f"{other.name} has version 2, {late.name} has {await late.metric('dogwood_state_version')}")
        accepted = []
        for job in jobs:
            items = [ss.item(f"{job[-8:]}-{i}", path=f"/{NEW_ROUTE}/x") for i in range(ITEMS)]
            if await site.submit(other, job, items, f"/{NEW_ROUTE}/{job}") == 202:
                accepted.append(job)
        while await late.metric("dogwood_state_version") != 2:
            await asyncio.sleep(0.02)
        record(f"{late.name} has version 2, {time.monotonic() - confirmed:.1f} s after its confirmation")
        until = time.monotonic() + FINISH_S
        found = await asyncio.gather(*(site.follow(job, ITEMS, until) for job in accepted))
        site.record_runs()
        broken = []
        for job, results in zip(accepted, found):
            given_up = [result["id"] for result in results if result["state"] == "dead_letter"]
            runs = sum(site.runs(name) for name in given_up)
            if given_up:
                broken.append(f"MIXED: job {job}: {len(given_up)} of {ITEMS} items are dead_letter, after {runs} runs, "
                              "no 422 and no 500, while the route is there and retentionS (60) is not over")
            if len(results) < ITEMS:
                record(f"job {job} has only {len(results)} results")
        return broken


ss.run(case, FOLDER)
