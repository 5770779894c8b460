"""A host that stood still, and the callers who came meanwhile; real processes."""

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
MOST_WAITING = 500
"""Connections that a host of half a core reads in the second for which a caller waits
until it tries elsewhere, at 1 ms each."""


def request(name):
    """Return a request as its caller sends it."""
    lines = [
        f"POST {SAFE} HTTP/1.1",
        "Host: app.example",
        f"X-Greengageflow-Request-Id: {name}",
        "X-Greengageflow-Deadline-Ms: 15000",
        f"X-Greengageflow-Credential: {KEY}",
        "Content-Length: 0",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


class Crowd:
    """Callers who connect, send a request each and leave when nothing comes."""

    def __init__(self, address):
        self.socks = {}
        for number in range(CALLERS):
            sock = socket(AF_INET, SOCK_STREAM)
            sock.setblocking(False)
            sock.connect_ex(address)
            self.socks[sock.fileno()] = sock, f"crowd-{number:08d}"

    def send(self):
        """Send the requests of those who got a connection; return how many did."""
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
        """Leave, all of them."""
        for sock, _ in self.socks.values():
            sock.close()


@pytest.fixture
def lab():
    with PlatformLab(PlatformShape(plain=1)) as lab:
        yield lab


@pytest.fixture
def stopped(lab):
    """Stop the router's process; yield it, and let it go on at the end."""
    process = lab.routers["r0"].popen
    process.send_signal(signal.SIGSTOP)
    yield process
    process.send_signal(signal.SIGCONT)


def decided(lab):
    """Return the ids that the router's lines tell of, in order."""
    rows = (line for line in lab.log.splitlines() if line.startswith("{"))
    return [row["request"] for row in map(json.loads, rows) if "request" in row]


def test_no_more_callers_wait_for_a_host_than_it_reads_in_time(lab, stopped):
    """One account's callers pressed one host beyond its processor share. It said ready
    and took none of 4,493 new connections in nine seconds; callers left unanswered.

    Cause: up to 4,096 connections waited to be accepted, oldest first, and the host
    took one at a look. All that it accepted had been given up seconds before; whoever
    came was behind those. Readiness has a listener, and a queue, of its own.
    Evidence: 4,950 connections and 300 requests at 51 % of a core; requests read eight
    seconds after the last was sent; the connections' even fall by 650 a second then.
    With a short queue who connects hears at once that this host is full.
    """
    host, port = lab.settings["r0"]["callers"].split(":")
    with closing(Crowd((host, int(port)))) as crowd:
        sleep(0.2)
        assert crowd.send() <= MOST_WAITING


def test_nothing_is_decided_for_callers_that_left_before_they_were_read(lab, stopped):
    """The same host went on reading requests for eight seconds after the last had been
    sent, asked for a place for each and saw 2 ms later that its caller had left, while
    new callers waited behind them.

    Cause: a request was decided as soon as its bytes were read; that its caller had
    closed stood right behind them and was seen a round later.
    Evidence: CALLER_LEFT in the queue, 2 to 3 ms after the request's arrival.
    """
    host, port = lab.settings["r0"]["callers"].split(":")
    with closing(Crowd((host, int(port)))) as crowd:
        sleep(0.2)
        assert crowd.send() > 0
    stopped.send_signal(signal.SIGCONT)
    wait_for(lambda: lab.ask(SAFE).status == 200, "a new caller is served")
    assert not [name for name in decided(lab) if name.startswith("crowd-")]
    assert not [row for row in lab.runs() if row["id"].startswith("crowd-")]
