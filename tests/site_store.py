#!/usr/bin/python3
"""Guards against an outage of the store that stops online requests, against a
host that starts during the outage and refuses valid requests, against an older
declared state that replaces a newer one, and against keys and limits that are
not enforced."""

import asyncio

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


async def test():
    await outage()
    await states()
    await limits()


sh.run(test)
