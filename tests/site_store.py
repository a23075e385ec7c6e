#!/usr/bin/python3
"""Guards against an outage of the store that stops online requests, against a
host that starts during the outage and refuses valid requests, against an older
declared state that replaces a newer one, and against keys and limits that are
not enforced, and against a full store that holds up jobs or loses them."""

import asyncio
import time

import site_helper as sh


async def outage():
    async with sh.Fleet("outage", hosts=3) as fleet:
        fleet.store.is_down = True
        await fleet.hosts[2].end()
        await fleet.hosts[2].start()
        await sh.until(fleet.hosts[2].is_ready, "a host gets the declared state from a peer")
        for i in range(9):
            answer = await fleet.ask(fleet.hosts[i % 3], "stream")
            sh.check(answer.status == 200 and answer.is_whole, f"during the outage: {answer}")
        answer = await fleet.submit(fleet.hosts[0], "job", 3)
        sh.check(answer.status in (503, 504), f"job during the outage: {answer}")
        sh.check(not any(seen[0].startswith("job") for e in fleet.engines for seen in e.seen),
                 "an item of a refused job ran")
        fleet.store.is_down = False

        async def accepted():
            return (await fleet.submit(fleet.hosts[0], "job", 3)).status == 202
        await sh.until(accepted, "jobs are accepted again")
        await fleet.all_results("job", 3)


async def states():
    async with sh.Fleet("states", hosts=2) as fleet:
        put = fleet.store.put
        newer = sh.state(5, tenants=[{"name": "alpha", "apiKeys": [sh.KEY], "ratePerS": 0, "burst": 0}])
        newer["routes"] = [r for r in newer["routes"] if r["name"] != "read"]
        await put(sh.stand_in.STATE_TOPIC, "config", newer)

        async def applied():
            answers = [await fleet.ask(host, "read/plain") for host in fleet.hosts]
            return all(a.status == 404 for a in answers)
        await sh.until(applied, "both hosts apply the state")
        await put(sh.stand_in.STATE_TOPIC, "config", sh.state(4))
        await sh.stand_in.Store.append(fleet.store, sh.stand_in.STATE_TOPIC, 0, [b"\x06configno JSON"])
        await asyncio.sleep(0.6)
        for host in fleet.hosts:
            answer = await fleet.ask(host, "read/plain")
            sh.check(answer.status == 404, f"an older state came back: {answer}")
            answer = await fleet.ask(host, "stream", key="spare")
            sh.check(answer.status == 401, f"removed key is still accepted: {answer}")
            answer = await fleet.ask(host, "stream")
            sh.check(answer.status == 200, f"valid key is refused: {answer}")


async def limits():
    """Guards against exceeded limits: workspace beta has 10 requests per
    second and a burst of 10."""
    async with sh.Fleet("limits", hosts=3, engines=4) as fleet:
        answers = await asyncio.gather(*(
            fleet.ask(fleet.hosts[i % 3], "read/plain", key="key-of-beta") for i in range(90)))
        statuses = [a.status for a in answers]
        served = statuses.count(200)
        sh.check(1 <= served <= 30, f"{served} of 90 requests at once were served")
        sh.check(set(statuses) <= {200, 429}, f"statuses: {set(statuses)}")
        sh.check(all("retry-after" in a.headers for a in answers if a.status == 429), "a 429 answer has no Retry-After")


async def full():
    """Guards against jobs that wait for their deadline at a store that is full,
    or run although they were refused, against results that are lost meanwhile,
    and against hosts that spend the store's rate on appends in vain."""
    async with sh.Fleet("full", hosts=3) as fleet:
        for engine in fleet.engines:
            engine.silent_after = 4
        answer = await fleet.submit(fleet.hosts[0], "early", 6)
        sh.check(answer.status == 202, f"job before the store is full: {answer}")
        await asyncio.sleep(0.5)
        fleet.store.is_full = True
        for engine in fleet.engines:
            engine.silent_after = None
        for i in range(6):
            sent = time.monotonic()
            answer = await fleet.submit(fleet.hosts[i % 3], f"late{i}", 2)
            sh.check(answer.status == 503 and "retry-after" in answer.headers, f"job at a full store: {answer}")
            sh.check(time.monotonic() - sent < 1, f"refused after {time.monotonic() - sent:.1f} s")
            answer = await fleet.ask(fleet.hosts[i % 3], "stream")
            sh.check(answer.status == 200 and answer.is_whole, f"online at a full store: {answer}")
        appends, since = fleet.store.appends, time.monotonic()
        await asyncio.sleep(3)
        rate = (fleet.store.appends - appends) / (time.monotonic() - since)
        sh.check(rate <= 2, f"{rate:.1f} appends in vain a second, of one partition")
        sh.check(not any(seen[0].startswith("late") for e in fleet.engines for seen in e.seen),
                 "an item of a refused job ran")
        fleet.store.is_full = False
        for item, end, output in await fleet.all_results("early", 6):
            sh.check((end, output) == ("done", sh.stand_in.whole_output(item)), f"{item}: {end} {output}")
        answer = await fleet.submit(fleet.hosts[0], "late0", 2)
        sh.check(answer.status == 202, f"job once more: {answer}")
        await fleet.all_results("late0", 2)
        sh.check(not any(seen[0].startswith("late1") for e in fleet.engines for seen in e.seen),
                 "an item of a refused job ran later")


async def test():
    await full()
    await outage()
    await states()
    await limits()


sh.run(test)
