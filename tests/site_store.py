#!/usr/bin/python3
"""Guards against an outage of the store that stops online requests, against a
host that starts during the outage and refuses valid requests, against an older
declared state that replaces a newer one, against keys and limits that are not
enforced, against odd entries that are used or end hosts, and against a full
store that holds up jobs or loses them."""

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


ODD_FIELDS = ({"address": "127.0.0.1:70000"}, {"address": "127.0.0.1:0"}, {"address": "0.0.0.0:7201"},
              {"address": "nowhere:7201"}, {"address": 7201}, {"slots": 1e30}, {"slots": -1}, {"slots": 0}, {"slots": 0.5},
              {"slots": "8"}, {"slots": None}, {"slots": 10**9}, {"state": "strange"}, {"service": None}, {"service": ""},
              {"zone": 5}, {"born": 1e30}, {"born": -1}, {"born": 0.5}, {"born": "now"})


async def odd_entries():
    """Guards against entries of another writer that are used as servers and
    cost attempts, that end hosts, or that hide the entries beside them."""
    async with sh.Fleet("odd_entries", hosts=2) as fleet:
        engine, topic = fleet.engines[0], sh.stand_in.SERVER_TOPIC

        async def write(seq):
            for i, fields in enumerate(ODD_FIELDS):
                sound = {"service": sh.SERVICE, "address": f"{engine.ip}:{sh.ENGINE + 1}", "zone": engine.zone,
                         "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": seq, "born": 1}
                await fleet.store.put(topic, f"odd{i}", {**sound, **fields})
            for key, text in (("deep", b"[" * 200000), ("deepfield", b'{"service":' + b"[" * 100 + b"]" * 100 + b"}"),
                              ("bytes", b"\xff\x00"), ("huge", b'{"slots":1' + b"0" * 400 + b"}")):
                await fleet.store.append(topic, 0, [bytes([len(key)]) + key.encode() + text])
        await write(1)
        await asyncio.sleep(1)
        odd = len(ODD_FIELDS) + 4
        for host in fleet.hosts:
            servers = await host.metric("dogwood_servers")
            sh.check(servers == len(fleet.engines), f"{servers} servers in use")
        for _ in range(10):
            answers = await asyncio.gather(*(fleet.ask(host, route) for host in fleet.hosts
                                             for route in ("stream", "read/plain", "once")))
            sh.check(all(a.status == 200 and a.is_whole for a in answers), f"statuses: {[a.status for a in answers]}")
        # Entries are written again and again; each is told once.
        await write(2)
        await asyncio.sleep(1)
        for host in fleet.hosts:
            rejected = await host.metric("dogwood_entries_rejected")
            sh.check(rejected == odd, f"{rejected} entries rejected, {odd} are odd")
            lines = [line for line in host.log_path.read_text().splitlines() if "entry_rejected" in line]
            sh.check(len(lines) == odd, f"{len(lines)} messages about {odd} odd entries")
            told = [line for line in lines if '"odd0"' in line]
            sh.check(len(told) == 1 and "address" in told[0] and ":70000" in told[0], f"message: {told}")
        # A server of which nothing odd is told any more is used.
        await fleet.store.put(topic, "odd0", {"service": sh.SERVICE, "address": f"{engine.ip}:{sh.ENGINE}", "slots": 8,
                                              "zone": engine.zone, "state": "ready", "born": 1})

        async def is_used():
            return await fleet.hosts[0].metric("dogwood_servers") == len(fleet.engines) + 1
        await sh.until(is_used, "an entry that is sound again is used", 5)


async def odd_numbers():
    """Guards against numbers of the declared state, of callers and of servers'
    answers that overflow when they are used."""
    async with sh.Fleet("odd_numbers", hosts=2) as fleet:
        for version, number in enumerate((1e30, -1e30, 1e308, 2**63, -7), start=2):
            state = sh.state(version)
            for route in state["routes"]:
                route.update(timeoutMs=number, targetLatencyMs=number, gapAimMs=number)
            state["routes"][-1].update(completionTargetMs=number, maxAttempts=number)
            state["routes"][-1]["retentionS"] = max(abs(number), 60)
            state["tenants"][0].update(ratePerS=abs(number), burst=abs(number))
            await fleet.store.put(sh.stand_in.STATE_TOPIC, "config", state)

            async def applied():
                return all([await host.metric("dogwood_state_version") == version for host in fleet.hosts])
            await sh.until(applied, f"both hosts apply the state with {number}")
            for host in fleet.hosts:
                for deadline in ("8000", "18446744073709551615", "9223372036854775807"):
                    answer = await sh.call(host.ip, sh.FRONT, "POST", "/stream/x", b"", Host=sh.HOST_NAME,
                                           X_Attempt_Id=fleet.new_id(), X_Deadline_Ms=deadline, X_Key=sh.KEY)
                    sh.check(answer.status == 200 and answer.is_whole, f"{number}, deadline {deadline}: {answer}")
            job = fleet.new_id("job")
            answer = await fleet.submit(fleet.hosts[0], job, 2)
            sh.check(answer.status == 202, f"job with {number}: {answer}")
            for item, end, output in await fleet.all_results(job, 2):
                sh.check((end, output) == ("done", sh.stand_in.whole_output(item)), f"{number}: item {item}: {end}")
            answer = await sh.call(fleet.hosts[1].ip, sh.FRONT, "GET", f"/api/lots/{job}?after=2", Host=sh.HOST_NAME,
                                   X_Key=sh.KEY, X_Wait_Ms="18446744073709551615")
            sh.check(answer.status == 200, f"read with a long wait: {answer}")
            for host in fleet.hosts:
                sh.check(host.process.returncode is None, f"{host.log_path.name} has ended")
                sh.check(await host.metric("dogwood_entries_rejected") > 0, "no odd number was counted")


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
    await odd_entries()
    await odd_numbers()


sh.run(test)
