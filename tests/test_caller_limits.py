import json
from contextlib import closing
from threading import Event as Flag
from time import sleep

import pytest
from caller_server import GET, POST, Server, chat, closing_headers, post, start_stream
from circuits import Event, handler
from circuits.core.pollers import _read
from http_fakes import wait_for

from greengageflow.net._http_parse import is_single_request
from greengageflow.net.callers import TIMEOUT_CHECK_INTERVAL_S, Limits
from greengageflow.platform.interfaces import CallerInterface
from greengageflow.platform.names import CREDENTIAL


@pytest.fixture
def server():
    with closing(Server()) as server:
        yield server


TIMEOUTS = {
    "slow headers": (Limits(header_s=0.1, linger_s=0.1), GET, b"HTTP/1.1 408 "),
    "slow body": (
        Limits(header_s=0.1, linger_s=0.1),
        POST + b"Content-Length: 9\r\n\r\nabc",
        b"HTTP/1.1 408 ",
    ),
    "nothing": (Limits(keep_alive_s=0.1), b"", b""),
}


@pytest.mark.parametrize("name", TIMEOUTS)
def test_slow_callers_are_disconnected(name):
    limits, data, start = TIMEOUTS[name]
    with closing(Server(limits)) as server:
        answer = server.request(data)
        assert answer.startswith(start)
        assert bool(answer) == bool(start)


def test_a_caller_that_never_reads_is_disconnected():
    """A caller that requests a stream and never reads does not occupy an endpoint.

    After ``write_s`` the connection is closed and the handler is notified.
    """
    with closing(Server(Limits(write_s=0.1))) as server:
        caller = server.caller()
        caller.send(chat(stream=True))
        call = wait_for(lambda: server.handler.calls)[0]
        server.loop.call(call.reply.start_stream)
        server.loop.call(lambda: call.reply.send_chunk(b"x" * 20_000_000))
        wait_for(lambda: server.handler.disconnected)


def test_draining_ends_each_connection_after_its_answer():
    """Draining truncates no answer.

    One caller waits for its answer, one receives a stream and one is idle when the
    drain starts. The first two get their complete answers, all three connections are
    closed, and no new connection is accepted.
    """
    with closing(Server()) as server:
        idle, waiting = server.caller(), server.caller()
        stream, reply = start_stream(server)
        waiting.send(chat())
        call = wait_for(lambda: server.handler.calls[1:])[0]
        server.loop.call(server.callers.drain)
        assert idle.rest() == b""
        server.loop.call(lambda: call.reply.json(200, "whole"))
        answer = waiting.rest()
        assert answer.endswith(b'"whole"')
        assert b"\r\nconnection: close\r\n" in answer
        server.loop.call(lambda: reply.send_chunk(b"x" * 9_000_000))
        server.loop.call(reply.end_stream)
        sleep(3 * TIMEOUT_CHECK_INTERVAL_S)
        assert stream.rest().endswith(b"0\r\n\r\n")
        with pytest.raises(ConnectionRefusedError):
            server.caller()


def test_a_connection_that_arrives_as_the_drain_starts_is_closed_cleanly():
    """A caller connects in the same event loop round in which the drain starts.

    circuits accepts one round after it has seen the connection. The listening socket
    was already closed then, so that accepting failed with a logged exception.
    """
    with closing(Server()) as server:
        app, tcp_server = server.loop.app, server.callers.sockets
        drain = handler("drain_now")(lambda _manager: server.callers.drain())

        def connect_and_drain():
            app.addHandler(drain)
            app.fire(_read(tcp_server._sock), tcp_server.channel)
            app.fire(Event.create("drain_now"), "*")

        late_caller = server.caller()
        server.loop.call(connect_and_drain)
        assert late_caller.rest() == b""
        with pytest.raises(ConnectionRefusedError):
            server.caller()


def test_the_total_size_of_unfinished_bodies_is_limited(server):
    """Many callers with large bodies cannot exhaust the router's memory.

    A body beyond the shared budget is rejected with 429. The budget is released when
    other bodies are complete or their callers disconnect.
    """
    server.callers._budget._limit = 1500
    first = server.caller()
    first.send(POST + b"Content-Length: 1000\r\n\r\n" + b"x" * 900)
    wait_for(lambda: server.callers._budget.used == 900)
    body = b"y" * 800
    answer = server.request(post("/services/a/b", body))
    assert answer.startswith(b"HTTP/1.1 429 ")
    first.sock.close()
    wait_for(lambda: server.callers._budget.used == 0)
    assert server.request(post("/services/a/b", body, *closing_headers())).endswith(
        body
    )


