#!/usr/bin/python3
"""Guards against requests that are cut off by a planned stop of their host,
and against a lost dispatcher that blocks the other hosts."""

import asyncio
import signal

import site_helper as sh


async def planned_stop():
    async with sh.Fleet("planned_stop", hosts=3, engines=3) as fleet:
        stopping = fleet.hosts[1]
        outcomes = []

        async def caller(host):
            for _ in range(12):
                try:
                    answer = await fleet.ask(host, "once")
                except ConnectionRefusedError:
                    return  # The host has stopped listening: nothing was sent.
                outcomes.append(answer)

        callers = [asyncio.create_task(caller(stopping)) for _ in range(6)]
        await asyncio.sleep(0.3)
        stop = asyncio.create_task(stopping.end(signal.SIGTERM))
        await asyncio.gather(*callers)
        await stop
        sh.check(stopping.process.returncode == 0, f"ended with {stopping.process.returncode}")
        sh.check(len(outcomes) >= 6, f"only {len(outcomes)} answers")
        for answer in outcomes:
            sh.check(answer.is_whole and answer.status in (200, 503), f"cut off by a planned stop: {answer}")


async def lost_dispatcher():
    async with sh.Fleet("lost_dispatcher", hosts=3, engines=3) as fleet:
        for victim in range(3):
            # Each host is paused once, because one of the three is the dispatcher.
            host = fleet.hosts[victim]
            host.process.send_signal(signal.SIGSTOP)
            others = [h for h in fleet.hosts if h is not host]
            for i in range(12):
                answer = await fleet.ask(others[i % 2], "stream")
                sh.check(answer.status == 200 and answer.is_whole, f"while host {victim} is paused: {answer}")
            host.process.send_signal(signal.SIGCONT)
            await sh.until(host.is_ready, "the paused host is ready again")
            answer = await fleet.ask(host, "stream")
            sh.check(answer.status == 200, f"after the pause: {answer}")


async def all_killed():
    """Guards against accepted jobs that are lost when all hosts are killed,
    and against hosts that do not serve requests after that."""
    async with sh.Fleet("all_killed", hosts=3, engines=3) as fleet:
        for i in range(4):
            answer = await fleet.submit(fleet.hosts[i % 3], f"job{i}", 6)
            sh.check(answer.status == 202, f"job {i}: {answer}")
        await asyncio.gather(*(host.end() for host in fleet.hosts))
        for host in fleet.hosts:
            await host.start()
        await fleet.settled(3)
        for host in fleet.hosts:
            async def served():
                return (await fleet.ask(host, "stream", key="key-of-beta")).status == 200
            await sh.until(served, f"host {host.index} serves again", 5)
        for i in range(4):
            await fleet.all_results(f"job{i}", 6)


async def early_requests():
    """Guards against refusals right after a start: callers reach a host before
    it knows the declared state; one of them has been refused before, and a
    second refusal would end its request."""
    async with sh.Fleet("early_requests", hosts=1, engines=1) as fleet:
        host = fleet.hosts[0]
        for _ in range(3):
            await host.end()
            fleet.store.newest_delay_s = 0.1
            await host.start()

            async def ask(**headers):
                end = asyncio.get_running_loop().time() + 5
                while True:
                    try:
                        return await fleet.ask(host, "stream", **headers)
                    except ConnectionRefusedError:
                        sh.check(asyncio.get_running_loop().time() < end, "the host does not listen")
                        await asyncio.sleep(0.002)

            answers = await asyncio.gather(*(ask() for _ in range(4)), ask(X_Deadline_Ms=3000))
            for answer in answers:
                sh.check(answer.status == 200 and answer.is_whole, f"right after the start: {answer}")
            fleet.store.newest_delay_s = 0
            await fleet.settled(1)


async def taken_metrics_port():
    """Guards against a host that does not start because its metrics port is in
    use: that port is fixed before the ports of the day are known."""
    async with sh.Fleet("taken_metrics_port", hosts=1, engines=1) as fleet:
        host = fleet.hosts[0]
        await host.end()
        other = await asyncio.start_server(lambda *_: None, host.ip, sh.METRICS)
        await host.start()
        await sh.until(host.is_ready, "the host is ready without metrics", 10)
        answer = await fleet.ask(host, "stream")
        sh.check(answer.status == 200 and answer.is_whole, f"without metrics: {answer}")
        other.close()


async def test():
    await planned_stop()
    await taken_metrics_port()
    await early_requests()
    await all_killed()
    await lost_dispatcher()


sh.run(test)
