"""Callers who connect to a stopped router and leave; real processes."""

import json
import signal
from contextlib import closing
from select import poll
from socket import AF_INET, SOCK_STREAM, socket
from time import sleep

import pytest

from greengageflow.lab.platform_lab import KEY, SAFE, PlatformLab, PlatformShape
from tests.support import wait_for

CALLERS = 900
MAX_WAITING_CONNECTIONS = 500
"""Maximum number of connections that may wait to be accepted.

A caller tries another host after 1 s. A host with half a core reads 500 connections in
that time, at 1 ms each.
"""


def request(name):
    """Return the bytes of a request."""
    lines = [
        f"POST {SAFE} HTTP/1.1",
        "Host: app.example",
        f"X-Greengageflow-Request-Id: {name}",
        "X-Greengageflow-Deadline-Ms: 15000",
        f"X-Greengageflow-Credential: {KEY}",
        "Content-Length: 0",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


class Callers:
    """Callers that connect, send one request each and disconnect without an answer."""

    def __init__(self, address):
        self.socks = {}
        for number in range(CALLERS):
            sock = socket(AF_INET, SOCK_STREAM)
            sock.setblocking(False)
            sock.connect_ex(address)
            self.socks[sock.fileno()] = sock, f"crowd-{number:08d}"

    def send(self):
        """Send a request on each established connection; return how many were sent."""
        watch = poll()
        for number in self.socks:
            watch.register(number, 4)
        sent = 0
        for number, _ in watch.poll(0):
            sock, name = self.socks[number]
            try:
                sent += sock.send(request(name)) > 0
            except OSError:
                continue
        return sent

    def close(self):
        """Close all connections."""
        for sock, _ in self.socks.values():
            sock.close()


@pytest.fixture
def lab():
    with PlatformLab(PlatformShape(plain=1)) as lab:
        yield lab


@pytest.fixture
def stopped_router(lab):
    """Stop the router's process, yield it and continue it afterwards."""
    process = lab.routers["r0"].popen
    process.send_signal(signal.SIGSTOP)
    yield process
    process.send_signal(signal.SIGCONT)


def logged_request_ids(lab):
    """Return the request ids in the router's log lines, in order."""
    rows = (line for line in lab.router_logs.splitlines() if line.startswith("{"))
    return [row["request"] for row in map(json.loads, rows) if "request" in row]


def test_no_more_callers_wait_for_a_host_than_it_reads_in_time(lab, stopped_router):
    """An overloaded host reported ready but accepted none of 4,493 new connections in
    nine seconds, and their callers got no answer.

    Up to 4,096 connections waited in the listen queue and were accepted oldest first,
    one per poll, so the host accepted only connections that had been abandoned seconds
    before. Readiness has a listener and queue of its own. Measured: 4,950 connections
    and 300 requests at 51 % of a core, requests read eight seconds after the last was
    sent, connections falling evenly by 650 per second afterwards. With a short listen
    queue, a new caller learns at once that the host is full.
    """
    host, port = lab.settings["r0"]["callers"].split(":")
    with closing(Callers((host, int(port)))) as callers:
        sleep(0.2)
        assert callers.send() <= MAX_WAITING_CONNECTIONS


def test_nothing_is_decided_for_callers_that_left_before_they_were_read(
    lab, stopped_router
):
    """An overloaded host read abandoned requests for eight seconds after the last was
    sent, and requested a placement for each while new callers waited.

    A request was scheduled as soon as its bytes were read; the end of the connection
    followed right behind them but was read one event loop round later. Seen as
    CALLER_LEFT of queued requests, 2 to 3 ms after their arrival.
    """
    host, port = lab.settings["r0"]["callers"].split(":")
    with closing(Callers((host, int(port)))) as callers:
        sleep(0.2)
        assert callers.send() > 0
    stopped_router.send_signal(signal.SIGCONT)
    wait_for(lambda: lab.ask(SAFE).status == 200, "a new caller is served")
    assert not [name for name in logged_request_ids(lab) if name.startswith("crowd-")]
    assert not [row for row in lab.runs() if row["id"].startswith("crowd-")]
