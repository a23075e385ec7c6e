#!/usr/bin/python3
"""Guards against hosts that use what is no longer true although the store has
told it: servers that have left, and states that have been replaced.

Usage: site_feed.py SCENARIO"""

import asyncio
import sys

import site_helper as sh

# Bounds of the users' sheets: a server that has left gets no request later than
# drainMs after its removal was confirmed (grown sites).
DRAIN_S = 4
# Longest time from a state's confirmation to the last host (grown sites).
SPREAD_S = 2.5
READERS = 2
# drainMs of the small sites: a host that has passed on an answer of a server that
# leaves sends it nothing later than this.
SHORT_DRAIN_S = 2.5


async def metric(host, name):
    text = (await sh.call(host.ip, sh.METRICS, "GET", "/metrics", limit=2)).body.decode()
    return next(float(line.split(" ")[1]) for line in text.splitlines() if line.startswith(f"{name} "))


def large_fleet(name, hosts, engines):
    """A fleet whose only data centre is large enough to have readers."""
    sh.ZONES = {"east-a": "east"}
    return sh.Fleet(name, hosts=hosts, engines=engines)


async def reading(fleet):
    return [host for host in fleet.hosts if await metric(host, "dogwood_reads_store") == 1]


async def removal_behind_failing_calls():
    """The store answers reads, but no host's renewal of its membership. A
    removal that was read without a gap is certain all the same: hosts must not
    keep the server in use."""
    async with large_fleet("removal_behind_failing_calls", hosts=8, engines=2) as fleet:
        async def two_read():
            return len(await reading(fleet)) == READERS
        await sh.until(two_read, "two hosts read the store", 10)
        fleet.store.refused_members = {host.member for host in fleet.hosts}
        await asyncio.sleep(1)
        left = fleet.engines[0]
        await fleet.store.put(sh.stand_in.SERVER_TOPIC, left.name, None)
        await asyncio.sleep(DRAIN_S)
        before = len(left.seen)
        for _ in range(4):
            answers = await asyncio.gather(*(fleet.ask(host, "stream") for host in fleet.hosts))
            sh.check(all(a.status == 200 for a in answers), f"statuses {[a.status for a in answers]}")
        late = len(left.seen) - before
        sh.check(late == 0, f"{late} of {4 * len(fleet.hosts)} requests reached a server that had left {DRAIN_S} s before")


async def state_over_narrow_link():
    """A large state reaches all hosts over a link that carries one copy in
    0.95 s: the readers share it, and reads that make progress are not given up."""
    async with large_fleet("state_over_narrow_link", hosts=10, engines=1) as fleet:
        await asyncio.sleep(2)
        more = [dict(sh.state()["routes"][3], name=f"more-{i}", pathPrefix=f"/more-{i}/") for i in range(1400)]
        state = sh.state(2, routes=sh.state()["routes"] + more)
        size = len(sh.json.dumps(state))
        fleet.store.limit_rate(size / 0.95)
        await fleet.store.put(sh.stand_in.STATE_TOPIC, "config", state)
        await asyncio.sleep(SPREAD_S)
        old = [host.log_path.name for host in fleet.hosts if await metric(host, "dogwood_state_version") != 2]
        copies = fleet.store.sent_bytes / size
        sh.check(not old, f"{len(old)} of 10 hosts have an old state after {SPREAD_S} s; {copies:.1f} copies sent")
        await asyncio.sleep(2)
        copies = fleet.store.sent_bytes / size
        print(f"{copies:.1f} copies of {size} bytes sent")
        sh.check(copies < READERS + 1, f"{copies:.1f} copies of the state were sent to one data centre")


async def announced_in_answers():
    """A server says in its answers that it leaves; its registration, and the
    store, say nothing. Each host that has passed on such an answer must keep
    off the server, also after it has read the registration once more, until the
    server starts again."""
    async with sh.Fleet("announced_in_answers", hosts=3, engines=2) as fleet:
        left = fleet.engines[0]
        left.says_it_leaves = True
        async def ask_all(rounds):
            for _ in range(rounds):
                answers = await asyncio.gather(*(fleet.ask(host, route) for host in fleet.hosts
                                                 for route in ("stream", "read")))
                sh.check(all(a.status == 200 for a in answers), f"statuses {[a.status for a in answers]}")
        await ask_all(10)
        sh.check(left.seen, "no request met the server")
        await left.register("ready")
        await fleet.store.put(sh.stand_in.SERVER_TOPIC, "other", {"service": "x"})
        fleet.store.is_down = True
        await asyncio.sleep(SHORT_DRAIN_S)
        before = len(left.seen)
        await ask_all(10)
        late = len(left.seen) - before
        sh.check(late == 0, f"{late} of 60 requests reached a server {SHORT_DRAIN_S} s after it had said that it leaves")
        fleet.store.is_down = False
        left.says_it_leaves, left.born = False, 2
        await left.register("ready")
        await asyncio.sleep(SHORT_DRAIN_S)
        await ask_all(10)
        sh.check(len(left.seen) > before, "the server has started again and gets no requests")


SCENARIOS = {"announced": announced_in_answers, "removal": removal_behind_failing_calls, "narrow_link": state_over_narrow_link}
sh.run(SCENARIOS[sys.argv[1]])
