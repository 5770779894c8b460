"""Answers to callers that the end of the connection delimits."""

from contextlib import closing
from dataclasses import replace
from socket import SHUT_WR

import pytest
from caller_server import LIMITS, Server, chat
from http_fakes import wait_for

LARGE = b"x" * 5_000_000


@pytest.fixture
def server():
    with closing(Server()) as server:
        yield server


def begin(server, data=b"data: 1\n\n", **options):
    """Start such an answer; return its caller and its reply."""
    caller = server.caller()
    caller.send(chat(stream=True))
    call = wait_for(lambda: server.handler.calls)[0]
    server.handler.calls.clear()
    server.loop.call(lambda: call.reply.begin(200, (), data, until_close=True))
    return caller, call.reply


def assert_reset(caller):
    with pytest.raises(ConnectionResetError):
        caller.rest()


def test_nothing_but_the_end_of_the_connection_shows_the_end(server):
    """The gateway's own framing stated more than it knew of an answer's end."""
    caller, reply = begin(server)
    server.loop.call(lambda: reply.send_chunk(b"data: 2\n\n"))
    server.loop.call(lambda: reply.finish(b"data: 3\n\n"))
    head, _, body = caller.rest().partition(b"\r\n\r\n")
    names = {line.partition(b":")[0] for line in head.lower().split(b"\r\n")}
    assert not names & {b"content-length", b"transfer-encoding"}
    assert b"connection: close" in head.lower()
    assert body == b"data: 1\n\ndata: 2\n\ndata: 3\n\n"
    assert not reply.open


def test_a_large_answer_arrives_whole_though_the_server_ends(server):
    """Bytes that the caller had not read yet were discarded by a reset."""
    caller, reply = begin(server, LARGE)
    server.loop.call(reply.finish)
    link = next(iter(server.callers._links.values()))
    caller.until(b"\r\n\r\n")
    while link.queued_bytes:
        caller.data += caller.sock.recv(65_536)
    wait_for(lambda: link.conn.queued_bytes == 0)
    server.loop.call(server.callers.drain)
    server.loop.call(link.drop)
    assert (caller.data + caller.rest()).endswith(LARGE[:1000])
    assert wait_for(lambda: not server.callers.connections)


def test_an_aborted_answer_is_reset(server):
    """An answer that was known to be incomplete ended in order."""
    caller, reply = begin(server)
    server.loop.call(reply.abort)
    assert_reset(caller)
    wait_for(lambda: not server.callers.connections)
    assert not server.callers.sockets._reset_on_close
    assert not server.handler.disconnected


def test_a_server_that_stops_resets_an_unfinished_answer():
    """A server that stops closes its connections in order."""
    server = Server()
    caller, _reply = begin(server)
    caller.until(b"data: 1\n\n")
    server.close()
    assert_reset(caller)


def test_a_large_answer_that_is_not_read_is_reset():
    """A caller that reads too slowly got half of an answer that looked complete."""
    with closing(Server(replace(LIMITS, write_s=0.1))) as server:
        caller, reply = begin(server, 2 * LARGE)
        server.loop.call(reply.finish)
        wait_for(lambda: not server.callers.connections)
        assert_reset(caller)


def test_a_caller_that_ends_its_side_does_not_get_an_end_in_order(server):
    """The connection of a caller that has nothing more to send is closed at once."""
    caller, reply = begin(server)
    caller.until(b"data: 1\n\n")
    caller.sock.shutdown(SHUT_WR)
    wait_for(lambda: not reply.open)
    assert_reset(caller)


def test_an_answer_with_chunks_still_ends_in_order_when_it_is_aborted(server):
    """A reset may take the events of a stream with it that were sent before."""
    caller = server.caller()
    caller.send(chat(stream=True))
    call = wait_for(lambda: server.handler.calls)[0]
    server.loop.call(lambda: call.reply.begin(200, (), b"data: 1\n\n"))
    server.loop.call(call.reply.abort)
    assert caller.rest().endswith(b"9\r\ndata: 1\n\n\r\n")
