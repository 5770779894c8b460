"""A client gets half of an answer, whose connection was reset, as a whole one."""

import socket
import struct
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import harness  # noqa: E402

KEY = "asnmgkcuyj8pjbvk9m68"
HOST = "front-a-1"
REQUESTS, AT_ONCE = 120, 4
BODY = b"q" * 4_000_000
ANSWER = b"r" * 800


class EarlyReplica(harness.Replica):
    """Answers long requests before it has read them, without a length.

    With trouble it breaks off each answer in the middle and resets the connection.
    """

    def respond(self, conn, request, headers, rest):
        """Answer a request and close the connection."""
        time.sleep(0.1)
        lines = {harness.REQUEST_ID: request, harness.SEAL: self.seal()}
        head = harness.head_of(200, {**lines, "Connection": "close"})
        if harness.TROUBLE:
            linger = struct.pack("ii", 1, 0)
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            conn.sendall(head + ANSWER[:400])
            conn.close()
            return
        conn.sendall(head + ANSWER[:400])
        time.sleep(0.02)
        conn.sendall(ANSWER[400:])
        harness.read_body(conn, headers, rest)


def case(record, fleet):
    """Return how many clients got a part of an answer as a whole one."""
    store = harness.Store(fleet.ip(1), record)
    replicas = [EarlyReplica(f"i-{n}", fleet.ip(2), record) for n in range(3)]
    for replica in replicas:
        entry = replica.entry("bilhete-app", harness.ZONES[0])
        store.put_server(replica.name, entry)
    store.put_config(harness.configuration(3, [KEY]))
    fleet.add(HOST, harness.ZONES[0], harness.ZONES, store.address, harness.BOUNDS)
    fleet.start()
    time.sleep(3.0)

    answers = []

    def call():
        for _ in range(REQUESTS // AT_ONCE):
            client = harness.Client(fleet.callers(HOST), record)
            answers.append(client.ask(KEY, body=BODY))
            client.close()

    threads = [threading.Thread(target=call, daemon=True) for _ in range(AT_ONCE)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(100.0)
    if not fleet.running(HOST):
        raise RuntimeError(f"{HOST} has ended")
    if not harness.TROUBLE and {status for _, status, _ in answers} != {200}:
        raise RuntimeError("requests fail without trouble")
    broken = 0
    for request, status, data in answers:
        if 200 <= status < 300 and data != ANSWER:
            text = f"{request} got status {status} with {len(data)} of {len(ANSWER)}"
            record(f"BROKEN: {text} bytes, and the answer looks complete")
            broken += 1
    return broken


harness.main(Path(__file__).parent, case)
