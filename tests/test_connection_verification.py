"""Connections of ``HttpPool`` that are verified before a request is sent on them."""

import gc
import weakref
from contextlib import closing
from dataclasses import replace
from functools import partial
from threading import Event

import pytest
from http_fakes import FakePeer, Loop, wait_for

from greengageflow.core.incarnation import IncarnationEvidence
from greengageflow.net.http_messages import Verification
from greengageflow.net.http_pool import Failure, FailureKind, HttpRequest

EVIDENCE = {
    b"same": IncarnationEvidence.SAME,
    b"other": IncarnationEvidence.OTHER,
    b"unstated": IncarnationEvidence.UNSTATED,
}
CLOSE = "Connection: close\r\n"


@pytest.fixture
def loop():
    with closing(Loop()) as loop:
        loop.thread.start()
        yield loop


def evaluate(response):
    return EVIDENCE[response.body]


def fetch(loop, peer, *, start="a", required=False, timeout_s=5.0, **options):
    """Return the outcome of a verified request, and the start that was verified."""
    address = {"ip": "127.0.0.1", "port": peer.port}
    check = HttpRequest("GET", path="/check", idle_timeout_s=timeout_s, **address)
    request = HttpRequest(
        "POST",
        path="/main",
        body=b"hello",
        verification=Verification(check, evaluate, start, required),
        **address,
        **options,
    )
    done, exchanges = [], []
    loop.call(lambda: exchanges.append(loop.pool.fetch(request, done.append)))
    return wait_for(lambda: done)[0], exchanges[0].verified_start


def fetch_unverified(loop, peer):
    done = []
    request = HttpRequest("POST", "127.0.0.1", peer.port, "/plain")
    loop.call(lambda: loop.pool.fetch(request, done.append))
    return wait_for(lambda: done)[0]


def paths(peer):
    return [request.split(b" ")[1].decode() for request in peer.requests]


def answer(conn, text, extra=""):
    """Answer each request of a connection: checks with ``text``."""
    while request := conn.request():
        conn.answer(text if b"/check" in request else b"done", extra=extra)


def peer_of(text, extra=""):
    return FakePeer(lambda conn, _number: answer(conn, text, extra))


def test_request_follows_on_the_verified_connection_which_is_reused(loop):
    peer = peer_of(b"same")
    for _ in range(3):
        response, verified = fetch(loop, peer, required=True)
        assert (response.body, verified) == (b"done", "a")
    assert paths(peer) == ["/check", "/main", "/main", "/main"]
    assert len(peer.sources) == 1
    assert loop.pool.verifier.counts == {"same": 1}


def test_connection_verified_for_an_earlier_start_is_not_reused(loop):
    peer = peer_of(b"same")
    assert fetch(loop, peer, start="a")[1] == "a"
    assert fetch(loop, peer, start="b")[1] == "b"
    assert paths(peer) == ["/check", "/main"] * 2
    assert len(peer.sources) == 2


def test_unverified_kept_connection_is_verified_before_it_is_used(loop):
    """Any process may have been at its other end when it was opened."""
    peer = peer_of(b"same")
    assert fetch_unverified(loop, peer).body == b"done"
    for _ in range(2):
        assert fetch(loop, peer, required=True)[1] == "a"
    assert paths(peer) == ["/plain", "/check", "/main", "/main"]
    assert len(peer.sources) == 1


def test_nothing_is_sent_on_a_kept_connection_of_another_start(loop):
    peer = peer_of(b"other")
    assert fetch_unverified(loop, peer).body == b"done"
    failure, _ = fetch(loop, peer)
    assert (failure.kind, failure.sent) == (FailureKind.OTHER_START, False)
    assert paths(peer) == ["/plain", "/check"]


def test_kept_connection_that_ends_during_its_verification_is_replaced(loop):
    """A server may close a kept connection just then; nothing was sent on it."""

    def script(conn, number):
        if number:
            answer(conn, b"same")
        conn.request()
        conn.answer(b"done")
        conn.request()

    peer = FakePeer(script)
    assert fetch_unverified(loop, peer).body == b"done"
    response, verified = fetch(loop, peer, required=True)
    assert (response.body, verified) == (b"done", "a")
    assert paths(peer) == ["/plain", "/check", "/check", "/main"]


