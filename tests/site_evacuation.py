#!/usr/bin/python3
"""Guards against requests that reach the servers of an evacuated data centre,
also at hosts that start while the store is away, against running requests that
an evacuation cuts, and against servers that stay unused when it has ended."""

import asyncio
import time

import site_helper as sh

# A request reaches no server of the data centre this long after the store has
# confirmed the record (the users' sheet, evacMs).
EVACUATED_S = 5
# Time within which a withdrawal must have effect; declared states take 4 s.
ENDED_S = 5
ZONE = "east-a"


async def put(fleet, zone, value):
    await fleet.store.put(sh.stand_in.STATE_TOPIC, f"evacuate/{zone}", value)


def events(host, name):
    """Returns how many lines of this event a host has logged."""
    return host.log_path.read_text(errors="replace").count(f'"{name}"')


async def see(fleet, count, limit):
    """Waits until all hosts tell `count` evacuated data centres."""
    for host in fleet.hosts:
        async def sees(host=host):
            return await host.metric("dogwood_data_centres_evacuated") == count
        await sh.until(sees, f"{host.log_path.name} knows of {count} evacuations", limit)


async def ask_all(fleet, rounds, what):
    """Sends requests through all hosts; each must be answered."""
    for _ in range(rounds):
        answers = await asyncio.gather(*(
            fleet.ask(host, route) for host in fleet.hosts for route in ("stream", "once", "read")))
        statuses = [answer.status for answer in answers]
        sh.check(set(statuses) == {200}, f"{what}: statuses {statuses}")


async def evacuation():
    async with sh.Fleet("evacuation", hosts=3, engines=3) as fleet:
        emptied = next(engine for engine in fleet.engines if engine.zone == ZONE)
        local = next(host for host in fleet.hosts if host.zone == ZONE)
        for host in fleet.hosts:
            sh.check(await host.metric("dogwood_data_centres_evacuated") == 0, "evacuation without a record")
        await ask_all(fleet, 3, "before")
        sh.check(len(emptied.seen) > 0, "the server of the data centre got nothing before the evacuation")

        # A slow stream of about 4 s and a job begin before the evacuation.
        emptied.gap_s = 0.3
        attempt = fleet.new_id("slow")
        while not 12 <= sh.stand_in.event_count(attempt) <= 15:
            attempt = fleet.new_id("slow")
        slow = asyncio.ensure_future(fleet.ask(local, "once", attempt=attempt))
        await asyncio.sleep(0.3)
        sh.check(any(seen[0] == attempt for seen in emptied.seen), "the slow stream runs in another data centre")
        accepted = await fleet.submit(local, "job-1", 40)
        sh.check(accepted.status == 202, f"job: {accepted}")

        await put(fleet, ZONE, {"why": "power"})
        confirmed = time.monotonic()
        await see(fleet, 1, EVACUATED_S)
        sh.check(not slow.done(), "the slow stream ended before the evacuation was known")
        # They begin one after another without waiting for answers: slow ones would
        # leave a gap after the limit.
        during = []
        while time.monotonic() < confirmed + EVACUATED_S + 2:
            during += [asyncio.ensure_future(fleet.ask(host, "read")) for host in fleet.hosts]
            await asyncio.sleep(0.2)
            if slow.done():
                emptied.gap_s = sh.stand_in.EVENT_GAP_S
        statuses = [answer.status for answer in await asyncio.gather(*during)]
        sh.check(set(statuses) == {200}, f"during the evacuation: statuses {statuses}")
        late = [seen for seen in emptied.seen if seen[3] > confirmed + EVACUATED_S]
        sh.check(not late, f"{len(late)} requests reached the data centre later than {EVACUATED_S} s")
        answer = await slow
        sh.check(answer.status == 200 and answer.events() == sh.expected_events(attempt),
                 f"running request was cut: {answer}")
        sh.check(fleet.runs(attempt) == 1, "a request that ran on was sent again")
        await fleet.all_results("job-1", 40)

        # Two hosts start anew without the store; one is in the data centre.
        before = len(emptied.seen)
        fleet.store.is_down = True
        await asyncio.sleep(3)
        for host in (local, next(host for host in fleet.hosts if host is not local)):
            await host.end()
            await host.start()
            await sh.until(host.is_ready, f"{host.log_path.name} serves without the store", 10)
            # Right after the start it places alone.
            answers = await asyncio.gather(*(fleet.ask(host, "read") for _ in range(6)))
            sh.check(all(a.status == 200 for a in answers), f"after a start without the store: {answers}")
        await see(fleet, 1, 2)
        await ask_all(fleet, 5, "without the store")
        sh.check(len(emptied.seen) == before, f"{len(emptied.seen) - before} requests after a start without the store")
        fleet.store.is_down = False
        await asyncio.sleep(2)
        await see(fleet, 1, 2)
        await ask_all(fleet, 3, "after the return of the store")
        sh.check(len(emptied.seen) == before, "the return of the store ended the evacuation")

        await put(fleet, ZONE, None)
        await see(fleet, 0, ENDED_S)
        await ask_all(fleet, 3, "after the evacuation")
        sh.check(len(emptied.seen) > before, "the data centre stays unused after the evacuation")
        for host in fleet.hosts:
            sh.check(events(host, "evacuation_begins") >= 1, f"{host.log_path.name}: no evacuation_begins")
            sh.check(events(host, "evacuation_ends") == 1, f"{host.log_path.name}: evacuation_ends not logged once")


