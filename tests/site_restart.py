#!/usr/bin/python3
"""Guards against old knowledge: servers that have left, keys that have been
withdrawn and states that have been replaced, at hosts that start while the
store is away, and at hosts whose readers die or fall silent."""

import asyncio
import signal

import site_helper as sh

# A declared state is in force this long after its confirmation (the users'
# sheet of the large site, configApplyMs).
APPLY_S = 5
READERS = 2


def tenants(keys):
    return [{"name": "alpha", "apiKeys": keys, "ratePerS": 0, "burst": 0}]


async def metric(host, name):
    text = (await sh.call(host.ip, sh.METRICS, "GET", "/metrics", limit=2)).body.decode()
    return next(float(line.split(" ")[1]) for line in text.splitlines() if line.startswith(f"{name} "))


async def has_state(host, version):
    return await metric(host, "dogwood_state_version") == version


async def start_without_store():
    """A host that starts in an outage of the store learns from its peers: it
    serves, with the servers and keys that are in force, however long the outage
    has lasted."""
    async with sh.Fleet("start_without_store", hosts=3, engines=2) as fleet:
        await fleet.store.put(sh.stand_in.STATE_TOPIC, "config", sh.state(2, tenants=tenants([sh.KEY])))
        await fleet.store.put(sh.stand_in.SERVER_TOPIC, fleet.engines[0].name, None)
        for host in fleet.hosts:
            await sh.until(lambda host=host: has_state(host, 2), "the key is withdrawn", APPLY_S)
        await asyncio.sleep(1)
        fleet.store.is_down = True
        await asyncio.sleep(4)
        left = len(fleet.engines[0].seen)
        restarted = fleet.hosts[2]
        await restarted.end()
        await restarted.start()

        async def serves():
            return (await fleet.ask(restarted, "stream")).status == 200
        await sh.until(serves, "a host that has started without the store serves", 5)
        for _ in range(10):
            answer = await fleet.ask(restarted, "stream", key="spare")
            sh.check(answer.status == 401, f"withdrawn key after a restart: {answer}")
            answer = await fleet.ask(restarted, "stream")
            sh.check(answer.status == 200, f"after a restart: {answer}")
        sh.check(len(fleet.engines[0].seen) == left, "a server that had left was used after a restart")


async def readers_fail():
    """In a large data centre two hosts read the store for the others. Whether
    they are killed or silent, a new state reaches the others in time, and a
    host that starts never goes back to an old one."""
    zones = sh.ZONES
    sh.ZONES = {"east-a": "east"}
    try:
        async with sh.Fleet("readers_fail", hosts=8, engines=1) as fleet:
            async def readers():
                return [host for host in fleet.hosts if await metric(host, "dogwood_reads_store") == 1]

            async def two_read():
                return len(await readers()) == READERS
            await sh.until(two_read, "two hosts read the store", 10)
            await fleet.store.put(sh.stand_in.STATE_TOPIC, "config", sh.state(2))
            for host in fleet.hosts:
                await sh.until(lambda host=host: has_state(host, 2), "the state reaches all hosts", 2)
            silent = await readers()
            others = [host for host in fleet.hosts if host not in silent]
            for host in silent:
                host.process.send_signal(signal.SIGSTOP)
            await fleet.store.put(sh.stand_in.STATE_TOPIC, "config", sh.state(3, tenants=tenants([sh.KEY])))
            await asyncio.sleep(APPLY_S)
            for host in others:
                sh.check(await has_state(host, 3), f"{host.log_path.name}: old state behind silent readers")
                answer = await fleet.ask(host, "stream", key="spare")
                sh.check(answer.status == 401, f"withdrawn key behind silent readers: {answer}")
            for host in silent:
                host.process.send_signal(signal.SIGCONT)
            await asyncio.sleep(APPLY_S)
            for host in fleet.hosts:
                sh.check(await has_state(host, 3), f"{host.log_path.name}: old state after the pause")
            dead = await readers()
            await asyncio.gather(*(host.end() for host in dead))
            await fleet.store.put(sh.stand_in.STATE_TOPIC, "config", sh.state(4))
            await asyncio.sleep(APPLY_S)
            for host in fleet.hosts:
                sh.check(host in dead or await has_state(host, 4), f"{host.log_path.name}: old state without readers")
    finally:
        sh.ZONES = zones


async def waiting_tokens():
    """Accepted jobs stay within the limit of waiting tokens over all hosts, and
    what is refused does not run."""
    async with sh.Fleet("waiting_tokens", hosts=3, engines=1) as fleet:
        declared = sh.state(2)
        # Each item counts 10 tokens (site_helper), so 30 items fit.
        next(r for r in declared["routes"] if r["name"] == "job")["maxCount"] = 300
        fleet.engines[0].slots = 1
        fleet.engines[0].gap_s = 0.4
        await fleet.engines[0].register("ready")
        await fleet.store.put(sh.stand_in.STATE_TOPIC, "config", declared)
        for host in fleet.hosts:
            await sh.until(lambda host=host: has_state(host, 2), "the limit is in force", APPLY_S)
        await asyncio.sleep(1)
        jobs = [fleet.new_id("job") for _ in range(12)]
        answers = await asyncio.gather(*(
            fleet.submit(fleet.hosts[i % 3], job, 5) for i, job in enumerate(jobs)))
        statuses = [answer.status for answer in answers]
        sh.check(set(statuses) <= {202, 429}, f"statuses {statuses}")
        sh.check(1 <= statuses.count(202) <= 6, f"{statuses.count(202)} jobs of 50 tokens accepted with a limit of 300")
        sh.check(statuses.count(202) >= 5, f"only {statuses.count(202)} of 6 jobs that fit were accepted")
        refused = [job for job, status in zip(jobs, statuses) if status == 429]
        await asyncio.sleep(2)
        for job in refused:
            sh.check(not any(fleet.runs(f"{job}-{i}") for i in range(5)), f"refused job {job} ran")


async def start_of_all_hosts():
    """When all hosts start at once, the members and with them the dispatcher
    are known late. A caller that was cut off once and returns must not be
    refused meanwhile because one host's part of its workspace's limit is small:
    it would give up."""
    async with sh.Fleet("start_of_all_hosts", hosts=3, engines=1) as fleet:
        await asyncio.gather(*(host.end() for host in fleet.hosts))
        # Longer than the lifetime of the old memberships.
        await asyncio.sleep(2.5)
        fleet.store.group_delay_s = 0.8
        await asyncio.gather(*(host.start() for host in fleet.hosts))

        await sh.until(fleet.hosts[0].is_ready, "the host knows the state")
        # Half of the route's time is gone: these callers return.
        answers = await asyncio.gather(*(
            fleet.ask(fleet.hosts[0], "stream", key="key-of-beta", X_Deadline_Ms=4000) for _ in range(6)))
        statuses = [answer.status for answer in answers]
        sh.check(statuses == [200] * 6, f"returning callers after a start of all hosts: {statuses}")


async def test():
    await start_of_all_hosts()
    await start_without_store()
    await readers_fail()
    await waiting_tokens()


sh.run(test)
