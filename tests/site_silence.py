#!/usr/bin/python3
"""Guards against streams that are cut although a server could have finished
them: their server fell silent for a while, or failed, and no other one had room
at that moment."""

import asyncio

import site_helper as sh

GAP_S = 0.45  # Below the longest gap between events that is on time, 0.5 s.


def attempt_with(fleet, least, most):
    """Returns a request name whose stream has so many events."""
    while True:
        attempt = fleet.new_id()
        if least <= sh.stand_in.event_count(attempt) <= most:
            return attempt


async def occupied(fleet, events):
    """Occupies one of two engines of one slot each by a slow stream. Returns its
    task, that engine and the other one."""
    for engine in fleet.engines:
        engine.slots, engine.gap_s = 1, GAP_S
        await engine.register("ready")
    await asyncio.sleep(1)
    attempt = attempt_with(fleet, events, events)
    task = asyncio.ensure_future(fleet.ask(fleet.hosts[0], "once", attempt))

    async def runs():
        return fleet.runs(attempt) == 1
    await sh.until(runs, "the long stream runs")
    return task, *sorted(fleet.engines, key=lambda engine: engine.running, reverse=True)


def check_whole(attempt, answer, what):
    sh.check(answer.status == 200 and answer.is_whole, f"{what}: {answer}")
    sh.check(answer.events() == sh.expected_events(attempt), f"{what}: {answer.events()}")


async def silent_server_without_room_elsewhere():
    """A sound server is silent for 1.5 s while all others are full."""
    async with sh.Fleet("silent_server", hosts=1, engines=2) as fleet:
        other, _, engine = await occupied(fleet, 16)
        engine.gap_s, engine.silent_after = 0.05, 3
        attempt = attempt_with(fleet, 10, 24)
        asked = asyncio.ensure_future(fleet.ask(fleet.hosts[0], "stream", attempt))
        await asyncio.sleep(1.7)
        engine.silent_after = None
        check_whole(attempt, await asked, "silent for a while")
        sh.check(fleet.runs(attempt) == 1, f"ran {fleet.runs(attempt)} times")
        await other


async def next_server_does_not_take_the_stream(how):
    """A sound server is silent for 1.5 s, and the server that was chosen in its
    place refuses, or cannot be reached any more."""
    async with sh.Fleet("next_server", hosts=1, engines=2) as fleet:
        asked = []
        for _ in range(2):
            attempt = attempt_with(fleet, 10, 24)
            asked.append((attempt, asyncio.ensure_future(fleet.ask(fleet.hosts[0], "stream", attempt))))
        for engine in fleet.engines:
            engine.gap_s = 0.1
        await asyncio.sleep(0.3)
        silent = fleet.engines[0] if fleet.engines[0].running else fleet.engines[1]
        other = next(engine for engine in fleet.engines if engine is not silent)
        while other.running:
            await asyncio.sleep(0.05)  # Its own stream ends whole.
        if how == "refuses":
            other.slots = other.queue_limit = 0
        else:
            await other.http.stop()
        attempt = attempt_with(fleet, 20, 24)
        asked.append((attempt, asyncio.ensure_future(fleet.ask(fleet.hosts[0], "stream", attempt))))

        async def runs():
            return fleet.runs(attempt) == 1
        await sh.until(runs, "the stream runs on the server that is left")
        await asyncio.sleep(0.5)
        silent.silent_after = 0
        await asyncio.sleep(1.5)
        silent.silent_after = None
        for attempt, answer in asked:
            check_whole(attempt, await answer, f"the next server {how}")


async def many_streams_return_to_their_silent_server():
    """A sound server with eight streams is silent for 1.2 s, and the other one
    refuses all of them. Callers wait 2.4 s for an event."""
    async with sh.Fleet("many_streams", hosts=1, engines=2) as fleet:
        declared = sh.state(2)
        for route in declared["routes"]:
            if route["name"] == "stream":
                route.update(targetLatencyMs=300, gapAimMs=300, maxAttempts=2)
        await fleet.store.put(sh.stand_in.STATE_TOPIC, "config", declared)
        silent, other = fleet.engines
        silent.gap_s = 0.08
        await other.register("draining")
        await asyncio.sleep(1)
        attempts = [attempt_with(fleet, 18, 24) for _ in range(8)]
        asked = [asyncio.ensure_future(fleet.ask(fleet.hosts[0], "stream", attempt)) for attempt in attempts]

        async def all_run():
            return silent.running == len(asked)
        await sh.until(all_run, "all streams run on one server")
        await other.register("ready")
        other.slots = other.queue_limit = 0
        await asyncio.sleep(0.6)
        silent.silent_after = 0
        await asyncio.sleep(1.2)
        silent.silent_after = None
        for attempt, answer in zip(attempts, await asyncio.gather(*asked)):
            check_whole(attempt, answer, "one of many")


async def broken_stream_waits_for_room():
    """A server breaks off a stream that has lasted longer than a caller waits for
    an event, and the other server has room only some time later."""
    async with sh.Fleet("broken_stream", hosts=1, engines=2) as fleet:
        other, _, engine = await occupied(fleet, 14)
        engine.cut_after = 10
        attempt = attempt_with(fleet, 13, 14)
        answer = await fleet.ask(fleet.hosts[0], "stream", attempt)
        engine.cut_after = None
        check_whole(attempt, answer, "broken off late")
        await other


async def test():
    await broken_stream_waits_for_room()
    await silent_server_without_room_elsewhere()
    await next_server_does_not_take_the_stream("refuses")
    await next_server_does_not_take_the_stream("is gone")
    await many_streams_return_to_their_silent_server()


sh.run(test)
