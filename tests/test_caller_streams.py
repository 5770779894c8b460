import json
from contextlib import closing
from socket import SO_LINGER, SOL_SOCKET
from struct import pack

import pytest
from caller_server import LIMITS, Server, post, start_stream
from http_fakes import wait_for

from greengageflow.errors import ErrorKind, Ran, RouterError


@pytest.fixture(scope="module")
def shared():
    with closing(Server()) as server:
        yield server


@pytest.fixture
def server(shared):
    shared.handler.calls.clear()
    shared.handler.gone.clear()
    shared.handler.error = None
    return shared


def test_a_whole_stream_ends_with_its_mark(server):
    caller, reply = start_stream(server)
    server.loop.call(reply.end_stream)
    assert caller.until(b"0\r\n\r\n") == b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
    caller.send(post("/services/a/b", b"next"))
    caller.until(b"POST /b next")


def test_a_cut_stream_never_looks_whole(server):
    """The caller sees an error event and a broken body, and no end mark.

    The endpoint's stream broke off for good after some pieces. Neither the end
    mark nor the last chunk is sent, so that no client takes it for a whole answer.
    """
    caller, reply = start_stream(server)
    error = RouterError(ErrorKind.ENDPOINT_CUT, "cut", ran=Ran.YES)
    server.loop.call(lambda: reply.error(error))
    rest = caller.rest()
    assert b"event: error\ndata: " + json.dumps(error.body).encode() in rest
    assert b"[DONE]" not in rest
    assert not rest.endswith(b"0\r\n\r\n")


def test_a_caller_that_leaves_is_reported(server):
    """The endpoint's work can be cancelled when nobody waits for it.

    The caller closes in the middle of its stream; the handler hears of it once,
    and pieces that still come are dropped.
    """
    caller, reply = start_stream(server)
    caller.sock.close()
    wait_for(lambda: server.handler.gone)
    assert not reply.open
    server.loop.call(lambda: reply.piece(b"data: 2\n\n"))
    server.loop.call(reply.end_stream)
    assert len(server.handler.gone) == 1
    assert_nothing_left(server)


def assert_nothing_left(server):
    wait_for(lambda: server.callers.connections == 0)
    inner = server.callers.sockets
    assert not inner._buffers
    assert not inner._closeq
    assert not inner._clients


def test_a_connection_reset_with_bytes_queued_leaves_nothing(server):
    """Memory does not grow with callers that vanish.

    The caller's connection is reset while pieces wait to be sent to it. The write
    event that was under way makes the server below create the queue anew, for a
    socket that is closed by then.
    """
    caller, reply = start_stream(server)
    server.loop.call(lambda: reply.piece(b"x" * 5_000_000))
    caller.sock.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
    caller.sock.close()
    wait_for(lambda: server.handler.gone)
    server.loop.call(lambda: None)
    assert_nothing_left(server)


def test_a_refusal_reaches_a_caller_that_is_still_sending(server):
    """The caller reads why its body was refused, although it sent all of it.

    The answer goes out at the request's head and the rest of the body is still on
    its way. Closing at once would reset the connection and lose the answer.
    """
    body = b"x" * 5_000_000
    answer = server.ask(post("/services/a/b", body))
    assert answer.startswith(b"HTTP/1.1 413 ")


def test_a_slow_reader_holds_the_stream_back(server):
    """A slow caller gets all its pieces, and the router holds few of them.

    The caller stops reading; once the high-water mark is reached the reply says
    that it is blocked, and calls back when the caller has read again.
    """
    caller, reply = start_stream(server)
    drained = []
    reply.on_drain = lambda: drained.append(1)
    piece = b"data: " + b"x" * 10_000 + b"\n\n"
    sent = 0

    def push():
        nonlocal sent
        while not reply.blocked:
            reply.piece(piece)
            sent += 1

    server.loop.call(push)
    assert not drained
    link = next(iter(server.callers._links.values()))
    assert link.queued < LIMITS.high_water + 2 * len(piece)
    for _ in range(sent):
        caller.until(b"x\n\n")
    wait_for(lambda: drained)
    assert not reply.blocked
    server.loop.call(reply.end_stream)
    caller.until(b"[DONE]")
