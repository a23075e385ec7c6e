"""Hosts in touch handle requests by an old desired state while others are cut off."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-3"))

import kit  # noqa: E402
from kit import sh, stand_in  # noqa: E402
from cut import CutFleet  # noqa: E402

HOSTS = 15  # As in one zone of the grown deployments: 88 machines in 6 zones.
CUT_SHARE = 0.35  # Of node_cut, for 12 s.
CUT_S = 12
ROUNDS = 4
CONFIG_APPLY_S = 4.0  # configApplyMs of the grown deployments.
STABLE_WINDOW_S = 5.0  # stableWindowMs of the grown deployments.
OLD, NEW = "llm", "llm-two"
PROBE_PAUSE_S = 0.2


def declared(version, service):
    """Returns a state in which route `read` leads to `service`."""
    state = sh.state(version)
    for route in state["routes"]:
        if route["name"] == "read":
            route["service"] = service
    state["services"].append({**state["services"][0], "name": NEW})
    return state


class Fleet(CutFleet):
    def first_state(self):
        return declared(1, OLD)


async def probe(fleet, host, sent):
    """Sends one request on route `read` through a host."""
    attempt = fleet.new_id("probe")
    sent[attempt] = (host, asyncio.get_running_loop().time())
    try:
        answer = await fleet.ask(host, "read/plain", attempt, limit=6)
        return attempt, answer.status
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return attempt, None


async def follow_change(fleet, hosts, version, service, record):
    """Changes the state and sends requests through hosts that are in touch.
    Returns those that were handled too late by the old state."""
    loop = asyncio.get_running_loop()
    await fleet.store.put(stand_in.STATE_TOPIC, "config", declared(version, service))
    confirmed = loop.time()
    record.line(f"version {version} is confirmed: route read leads to service {service}")
    late, sent, pending, latest = [], {}, set(), {}
    while loop.time() < confirmed + CUT_S - 1:
        for host in hosts:
            pending.add(asyncio.ensure_future(probe(fleet, host, sent)))
        await asyncio.sleep(PROBE_PAUSE_S)
    statuses = dict([await task for task in pending])
    for engine in fleet.engines:
        for attempt, _, _, _ in engine.seen:
            if attempt not in sent or engine.service == service:
                continue
            host, at = sent[attempt]
            delay = at - confirmed
            latest[host.index] = max(latest.get(host.index, 0), delay)
            if delay > CONFIG_APPLY_S:
                late.append((delay, attempt, host, engine))
    counts = {status: list(statuses.values()).count(status) for status in set(statuses.values())}
    record.line(f"{len(sent)} requests through {len(hosts)} hosts that are not cut off, answers {counts}")
    record.line("last request that the old service ran, in seconds after the confirmation, by host: "
                + ", ".join(f"{index}: {delay:.2f}" for index, delay in sorted(latest.items())))
    for delay, attempt, host, engine in sorted(late, key=lambda entry: entry[0])[-5:]:
        record.line(f"request {attempt} through host {host.index}, sent {delay:.2f} s after the confirmation, "
                    f"was run by server {engine.name} of service {engine.service}")
    return late


async def case(record):
    sh.ZONES.clear()
    sh.ZONES["east-a"] = "east"
    async with Fleet("stale", hosts=HOSTS, engines=4) as fleet:
        for engine in fleet.engines[2:]:
            engine.service = NEW
            await engine.register("ready")
        for number in range(ROUNDS):
            await asyncio.sleep(STABLE_WINDOW_S + 1)
            reading = [await host.metric("dogwood_reads_store") for host in fleet.hosts]
            readers = [host for host, reads in zip(fleet.hosts, reading) if reads]
            others = [host for host in fleet.hosts if host not in readers]
            count = int(HOSTS * CUT_SHARE)
            chosen = (readers + random.Random(number).sample(others, len(others)))[:count]
            if kit.TROUBLE:
                fleet.cut.set(host.index for host in chosen)
                record.line(f"hosts {sorted(host.index for host in chosen)} are cut off for {CUT_S} s; "
                            f"{[host.index for host in readers]} read the store")
            in_touch = [host for host in fleet.hosts if host not in chosen]
            late = await follow_change(fleet, in_touch, number + 2, (NEW, OLD)[number % 2], record)
            fleet.cut.set(())
            if late:
                worst = max(late, key=lambda entry: entry[0])
                return (f"CONFIG: {len(late)} requests were run by the old service, the last one sent "
                        f"{worst[0]:.2f} s after the confirmation through host {worst[2].index}, which was in touch; "
                        f"configApplyMs is {CONFIG_APPLY_S * 1000:.0f}")
        return None


kit.run(FOLDER, case)
