"""Fake of the users' platform for tests on loopback: the store and the model
servers, in one process, with faults that tests can set.

It implements what PROTOCOL.md specifies for logs, keyed topics, groups, slots,
events and refusals, but none of the timing. Standard library only.
"""

import asyncio
import base64
import contextlib
import functools
import json
import random
import socket
import struct
import time
import urllib.parse

DRIP_GAP_S = 0.05
FLOOD_BYTES = 65536
EVENT_GAP_S = 0.02
EARLY_PAUSE_S = 0.1
CRASH_S = 2
STATE_TOPIC = "keyed.op"
SERVER_TOPIC = "keyed.servers"


def reset(writer):
    """Resets a connection. Without lingering, since it is closed otherwise."""
    if not writer.transport.is_closing():
        writer.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class HttpServer:
    """A minimal HTTP/1.1 server: it reads complete requests; handlers write the answers."""

    def __init__(self, handler, early_handler=None):
        self.handler = handler
        self.early_handler = early_handler  # Called before a body is read. None: the request is not served yet.
        self.server = None
        self.writers = set()
        self.idle_limit_s = None  # Connections idle for longer are reset by the next request.
        self.receive_buffer = None  # Bytes that the system receives ahead of a read; None: its own choice.

    async def start(self, ip, port):
        listener = socket.create_server((ip, port), backlog=100)
        if self.receive_buffer is not None:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        self.server = await asyncio.start_server(self.serve, sock=listener)

    async def stop(self):
        """Closes the port and resets all open connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                idle_since = time.monotonic()
                request = await read_head(reader)
                is_kept = await self.early_handler(request, reader, writer) if request and self.early_handler else None
                if is_kept:
                    continue
                if is_kept is not None:
                    break
                request = request and (*request, await read_body(reader, request[-1]))
                if self.idle_limit_s is not None and time.monotonic() - idle_since > self.idle_limit_s:
                    reset(writer)
                    break
                if request is None or not await self.handler(request, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def read_head(reader):
    """Reads the head of a request as (method, path, query, headers)."""
    head = b""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
    path, _, query = target.partition("?")
    return method, path, dict(urllib.parse.parse_qsl(query)), headers


async def read_body(reader, headers):
    return await reader.readexactly(int(headers.get("content-length", 0)))


def answer(writer, status, body=b"", **headers):
    """Writes a complete answer."""
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    lines = [f"HTTP/1.1 {status} S", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


class Change:
    """Wakes all coroutines that wait for a change. asyncio.Condition is not
    used: a wait that is cancelled while another coroutine holds the lock can
    keep the lock forever."""

    def __init__(self):
        self.event = asyncio.Event()

    def notify(self):
        self.event.set()
        self.event = asyncio.Event()

    async def wait(self, seconds=None):
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self.event.wait(), seconds)


class PacedWriter:
    """Sends what is written in small pieces, in turns with the other writers of
    a link, as fast as the link carries them."""

    PIECE_BYTES = 16 << 10

    def __init__(self, store, writer):
        self.store, self.writer, self.pending = store, writer, b""
        self.transport = writer.transport

    def write(self, data):
        self.pending += data

    async def drain(self):
        if self.store.bytes_per_s is None:
            self.writer.write(self.pending)
            self.pending = b""
        while self.pending:
            piece, self.pending = self.pending[: self.PIECE_BYTES], self.pending[self.PIECE_BYTES :]
            async with self.store.link:
                await asyncio.sleep(len(piece) / self.store.bytes_per_s)
            self.store.sent_bytes += len(piece)
            self.writer.write(piece)
            await self.writer.drain()
        await self.writer.drain()


class Store:
    """Logs, keyed topics and groups, in memory."""

    def __init__(self, parts=12):
        self.parts = parts
        self.logs = {}
        self.changed = Change()
        self.groups = {}
        self.is_down = False
        self.refused_members = set()  # Joins of these members are not answered.
        self.read_delay_s = 0  # Delay of answers to reads with waitMs=0.
        self.newest_delay_s = 0  # Delay of answers to log-newest.
        self.group_delay_s = 0  # Delay of answers to log-join and log-owners.
        self.lose_appends = 0  # Number of next appends that take effect but are not answered.
        self.is_full = False  # Refuses all appends of the system with 507.
        self.calls = 0
        self.appends = 0
        self.flood = None  # Answers with bytes without end: "head", "body", "chunk_extension" or "trailer".
        self.bytes_per_s = None  # Rate of the link to all callers together.
        self.sent_bytes = 0  # Since the rate has been limited.
        self.link = None
        self.http = HttpServer(self.handle)

    def limit_rate(self, bytes_per_s):
        """Lets all answers share a link of this rate."""
        self.bytes_per_s, self.link = bytes_per_s, asyncio.Lock()

    def log(self, topic, part):
        return self.logs.setdefault((topic, int(part)), [])

    async def append(self, topic, part, records):
        self.log(topic, part).extend(records)
        self.changed.notify()

    async def put(self, topic, key, value):
        """Writes a keyed record; None removes the key."""
        text = b"" if value is None else json.dumps(value).encode()
        await self.append(topic, 0, [bytes([len(key)]) + key.encode() + text])

    async def handle(self, request, reader, writer):
        method, path, query, headers, body = request
        self.calls += 1
        if self.flood is not None:
            await send_flood(self.flood, writer)
            return False
        writer = PacedWriter(self, writer)
        if self.is_down:
            answer(writer, 503)
            await writer.drain()
            return True
        name = path.rsplit("/", 1)[1].replace("-", "_")
        await getattr(self, name)(query, body, writer)
        await writer.drain()
        return not writer.transport.is_closing()

    async def log_append(self, query, body, writer):
        log = self.log(query["topic"], query["part"])
        self.appends += 1
        if self.is_full:
            answer(writer, 507)
            return
        if "at" in query and int(query["at"]) != len(log):
            answer(writer, 412, {"end": len(log)})
            return
        first, records = len(log), []
        while body:
            (size,) = struct.unpack(">I", body[:4])
            records.append(body[4 : 4 + size])
            body = body[4 + size :]
        await self.append(query["topic"], query["part"], records)
        if self.lose_appends > 0:
            self.lose_appends -= 1
            reset(writer)
            return
        answer(writer, 200, {"offset": first, "end": len(log)})

    async def log_read(self, query, body, writer):
        log = self.log(query["topic"], query["part"])
        if "waitMs" not in query or query["waitMs"] == "0":
            await asyncio.sleep(self.read_delay_s)
        start, until = int(query["from"]), time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while len(log) <= start and time.monotonic() < until:
            await self.changed.wait(until - time.monotonic())
        data = struct.pack(">QQ", len(log), 0)
        for record in log[start:]:
            data += struct.pack(">I", len(record)) + record
        answer(writer, 200, data)

    async def log_newest(self, query, body, writer):
        await asyncio.sleep(self.newest_delay_s)
        newest = {}
        log = self.log(query["topic"], query["part"])
        for offset, record in enumerate(log):
            key, value = record[1 : 1 + record[0]].decode(), record[1 + record[0] :]
            newest.pop(key, None)
            if value:
                newest[key] = {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
        answer(writer, 200, {"items": list(newest.values()), "more": False, "end": len(log)})

    async def log_join(self, query, body, writer):
        call = json.loads(body)
        group = self.groups.setdefault(call["group"], {"generation": 0, "members": {}, "owners": {}})
        await asyncio.sleep(self.group_delay_s)
        if call["member"] in self.refused_members:
            reset(writer)
            return
        group["members"][call["member"]] = time.monotonic() + call["ttlMs"] / 1000
        self.assign_partitions(group, call["topics"])
        mine = [[t, p, 0] for (t, p), m in group["owners"].items() if m == call["member"]]
        answer(writer, 200, {"generation": group["generation"], "ttlMs": call["ttlMs"], "parts": mine})

    def assign_partitions(self, group, topics):
        """Assigns partitions without a live owner, and those above an even
        share, to the members with the fewest."""
        now = time.monotonic()
        live = sorted(m for m, until in group["members"].items() if until > now)
        group["members"] = {m: group["members"][m] for m in live}
        owners = {}
        everything = [(topic, part) for topic in topics for part in range(self.parts)]
        least, larger = divmod(len(everything), len(live))  # So many members have one more.
        counts = dict.fromkeys(live, 0)
        for place in everything:
            member = group["owners"].get(place)
            if member in counts and counts[member] < least + (larger > 0):
                owners[place] = member
                counts[member] += 1
                larger -= counts[member] > least
        for place in everything:
            if place not in owners:
                owners[place] = min(live, key=lambda m: (counts[m], m))
                counts[owners[place]] += 1
        if owners != group["owners"]:
            group["owners"] = owners
            group["generation"] += 1

    async def log_leave(self, query, body, writer):
        call = json.loads(body)
        group = self.groups.get(call["group"])
        if group is not None:
            group["members"].pop(call["member"], None)
        answer(writer, 200, {})

    async def log_owners(self, query, body, writer):
        await asyncio.sleep(self.group_delay_s)
        group = self.groups.get(query["group"], {"owners": {}})
        answer(writer, 200, {"owners": [[t, p, m, 0] for (t, p), m in group["owners"].items()]})


class Engine:
    """A model server with slots, a short queue and resumable streams of
    events. It records every request that it has started to run."""

    def __init__(self, store, name, service, ip, port, zone, slots=8):
        self.store, self.name, self.service = store, name, service
        self.ip, self.port, self.zone, self.slots = ip, port, zone, slots
        self.told_port = port  # Port in the registration, to which hosts connect.
        self.seen = []  # (attempt id, headers, path, start time)
        self.running = 0
        self.queue_limit = 8
        self.waiting = 0
        self.free = Change()
        self.cut_after = None  # Breaks off streams after this many events.
        self.silent_after = None  # Falls silent after this many events.
        self.drip_after = None  # Sends a byte now and then, but no event, after this many events.
        self.flood = None  # Sends bytes without end of this kind, see send_flood().
        self.gap_s = EVENT_GAP_S  # Pause before each event.
        self.copy_after_s = None  # Sends each plain answer once more, this much later.
        self.cut_plain = False  # Closes in the middle of plain answers.
        self.cut_head = False  # Closes in the middle of the head of each answer.
        self.is_unframed = False  # Sends answers without length or chunks, and closes.
        self.cut_unframed = None  # How it ends them too early: "close" or "reset".
        self.raw = None  # Makes the bytes that it sends in place of answers, of a request's id and path.
        self.raw_connections = set()  # Connections on which it has done so.
        self.raw_reused = 0  # Requests that came on one of these later.
        self.early = None  # Answers before it has read the body: "reset", "half_reset", "half_read" or "length".
        self.fails_with = None  # Status of its answer to each request that it runs.
        self.refuses = set()  # Requests to refuse; a refusal comes again on a kept connection.
        self.copies_have_id = True
        self.stale_refusals = []  # Names of the requests in refusals that are to come again.
        self.kept = set()  # Connections that have been used.
        self.refusals_repeated = 0
        self.deadly_part = None  # Crashes when it begins an online request with this part of a prompt.
        self.deadly_body = None  # Crashes when it begins an online request with this in its body.
        self.deadly_runs = []  # Times at which it has begun such requests.
        self.crashes = []  # Times of these crashes.
        self.says_it_leaves = False  # Announces in all answers that it leaves.
        self.slowness = None  # Fourth figure of the load that it tells in answers; None: tells no load.
        self.born = 1
        self.tokens = random.Random(name)
        self.tasks = []
        self.http = HttpServer(self.handle, self.answer_early)

    async def start(self, state="ready"):
        if self.http.server is None:
            await self.http.start(self.ip, self.port)
        await self.register(state)

    async def register(self, state):
        await self.store.put(SERVER_TOPIC, self.name, {
            "service": self.service, "address": f"{self.ip}:{self.told_port}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": state, "coldLeftMs": 0, "seq": 1,
            "born": self.born})

    async def crash(self):
        await self.http.stop()
        await self.store.put(SERVER_TOPIC, self.name, None)

    def fields(self):
        """Fields of each answer."""
        return {"Server_Leaving": "1"} if self.says_it_leaves else {}

    async def handle(self, request, reader, writer):
        method, path, query, headers, body = request
        attempt = headers.get("x-attempt-id", "")
        self.raw_reused += writer in self.raw_connections
        if headers.get("x-expect-instance", self.name) != self.name:
            answer(writer, 421, X_Instance_Id=self.name, **self.fields())
            return True
        if self.running >= self.slots and self.waiting >= self.queue_limit:
            answer(writer, 503, X_Not_Executed="1", X_Attempt_Id=attempt, **self.fields())
            return True
        if attempt in self.refuses:
            name = {"X_Attempt_Id": attempt} if self.copies_have_id else {}
            answer(writer, 503, X_Not_Executed="1", X_Attempt_Id=attempt)
            self.stale_refusals.append(name)
            return True
        if self.stale_refusals and writer in self.kept:
            answer(writer, 503, X_Not_Executed="1", **self.stale_refusals.pop())
            self.refusals_repeated += 1
        self.kept.add(writer)
        self.waiting += 1
        try:
            while self.running >= self.slots:
                await self.free.wait()
            self.running += 1
        finally:
            self.waiting -= 1
        self.seen.append((attempt, headers, path, time.monotonic()))
        try:
            return await self.run(attempt, path, headers, body, reader, writer)
        finally:
            self.running -= 1
            self.free.notify()

    async def answer_early(self, head, reader, writer):
        """Answers a request without reading its body, by the connection's end or
        by its length. Then it ends its own direction ("half_..."), and reads the
        body or resets the connection."""
        _, path, _, headers = head
        how = self.early
        if how is None:
            return None
        attempt = headers["x-attempt-id"]
        self.seen.append((attempt, headers, path, time.monotonic()))
        content, kind = b"early", "text/plain"
        if "plain" not in path:
            events = range(1, event_count(attempt) + (0 if how.endswith("reset") else 1))
            content = "".join(f"id: {e}\ndata: {event_data(attempt, e)}\n\n" for e in events).encode()
            kind = "text/event-stream"
        length = f"Content-Length: {len(content)}\r\n" if how == "length" else ""
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nX-Attempt-Id: {attempt}\r\n"
                     f"X-Server-Seal: seal-{self.name}\r\n{length}\r\n".encode() + content)
        await writer.drain()
        if how.startswith("half"):
            writer.write_eof()
        await asyncio.sleep(EARLY_PAUSE_S)
        if how.endswith("reset"):
            reset(writer)
            return False
        await read_body(reader, headers)
        return how == "length"

    async def crash_for(self, seconds):
        """Loses all connections, and is back later."""
        self.crashes.append(time.monotonic())
        await self.http.stop()
        await asyncio.sleep(seconds)
        await self.http.start(self.ip, self.port)

    async def run(self, attempt, path, headers, body, reader, writer):
        seal = f"seal-{self.name}"
        parts = [part.split(":")[0] for part in headers.get("x-prompt-prefix", "").split(",")]
        is_deadly = self.deadly_part in parts[:-1] or (self.deadly_body is not None and self.deadly_body in body)
        if is_deadly and not path.startswith("/job/"):
            self.deadly_runs.append(time.monotonic())
            await asyncio.sleep(EVENT_GAP_S)
            if self.http.server is not None:
                self.tasks.append(asyncio.ensure_future(self.crash_for(CRASH_S)))
            return False
        if self.raw is not None:
            self.raw_connections.add(writer)
            writer.write(self.raw(attempt, path))
            await writer.drain()
            return True
        if self.cut_head:
            writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Se".encode())
            await writer.drain()
            return False
        if self.fails_with is not None:
            answer(writer, self.fails_with, b"error text", X_Attempt_Id=attempt, X_Server_Seal=seal)
            return True
        if self.is_unframed:
            return await self.run_unframed(attempt, path, headers, body, writer)
        if self.flood is not None:
            await send_flood(self.flood, writer, f"X-Attempt-Id: {attempt}\r\nX-Server-Seal: {seal}\r\n".encode())
            return False
        if "poison" in path:
            answer(writer, 422, X_Attempt_Id=attempt, X_Server_Seal=seal)
            return True
        if "fail" in path:
            answer(writer, 500, X_Attempt_Id=attempt, X_Server_Seal=seal)
            return True
        if "plain" in path:
            await asyncio.sleep(EVENT_GAP_S)
            if self.cut_plain:
                head = f"HTTP/1.1 200 OK\r\nContent-Length: 99\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: {seal}\r\n\r\n"
                writer.write(head.encode() + b"echo " + body)
                await writer.drain()
                return False
            answer(writer, 200, b"echo " + body, X_Attempt_Id=attempt, X_Server_Seal=seal, **self.fields())
            if self.copy_after_s is not None:
                asyncio.get_running_loop().call_later(
                    self.copy_after_s, functools.partial(
                        answer, writer, 200, b"echo " + body, X_Attempt_Id=attempt, X_Server_Seal=seal))
            return True
        leaving = "Server-Leaving: 1\r\n" if self.says_it_leaves else ""
        if self.slowness is not None:
            leaving += f"X-Server-Load: {self.running},{self.waiting},{self.slots},{self.slowness}\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {attempt}\r\n{leaving}"
                     f"X-Server-Seal: {seal}\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        count = event_count(attempt)
        first = int(headers.get("last-event-id", 0)) + 1
        for number, event in enumerate(range(first, count + 1)):
            await asyncio.sleep(self.gap_s)
            if self.cut_after is not None and number >= self.cut_after:
                reset(writer)
                return False
            while self.silent_after is not None and number >= self.silent_after:
                if reader.at_eof() or writer.transport.is_closing():
                    return False
                await asyncio.sleep(EVENT_GAP_S)
            while self.drip_after is not None and number >= self.drip_after:
                if reader.at_eof() or writer.transport.is_closing():
                    return False
                writer.write(b"1\r\n:\r\n")
                await asyncio.sleep(DRIP_GAP_S)
                if self.drip_after is None:
                    writer.write(b"1\r\n\n\r\n")  # The comment ends.
            text = f"id: {event}\ndata: {event_data(attempt, event)}\n\n".encode()
            writer.write(f"{len(text):x}\r\n".encode() + text + b"\r\n")
            await writer.drain()
            if reader.at_eof() or writer.transport.is_closing():
                return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def run_unframed(self, attempt, path, headers, body, writer):
        """Answers with neither length nor chunks; the end is that of the connection."""
        is_plain = "plain" in path
        kind = "text/plain" if is_plain else "text/event-stream"
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nX-Attempt-Id: {attempt}\r\n"
                     f"X-Server-Seal: seal-{self.name}\r\n\r\n".encode())
        events = range(int(headers.get("last-event-id", 0)) + 1, event_count(attempt) + 1)
        parts = [b"echo ", body] if is_plain else [
            f"id: {event}\ndata: {event_data(attempt, event)}\n\n".encode() for event in events]
        for part in parts[:-1]:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        if self.cut_unframed is None:
            writer.write(parts[-1])
        elif not is_plain:
            writer.write(parts[-1][:8])
        await writer.drain()
        if self.cut_unframed == "reset":
            await asyncio.sleep(self.gap_s)
            reset(writer)
        return False


async def send_flood(kind, writer, fields=b""):
    """Sends bytes that are no answer until the caller closes; `fields` are
    header fields of the answer's head."""
    head = b"HTTP/1.1 200 OK\r\n" + fields
    chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
    chunk = f"{FLOOD_BYTES:x}\r\n".encode() + b"x" * FLOOD_BYTES + b"\r\n"
    start, more = {
        "head": (head, b"X-Junk: " + b"x" * 1000 + b"\r\n"),
        "interim": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
        "body": (chunked, chunk),
        "event": (head + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", chunk),
        "chunk_extension": (chunked + b"5;x=", b"x" * FLOOD_BYTES),
        "trailer": (chunked + b"0\r\n", b"X-Junk: " + b"x" * FLOOD_BYTES + b"\r\n")}[kind]
    with contextlib.suppress(OSError):
        writer.write(start)
        while not writer.transport.is_closing():
            writer.write(more)
            await writer.drain()
            await asyncio.sleep(0)


def event_count(attempt):
    """Number of events of a request's stream; the same at every server."""
    return 5 + sum(attempt.encode()) % 20


EVENT_TEXTS = {}  # Texts of some events, by their number.


def event_data(attempt, event):
    """Returns the data of one event; the same at every server."""
    return EVENT_TEXTS.get(event, f"{attempt}/{event}")


def whole_output(attempt):
    """Returns the complete output of an item."""
    return "\n".join(event_data(attempt, e) for e in range(1, event_count(attempt) + 1))
