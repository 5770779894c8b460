"""Pipelined requests of one caller's connection at a gateway."""

from contextlib import closing

from greengageflow.lab.platform_lab import HOST, KEY, SAFE, PlatformLab, PlatformShape
from greengageflow.platform.names import CREDENTIAL, DEADLINE_MS, REQUEST_ID

ROUNDS = 20
REQUESTS = 10


def request(number):
    lines = (
        f"GET {SAFE} HTTP/1.1",
        f"Host: {HOST}",
        f"{REQUEST_ID}: pipelined-{number}",
        f"{DEADLINE_MS}: 5000",
        f"{CREDENTIAL}: {KEY}",
    )
    return "\r\n".join((*lines, "", "")).encode()


def test_each_pipelined_request_is_answered():
    """A request took the place of the one before it in the table of calls and ended
    with an internal error, and a later one was answered 504 at its deadline.
    """
    with PlatformLab(PlatformShape(plain=1)) as lab:
        assert lab.ask(SAFE).status == 200
        for first in range(0, ROUNDS * REQUESTS, REQUESTS):
            ids = range(first, first + REQUESTS)
            with closing(lab.client()) as client:
                client.sock.sendall(b"".join(map(request, ids)))
                answers = b""
                while answers.count(b"\r\n\r\n") < REQUESTS:
                    data = client.sock.recv(65_536)
                    assert data, "the gateway closed the connection"
                    answers += data
                assert answers.count(b"HTTP/1.1 200 ") == REQUESTS
                places = [answers.index(f"pipelined-{i}\r".encode()) for i in ids]
                assert places == sorted(places)
