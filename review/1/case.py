"""A batch job that clients may send, but that is larger than one append of the
store, keeps the results of accepted jobs from ever being listed."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import small_site as ss  # noqa: E402

FINISH_S = 18  # finishS of the sheet.
CALM_S = 5
ITEMS = 10
LARGE_ITEMS = 190 if ss.TROUBLE else 60  # At most 200 (PROTOCOL.md, "Batch jobs").
LARGE_BODY = 13000  # Bytes of each of its items; decoded 2.5 MB, or 0.8 MB without trouble.


def names(prefix, partition, count):
    """Returns names of jobs in a partition."""
    found, number = [], 0
    while len(found) < count:
        name = f"{prefix}{number:08x}"
        if ss.partition_of(name) == partition:
            found.append(name)
        number += 1
    return found


async def case(record):
    async with ss.Site(record) as site:
        partition = ss.partition_of("7c41e09b52d6a3f8")
        owner = site.host_of(site.store.owner(partition))
        record(f"partition {partition} of batch jobs is owned by {owner.name}")
        hosts = sorted(site.hosts, key=lambda host: host is owner)  # Clients come to any host; the owner is last here.
        large, *jobs = [f for prefix in ("f00d", "0a0a", "0b0b") for f in names(prefix, partition, 1)]
        other = names("0c0c", (partition + 1) % 120, 1)[0]

        def items(job):
            return [ss.item(f"{job}-{i}") for i in range(ITEMS)]

        accepted = []
        if await site.submit_until_accepted(hosts, jobs[0], items(jobs[0])):
            accepted.append(jobs[0])
        # One client attempt and one retry, as the sheet's clients do.
        large_items = [ss.item(f"{large}-{i}", b"x" * LARGE_BODY) for i in range(LARGE_ITEMS)]
        is_large_accepted = await site.submit_until_accepted(hosts[:2], large, large_items)
        for job in (jobs[1], other):
            if await site.submit_until_accepted(hosts, job, items(job)):
                accepted.append(job)
        until = time.monotonic() + FINISH_S
        listed = dict(zip(accepted, await asyncio.gather(*(site.follow(job, ITEMS, until) for job in accepted))))
        if is_large_accepted:
            listed[large] = await site.follow(large, LARGE_ITEMS, until + FINISH_S)
        now = time.monotonic()
        last_start = max(seen[3] for engine in site.engines for seen in engine.seen)
        busy = sum(engine.running for engine in site.engines)
        record(f"servers: {busy} items run; the last one began {now - last_start:.1f} s ago")
        site.record_runs()
        broken = []
        for job, found in listed.items():
            total = LARGE_ITEMS if job == large else ITEMS
            if len(found) < total and busy == 0 and now - last_start > CALM_S:
                broken.append(f"LOST: job {job} was accepted; {len(found)} of its {total} items are listed at the end")
        return broken


ss.run(case, FOLDER)
