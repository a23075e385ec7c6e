"""A proxy between a host and the store, whose open channels can go silent for
good, without a reset, while new ones work (DEPLOY.md, "Network")."""

import asyncio
import contextlib


class Channel:
    def __init__(self):
        self.topics = set()  # Topics that were read on it.
        self.is_silent = False
        self.speaks = asyncio.Event()
        self.speaks.set()

    def silence(self):
        self.is_silent = True
        self.speaks.clear()


class Proxy:
    def __init__(self, ip, port, to):
        self.ip, self.port, self.to = ip, port, to
        self.channels = set()
        self.tasks = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    async def stop(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        channel = Channel()
        self.channels.add(channel)
        try:
            store_reader, store_writer = await asyncio.open_connection(*self.to)
            pumps = [asyncio.ensure_future(self.pump(reader, store_writer, channel, True)),
                     asyncio.ensure_future(self.pump(store_reader, writer, channel, False))]
            self.tasks.update(pumps)
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for pump in pumps:
                pump.cancel()
            for end in (writer, store_writer):
                end.close()
        except (OSError, asyncio.CancelledError):
            writer.close()
        finally:
            self.channels.discard(channel)

    async def pump(self, reader, writer, channel, from_host):
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while True:
                data = await reader.read(65536)
                if not data:
                    return
                if from_host and b"topic=" in data:
                    topic = data.split(b"topic=", 1)[1].split(b"&", 1)[0].split(b" ", 1)[0]
                    channel.topics.add(topic.decode("latin-1"))
                await channel.speaks.wait()
                writer.write(data)
                await writer.drain()

    def silence(self, topic):
        """Silences the open channels on which a topic was read; returns how many."""
        found = [channel for channel in self.channels if topic in channel.topics and not channel.is_silent]
        for channel in found:
            channel.silence()
        return len(found)
