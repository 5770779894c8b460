import socket
import struct
from contextlib import closing, suppress
from select import select
from threading import Event
from time import sleep

import pytest
from http_fakes import FakePeer, Loop, wait_for

from greengageflow.net._http_conn import (
    BodyData,
    Connection,
    End,
    Head,
    ResponseTruncated,
)
from greengageflow.net.http_pool import Failure, FailureKind, HttpRequest, Response


@pytest.fixture
def loop():
    with closing(Loop(source_ip="127.0.0.9")) as loop:
        loop.thread.start()
        yield loop


def is_polled_for_reading(loop, sock):
    return loop.pool._find_poller().isReading(sock)


class Recorder:
    def __init__(self):
        self.log = []
        self.data = bytearray()

    def on_head(self, head):
        self.log.append(head.status)

    def on_data(self, data):
        self.data += data

    def on_end(self):
        self.log.append("end")

    def on_failure(self, failure):
        self.log.append(failure)


def fetch(loop, port, **options):
    done = []
    options = {"method": "POST", "path": "/x", "body": b"hello"} | options
    request = HttpRequest(ip="127.0.0.1", port=port, **options)
    limit = 1000
    loop.call(lambda: loop.pool.fetch(request, done.append, limit))
    return wait_for(lambda: done)[0]


def test_connection_is_reused_and_bound_to_the_source_ip(loop):
    def script(conn, _number):
        while conn.request():
            conn.answer(b'{"a": 1}', extra="X-Y: z\r\n")

    peer = FakePeer(script)
    for _ in range(3):
        response = fetch(loop, peer.port)
        assert response.json() == {"a": 1}
        assert response.header("x-y") == "z"
    assert peer.sources == ["127.0.0.9"]
    assert peer.requests[0].endswith(b"\r\n\r\nhello")


def test_chunked_response_in_single_bytes_is_complete(loop):
    def script(conn, _number):
        conn.request()
        text = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for byte in text + b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n":
            conn.send(bytes([byte]))
        conn.wait_closed()

    assert fetch(loop, FakePeer(script).port).body == b"abcde"


@pytest.mark.parametrize(
    ("answer", "kind"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", FailureKind.CUT),
        (b"HTTP/1.1 200 OK\r\n\r\nabcde", FailureKind.CUT),
        (b"", FailureKind.CUT),
        (b"SSH-2.0\r\n\r\n", FailureKind.BROKEN),
        (b"HTTP/1.1 200 OK\r\nX: " + b"a" * 70_000, FailureKind.BROKEN),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + b"a" * 2000,
            FailureKind.BROKEN,
        ),
    ],
)
def test_truncated_and_invalid_responses_are_failures(loop, answer, kind):
    """A truncated or invalid response must be reported as one failure.

    The peer sends less than announced, no length, garbage or too much, and closes the
    connection.
    """

    def script(conn, _number):
        conn.request()
        conn.send(answer)

    failure = fetch(loop, FakePeer(script).port)
    assert isinstance(failure, Failure)
    assert (failure.kind, failure.sent) == (kind, True)


def test_refused_connection_is_reported_as_not_sent(loop):
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port = sock.getsockname()[1]
    failure = fetch(loop, port)
    assert (failure.kind, failure.sent) == (FailureKind.CONNECT, False)


def test_connect_timeout_is_reported_as_not_sent(loop):
    """A connect timeout must be reported as not sent.

    The peer's listen backlog is full, so the handshake never completes and no byte of
    the request is sent.
    """
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        sock.listen(0)
        address = sock.getsockname()
        with closing(socket.create_connection(address)):
            extra = socket.socket()
            extra.setblocking(False)
            extra.connect_ex(address)
            failure = fetch(loop, address[1], connect_timeout_s=0.1)
            extra.close()
    assert (failure.kind, failure.sent) == (FailureKind.CONNECT, False)


def test_idle_timeout_is_reported_as_sent(loop):
    peer = FakePeer(lambda conn, _number: conn.wait_closed())
    failure = fetch(loop, peer.port, idle_timeout_s=0.1)
    assert (failure.kind, failure.sent) == (FailureKind.TIMEOUT, True)


@pytest.mark.parametrize("retry_stale", [True, False])
def test_stale_connection_is_retried_only_if_allowed(loop, retry_stale):
    """A closed idle connection must not fail a request or repeat a protected one.

    The peer responds once and closes the connection when the next request arrives on
    it, as servers do with idle connections. A request with ``retry_stale`` is retried
    on a new connection; one without it never uses the old connection.
    """

    def script(conn, number):
        conn.request()
        conn.answer(b"%d" % number)
        if number == 0:
            conn.request()
        else:
            conn.wait_closed()

    peer = FakePeer(script)
    assert fetch(loop, peer.port).body == b"0"
    response = fetch(loop, peer.port, retry_stale=retry_stale)
    assert isinstance(response, Response)
    assert response.body == b"1"
    assert len(peer.requests) == (3 if retry_stale else 2)


