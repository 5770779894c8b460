"""Backoff that endpoints ask for, in simulated time."""

from dataclasses import replace

import pytest

from greengageflow.core.endpoint_list import EndpointList, ListedEndpoint
from greengageflow.core.fleet_retry_budget import FleetRetryBudget
from greengageflow.core.forward_request import Prompt, PromptPart
from greengageflow.core.routes import Routing, Service
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.core.service_scheduler import Job, RefuseJob, StartJob
from greengageflow.core.work_queue import QueuedRequest
from greengageflow.net.http_messages import MAX_BACKOFF_S, Head, retry_after_s
from greengageflow.platform.answers import interpret_answer
from greengageflow.platform.names import REQUEST_ID

SERVICES = {
    "plain": Service("plain", slots=4),
    "model": Service("model", slots=4, memory_tokens=100_000, transfers=True),
}
PROMPT = Prompt((PromptPart("shared", 4000), PromptPart("own", 100)), 4100, 10)


class Host:
    """A host with two listed endpoints of a service."""

    def __init__(self, service):
        self.service, self.sent = service, 0
        self.prompt = PROMPT if service == "model" else None
        self.listed = EndpointList()
        self.dispatcher = ServiceDispatcher(
            self.listed, "z", lambda: FleetRetryBudget(9, 9, 9.0)
        )
        self.dispatcher.on_routing(Routing(services=SERVICES))
        self.endpoints = [
            ListedEndpoint(name, service, "127.0.0.1", 9, "z", 4, born=5)
            for name in ("e0", "e1")
        ]
        for endpoint in self.endpoints:
            list(self.listed.put(endpoint))

    def ask(self, now):
        """Submit a request; return its endpoint id or its refusal."""
        self.sent += 1
        name = f"r{self.sent}"
        queued_request = QueuedRequest(name, "a", 1.0, 0, now, now + 1, now + 0.4)
        job = Job(queued_request, 1.0, self.prompt)
        (decision,) = self.dispatcher.submit(now, self.service, job, "a")
        if isinstance(decision, StartJob):
            list(self.dispatcher.on_request_end(now, self.service, name))
            return decision.choice.endpoint.id
        return decision


@pytest.fixture(params=list(SERVICES))
def host(request):
    return Host(request.param)


def test_endpoint_gets_no_requests_during_its_backoff(host):
    first = host.ask(0.0)
    asking = next(e for e in host.endpoints if e.id == first)
    assert host.dispatcher.on_backoff(0.0, asking, 3.0)
    assert not host.dispatcher.on_backoff(0.1, asking, 1.0), (
        "no change by a shorter one"
    )
    for step in range(1, 30):
        assert host.ask(step / 10) != first
        retry = host.dispatcher.choose_retry_endpoint(
            step / 10, host.service, host.prompt, set()
        )
        assert retry.endpoint.id != first
    assert host.dispatcher.unavailable_endpoints(2.9, host.service) == (first,)
    assert not host.dispatcher.is_available(2.9, asking)
    assert host.dispatcher.is_available(3.1, asking)
    others = {e.id for e in host.endpoints} - {first}
    assert (
        host.dispatcher.choose_retry_endpoint(
            3.1, host.service, host.prompt, others
        ).endpoint.id
        == first
    )


def test_refusals_say_when_the_first_backoff_ends(host):
    for endpoint, seconds in zip(host.endpoints, (5.0, 3.0), strict=True):
        host.dispatcher.on_backoff(0.0, endpoint, seconds)
    refusal = host.ask(1.0)
    assert isinstance(refusal, RefuseJob)
    assert refusal.retry_after_s == 2.0
    assert (
        host.dispatcher.choose_retry_endpoint(1.0, host.service, host.prompt, set())
        is None
    )
    assert host.ask(3.1) == "e1"


def test_good_answer_to_an_earlier_request_does_not_end_a_backoff(host):
    host.dispatcher.on_backoff(0.0, host.endpoints[0], 3.0)
    host.dispatcher.on_answer(host.endpoints[0], True)
    assert host.ask(1.0) == "e1"


def test_restart_clears_a_backoff(host):
    old = host.endpoints[0]
    host.dispatcher.on_backoff(0.0, old, 3.0)
    new = replace(old, born=9)
    for change in list(host.listed.put(new)):
        if change.what == "gone":
            host.dispatcher.forget_endpoint(change.id)
    assert host.dispatcher.is_available(1.0, new)
    assert not host.dispatcher.on_backoff(1.0, old, 3.0)
    assert host.dispatcher.is_available(1.0, new)


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("3", 3.0),
        (" 0.25 ", 0.25),
        ("0", 0.0),
        ("-1", 0.0),
        ("", 0.0),
        ("nan", 0.0),
        ("inf", 0.0),
        ("1e9", MAX_BACKOFF_S),
        ("Thu, 03 Dec 2026 12:00:00 GMT", 0.0),
    ],
)
def test_retry_after_is_parsed_as_seconds(text, seconds):
    assert retry_after_s(text) == seconds


@pytest.mark.parametrize(
    ("status", "not_executed", "seconds"),
    [(503, "1", 3.0), (503, "", 0.0), (429, "1", 0.0), (421, "", 0.0)],
)
def test_only_a_rejection_starts_a_backoff(status, not_executed, seconds):
    """A 503 of an executed request is an answer for the caller, with its header."""
    headers = [("retry-after", "3"), (REQUEST_ID, "r")]
    if not_executed:
        headers.append(("x-greengageflow-not-executed", not_executed))
    assert interpret_answer(Head(status, tuple(headers)), "r").backoff_s == seconds


@pytest.mark.parametrize("status", [400, 421, 429, 503])
@pytest.mark.parametrize(("echoed_id", "not_run"), [("r", True), ("", False)])
def test_only_a_rejection_with_the_request_id_proves_that_it_has_not_run(
    status, echoed_id, not_run
):
    """A late extra rejection without an id made protected requests run twice."""
    headers = [("x-greengageflow-not-executed", "1"), ("retry-after", "3")]
    headers += [(REQUEST_ID, echoed_id)] if echoed_id else []
    info = interpret_answer(Head(status, tuple(headers)), "r")
    assert info.not_run is not_run
    assert not_run or not (info.backoff_s or info.is_forwardable)
