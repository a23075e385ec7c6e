"""A fleet whose hosts can be cut off from the other hosts and from the store.

All links between hosts and all connections to the store pass through a proxy of
this process. While a host is cut off, what crosses the cut is held up without a
sign, as behind a partition of the network; hosts on the same side still reach
each other. Servers and callers reach every host.
"""

import asyncio
import contextlib
import re

import kit
from kit import sh, stand_in

PIECE_BYTES = 65536


class Cut:
    """Which hosts are cut off."""

    def __init__(self):
        self.indexes = frozenset()
        self.changed = stand_in.Change()

    def set(self, indexes):
        self.indexes = frozenset(indexes)
        self.changed.notify()

    async def passage(self, a, b):
        """Waits until `a` and `b` are on the same side. None is the store."""
        while (a in self.indexes) != (b in self.indexes):
            await self.changed.wait()


class Proxy:
    """Passes connections on to one host or to the store."""

    def __init__(self, cut, address, target, to, caller=None):
        self.cut, self.address, self.target, self.to, self.caller = cut, address, target, to, caller
        self.server, self.tasks = None, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    async def stop(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        onward = None
        try:
            first = await reader.read(PIECE_BYTES)
            caller = self.caller
            if caller is None:
                # The first message of a link names the host that has opened it.
                name = re.search(rb"127\.\d+\.1\.(\d+)\|", first)
                caller = int(name[1]) - 1 if name else None
            await self.cut.passage(caller, self.to)
            back, onward = await asyncio.open_connection(*self.target)
            onward.write(first)
            await asyncio.gather(self.pump(reader, onward, caller), self.pump(back, writer, caller))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            for each in (writer, onward):
                if each is not None:
                    with contextlib.suppress(Exception):
                        each.close()

    async def pump(self, reader, writer, caller):
        while data := await reader.read(PIECE_BYTES):
            await self.cut.passage(caller, self.to)
            writer.write(data)
            await writer.drain()
        await self.cut.passage(caller, self.to)
        writer.close()


class CutHost(kit.Host):
    """A host that listens for links behind its proxy."""

    def settings(self):
        return {**super().settings(), "link_address": f"127.{self.fleet.net}.3.{self.index + 1}:{sh.LINK}"}


class CutFleet(sh.Fleet):
    def __init__(self, *arguments, **more):
        sh.Host = CutHost
        super().__init__(*arguments, **more)
        self.cut = Cut()
        self.proxies = []
        for host in self.hosts:
            self.proxies.append(Proxy(self.cut, (host.ip, sh.LINK),
                                      (f"127.{self.net}.3.{host.index + 1}", sh.LINK), host.index))
            self.proxies.append(Proxy(self.cut, (f"127.{self.net}.4.{host.index + 1}", sh.STORE),
                                      (self.store_ip, sh.STORE), None, caller=host.index))

    def store_address(self, host):
        return f"127.{self.net}.4.{host.index + 1}:{sh.STORE}"

    async def __aenter__(self):
        for proxy in self.proxies:
            await proxy.start()
        return await super().__aenter__()

    async def __aexit__(self, *error):
        await super().__aexit__(*error)
        for proxy in self.proxies:
            await proxy.stop()