def test_failed_retry_is_reported_as_sent(loop):
    """A failed retry must be reported as sent if the first attempt was sent.

    The peer reads the second request on the reused connection and goes down. The retry
    cannot connect, but the request may have run.
    """

    def script(conn, _number):
        conn.request()
        conn.answer(b"0")
        conn.request()
        peer.sock.shutdown(socket.SHUT_RDWR)
        peer.close()

    peer = FakePeer(script)
    assert fetch(loop, peer.port).body == b"0"
    failure = fetch(loop, peer.port)
    assert len(peer.requests) == 2
    assert (failure.kind, failure.sent) == (FailureKind.CONNECT, True)


def test_early_response_takes_precedence_over_a_write_error(loop, monkeypatch):
    """An early 413 must be reported instead of a write error.

    The peer responds before it has read the body. The pool is still sending; its write
    fails when the response has arrived but the poller has not reported it yet.
    """

    def script(conn, _number):
        conn.sock.recv(1000)
        conn.answer(b"too large", "413 Large")
        conn.wait_closed()

    def flush(conn):
        conn.sock.send(conn._unsent[:1000])
        select([conn.sock], [], [])
        raise BrokenPipeError

    monkeypatch.setattr(Connection, "flush", flush)
    response = fetch(loop, FakePeer(script).port, body=b"x" * 5000)
    assert response.status == 413


def test_pause_blocks_the_sender(loop):
    """A paused receiver gets no data, and flow control blocks the peer.

    The peer sends far more than the socket buffers hold; the receiver pauses at the
    head and resumes later.
    """
    size = 20_000_000
    sent = []

    def script(conn, _number):
        conn.request()
        conn.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        for _ in range(20):
            conn.send(b"x" * 1_000_000)
            sent.append(1)
        conn.wait_closed()

    class Paused(Recorder):
        def on_head(self, head):
            super().on_head(head)
            exchange[0].pause()

    recorder = Paused()
    request = HttpRequest("GET", "127.0.0.1", FakePeer(script).port, "/")
    exchange = []
    loop.call(lambda: exchange.append(loop.pool.open(request, recorder)))
    wait_for(lambda: recorder.log == [200])
    assert not loop.call(lambda: is_polled_for_reading(loop, exchange[0].conn.sock))
    before = len(recorder.data)
    for _ in range(5):
        loop.call(lambda: None)
    assert len(recorder.data) == before < 100_000
    assert len(sent) < 20
    loop.call(exchange[0].resume)
    wait_for(lambda: recorder.log == [200, "end"])
    assert len(recorder.data) == size


