"""Rejections that an endpoint sends twice, the second time late."""

from contextlib import closing
from time import monotonic, sleep

import pytest
from http_fakes import FakePeer, Loop, wait_for

from greengageflow.core.catalog import Endpoint
from greengageflow.core.order_owner import SendOrder
from greengageflow.core.orders import Order
from greengageflow.daemon.order_follower import order_request
from greengageflow.lab.platform_client import IncompleteResponse
from greengageflow.lab.platform_lab import (
    CHAT,
    NON_RESUMABLE_CHAT,
    SAFE,
    UNSAFE,
    PlatformLab,
    PlatformShape,
    generation,
)
from greengageflow.net._sent_requests import MAX_REQUESTS, SentRequests
from greengageflow.net.http_messages import HttpRequest

NOT_RUN_STATUSES = {408, 421, 429, 503}
PATHS = {
    SAFE: "app-0",
    UNSAFE: "app-0",
    CHAT: "scribe-0",
    NON_RESUMABLE_CHAT: "scribe-0",
}
REQUESTS = 8
BACKOFF_S = 0.6
"""Longer than a request waits for an endpoint, in seconds."""


@pytest.fixture(scope="module")
def lab():
    with PlatformLab(PlatformShape(plain=1, engines=1)) as lab:
        yield lab


@pytest.fixture(scope="module")
def patient_lab():
    """A lab whose requests may wait for long, so that each gets its second sending."""
    with PlatformLab(PlatformShape(plain=1, engines=1, target_ms=6000)) as lab:
        yield lab


def ask(lab, path, **options):
    """Return the answer, or None if the connection ended before it was complete."""
    headers = generation(6, ("p", 50)) if PATHS[path] == "scribe-0" else {}
    try:
        return lab.ask(path, headers=headers, deadline_ms=5000, **options)
    except IncompleteResponse:
        return None


@pytest.mark.parametrize("path", PATHS)
def test_late_copy_of_a_rejection_does_not_answer_the_second_sending(patient_lab, path):
    """It was taken for a rejection of the second sending, which was running: the caller
    got a promise that the request had not run, or it was sent and ran once more."""
    lab = patient_lab
    for number in range(REQUESTS):
        lab.set_faults(PATHS[path], backoff_s=0.05, repeat=True, times=1)
        name = f"{path.strip('/')}-{number}"
        answer = ask(lab, path, name=name)
        outcomes = [run["outcome"] for run in lab.runs(name)]
        assert outcomes == ["503", "done"]
        assert answer.status == 200


def test_late_copy_of_a_rejection_does_not_answer_a_request_with_the_same_id(lab):
    """A caller used an id again after a rejection, and got the late copy of it."""
    for number in range(4):
        name = f"again-{number}"
        lab.set_faults("app-0", backoff_s=BACKOFF_S, repeat=True, times=1)
        assert ask(lab, UNSAFE, name=name).status in NOT_RUN_STATUSES
        lab.set_faults("app-0")
        sleep(BACKOFF_S)
        assert ask(lab, UNSAFE, name=name).status == 200
        assert len(lab.started_runs(name)) == 1


@pytest.fixture
def loop():
    with closing(Loop(source_ip="127.0.0.9")) as loop:
        loop.thread.start()
        yield loop


def fetch(loop, port, request_id, first_sent_at=None):
    """Send a request on a kept connection if possible, and wait for the response."""
    done = []
    options = {} if first_sent_at is None else {"first_sent_at": first_sent_at}
    request = HttpRequest(
        "GET", "127.0.0.1", port, "/x", request_id=request_id, **options
    )
    loop.call(lambda: loop.pool.fetch(request, done.append))
    return wait_for(lambda: done)[0]


def answer_all(conn, _number):
    while conn.request():
        conn.answer(b"{}")


def test_only_a_request_that_was_sent_before_needs_another_connection(loop):
    """New connections cost endpoints time, so other requests reuse the kept ones."""
    peer = FakePeer(answer_all)
    began_at = monotonic()
    for request_id in ("a", "b", "c", "", ""):
        fetch(loop, peer.port, request_id)
    assert len(peer.sources) == 1
    fetch(loop, peer.port, "a", began_at)
    assert len(peer.sources) == 2
    fetch(loop, peer.port, "b", began_at)
    assert len(peer.sources) == 2


def test_late_copy_of_a_refused_order_does_not_answer_the_next_order(loop):
    """Responses to orders carry no id, so each order needs a new connection."""
    peer = FakePeer(answer_all)
    engine = Endpoint("e1", "scribe", "127.0.0.1", peer.port)
    order = Order("o1", "e1", "role", role="decode")
    for fencing in (1, 2):
        send = SendOrder(order, f"n{fencing}", fencing, not_after=monotonic() + 5.0)
        done = []
        request = order_request(send, engine, timeout_s=5.0)
        loop.call(lambda r=request, d=done: loop.pool.fetch(r, d.append))
        wait_for(lambda d=done: d)
    assert len(peer.sources) == 2


def test_connection_that_forgot_its_earlier_requests_carries_no_request_twice():
    """Only the latest requests of a connection are remembered."""
    sent = SentRequests()
    for number in range(MAX_REQUESTS + 2):
        sent.add(f"r{number}", float(number))
    assert not sent.may_include("new", first_sent_at=50.0)
    assert not sent.may_include("between", first_sent_at=1.5)
    assert sent.may_include("r0", first_sent_at=0.0)
    assert sent.may_include("r1", first_sent_at=1.0)
    assert sent.may_include("r2", first_sent_at=2.0)


def test_requests_without_an_id_take_no_room():
    sent = SentRequests()
    sent.add("r", 1.0)
    for number in range(2 * MAX_REQUESTS):
        sent.add("", float(number))
    assert sent.may_include("r", 1.0) and not sent.may_include("", 0.0)
