"""Leaving and backoff signals in endpoints' answers, with real processes."""

from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from itertools import count

import pytest

from greengageflow.events import Event
from greengageflow.lab.lab import Lab, LabPlan, key_of
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
from tests.fleet_support import executions
from tests.support import call, wait_for

PATHS = pytest.mark.parametrize("path", [SAFE, UNSAFE, CHAT, TALE])
LEAVING = f'"{DecisionEvent.ENDPOINT_LEAVING.number}"'
ENOUGH = 12
SLOTS = 4


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
    """The endpoint list shows it late, or not at all while the store is down."""
    name = answerer(ask(lab, path))
    lab.fault(name, says_leaving=True)
    lab.store_fault(status=503)
    wait_for(
        lambda: answerer(ask(lab, path)) == name, "an answer from the leaving endpoint"
    )
    before = arrivals(lab, name)
    for _ in range(ENOUGH):
        assert ask(lab, path).status == 200
    wait_for(lambda: LEAVING in lab.routers["r1"].stderr, "the other host logs it")
    for _ in range(ENOUGH):
        assert ask(lab, path, "r1").status == 200
    assert arrivals(lab, name) == before
    assert lab.newest(SERVERS_TOPIC)[name]["state"] == "ready"


@PATHS
def test_endpoint_that_asks_for_backoff_is_left_alone(lab, path):
    """An endpoint that rejects requests at once seems idle and would get them all."""
    name = answerer(ask(lab, path))
    lab.fault(name, backoff_s=600.0)
    before = arrivals(lab, name)
    for _ in range(ENOUGH):
        assert ask(lab, path).status == 200
    assert arrivals(lab, name) - before <= 1


@PATHS
def test_request_waits_for_the_end_of_a_short_backoff(lab, path):
    """The request was rejected when all endpoints asked for a short backoff, although
    it had time to wait."""
    kind = "scribe" if path in (CHAT, TALE) else "app"
    for number in range(3):
        lab.fault(f"{kind}-{number}", backoff_s=0.05, times=1)
    answer = ask(lab, path)
    assert answer.status == 200
    assert len(lab.begun(answer.id)) == 1


@pytest.mark.parametrize("path", [SAFE, TALE])
def test_request_is_refused_at_once_while_all_endpoints_ask_for_backoff(lab, path):
    """It would queue for a slot that can't become free in time."""
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


PLANS = {
    "engine": LabPlan(engines=2, slots=SLOTS),
    "service": LabPlan(services=2, service_slots=SLOTS),
}
KINDS = pytest.mark.parametrize("kind", PLANS)


def own_call(lab, kind, number, router="r1"):
    headers = {"Authorization": f"Bearer {key_of('acme')}"}
    message = {"role": "user", "content": f"{kind} {number}"}
    body = {"messages": [message], "x_tokens": 3, "stream": True, "model": "scribe"}
    path = "/v1/chat/completions"
    if kind == "service":
        path, headers["Idempotency-Key"] = "/services/rounds/visit", f"{number}"
    return call(lab.routers[router].address, "POST", path, body, headers).status


def began(lab, kind):
    """Return the number of requests that each endpoint started."""
    if kind == "engine":
        found = Counter(one["engine"] for one in executions(lab))
        return {name: found[name] for name in lab.engines}
    effects = {
        name: one.call("GET", "/effects").json["effects"]
        for name, one in lab.services.items()
    }
    return {name: len(rows) for name, rows in effects.items()}


def ask_until(lab, kind, condition):
    """Send more requests than one endpoint has slots, so that each gets some."""
    numbers = count()
    with ThreadPoolExecutor(2 * SLOTS) as pool:

        def asked():
            names = [next(numbers) for _ in range(2 * SLOTS)]
            list(pool.map(lambda number: own_call(lab, kind, number), names))
            return condition()

        wait_for(asked, "the state")


@KINDS
def test_endpoint_that_says_that_it_leaves_gets_no_more_slots(kind):
    """The same on the product's own API, at a router that doesn't own the endpoint."""
    with Lab(PLANS[kind]) as lab:
        endpoints = lab.services if kind == "service" else lab.engines
        name = next(iter(endpoints))
        endpoints[name].fault(says_leaving=True)
        ask_until(lab, kind, lambda: name in lab.status("r1")["leaving"])
        for router in lab.routers:
            wait_for(
                lambda r=router: name in lab.status(r)["leaving"],
                "all routers report it as leaving",
            )
        before = began(lab, kind)[name]
        for number in range(ENOUGH):
            assert own_call(lab, kind, f"more-{number}") == 200
        assert began(lab, kind)[name] == before


@KINDS
def test_endpoint_that_asks_for_backoff_gets_no_more_slots(kind):
    """A router whose request was rejected asks the endpoint's owner for no more."""
    with Lab(PLANS[kind]) as lab:
        endpoints = lab.services if kind == "service" else lab.engines
        name = next(iter(endpoints))
        endpoints[name].fault(backoff_s=600.0)
        line = Event.ENDPOINT_BACKOFF.number
        ask_until(lab, kind, lambda: line in lab.routers["r1"].stderr)
        statuses = [own_call(lab, kind, f"more-{n}") for n in range(ENOUGH)]
        assert statuses == [200] * ENOUGH
        assert lab.routers["r1"].stderr.count(line) == 1, "one line for all"
