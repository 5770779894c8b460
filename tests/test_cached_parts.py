"""Queries for the prompt parts that engines have cached."""

import json
from dataclasses import replace

import pytest
from engine_stubs import PROMPT, endpoint

from greengageflow.core.endpoint_list import EndpointList
from greengageflow.core.fleet_retry_budget import FleetRetryBudget
from greengageflow.core.routes import Routing, Service
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.core.service_scheduler import Job
from greengageflow.core.work_queue import QueuedRequest
from greengageflow.daemon.cached_parts import MAX_ATTEMPTS, CachedPartsLoader
from greengageflow.net.http_messages import Failure, FailureKind, Response

KEPT = {"epoch": "1", "next": 0, "held": [["", "shared", 4000, "m"]]}
OLD, NEW = endpoint("e0", born=5), endpoint("e0", born=9)
REFUSED = Failure(FailureKind.CONNECT, False, "refused")


class LoaderHarness:
    """Stub of pool, timer service and log.

    Engines give the ``answers`` in turn, and the last one from then on.
    """

    now = 1.0

    def __init__(self, *answers):
        self.answers, self.requests, self.events = list(answers), [], []
        self.leaving_engines, self.later_starts = [], []
        self.engines = [endpoint("e0"), endpoint("e1"), endpoint("e2")]
        self.listed = EndpointList()
        for engine in self.engines:
            list(self.listed.put(engine))
        self.dispatcher = ServiceDispatcher(
            self.listed, "z", lambda: FleetRetryBudget(1, 9, 10.0)
        )
        service = Service("model", 4, memory_tokens=100_000)
        self.dispatcher.on_routing(Routing(version=1, services={"model": service}))
        self.parts = CachedPartsLoader(
            self,
            self,
            self.dispatcher,
            self,
            self.leaving_engines.append,
            self.later_starts.append,
        )

    def fetch(self, request, on_done, _limit):
        self.requests.append((request.ip, request.port, request.path))
        on_done(self.answers.pop(0) if len(self.answers) > 1 else self.answers[0])

    def after(self, _delay_s, call):
        call()

    def write(self, event, **fields):
        self.events.append((event.name, fields["endpoint"]))

    def place(self):
        """Return the placement of a request that has the shared part."""
        job = Job(QueuedRequest("r", "a", 1.0, 0, 1.0, 2.0, 1.5), 1.0, PROMPT)
        (decision,) = self.dispatcher.submit(1.0, "model", job, "a")
        return decision.choice


@pytest.mark.parametrize("name", ["e0", "e1", "e2"])
def test_new_placer_routes_to_engines_with_cached_parts(name):
    """After all hosts lost power, the new placer knew nothing of the engines' prefix
    caches, and shared prompt parts went through prefill again on any engine."""
    harness = LoaderHarness(Response(200, (), json.dumps(KEPT).encode()))
    harness.parts.load(e for e in harness.engines if e.id == name)
    choice = harness.place()
    assert (choice.endpoint.id, choice.reading) == (name, 100)
    assert harness.events == [("PARTS_LEARNED", name)]


def test_engines_are_queried_once():
    harness = LoaderHarness(Response(200, (), json.dumps(KEPT).encode()))
    for _ in range(3):
        harness.parts.load(harness.engines)
    assert len(harness.requests) == 3


@pytest.mark.parametrize(
    "answer", [REFUSED, Response(503, (), b""), Response(200, (), b'{"held": [1]}')]
)
def test_queries_stop_after_the_maximum_of_attempts(answer):
    harness = LoaderHarness(answer)
    harness.parts.load(harness.engines[:1])
    assert len(harness.requests) == MAX_ATTEMPTS
    assert harness.events == [("PARTS_UNKNOWN", "e0")]
    assert harness.place() is not None


def test_leaving_engine_is_reported():
    body = json.dumps(KEPT).encode()
    leaving = Response(200, (("server-leaving", "1"),), body)
    harness = LoaderHarness(Response(200, (), body), leaving)
    harness.parts.load(harness.engines[:2])
    assert harness.leaving_engines == [harness.engines[1]]


def cached_parts(born):
    return Response(200, (), json.dumps(KEPT | {"born": born}).encode())


def test_parts_of_an_engine_whose_entry_has_no_start_time_are_kept():
    """Its answer names its start, so that it would be asked a second time."""
    harness = LoaderHarness(cached_parts(5))
    harness.parts._on_other_start = lambda other: list(
        harness.listed.put_unlisted(other)
    )
    harness.parts.load(harness.engines[:1])
    harness.parts.load([harness.listed.get("e0")])
    assert len(harness.requests) == 1
    assert (harness.place().endpoint.id, harness.place().reading) == ("e0", 100)


def test_engine_is_queried_again_after_a_restart():
    """The cached parts of the earlier start were expected at the new one."""
    harness = LoaderHarness(cached_parts(5), cached_parts(9))
    for engine in (OLD, NEW):
        list(harness.listed.put(engine))
        harness.parts.load([engine])
        harness.parts.load([engine])
    assert len(harness.requests) == 2
    assert harness.place().reading == 100


def test_cached_parts_of_an_unlisted_later_start_are_not_those_of_the_listed_one():
    """The engine has started again and its new entry is not listed yet."""
    harness = LoaderHarness(cached_parts(9))
    list(harness.listed.put(OLD))
    harness.parts.load([OLD])
    assert harness.place().reading == 4100
    assert harness.later_starts == [replace(OLD, born=9, version="")]
    assert len(harness.requests) == 1 and not harness.events


def test_cached_parts_of_an_earlier_start_are_not_those_of_the_listed_one():
    harness = LoaderHarness(cached_parts(5))
    list(harness.listed.put(NEW))
    harness.parts.load([NEW])
    assert harness.place().reading == 4100
    assert harness.events == [("PARTS_UNKNOWN", "e0")] and not harness.later_starts


def test_late_answer_of_an_ended_start_is_ignored():
    harness = LoaderHarness(cached_parts(5))
    list(harness.listed.put(OLD))
    fetch = harness.fetch
    harness.fetch = lambda *call: (list(harness.listed.put(NEW)), fetch(*call))
    harness.parts.load([OLD])
    assert harness.place().reading == 4100 and not harness.events
