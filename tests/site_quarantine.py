#!/usr/bin/python3
"""Guards against requests of one kind that crash the servers, one after the
other, and against sound requests and items that are kept back with them."""

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


async def request_that_comes_again_is_kept_away():
    """One request crashes each server that begins to run it. It comes again and
    again, with the same path, caller and body, at any host."""
    async with sh.Fleet("deadly_request", hosts=3, engines=8) as fleet:
        for engine in fleet.engines:
            engine.deadly_body = b"deadly"
        sound, begun, tasks = [], time.monotonic(), []
        deadly_prompt = prompt(fleet, "5c1e07a2", "91bd")
        async def send(host, is_deadly):
            sent = time.monotonic()
            answer = await fleet.ask(host, "stream", body=b"deadly" if is_deadly else b"sound",
                                     X_Prompt_Prefix=deadly_prompt if is_deadly else prompt(fleet, "5c1e07a2", "91bd"))
            if is_deadly:
                sh.check(answer.status in (502, 503, 504) or not answer.is_whole, f"deadly request: {answer}")
            else:
                sound.append((sent, answer.status == 200 and answer.is_whole))
        while time.monotonic() < begun + 12:
            host = fleet.hosts[len(tasks) % len(fleet.hosts)]
            tasks.append(asyncio.ensure_future(send(host, len(tasks) % 10 == 9)))
            await asyncio.sleep(0.04)
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, AssertionError):
                raise result
        runs = sorted(at for engine in fleet.engines for at in engine.deadly_runs)
        sh.check(len(runs) >= 3, f"only {len(runs)} servers have crashed")
        late = [at for at in runs if at > runs[2] + STABLE_WINDOW_S]
        print(f"{len(runs)} crashes, {len(late)} of them late")
        sh.check(len(late) <= LATE, f"{len(late)} servers got the request later than {STABLE_WINDOW_S} s after its "
                 f"third crash, {len(runs)} in all")
        served = [ok for sent, ok in sound if sent > runs[2] + STABLE_WINDOW_S]
        sh.check(served and sum(served) == len(served), f"{sum(served)} of {len(served)} sound requests were served")


async def items_are_run_all_the_same():
    """Items of a job share the part that is under quarantine."""
    async with sh.Fleet("owed_items", hosts=3, engines=6) as fleet:
        for engine in fleet.engines:
            engine.deadly_part = DEADLY

        async def is_found():
            await fleet.ask(fleet.hosts[0], "stream", body=fleet.new_id("b").encode(),
                            X_Prompt_Prefix=prompt(fleet, DEADLY))
            text = (await sh.call(fleet.hosts[0].ip, sh.METRICS, "GET", "/metrics", limit=2)).body.decode()
            return "dogwood_prompts_quarantined 1\n" in text
        await sh.until(is_found, "the part is under quarantine")
        job = fleet.new_id("job")
        answer = await fleet.submit(fleet.hosts[1], job, 6, X_Prompt_Prefix=prompt(fleet, DEADLY))
        sh.check(answer.status == 202, f"job {job}: {answer}")
        found = await fleet.all_results(job, 6, limit=15)
        sh.check(all(end == "done" for _, end, _ in found), f"job {job}: {found}")
        sh.check(await is_found(), "an item's answer has ended the quarantine")


async def test():
    await deadly_part_is_kept_away()
    await items_are_run_all_the_same()
    await request_that_comes_again_is_kept_away()


sh.run(test)
