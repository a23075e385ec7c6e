#!/usr/bin/python3
"""Guards against requests that hang, get a wrong answer or run twice when the
open connections to an engine go silent permanently while new ones work."""

import socket
import struct

import failure_helper as fh


def connect(address, port=0):
    """Opens a connection from a local port; 0: any."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    connection.bind((fh.dc.LOOPBACK, port))
    host, port = address.rsplit(":", 1)
    connection.connect((host, int(port)))
    return connection


def answers(connection, timeout):
    """Whether the engine answers a request on the connection."""
    connection.settimeout(timeout)
    connection.sendall(b"GET /load HTTP/1.1\r\nHost: e\r\n\r\n")
    try:
        return connection.recv(1024).startswith(b"HTTP/1.1 200")
    except TimeoutError:
        return False


def check_address_used_again(address):
    """Guards against a stand-in that takes a new connection for a silenced one
    that had the same address: the kernel hands out local ports again."""
    kept, closed = connect(address), connect(address)
    fh.check(answers(kept, 10) and answers(closed, 10), "no answer before the fault")
    port = closed.getsockname()[1]
    closed.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    closed.close()  # With a reset, so that the port is free at once.
    fh.set_faults(address, silent_open=True)
    fh.check(not answers(kept, 1), "the open connection is not silent")
    again = connect(address, port)
    fh.check(answers(again, 10), "a new connection from a port that was used before is silent")
    for connection in (kept, again):
        connection.close()
    fh.set_faults(address, silent_open=False)


def test():
    with fh.cluster("silent_engine") as running:
        check_address_used_again(running.engines()[0]["address"])
        warm = [f"warm {i}" for i in range(60)]
        answers = fh.complete_many(running, warm)
        wrong = [a for a, p in zip(answers, warm) if not a.is_correct(p, 5)]
        fh.check(not wrong, f"before the fault {len(wrong)} failed: {wrong[:3]}")
        streams = [fh.BackgroundStream(running, f"open {i}", 500, host=i % 3) for i in range(6)]
        for stream in streams:
            stream.wait_for_token()
        for engine in running.engines():
            fh.set_faults(engine["address"], silent_open=True)
        for stream in streams:
            answer = stream.finish()
            right = answer.is_correct(stream.prompt, 500)
            fh.check(
                right or not answer.is_complete,
                f"an interrupted stream looks complete: {answer}"
            )
        prompts = [f"after {i}" for i in range(60)]
        answers = fh.complete_many(running, prompts)
        hung = [a for a in answers if a.status == 0]
        fh.check(not hung, f"{len(hung)} of 60 requests got no answer: {hung[:3]}")
        right = [a for a, p in zip(answers, prompts) if a.is_correct(p, 5)]
        wrong = [a for a, p in zip(answers, prompts) if a.is_complete and not a.is_correct(p, 5)]
        fh.check(not wrong, f"{len(wrong)} answers to another request")
        fh.check(len(right) >= 50, f"only {len(right)} of 60 were answered on new connections")
        items = fh.completion_items(40)
        job = fh.submit_until_accepted(running, items, "silent")
        fh.set_faults(running.engines()[0]["address"], silent_open=True)
        fh.wait_for_job(running, job)
        fh.check_exactly_once(running, job, items)


fh.run(test)
