import json
from contextlib import closing
from socket import SO_LINGER, SOL_SOCKET, create_connection
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
    shared.handler.disconnected.clear()
    shared.handler.error = None
    return shared


def test_a_complete_stream_ends_with_done(server):
    caller, reply = start_stream(server)
    server.loop.call(reply.end_stream)
    assert caller.until(b"0\r\n\r\n") == b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
    caller.send(post("/services/a/b", b"next"))
    caller.until(b"POST /b next")


def test_an_aborted_stream_never_looks_complete(server):
    """An aborted stream has an error event but neither ``[DONE]`` nor the last chunk.

    The endpoint's stream fails for good after some chunks. No client may take the
    answer for a complete one.
    """
    caller, reply = start_stream(server)
    error = RouterError(ErrorKind.ENDPOINT_CUT, "cut", ran=Ran.YES)
    server.loop.call(lambda: reply.error(error))
    rest = caller.rest()
    assert b"event: error\ndata: " + json.dumps(error.body).encode() in rest
    assert b"[DONE]" not in rest
    assert not rest.endswith(b"0\r\n\r\n")


def test_a_disconnect_of_the_caller_is_reported_once(server):
    """The handler is notified once when a caller closes in the middle of a stream.

    The endpoint's work can then be cancelled. Chunks that follow are discarded.
    """
    caller, reply = start_stream(server)
    caller.sock.close()
    wait_for(lambda: server.handler.disconnected)
    assert not reply.open
    server.loop.call(lambda: reply.send_chunk(b"data: 2\n\n"))
    server.loop.call(reply.end_stream)
    assert len(server.handler.disconnected) == 1
    assert_no_state_left(server)


def assert_no_state_left(server):
    wait_for(lambda: server.callers.connections == 0)
    tcp_server = server.callers.sockets
    assert not tcp_server._buffers
    assert not tcp_server._closeq
    assert not tcp_server._clients


def test_a_connection_reset_with_bytes_queued_leaves_no_state(server):
    """No state is left of a connection that is reset with data queued.

    A pending write event makes the circuits server create the queue again for the
    socket, which is closed by then. Memory would grow with each such caller.
    """
    caller, reply = start_stream(server)
    server.loop.call(lambda: reply.send_chunk(b"x" * 5_000_000))
    caller.sock.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
    caller.sock.close()
    wait_for(lambda: server.handler.disconnected)
    server.loop.call(lambda: None)
    assert_no_state_left(server)


def test_a_rejection_reaches_a_caller_that_is_still_sending(server):
    """A caller that sends its whole body before reading gets the rejection.

    The answer is sent as soon as the headers are read, while the body is in transit.
    Closing at once would reset the connection and lose the answer.
    """
    body = b"x" * 5_000_000
    answer = server.request(post("/services/a/b", body))
    assert answer.startswith(b"HTTP/1.1 413 ")


def test_a_slow_reader_pauses_the_stream(server):
    """Backpressure: a slow caller gets all chunks while few of them are buffered.

    The caller stops reading. Above the high-water mark the reply is ``blocked``, and
    it calls ``on_drain`` once the caller has read again.
    """
    caller, reply = start_stream(server)
    drained = []
    reply.on_drain = lambda: drained.append(1)
    chunk = b"data: " + b"x" * 10_000 + b"\n\n"
    sent = 0

    def fill():
        nonlocal sent
        while not reply.blocked:
            reply.send_chunk(chunk)
            sent += 1

    server.loop.call(fill)
    assert not drained
    link = next(iter(server.callers._links.values()))
    assert link.queued_bytes < LIMITS.high_water_bytes + 2 * len(chunk)
    for _ in range(sent):
        caller.until(b"x\n\n")
    wait_for(lambda: drained)
    assert not reply.blocked
    server.loop.call(reply.end_stream)
    caller.until(b"[DONE]")


def test_connections_reset_as_they_are_accepted_leave_no_state(server):
    """A connection that is set up is polled and closed even if its caller had reset it
    before it was accepted; it would hold a file descriptor for good."""
    accepted = server.callers.accepted_connections

    def reset_many():
        # The loop is busy here, so that it accepts all of them after their reset.
        for _ in range(20):
            sock = create_connection(server.callers.address)
            sock.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
            sock.close()

    server.loop.call(reset_many)
    caller, reply = start_stream(server)
    server.loop.call(reply.end_stream)
    caller.until(b"0\r\n\r\n")
    caller.sock.close()
    assert_no_state_left(server)
    assert server.callers.accepted_connections > accepted
