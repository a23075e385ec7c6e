#!/usr/bin/python3
"""Guards against batch jobs that are lost, answered with 404 or given two
results when the owner of their partition is killed, or loses the partition and
gets it back without noticing."""

import asyncio
import signal
import time

import site_helper as sh


async def killed_owner():
    async with sh.Fleet("killed_owner") as fleet:
        jobs = [fleet.new_id("job") for _ in range(9)]
        for i, job in enumerate(jobs):
            answer = await fleet.submit(fleet.hosts[i % 3], job, 8)
            sh.check(answer.status == 202, f"job {job}: {answer}")
        await fleet.hosts[2].end()
        survivors = fleet.hosts[:2]
        for job in jobs:
            found = await fleet.all_results(job, 8, hosts=survivors)
            sh.check(all(end == "done" for _, end, _ in found), f"job {job}: {found}")
            for item, _, output in found:
                sh.check(output == sh.stand_in.whole_output(item), f"output of {item}: {output}")
        await fleet.hosts[2].start()
        await fleet.settled(3)
        for job in jobs:
            found = await fleet.all_results(job, 8, hosts=[fleet.hosts[2]])
            sh.check(len({item for item, _, _ in found}) == 8, f"job {job} lists an item twice")


async def unnoticed_return():
    """Guards against the fault found by gezgin hunt-bebf-7: a host that owned
    a partition before and after another host answered from its stale
    replay."""
    async with sh.Fleet("unnoticed_return", hosts=2) as fleet:
        first, second = fleet.hosts
        store = fleet.store
        sh.assign_all(fleet, first.member)
        await asyncio.sleep(1.5)
        store.refused_members.add(first.member)
        sh.assign_all(fleet, second.member)
        # Longer than the lifetime of a membership: the second host knows that
        # it is the owner, the first may not know that it has lost the
        # partitions.
        await asyncio.sleep(3)
        jobs = [fleet.new_id("job") for _ in range(5)]
        for job in jobs:
            answer = await fleet.submit(second, job, 2)
            sh.check(answer.status == 202, f"job {job}: {answer}")
            await fleet.all_results(job, 2, hosts=[second])
        for job in jobs:
            # The first host still considers itself the owner.
            answer = await fleet.results(first, job)
            sh.check(answer.status in (200, 503), f"stale owner: {answer}")
        sh.assign_all(fleet, first.member)
        store.refused_members.clear()
        await asyncio.sleep(1.5)
        for job in jobs:
            answer = await fleet.results(first, job)
            sh.check(answer.status == 200 and len(answer.json()["results"]) == 2, f"returned owner: {answer}")


async def lost_while_loading():
    """Guards against items that never run again: a partition was lost while it
    was being read, its items were queued at the host that had lost it, and the
    partition came back."""
    async with sh.Fleet("lost_while_loading", hosts=2) as fleet:
        first, second = fleet.hosts
        store = fleet.store
        sh.assign_all(fleet, second.member)
        await asyncio.sleep(2)
        for engine in fleet.engines:
            engine.silent_after = 1
        for i in range(4):
            answer = await fleet.submit(second, f"job{i}", 8)
            sh.check(answer.status == 202, f"job {i}: {answer}")
        store.read_delay_s = 1.3  # Longer than the interval between two joins.
        sh.assign_all(fleet, first.member)
        await asyncio.sleep(0.75)
        sh.assign_all(fleet, second.member)
        await asyncio.sleep(3)
        store.read_delay_s = 0
        sh.assign_all(fleet, first.member)
        for engine in fleet.engines:
            engine.silent_after = None
        for i in range(4):
            await fleet.all_results(f"job{i}", 8, hosts=[first])


async def progress_survives(how, wait_s):
    """Guards against items that start again from their first event after each
    change of owner, and so take several times as long as one run."""
    async with sh.Fleet("progress_survives", hosts=2) as fleet:
        first, second = fleet.hosts
        sh.assign_all(fleet, second.member)
        await asyncio.sleep(1.5)
        for engine in fleet.engines:
            engine.silent_after = 4
        answer = await fleet.submit(second, "job", 4)
        sh.check(answer.status == 202, f"job: {answer}")
        await asyncio.sleep(wait_s)
        stopped = time.monotonic()
        await second.end(how)
        sh.assign_all(fleet, first.member)
        for engine in fleet.engines:
            engine.silent_after = None
        for item, end, output in await fleet.all_results("job", 4, hosts=[first]):
            sh.check((end, output) == ("done", sh.stand_in.whole_output(item)), f"{item}: {end} {output}")
        later = [(seen[0], int(seen[1].get("last-event-id", 0)))
                 for engine in fleet.engines for seen in engine.seen if seen[3] > stopped]
        sh.check(len({item for item, _ in later}) == 4, f"runs of the new owner: {later}")
        again = [run for run in later if run[1] == 0]
        sh.check(not again, f"the new owner ran items from their first event: {again}")


