"""Endpoints that ask a host for backoff, in simulated time."""

from dataclasses import replace

import pytest

from greengageflow.core.endpoint_list import EndpointList, ListedEndpoint
from greengageflow.core.forward_request import Prompt, PromptPart
from greengageflow.core.routes import Routing, Service
from greengageflow.core.send_budget import SendBudget
from greengageflow.core.service_book import ServiceBook
from greengageflow.core.service_scheduler import Job, RefuseJob, StartJob
from greengageflow.core.work_queue import Waiter
from greengageflow.net.http_messages import MAX_BACKOFF_S, Head, retry_after_s
from greengageflow.platform.answers import note_of

SERVICES = {
    "plain": Service("plain", slots=4),
    "model": Service("model", slots=4, memory_tokens=100_000, transfers=True),
}
PROMPT = Prompt((PromptPart("shared", 4000), PromptPart("own", 100)), 4100, 10)


class Host:
    """A host that knows two endpoints of a service."""

    def __init__(self, service):
        self.service, self.sent = service, 0
        self.prompt = PROMPT if service == "model" else None
        self.listed = EndpointList()
        self.book = ServiceBook(self.listed, "z", lambda: SendBudget(9, 9, 9.0))
        self.book.on_routing(Routing(services=SERVICES))
        self.endpoints = [
            ListedEndpoint(name, service, "127.0.0.1", 9, "z", 4, born=5)
            for name in ("e0", "e1")
        ]
        for endpoint in self.endpoints:
            list(self.listed.put(endpoint))

    def ask(self, now):
        """Return where a request goes, or its refusal."""
        self.sent += 1
        name = f"r{self.sent}"
        waiter = Waiter(name, "a", 1.0, 0, now, now + 1, now + 0.4)
        job = Job(waiter, 1.0, self.prompt)
        (decision,) = self.book.submit(now, self.service, job, "a")
        if isinstance(decision, StartJob):
            list(self.book.ended(now, self.service, name))
            return decision.choice.endpoint.id
        return decision


@pytest.fixture(params=list(SERVICES))
def host(request):
    return Host(request.param)


def test_endpoint_gets_nothing_until_the_time_that_it_asked_for_is_over(host):
    first = host.ask(0.0)
    asking = next(e for e in host.endpoints if e.id == first)
    assert host.book.ask_backoff(0.0, asking, 3.0)
    assert not host.book.ask_backoff(0.1, asking, 1.0), "a shorter one is no news"
    for step in range(1, 30):
        assert host.ask(step / 10) != first
        again = host.book.again(step / 10, host.service, host.prompt, set())
        assert again.endpoint.id != first
    assert host.book.resting(2.9, host.service) == (first,)
    assert not host.book.is_open(2.9, asking)
    assert host.book.is_open(3.1, asking)
    others = {one.id for one in host.endpoints} - {first}
    assert host.book.again(3.1, host.service, host.prompt, others).endpoint.id == first


def test_requests_are_refused_with_the_end_of_the_first_backoff(host):
    for endpoint, seconds in zip(host.endpoints, (5.0, 3.0), strict=True):
        host.book.ask_backoff(0.0, endpoint, seconds)
    refusal = host.ask(1.0)
    assert isinstance(refusal, RefuseJob)
    assert refusal.retry_after_s == 2.0
    assert host.book.again(1.0, host.service, host.prompt, set()) is None
    assert host.ask(3.1) == "e1"


def test_good_answer_to_an_earlier_request_does_not_end_a_backoff(host):
    host.book.ask_backoff(0.0, host.endpoints[0], 3.0)
    host.book.answered(host.endpoints[0], True)
    assert host.ask(1.0) == "e1"


def test_later_start_has_asked_for_nothing(host):
    old = host.endpoints[0]
    host.book.ask_backoff(0.0, old, 3.0)
    new = replace(old, born=9)
    for change in list(host.listed.put(new)):
        if change.what == "gone":
            host.book.forget_endpoint(change.id)
    assert host.book.is_open(1.0, new)
    assert not host.book.ask_backoff(1.0, old, 3.0)
    assert host.book.is_open(1.0, new)


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
def test_time_of_a_backoff_is_read_as_seconds(text, seconds):
    assert retry_after_s(text) == seconds


@pytest.mark.parametrize(
    ("status", "not_executed", "seconds"),
    [(503, "1", 3.0), (503, "", 0.0), (429, "1", 0.0), (421, "", 0.0)],
)
def test_only_an_endpoint_that_turned_a_request_away_asks(
    status, not_executed, seconds
):
    """The 503 of a run is an answer for the caller, with its header."""
    headers = [("retry-after", "3")]
    if not_executed:
        headers.append(("x-greengageflow-not-executed", not_executed))
    assert note_of(Head(status, tuple(headers)), "r").backoff_s == seconds
