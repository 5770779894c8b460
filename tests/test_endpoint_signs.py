"""Leaving and backoff signals in endpoints' answers, with real processes."""

from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from itertools import count

import pytest

from greengageflow.events import Event
from greengageflow.lab.lab import Lab, LabPlan, account_api_key
from greengageflow.lab.platform_lab import (
    CHAT,
    NON_RESUMABLE_CHAT,
    SAFE,
    UNSAFE,
    PlatformLab,
    PlatformShape,
    generation,
)
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.platform.names import RESPONSE_SEAL, SERVERS_TOPIC
from tests.fleet_support import executions
from tests.support import call, wait_for

PATHS = pytest.mark.parametrize("path", [SAFE, UNSAFE, CHAT, NON_RESUMABLE_CHAT])
LEAVING = f'"{DecisionEvent.ENDPOINT_LEAVING.number}"'
REQUESTS = 12
SLOTS = 4


SHAPE = PlatformShape(routers=2, plain=3, engines=3)
LONG_TARGET_MS = 8000
"""Target latency with which a request queues for 3.6 s, in milliseconds."""


@pytest.fixture
def lab():
    with PlatformLab(SHAPE) as lab:
        yield lab


def ask(lab, path, router="r0"):
    headers = generation(6, ("p", 50)) if path in (CHAT, NON_RESUMABLE_CHAT) else {}
    return lab.ask(path, router, headers=headers)


def answering_replica(answer):
    return answer.headers.get(RESPONSE_SEAL, "").partition(".")[0]


def run_count(lab, name):
    return sum(row["replica"] == name for row in lab.runs())


@PATHS
def test_leaving_endpoint_gets_no_more_requests_from_any_host(lab, path):
    """The endpoint list shows it late, or not at all while the store is down."""
    name = answering_replica(ask(lab, path))
    lab.set_faults(name, says_leaving=True)
    lab.set_store_faults(status=503)
    wait_for(
        lambda: answering_replica(ask(lab, path)) == name,
        "an answer from the leaving endpoint",
    )
    before = run_count(lab, name)
    for _ in range(REQUESTS):
        assert ask(lab, path).status == 200
    wait_for(lambda: LEAVING in lab.routers["r1"].stderr, "the other host logs it")
    for _ in range(REQUESTS):
        assert ask(lab, path, "r1").status == 200
    assert run_count(lab, name) == before
    assert lab.newest_values(SERVERS_TOPIC)[name]["state"] == "ready"


@PATHS
def test_endpoint_that_asks_for_backoff_gets_no_more_requests(lab, path):
    """An endpoint that rejects requests at once seems idle and would get them all."""
    name = answering_replica(ask(lab, path))
    lab.set_faults(name, backoff_s=600.0)
    before = run_count(lab, name)
    for _ in range(REQUESTS):
        assert ask(lab, path).status == 200
    assert run_count(lab, name) - before <= 1


@PATHS
def test_request_waits_for_the_end_of_a_short_backoff(path):
    """The request was rejected when all endpoints asked for a short backoff, although
    it had time to wait.

    With the usual target it queues for 0.36 s, which the start of a gateway and three
    rejections can use up on a busy machine. ``test_short_backoff`` checks that target.
    """
    kind = "scribe" if path in (CHAT, NON_RESUMABLE_CHAT) else "app"
    with PlatformLab(replace(SHAPE, target_ms=LONG_TARGET_MS)) as lab:
        for number in range(3):
            lab.set_faults(f"{kind}-{number}", backoff_s=0.05, times=1)
        answer = ask(lab, path)
        assert answer.status == 200
        assert len(lab.started_runs(answer.id)) == 1


@pytest.mark.parametrize("path", [SAFE, NON_RESUMABLE_CHAT])
def test_request_is_rejected_at_once_while_all_endpoints_back_off(lab, path):
    """It would queue for a slot that can't become free in time."""
    kind = "scribe" if path == NON_RESUMABLE_CHAT else "app"
    for number in range(3):
        lab.set_faults(f"{kind}-{number}", backoff_s=600.0)
    for _ in range(REQUESTS):
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


def call_product(lab, kind, number, router="r1"):
    headers = {"Authorization": f"Bearer {account_api_key('acme')}"}
    message = {"role": "user", "content": f"{kind} {number}"}
    body = {"messages": [message], "x_tokens": 3, "stream": True, "model": "scribe"}
    path = "/v1/chat/completions"
    if kind == "service":
        path, headers["Idempotency-Key"] = "/services/rounds/visit", f"{number}"
    return call(lab.routers[router].address, "POST", path, body, headers).status


def started_counts(lab, kind):
    """Return the number of requests that each endpoint started."""
    if kind == "engine":
        found = Counter(one["engine"] for one in executions(lab))
        return {name: found[name] for name in lab.engines}
    effects = {
        name: one.call("GET", "/effects").json["effects"]
        for name, one in lab.services.items()
    }
    return {name: len(rows) for name, rows in effects.items()}


def send_until(lab, kind, condition):
    """Send more requests than one endpoint has slots, so that each gets some."""
    numbers = count()
    with ThreadPoolExecutor(2 * SLOTS) as pool:

        def send_batch():
            names = [next(numbers) for _ in range(2 * SLOTS)]
            list(pool.map(lambda number: call_product(lab, kind, number), names))
            return condition()

        wait_for(send_batch, "the state")


@KINDS
def test_no_slots_of_a_leaving_endpoint_are_granted(kind):
    """The same on the product's own API, at a router that doesn't own the endpoint."""
    with Lab(PLANS[kind]) as lab:
        endpoints = lab.services if kind == "service" else lab.engines
        name = next(iter(endpoints))
        endpoints[name].fault(says_leaving=True)
        send_until(lab, kind, lambda: name in lab.status("r1")["leaving"])
        for router in lab.routers:
            wait_for(
                lambda r=router: name in lab.status(r)["leaving"],
                "all routers report it as leaving",
            )
        before = started_counts(lab, kind)[name]
        for number in range(REQUESTS):
            assert call_product(lab, kind, f"more-{number}") == 200
        assert started_counts(lab, kind)[name] == before


@KINDS
def test_no_slots_of_an_endpoint_that_asks_for_backoff_are_granted(kind):
    """A router whose request was rejected asks the endpoint's owner for no more."""
    with Lab(PLANS[kind]) as lab:
        endpoints = lab.services if kind == "service" else lab.engines
        name = next(iter(endpoints))
        endpoints[name].fault(backoff_s=600.0)
        line = Event.ENDPOINT_BACKOFF.number
        send_until(lab, kind, lambda: line in lab.routers["r1"].stderr)
        statuses = [call_product(lab, kind, f"more-{n}") for n in range(REQUESTS)]
        assert statuses == [200] * REQUESTS
        assert lab.routers["r1"].stderr.count(line) == 1, "one line for all"