@pytest.mark.parametrize("required", [False, True])
def test_nothing_is_sent_to_another_start(loop, required):
    peer = peer_of(b"other")
    failure, verified = fetch(loop, peer, required=required)
    assert (failure.kind, failure.sent) == (FailureKind.OTHER_START, False)
    assert paths(peer) == ["/check"] and not verified


def test_endpoint_that_does_not_state_its_start_gets_requests_that_allow_it(loop):
    peer = peer_of(b"unstated")
    for _ in range(2):
        response, verified = fetch(loop, peer)
        assert (response.body, verified) == (b"done", "")
    assert paths(peer) == ["/check", "/main", "/main"]
    failure, _ = fetch(loop, peer, required=True)
    assert (failure.kind, failure.sent) == (FailureKind.UNVERIFIED, False)
    assert paths(peer)[3:] == ["/check"]


def fetch_with_fallback(loop, peer, **options):
    """Return the outcome of a request that has a second check, and what it proved."""
    address = ("127.0.0.1", peer.port)
    second = Verification(HttpRequest("GET", *address, "/check-2"), evaluate, "a", True)
    first = replace(
        second, request=HttpRequest("GET", *address, "/check"), fallback=second
    )
    request = HttpRequest("POST", *address, "/main", verification=first)
    done, exchanges = [], []
    loop.call(lambda: exchanges.append(loop.pool.fetch(request, done.append)))
    return wait_for(lambda: done)[0], exchanges[0].verified_start


@pytest.mark.parametrize("proof", [b"same", b"other", b"unstated"])
def test_start_that_the_first_check_does_not_state_is_checked_again(loop, proof):
    """Engines whose reports lack their start time state it elsewhere."""

    def script(conn, _number):
        while request := conn.request():
            is_second = b"/check-2" in request
            is_check = b"/check" in request
            conn.answer(proof if is_second else b"unstated" if is_check else b"done")

    peer = FakePeer(script)
    result, verified = fetch_with_fallback(loop, peer)
    assert paths(peer)[:2] == ["/check", "/check-2"]
    assert len(peer.sources) == 1
    match proof:
        case b"same":
            assert (result.body, verified) == (b"done", "a")
        case b"other":
            assert (result.kind, result.sent) == (FailureKind.OTHER_START, False)
        case b"unstated":
            assert (result.kind, result.sent) == (FailureKind.UNVERIFIED, False)


def test_start_that_the_first_check_states_is_not_checked_again(loop):
    peer = peer_of(b"same")
    assert fetch_with_fallback(loop, peer)[1] == "a"
    assert paths(peer) == ["/check", "/main"]


def test_check_is_repeated_if_the_server_closes_its_connection(loop):
    """Some responses end their connection, also those of sound endpoints."""

    def script(conn, number):
        answer(conn, b"same", "Connection: close\r\n" if number == 0 else "")

    peer = FakePeer(script)
    assert fetch(loop, peer, required=True)[1] == "a"
    assert paths(peer) == ["/check", "/check", "/main"]


def test_verified_connection_that_the_server_closes_proves_nothing(loop):
    """Another process may accept the next connection."""
    peer = peer_of(b"same", CLOSE)
    response, verified = fetch(loop, peer)
    assert (response.body, verified) == (b"done", "")
    failure, _ = fetch(loop, peer, required=True)
    assert (failure.kind, failure.sent) == (FailureKind.UNVERIFIED, False)
    assert paths(peer) == ["/check", "/check", "/main", "/check", "/check"]


@pytest.mark.parametrize("partial_answer", [b"", b"HTTP/1.1 200 OK\r\nContent-Le"])
def test_connection_lost_during_verification_is_a_request_not_sent(
    loop, partial_answer
):
    def script(conn, _number):
        conn.request()
        conn.send(partial_answer)

    peer = FakePeer(script)
    failure, _ = fetch(loop, peer)
    assert isinstance(failure, Failure)
    assert (failure.kind, failure.sent) == (FailureKind.CUT, False)
    assert paths(peer) == ["/check"]