async def evacuation_behind_readers():
    """In large data centres two hosts read the store, and the others learn of an
    evacuation and of its end from them."""
    zones = sh.ZONES
    sh.ZONES = {"east-a": "east", "east-b": "east"}
    try:
        async with sh.Fleet("evacuation_behind_readers", hosts=12, engines=2) as fleet:
            async def four_read():
                return sum([await host.metric("dogwood_reads_store") for host in fleet.hosts]) == 4
            await sh.until(four_read, "two hosts of each data centre read the store", 10)
            # Reads that other hosts began at their start are held for 1 s.
            await asyncio.sleep(1.5)
            await put(fleet, ZONE, "x")
            await asyncio.sleep(EVACUATED_S)
            emptied = next(engine for engine in fleet.engines if engine.zone == ZONE)
            before = len(emptied.seen)
            for host in fleet.hosts:
                sh.check(await host.metric("dogwood_data_centres_evacuated") == 1,
                         f"{host.log_path.name}: evacuation unknown after {EVACUATED_S} s")
            for host in fleet.hosts:
                answer = await fleet.ask(host, "read")
                sh.check(answer.status == 200, f"behind readers: {answer}")
            sh.check(len(emptied.seen) == before, "requests reached the data centre")
            await put(fleet, ZONE, None)
            await see(fleet, 0, ENDED_S)
    finally:
        sh.ZONES = zones


async def unknown_data_centre():
    """The evacuation of a data centre that the settings do not name is logged
    once by each host and changes nothing."""
    async with sh.Fleet("evacuation_unknown", hosts=3, engines=3) as fleet:
        for value in ("one", "two"):
            await put(fleet, "nowhere", value)
            await asyncio.sleep(1.5)
        for host in fleet.hosts:
            sh.check(events(host, "evacuation_unknown") == 1,
                     f"{host.log_path.name}: {events(host, 'evacuation_unknown')} lines evacuation_unknown")
            sh.check(await host.metric("dogwood_data_centres_evacuated") == 0, "an unknown data centre counts")
        await ask_all(fleet, 3, "with an unknown evacuation")
        for engine in fleet.engines:
            sh.check(len(engine.seen) > 0, f"{engine.name} got nothing")


async def test():
    await evacuation()
    await evacuation_behind_readers()
    await unknown_data_centre()


sh.run(test)