async def failures_survive(how):
    """Guards against items that always fail and run more often than their route
    allows, since each new owner of their partition counts failures from 0. Each
    owner is killed after two failures, or paused beyond its membership."""
    attempts = next(route["maxAttempts"] for route in sh.state()["routes"] if route["name"] == "job")
    async with sh.Fleet("failures_survive", hosts=5) as fleet:
        owner = fleet.hosts[0]
        sh.assign_all(fleet, owner.member)
        await asyncio.sleep(1.5)
        items = [f"job-{i}" for i in range(3)]
        answer = await fleet.submit(owner, "job", len(items), kinds=["fail"] * len(items))
        sh.check(answer.status == 202, f"job: {answer}")
        for following in fleet.hosts[1:]:
            wanted = {item: fleet.runs(item) + 2 for item in items}
            end = time.monotonic() + 3  # Later than that they do not run again.
            while any(fleet.runs(item) < wanted[item] for item in items) and time.monotonic() < end:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)  # Less than the pause after a failed run.
            owner.process.send_signal(how)
            sh.assign_all(fleet, following.member)
            owner = following
        for item, end, _ in await fleet.all_results("job", len(items), hosts=[owner]):
            sh.check(end == "dead_letter", f"{item}: {end}")
        for host in fleet.hosts[:-1] if how == signal.SIGSTOP else ():
            host.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(2)
        runs = {item: fleet.runs(item) for item in items}
        sh.check(all(count >= attempts for count in runs.values()), f"given up before {attempts} failures: {runs}")
        sh.check(all(count <= 3 * attempts for count in runs.values()), f"over {3 * attempts} failures: {runs}")


async def silent_owner():
    """Guards against jobs that are refused, or accepted only after seconds,
    while the owner of their partition does not answer but is still a
    member."""
    async with sh.Fleet("silent_owner", hosts=3) as fleet:
        first, second, third = fleet.hosts
        sh.assign_all(fleet, third.member)
        await asyncio.sleep(1.5)
        third.process.send_signal(signal.SIGSTOP)
        jobs = [fleet.new_id("job") for _ in range(6)]
        for i, job in enumerate(jobs):
            answer = await fleet.submit(fleet.hosts[i % 2], job, 2)
            sh.check(answer.status == 202, f"job {job} while its owner is silent: {answer}")
        again = await fleet.submit(second, jobs[0], 2)
        sh.check(again.status == 202, f"job {jobs[0]} once more: {again}")
        third.process.send_signal(signal.SIGCONT)
        for job in jobs:
            found = await fleet.all_results(job, 2)
            sh.check(len({item for item, _, _ in found}) == 2, f"job {job}: {found}")
        sh.check(all(fleet.runs(f"{jobs[0]}-{i}") == 1 for i in range(2)),
                 "a job that was accepted twice ran twice")


async def lost_answers():
    """Guards against a job that is accepted twice or not at all when an append
    takes effect but its answer is lost."""
    async with sh.Fleet("lost_answers", hosts=2) as fleet:
        for i in range(6):
            fleet.store.lose_appends = 2
            job = fleet.new_id("job")
            answer = await fleet.submit(fleet.hosts[i % 2], job, 3)
            sh.check(answer.status == 202, f"job {job}: {answer}")
            found = await fleet.all_results(job, 3)
            sh.check(len(found) == 3, f"job {job}: {found}")


async def ended_job():
    async with sh.Fleet("ended_job", hosts=2, engines=1) as fleet:
        fleet.engines[0].silent_after = 2
        answer = await fleet.submit(fleet.hosts[0], "job", 12)
        sh.check(answer.status == 202, f"job: {answer}")
        await asyncio.sleep(0.5)
        answer = await sh.call(fleet.hosts[1].ip, sh.FRONT, "DELETE", "/api/lots/job", Host=sh.HOST_NAME, X_Key=sh.KEY)
        sh.check(answer.status == 200, f"end: {answer}")
        await asyncio.sleep(1)
        count = len(fleet.engines[0].seen)
        fleet.engines[0].silent_after = None
        await asyncio.sleep(1.5)
        sh.check(len(fleet.engines[0].seen) == count, "items of an ended job were sent again")


async def test():
    await killed_owner()
    await unnoticed_return()
    await lost_while_loading()
    # Killed after the interval of progress records (1 s), and stopped before the first record.
    await progress_survives(signal.SIGKILL, 1.6)
    await progress_survives(signal.SIGTERM, 0.5)
    await failures_survive(signal.SIGKILL)
    await failures_survive(signal.SIGSTOP)
    await silent_owner()
    await lost_answers()
    await ended_job()


sh.run(test)
