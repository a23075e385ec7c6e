"""Sends the answer of an item's failed run once more, where the answer to the
item's next run is due.

One of seven servers is in trouble for five seconds: it fails some of its
requests with 500 and sends a few of its answers a second time. Other servers are
sound. TROUBLE=grey leaves the second answers out."""

import asyncio
import contextlib
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import fleet as fl  # noqa: E402
from fleet import sh  # noqa: E402

MAX_ATTEMPTS = 3
FAILURES = 2  # Runs of an item that the server in trouble fails, one after the other.
WORK_S = 0.6  # Time until it answers a run with 500.
TROUBLE_S, FAILED_SHARE, EXTRA_SHARE = 5.0, 0.4, 0.03
JOBS, JOB_GAP_S, BACKGROUND_PER_S = 14, 0.18, 60
HOST_ZONES = ["east-a", "east-b", "west-a", "east-a", "east-a", "east-a", "east-a"]
ZONES = ["east-a", "east-b", "west-a", "west-a", "west-a", "west-a", "west-a"]
TROUBLED = "e0"
SENDS_EXTRA = os.environ.get("TROUBLE", "1") not in ("0", "grey")


class Engine(fl.stand_in.Engine):
    """Server in trouble while `trouble_until` lies ahead."""

    record = None
    given = {}  # Answers of 500 that were given, by item.
    trouble_until = 0.0

    def __init__(self, *args):
        super().__init__(*args)
        self.zone = ZONES[int(self.name[1:])]
        self.requests = self.failed = self.answers = self.extras = 0
        self.late = {}  # Item whose answer comes once more, by connection.

    def is_in_trouble(self):
        return self.name == TROUBLED and time.monotonic() < self.trouble_until

    async def handle(self, request, reader, writer):
        item = self.late.pop(writer, None)
        if item is not None and self.extras + 1 <= EXTRA_SHARE * self.answers:
            self.extras += 1
            self.record(f"{self.name}: the answer of 500 to {item} comes once more; "
                        f"{self.extras} extra answers, {self.answers} answers so far")
            self.answer_500(writer, item)
        return await super().handle(request, reader, writer)

    def answer_500(self, writer, attempt):
        fl.stand_in.answer(writer, 500, b"failed", X_Attempt_Id=attempt, X_Server_Seal=f"seal-{self.name}")

    async def run(self, attempt, path, headers, body, reader, writer):
        is_item = path.startswith("/job/")
        if is_item:
            self.record(f"{self.name}: {attempt} begins to run")
        if not self.is_in_trouble():
            return await super().run(attempt, path, headers, body, reader, writer)
        self.requests += 1
        may_fail = self.failed + 1 <= FAILED_SHARE * self.requests
        if is_item and self.given.get(attempt, 0) < FAILURES and may_fail:
            self.failed += 1
            await asyncio.sleep(WORK_S)
            self.given[attempt] = self.given.get(attempt, 0) + 1
            self.record(f"{self.name}: {attempt} is answered with 500, number {self.given[attempt]}")
            self.answers += 1
            self.answer_500(writer, attempt)
            if SENDS_EXTRA:
                self.late[writer] = attempt
            return True
        goes_on = await super().run(attempt, path, headers, body, reader, writer)
        self.answers += 1
        return goes_on


async def case(record):
    Engine.record = staticmethod(record)
    declared = sh.state()
    declared["routes"][-1].update(maxAttempts=MAX_ATTEMPTS)
    is_over = False
    fleet = fl.Fleet(hosts=len(HOST_ZONES), engines=len(ZONES), engine=Engine, declared=declared)
    for host, zone in zip(fleet.hosts, HOST_ZONES):
        host.zone = zone
    async with fleet:

        async def background(number):
            await asyncio.sleep(number / BACKGROUND_PER_S)
            while not is_over:
                begun = time.monotonic()
                with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                    # In the data centre of the server in trouble, like four more hosts.
                    await fleet.ask(fleet.hosts[3], "read/plain", key=sh.KEY, limit=5)
                await asyncio.sleep(max(0, begun + 0.25 - time.monotonic()))

        async def outcome(job):
            end = time.monotonic() + 25
            while time.monotonic() < end:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                    answer = await fleet.results(fleet.hosts[1], job)
                    if answer.status == 200 and answer.json()["results"]:
                        return answer.json()["results"][0]["state"]
                await asyncio.sleep(0.2)
            return "not listed"

        await asyncio.sleep(2)
        callers = [asyncio.ensure_future(background(i)) for i in range(BACKGROUND_PER_S // 4)]
        await asyncio.sleep(1)
        if fl.TROUBLE:
            Engine.trouble_until = time.monotonic() + TROUBLE_S
            record(f"{TROUBLED} is in trouble for {TROUBLE_S} s")
        await asyncio.sleep(0.8)
        readers = {}
        for number in range(JOBS):
            job = f"job{number}"
            answer = await fleet.submit(fleet.hosts[1], job, 1)
            record(f"{job}: submitted, answered {answer.status}")
            if answer.status != 202:
                raise fl.NotRun(f"{job} was not accepted: {answer}")
            readers[job] = asyncio.ensure_future(outcome(job))
            await asyncio.sleep(JOB_GAP_S)
        early = []
        for job, reader in readers.items():
            state, count = await reader, Engine.given.get(f"{job}-0", 0)
            text = f"{job}-0: {state} after {count} answers of 500; maxAttempts is {MAX_ATTEMPTS}"
            record(text)
            if state == "dead_letter" and count < MAX_ATTEMPTS:
                early.append(job)
                print(text)
            elif state == "not listed":
                raise fl.NotRun(text)
        is_over = True
        await asyncio.gather(*callers)
        troubled = fleet.engines[0]
        text = (f"{len(early)} of {JOBS} items were given up early; {troubled.name} failed {troubled.failed} of "
                f"{troubled.requests} requests and sent {troubled.extras} extra answers beside {troubled.answers}")
        record(text)
        print(text)
    if fl.TROUBLE and not Engine.given:
        raise fl.NotRun("no item met the server in trouble")
    return fl.BROKEN if early else fl.HELD


fl.run(case, FOLDER)
