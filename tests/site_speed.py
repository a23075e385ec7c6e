#!/usr/bin/python3
"""Three servers beside each other, one of which is slow. Guards against times
and figures that do not reach the dispatcher, and against deployments whose
placement changes although they have not asked for it."""

import asyncio
import time

import site_helper as sh

SLOW, BAD = 0, 2
LOAD_S = 5
CALLERS = 12


async def load(fleet, hosts, seconds):
    """Sends requests one after the other from each of some callers."""
    async def caller(number):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await fleet.ask(hosts[number % len(hosts)], "stream", fleet.new_id())
    await asyncio.gather(*(caller(i) for i in range(CALLERS)))


async def total(hosts, name):
    return sum([await host.metric(name) or 0 for host in hosts])


def share_of_slow(fleet, since):
    counts = [sum(1 for run in engine.seen if run[3] >= since) for engine in fleet.engines]
    print("runs of each server:", counts, flush=True)
    return counts[SLOW] / sum(counts)


async def run_fleet(fleet):
    """Returns the share of requests that the slow server got once known."""
    for engine in fleet.engines:
        engine.zone, engine.slowness = "east-a", 100
        await engine.register("ready")
    fleet.engines[SLOW].gap_s *= 4
    fleet.engines[BAD].slowness = "much"
    await asyncio.sleep(1)
    # Polled, since the estimate fades while the server gets nothing.
    running = asyncio.create_task(load(fleet, fleet.hosts, LOAD_S))
    fleet.slow_count = 0
    while not running.done():
        await asyncio.sleep(0.3)
        fleet.slow_count = max(fleet.slow_count, await total(fleet.hosts, "dogwood_servers_slow"))
    await running
    since = time.monotonic()
    await load(fleet, fleet.hosts, LOAD_S)
    return share_of_slow(fleet, since)


async def test():
    async with sh.Fleet("speed", engines=3, settings={"contracts": ["pressure"]}) as fleet:
        share = await run_fleet(fleet)
        sh.check(share < 0.05, f"the slow server got {share:.2f} of the requests")
        sh.check(await total(fleet.hosts, "dogwood_server_speed_samples_total") > 50, "no samples")
        sh.check(fleet.slow_count == 1, f"{fleet.slow_count} servers count as slow")
        rejected = await total(fleet.hosts, "dogwood_load_figures_rejected_total")
        sh.check(rejected > 10, f"{rejected} figures rejected")
        for host in fleet.hosts:
            lines = host.log_path.read_text().count("load_figure_rejected")
            sh.check(lines <= 1, f"host {host.index} logged {lines} rejected figures of one server")
        logged = sum(host.log_path.read_text().count("server_speed") for host in fleet.hosts)
        sh.check(logged >= 1, "the slow server was not logged")
    async with sh.Fleet("speed", engines=3) as fleet:
        share = await run_fleet(fleet)
        sh.check(await total(fleet.hosts, "dogwood_server_speed_samples_total") == 0, "samples without the feature")
        sh.check(await total(fleet.hosts, "dogwood_load_figures_rejected_total") == 0, "figures read without the feature")
        logged = sum(host.log_path.read_text().count("server_speed") for host in fleet.hosts)
        sh.check(logged == 0, "speeds logged without the feature")
        sh.check(share > 0.1, f"the slow server got {share:.2f} of the requests without the feature")


sh.run(test)
