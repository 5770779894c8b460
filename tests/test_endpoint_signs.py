"""What endpoints ask of a host in their answers, on real processes."""

import pytest

from greengageflow.lab.platform_lab import (
    CHAT,
    SAFE,
    TALE,
    UNSAFE,
    PlatformLab,
    PlatformShape,
    generation,
)
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.platform.names import RESPONSE_SEAL, SERVERS_TOPIC
from tests.support import wait_for

PATHS = pytest.mark.parametrize("path", [SAFE, UNSAFE, CHAT, TALE])
LEAVING = f'"{DecisionEvent.ENDPOINT_LEAVING.number}"'
ENOUGH = 12


@pytest.fixture
def lab():
    with PlatformLab(PlatformShape(routers=2, plain=3, engines=3)) as lab:
        yield lab


def ask(lab, path, router="r0"):
    headers = generation(6, ("p", 50)) if path in (CHAT, TALE) else {}
    return lab.ask(path, router, headers=headers)


def answerer(answer):
    return answer.headers.get(RESPONSE_SEAL, "").partition(".")[0]


def arrivals(lab, name):
    return sum(row["replica"] == name for row in lab.runs())


@PATHS
def test_endpoint_that_says_that_it_leaves_gets_nothing_more_from_any_host(lab, path):
    """The list learns of it late, or not at all while the store is away."""
    name = answerer(ask(lab, path))
    lab.fault(name, says_leaving=True)
    lab.store_fault(status=503)
    wait_for(lambda: answerer(ask(lab, path)) == name, "its answer")
    before = arrivals(lab, name)
    for _ in range(ENOUGH):
        assert ask(lab, path).status == 200
    wait_for(lambda: LEAVING in lab.routers["r1"].stderr, "the other host knows")
    for _ in range(ENOUGH):
        assert ask(lab, path, "r1").status == 200
    assert arrivals(lab, name) == before
    assert lab.newest(SERVERS_TOPIC)[name]["state"] == "ready"


@PATHS
def test_endpoint_that_asks_for_backoff_is_left_alone(lab, path):
    """An endpoint that turns requests away at once looks idle, and would get all."""
    name = answerer(ask(lab, path))
    lab.fault(name, backoff_s=600.0)
    before = arrivals(lab, name)
    for _ in range(ENOUGH):
        assert ask(lab, path).status == 200
    assert arrivals(lab, name) - before <= 1


@pytest.mark.parametrize("path", [SAFE, TALE])
def test_request_is_refused_at_once_while_all_endpoints_ask_for_backoff(lab, path):
    """It would wait for a place in the queue that cannot come in time."""
    kind = "scribe" if path == TALE else "app"
    for number in range(3):
        lab.fault(f"{kind}-{number}", backoff_s=600.0)
    for _ in range(ENOUGH):
        ask(lab, path)
    before = len(lab.runs())
    answer = ask(lab, path)
    assert answer.status == 503
    assert len(lab.runs()) == before
    assert float(answer.headers["retry-after"]) > 60