def test_a_body_counts_until_its_request_is_answered(server):
    """Requests under way hold their bodies, so these must count as well."""
    server.callers._budget._limit = 1500
    caller = server.caller()
    caller.send(chat(messages=[{"role": "user", "content": "y" * 800}]))
    wait_for(lambda: server.handler.calls)
    assert server.callers._budget.used > 800
    answer = server.request(post("/services/a/b", b"y" * 800))
    assert answer.startswith(b"HTTP/1.1 429 ")
    caller.sock.close()
    wait_for(lambda: server.callers._budget.used == 0)


def test_connections_beyond_the_limit_are_closed_until_others_end():
    with closing(Server()) as server:
        server.callers._max_connections = 1
        first = server.caller()
        first.send(chat())
        wait_for(lambda: server.handler.calls)
        assert server.callers.full
        with closing(server.caller().sock) as second:
            assert second.recv(1) == b""
        first.sock.close()
        wait_for(lambda: server.callers.connections == 0)
        third = server.caller()
        third.send(post("/services/a/b"))
        third.until(b"POST /b ")
        wait_for(lambda: not server.callers.full)
        fourth = server.caller()
        fourth.send(post("/services/a/b"))
        fourth.until(b"POST /b ")
        assert third.rest() == b"", "idle connection is closed to make room"


class RejectPosts:
    """A gate that rejects POST requests."""

    retry_after_s = 3.0

    def __init__(self, may_shed):
        self.may_shed = may_shed

    def should_shed(self, data):
        return data.startswith(b"POST")


@pytest.mark.parametrize("size", [0, 10, 500_000])
@pytest.mark.parametrize("may_shed", [False, True])
def test_a_shed_request_gets_a_complete_answer(may_shed, size):
    """An overloaded host answers before it has read a long body.

    Closing at once would reset the connection and could lose the answer.
    """
    with closing(Server()) as server:
        server.callers._gate = RejectPosts(may_shed)
        answer = server.request(post("/services/a/b", b"x" * size))
        head, _, body = answer.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 503 ")
        assert b"\r\nRetry-After: 3\r\n" in head and b"\r\nConnection: close" in head
        assert json.loads(body)["error"]["ran"] == "no"
        assert not server.handler.calls
        get = b"GET /services/a/b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        assert server.request(get).startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize("may_shed", [False, True])
def test_request_of_a_caller_that_left_before_it_was_read_is_not_handled(may_shed):
    """An overloaded host reads a connection as it accepts it.

    The caller has sent its request and closed the connection by then.
    """
    with closing(Server()) as server:
        server.callers._gate = RejectPosts(may_shed)
        accepting, continued = Flag(), Flag()

        def hold():
            accepting.set()
            continued.wait(10)

        server.loop.timers.after(0, hold)
        accepting.wait(10)
        with closing(server.caller().sock) as sock:
            sock.sendall(GET + b"\r\n")
        continued.set()
        wait_for(lambda: server.callers.abandoned == 1)
        assert not server.handler.calls


@pytest.mark.parametrize(
    ("data", "is_single"),
    [
        (b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", True),
        (b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab", True),
        (b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", False),
        (b"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nab", False),
        (b"POST / HTTP/1.1\r\nX-Content-Length: 2\r\n\r\nab", False),
        (b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", False),
        (b"POST / HTTP/1.1\r\nContent-Length: 0\r\n", False),
        (b"", False),
    ],
)
def test_only_a_single_complete_request_is_answered_without_polling(data, is_single):
    """Closing while bytes are in transit would reset the connection."""
    assert is_single_request(data) is is_single


def test_the_key_of_a_request_is_found_without_parsing_it():
    key = CallerInterface().key
    lines = f"POST /x HTTP/1.1\r\nHost: a\r\n{CREDENTIAL}: kEy\r\nA: b\r\n\r\n"
    assert key(lines.encode()) == "kEy"
    assert key(lines.replace(CREDENTIAL, CREDENTIAL.title()).encode()) == "kEy"
    assert key(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n") == ""
    assert key(b"\xff" * 5000) == ""
