#!/usr/bin/python3
"""Guards against a data centre whose servers come back cold and empty, all at
once, and get everything: they would crash again. The dispatcher is killed while
they are cold."""

import asyncio
import contextlib
import time

import site_helper as sh

COLD_PER_S = 7.2
# Rule of the users' platform: a cold server gets at most 1.5 times the rate and
# 5 more in any second, summed over all hosts.
MOST_PER_SECOND = int(COLD_PER_S * 1.5 + 5)
HEARTBEAT_S = 1.2  # Interval of the registrations of a server.
LISTED_AFTER_S = 0.8  # Longest time until a registration is listed.
AWAY_S = 1.5
COLD_S = 9
PAUSE_S = 0.01  # Between requests.


class ColdServer:
    """Counts what one server gets while it is cold, and writes its
    registrations as the platform's servers do."""

    def __init__(self, engine):
        self.engine, self.cold_until, self.arrivals, self.number = engine, 0, [], 0
        self.inner = engine.http.handler
        engine.http.handler = self.handle

    async def handle(self, request, reader, writer):
        is_other = request[3].get("x-expect-instance", self.engine.name) != self.engine.name
        if not is_other and time.monotonic() < self.cold_until:
            self.arrivals.append(time.monotonic())
        return await self.inner(request, reader, writer)

    async def fail(self, away_s):
        """Loses all connections, and comes back cold with a new start."""
        await self.engine.http.stop()
        await asyncio.sleep(away_s)
        self.engine.born += 1
        self.cold_until = time.monotonic() + COLD_S
        await self.engine.http.start(self.engine.ip, self.engine.port)

    async def keep_registered(self):
        while True:
            left_ms = int(max(0, self.cold_until - time.monotonic()) * 1000)
            self.number += 1
            record = {
                "service": self.engine.service, "address": f"{self.engine.ip}:{self.engine.port}",
                "zone": self.engine.zone, "version": "v1", "slots": self.engine.slots, "state": "ready",
                "coldLeftMs": left_ms, "seq": self.number, "born": self.engine.born}
            await asyncio.sleep(LISTED_AFTER_S)
            if self.engine.http.server is not None:
                await self.engine.store.put(sh.stand_in.SERVER_TOPIC, self.engine.name, record)
            await asyncio.sleep(HEARTBEAT_S - LISTED_AFTER_S)

    def busiest_second(self):
        return max((sum(begin <= at < begin + 1 for at in self.arrivals) for begin in self.arrivals), default=0)


def dispatcher_of(fleet):
    """Returns the running host that logs the cold servers; None if there is none."""
    return next((host for host in fleet.hosts if host.process.returncode is None and
                 "server_cold" in host.log_path.read_text(errors="replace")), None)


async def test():
    async with sh.Fleet("cold", hosts=3, engines=4) as fleet:
        services = [{"name": sh.SERVICE, "maxConns": 100, "engine": {"slots": 8}, "coldPerS": COLD_PER_S}]
        await fleet.store.put(sh.stand_in.STATE_TOPIC, "config", sh.state(version=2, services=services))
        servers = [ColdServer(engine) for engine in fleet.engines]
        writers = [asyncio.ensure_future(server.keep_registered()) for server in servers]
        answers, callers = [], []

        async def send(host):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                # Requests of the same content that broke off at all servers would be quarantined.
                answer = await fleet.ask(host, "stream", body=fleet.new_id("b").encode())
                answers.append((time.monotonic(), answer.status == 200 and answer.is_whole))

        async def load(seconds):
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                hosts = [host for host in fleet.hosts if host.process.returncode is None]
                callers.append(asyncio.ensure_future(send(hosts[len(callers) % len(hosts)])))
                await asyncio.sleep(PAUSE_S)

        await load(3)
        before = sum(ok for _, ok in answers)
        sh.check(before > 100, f"{before} requests served before the failure")
        failures = [asyncio.ensure_future(server.fail(AWAY_S)) for server in servers]
        await load(AWAY_S + 2.5)
        await asyncio.gather(*failures)
        dispatcher = dispatcher_of(fleet)
        sh.check(dispatcher is not None, "no host has logged a cold server")
        cold = await dispatcher.metric("dogwood_servers_cold")
        sh.check(cold == len(servers), f"{cold} servers count as cold")
        await dispatcher.end()
        await load(COLD_S)
        warm_at = time.monotonic()
        await load(2)
        await asyncio.gather(*callers, return_exceptions=True)
        for writer in writers:
            writer.cancel()
        busiest = [server.busiest_second() for server in servers]
        total = sum(len(server.arrivals) for server in servers)
        print(f"{total} requests at cold servers, in the busiest second {busiest} of {MOST_PER_SECOND}")
        sh.check(max(busiest) <= MOST_PER_SECOND, f"{busiest} requests in a second at cold servers")
        sh.check(total >= len(servers) * COLD_S, f"only {total} requests at cold servers")
        after = [ok for at, ok in answers if at > warm_at]
        sh.check(after and sum(after) > 0.9 * len(after), f"{sum(after)} of {len(after)} served by warm servers")


sh.run(test)