def test_exception_in_receiver_ends_the_exchange(loop):
    """An exception in the receiver must end the exchange.

    The receiver raises in ``on_data`` and loses these bytes; it must not get later
    bytes as if nothing were missing.
    """

    def script(conn, _number):
        conn.request()
        conn.send(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabc")
        conn.wait_closed()

    class Failing(Recorder):
        def on_data(self, data):
            raise ZeroDivisionError

    recorder = Failing()
    request = HttpRequest("GET", "127.0.0.1", FakePeer(script).port, "/")
    loop.call(lambda: loop.pool.open(request, recorder))
    wait_for(lambda: len(recorder.log) == 2)
    assert recorder.log[1].kind is FailureKind.BROKEN
    wait_for(lambda: loop.exceptions)
    loop.exceptions.clear()


def test_cancel_closes_the_connection_without_a_callback(loop):
    closed = []

    def script(conn, _number):
        conn.request()
        conn.send(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
        conn.wait_closed()
        closed.append(1)

    recorder = Recorder()
    request = HttpRequest("GET", "127.0.0.1", FakePeer(script).port, "/")
    exchange = loop.call(lambda: loop.pool.open(request, recorder))
    wait_for(lambda: recorder.data == b"abc")
    loop.call(exchange.cancel)
    wait_for(lambda: closed)
    assert recorder.log == [200]
    assert loop.call(lambda: (len(loop.pool._active), len(loop.pool._idle))) == (0, 0)


PARTIAL_BODY = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf"
LONG_BODY = b"x" * 64_000_000  # more than the socket buffers hold


def connection_to(peer):
    conn = Connection(("127.0.0.1", peer.port), None)
    select([], [conn.sock], [], 20)
    conn.check_connected()
    return conn


def parts_of(conn):
    """Read until the response is complete or known to be truncated."""
    while True:
        select([conn.sock], [], [], 20)
        for part in conn.receive():
            if isinstance(part, End):
                return "complete"
        assert not conn.ends_when_sent, "waits for a write that has failed"


@pytest.mark.parametrize("body", [b"", LONG_BODY])
@pytest.mark.parametrize("reset", [False, True])
def test_an_end_of_connection_is_no_proof_of_a_whole_answer(body, reset):
    """The kernel reports a reset once; a write that got it hid it from the reader.

    A response without a length whose request could not be sent to its end was taken
    for a complete one.
    """

    def script(conn, _number):
        conn.sock.recv(10)
        flushed.wait(20)
        conn.send(PARTIAL_BODY)
        if reset:
            linger = struct.pack("ii", 1, 0)
            conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            conn.sock.close()
        else:
            conn.sock.shutdown(socket.SHUT_WR)
            done.wait(20)  # without reading the rest of the request

    flushed, done = Event(), Event()
    with closing(connection_to(FakePeer(script))) as conn:
        conn.prepare("POST", "/", (), body, until_close=True)
        conn.flush()
        flushed.set()
        select([conn.sock], [], [], 20)
        sleep(0.1)  # the end of the connection arrives behind the data
        assert [type(part) for part in conn.receive()] == [Head, BodyData]
        with suppress(OSError):
            conn.flush()
        if not (body or reset):
            assert parts_of(conn) == "complete"
            return
        if not reset:
            assert not list(conn.receive()) and conn.ends_when_sent
            done.set()
            with pytest.raises(OSError):
                send_all(conn)
        with pytest.raises(ResponseTruncated):
            parts_of(conn)


def send_all(conn):
    while conn.wants_write:
        select([], [conn.sock], [], 20)
        conn.flush()


def fetch_early(loop, after, idle_timeout_s=20.0):
    """Send a long request to a peer that answers before it has read it, without a
    length, ends its answer in order, and then calls ``after`` with the connection."""

    def script(conn, _number):
        conn.sock.recv(10)
        conn.send(PARTIAL_BODY)
        conn.sock.shutdown(socket.SHUT_WR)
        after(conn)

    options = {"body": LONG_BODY, "until_close": True}
    port = FakePeer(script).port
    return fetch(loop, port, idle_timeout_s=idle_timeout_s, **options)


def test_whole_answer_before_the_request_was_read_is_complete(loop):
    """A server may answer early and read on. Its answer was taken for a truncated one
    if it ended before the request was sent."""

    def read_on(conn):
        for _ in range(5):
            conn.sock.recv(1000)
            sleep(0.01)
        conn.wait_closed()

    response = fetch_early(loop, read_on)
    assert isinstance(response, Response) and response.body == b"half"


def test_early_answer_is_truncated_if_the_request_is_not_taken(loop):
    """The end of the answer proves nothing if the server has gone: its system resets
    the connection when more of the request arrives."""
    failure = fetch_early(loop, lambda conn: conn.sock.close())
    assert (failure.kind, failure.sent) == (FailureKind.CUT, True)


def test_wait_for_the_rest_of_a_request_is_bounded(loop):
    """A server that ends its answer and reads no more must not hold the caller."""
    done = Event()
    failure = fetch_early(loop, lambda _conn: done.wait(20), idle_timeout_s=0.2)
    done.set()
    assert (failure.kind, failure.sent) == (FailureKind.TIMEOUT, True)


def test_end_before_the_request_is_sent_is_not_polled(loop):
    """The end of a connection stays readable: polling for it would take all the time
    of the processor until the server has read the request."""
    ended, done = Event(), Event()

    def script(conn, _number):
        conn.sock.recv(10)
        conn.send(PARTIAL_BODY)
        conn.sock.shutdown(socket.SHUT_WR)
        ended.set()
        done.wait(20)

    recorder = Recorder()
    port = FakePeer(script).port
    options = {"body": LONG_BODY, "until_close": True}
    request = HttpRequest("POST", "127.0.0.1", port, "/", **options)
    exchange = loop.call(lambda: loop.pool.open(request, recorder))
    assert ended.wait(20)
    wait_for(lambda: exchange.conn.ends_when_sent)
    for pausing in (exchange.pause, exchange.resume):
        loop.call(pausing)
        assert not loop.call(lambda: is_polled_for_reading(loop, exchange.conn.sock))
    assert recorder.log == [200] and recorder.data == b"half"
    loop.call(exchange.cancel)
    done.set()
