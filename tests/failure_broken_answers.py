#!/usr/bin/python3
"""Guards against bytes of an engine that are no answer, or only precede one,
reaching a caller or the results of a job."""

import contextlib
import json
import socket
import threading
import time

import failure_helper as fh

# Status line and fields of heads that break HTTP.
BROKEN = {
    "status": (b"HTTP/1.1 000 X", b""),
    "folded line": (b"HTTP/1.1 200 OK", b"X-Ok: 1\r\n X-Bad: 2\r\n"),
    "transfer coding": (b"HTTP/1.1 200 OK", b"Transfer-Encoding: gzip\r\n"),
}
SOUND = (b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK", b"")
CHOICE = {"index": 0, "text": "hello", "finish_reason": "stop"}
WHOLE = json.dumps({"id": "a", "object": "text_completion", "model": fh.MODEL, "choices": [CHOICE],
                    "usage": {"completion_tokens": 1}}).encode()
EVENTS = b"data: " + json.dumps({"id": "a", "model": fh.MODEL, "choices": [CHOICE]}).encode() + b"\n\ndata: [DONE]\n\n"


class Engine:
    """An engine at the address of a stopped one. It puts `head` before each
    answer to a completion."""

    def __init__(self, address):
        self.head, self.runs = SOUND, 0
        host, port = address.rsplit(":", 1)
        self.listener = socket.create_server((host, int(port)))
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        with connection, connection.makefile("rb") as reader, contextlib.suppress(OSError):
            while line := reader.readline():
                path, length = line.split(b" ")[1], 0
                while (field := reader.readline()) != b"\r\n":
                    name, value = field.split(b":", 1)
                    length = int(value) if name.lower() == b"content-length" else length
                body = reader.read(length)
                head, content, kind = (b"HTTP/1.1 200 OK", b""), b'{"running":0,"waiting":0,"slots":8}', b"application/json"
                if path.startswith(b"/v1/"):
                    self.runs += 1
                    head, content = self.head, WHOLE
                    if json.loads(body).get("stream"):
                        content, kind = EVENTS, b"text/event-stream"
                connection.sendall(b"%s\r\nContent-Type: %s\r\n%sContent-Length: %d\r\n\r\n%s" %
                                   (head[0], kind, head[1], len(content), content))


def ask_until_it_runs(running, engine, stream):
    """Asks until the engine gets a request; it is left alone after failures."""
    for _ in range(100):
        before = engine.runs
        answer = fh.complete(running, "hello", stream=stream)
        if engine.runs > before:
            return answer
        time.sleep(0.1)
    raise AssertionError("the engine gets no request")


def check_online(running, engine):
    for engine.head in (SOUND, *BROKEN.values()):
        for stream in (False, True):
            answer = ask_until_it_runs(running, engine, stream)
            if engine.head == SOUND:
                fh.check(answer.is_complete and answer.text == "hello", f"interim response: {answer}")
            else:
                fh.check(answer.status == 502 and answer.ran == "maybe", f"{engine.head}: {answer}")


def check_items(running, engine):
    for what, head in {"sound": SOUND, **BROKEN}.items():
        engine.head, before = head, engine.runs
        job = fh.submit_until_accepted(running, fh.completion_items(1), what)
        fh.dc.wait_until(lambda: engine.runs > before, f"{what}: the item runs")
        if head != SOUND:
            time.sleep(1)
            counts = fh.job(running, job)["request_counts"]
            fh.check(counts["completed"] == counts["failed"] == 0, f"{what}: {counts}")
        engine.head = SOUND
        fh.wait_for_job(running, job)
        (line,) = fh.results(running, job)
        response = line["response"]
        fh.check(response["status_code"] == 200 and response["body"]["choices"][0]["text"] == "hello", f"{what}: {line}")


def test():
    with fh.cluster("broken_answers", hosts=1, engines=1) as running:
        row = running.engines()[0]
        running.server_process(row["id"]).kill()
        engine = Engine(row["address"])
        check_online(running, engine)
        check_items(running, engine)


fh.run(test)
