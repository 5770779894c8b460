"""Queries for the prompt parts that engines have cached."""

import json

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
REFUSED = Failure(FailureKind.CONNECT, False, "refused")


class Asked:
    """Stub of pool, timer service and log.

    Engines give the ``answers`` in turn, and the last one from then on.
    """

    now = 1.0

    def __init__(self, *answers):
        self.answers, self.asked, self.lines = list(answers), [], []
        self.left = []
        self.engines = [endpoint("e0"), endpoint("e1"), endpoint("e2")]
        listed = EndpointList()
        for engine in self.engines:
            list(listed.put(engine))
        self.book = ServiceDispatcher(listed, "z", lambda: FleetRetryBudget(1, 9, 10.0))
        service = Service("model", 4, memory_tokens=100_000)
        self.book.on_routing(Routing(version=1, services={"model": service}))
        self.parts = CachedPartsLoader(self, self, self.book, self, self.left.append)

    def fetch(self, request, on_done, _limit):
        self.asked.append((request.ip, request.port, request.path))
        on_done(self.answers.pop(0) if len(self.answers) > 1 else self.answers[0])

    def after(self, _delay_s, call):
        call()

    def write(self, event, **fields):
        self.lines.append((event.name, fields["endpoint"]))

    def start(self):
        """Return the placement of a request that has the shared part."""
        job = Job(QueuedRequest("r", "a", 1.0, 0, 1.0, 2.0, 1.5), 1.0, PROMPT)
        (decision,) = self.book.submit(1.0, "model", job, "a")
        return decision.choice


@pytest.mark.parametrize("name", ["e0", "e1", "e2"])
def test_requests_go_where_their_parts_are_kept_though_nobody_sent_them(name):
    """After all hosts lost power, the new placer knew nothing of the engines' prefix
    caches, and shared prompt parts went through prefill again on any engine."""
    asked = Asked(Response(200, (), json.dumps(KEPT).encode()))
    asked.parts.load(e for e in asked.engines if e.id == name)
    choice = asked.start()
    assert (choice.endpoint.id, choice.reading) == (name, 100)
    assert asked.lines == [("PARTS_LEARNED", name)]


def test_engines_are_asked_once():
    asked = Asked(Response(200, (), json.dumps(KEPT).encode()))
    for _ in range(3):
        asked.parts.load(asked.engines)
    assert len(asked.asked) == 3


@pytest.mark.parametrize(
    "answer", [REFUSED, Response(503, (), b""), Response(200, (), b'{"held": [1]}')]
)
def test_an_engine_that_does_not_say_is_left_alone_after_some_tries(answer):
    asked = Asked(answer)
    asked.parts.load(asked.engines[:1])
    assert len(asked.asked) == MAX_ATTEMPTS
    assert asked.lines == [("PARTS_UNKNOWN", "e0")]
    assert asked.start() is not None


def test_engine_that_says_that_it_leaves_is_handed_on():
    body = json.dumps(KEPT).encode()
    leaving = Response(200, (("server-leaving", "1"),), body)
    asked = Asked(Response(200, (), body), leaving)
    asked.parts.load(asked.engines[:2])
    assert asked.left == [asked.engines[1]]