def test_verification_has_a_timeout_of_its_own(loop):
    peer = FakePeer(lambda conn, _number: (conn.request(), conn.wait_closed()))
    failure, _ = fetch(loop, peer, timeout_s=0.1, idle_timeout_s=60)
    assert (failure.kind, failure.sent) == (FailureKind.TIMEOUT, False)
    assert loop.pool.verifier.counts == {"failed": 1}


def test_request_is_not_sent_before_the_verdict(loop):
    """The answer to the check arrives in pieces."""
    arrived = []

    def script(conn, _number):
        conn.request()
        for byte in b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nsame":
            arrived.append(len(peer.requests))
            conn.sock.setblocking(False)
            with pytest.raises(BlockingIOError):
                conn.sock.recv(1)
            conn.sock.setblocking(True)
            conn.send(bytes([byte]))
        answer(conn, b"same")

    peer = FakePeer(script)
    response, verified = fetch(loop, peer)
    assert (response.body, verified) == (b"done", "a")
    assert set(arrived) == {1}


def test_kept_verified_connection_that_ends_is_replaced_by_a_verified_one(loop):
    """The process behind it may have been replaced by another start."""
    texts = iter([b"same", b"other"])

    def script(conn, _number):
        conn.request()
        conn.answer(next(texts))
        conn.request()
        conn.answer(b"done")
        conn.request()

    peer = FakePeer(script)
    assert fetch(loop, peer)[1] == "a"
    failure, _ = fetch(loop, peer)
    assert (failure.kind, failure.sent) == (FailureKind.OTHER_START, True)
    assert paths(peer) == ["/check", "/main", "/main", "/check"]


def test_cancelled_request_ends_its_verification(loop):
    checked, closed = Event(), Event()

    def script(conn, _number):
        conn.request()
        checked.set()
        conn.wait_closed()
        closed.set()

    peer = FakePeer(script)
    address = ("127.0.0.1", peer.port)
    check = HttpRequest("GET", *address, "/check")
    verification = Verification(check, evaluate, "a", required=True)
    request = HttpRequest("POST", *address, "/main", verification=verification)
    done = []
    exchange = loop.call(partial(loop.pool.fetch, request, done.append))
    assert checked.wait(5)
    loop.call(exchange.cancel)
    assert closed.wait(5) and not done


def test_send_deadline_that_passes_during_the_verification_holds(loop):
    """A process that was frozen meanwhile would send a request too late."""
    peer = peer_of(b"same")
    failure, _ = fetch(loop, peer, not_after=0.0)
    assert (failure.kind, failure.sent) == (FailureKind.TIMEOUT, False)
    assert "/main" not in paths(peer)


class Receiver:
    def __init__(self, ended):
        self._ended = ended

    def on_head(self, head):
        pass

    def on_data(self, data):
        pass

    def on_end(self):
        self._ended.set()

    def on_failure(self, _failure):
        self._ended.set()


@pytest.fixture
def no_collector():
    gc.disable()
    yield
    gc.enable()


@pytest.mark.parametrize("text", [b"same", b"other", b"unstated", None])
def test_ended_request_is_freed_without_a_garbage_collection(loop, text, no_collector):
    """The request and its body would stay in memory; None cancels it."""
    checked, ended = Event(), Event()

    def script(conn, _number):
        conn.request()
        checked.set()
        if text is None:
            conn.wait_closed()
        else:
            conn.answer(text)
            answer(conn, text)

    def open_exchange():
        receiver = Receiver(ended)
        exchange = loop.pool.open(request, receiver)
        return exchange, weakref.ref(receiver)

    address = ("127.0.0.1", FakePeer(script).port)
    check = HttpRequest("GET", *address, "/check")
    verification = Verification(check, evaluate, "a", required=True)
    verification = replace(verification, fallback=verification)
    request = HttpRequest("POST", *address, "/main", verification=verification)
    exchange, reference = loop.call(open_exchange)
    if text is None:
        assert checked.wait(5)
        loop.call(exchange.cancel)
    else:
        assert ended.wait(5)
    del exchange
    wait_for(lambda: reference() is None)


def test_endless_answer_to_a_check_is_a_failure(loop):
    def script(conn, _number):
        conn.request()
        conn.send(b"HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n")
        while True:
            conn.send(b"a" * 65_536)

    failure, _ = fetch(loop, FakePeer(script))
    assert (failure.kind, failure.sent) == (FailureKind.BROKEN, False)
