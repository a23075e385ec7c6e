#!/usr/bin/python3
"""Guards against requests of one kind that crash the servers, one after the
other, and against sound requests that are refused with them."""

import asyncio
import time

import site_helper as sh

# Rule BUDGET: this long after the fifth crash no more than LATE requests with the
# part that crashes servers may reach servers (`stableWindowMs`).
STABLE_WINDOW_S = 4
LATE = 3
FIRST_CRASHES = 5
DEADLY = "dead01"


def prompt(fleet, *parts):
    """Parts of a prompt, the last of which no other request has."""
    return ",".join(f"{part}:100" for part in (*parts, fleet.new_id("f")))


async def deadly_part_is_kept_away():
    """One request in ten has a part that crashes servers, at any host. The
    others share their key, route and first part."""
    async with sh.Fleet("deadly_part", hosts=3, engines=8) as fleet:
        for engine in fleet.engines:
            engine.deadly_part = DEADLY
        sound, begun, tasks = [], time.monotonic(), []
        async def send(host, is_deadly):
            parts = ("5c1e07a2", DEADLY) if is_deadly else ("5c1e07a2", "91bd")
            sent = time.monotonic()
            answer = await fleet.ask(host, "stream", X_Prompt_Prefix=prompt(fleet, *parts))
            if not is_deadly:
                sound.append((sent, answer.status == 200 and answer.is_whole))
        while time.monotonic() < begun + 14:
            host = fleet.hosts[len(tasks) % len(fleet.hosts)]
            tasks.append(asyncio.ensure_future(send(host, len(tasks) % 10 == 9)))
            await asyncio.sleep(0.04)
        await asyncio.gather(*tasks, return_exceptions=True)
        crashes = sorted(at for engine in fleet.engines for at in engine.crashes)
        sh.check(crashes, "no server has crashed")
        from_then = crashes[min(len(crashes), FIRST_CRASHES) - 1] + STABLE_WINDOW_S
        late = [seen for engine in fleet.engines for seen in engine.seen
                if DEADLY in seen[1].get("x-prompt-prefix", "") and seen[3] > from_then]
        print(f"{len(crashes)} crashes, {len(late)} requests late")
        sh.check(len(late) <= LATE, f"{len(late)} requests reached servers later than {STABLE_WINDOW_S} s "
                 f"after crash {FIRST_CRASHES} of {len(crashes)}")
        served = [ok for sent, ok in sound if sent > crashes[-1] + 2 * STABLE_WINDOW_S] or \
                 [ok for sent, ok in sound if sent > from_then]
        sh.check(served and sum(served) == len(served), f"{sum(served)} of {len(served)} sound requests were served")


sh.run(deadly_part_is_kept_away)
