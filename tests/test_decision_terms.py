"""Terms of decisions in the log, and that other deployments' lines stay as they are."""

import json
import os
from random import Random
from types import SimpleNamespace

import pytest
from engine_stubs import stream_route
from test_placement import Fleet

from greengageflow.core.endpoint_choice import Choice
from greengageflow.core.endpoint_list import EndpointList, ListedEndpoint
from greengageflow.core.fleet_retry_budget import FleetRetryBudget
from greengageflow.core.forward_request import (
    ForwardRequest,
    Prompt,
    PromptPart,
    request_fingerprint,
)
from greengageflow.core.placement_explanation import explain_placement
from greengageflow.core.routes import Routing, Service
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.core.service_scheduler import Job, StartJob
from greengageflow.core.work_queue import QueuedRequest
from greengageflow.daemon.decision_fields import decision_fields
from greengageflow.daemon.forward_telemetry import ForwardTelemetry
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.net.decision_log import DecisionLog

TERMS = {"wait_ms", "slowness", "duration_ms", "cached", "cost", "next_cost"}
USUAL = set(DecisionEvent.SENT.fields) - TERMS - {"number", "resumes"}
SERVICES = {
    "model": Service("model", 4, memory_tokens=100_000, transfers=True),
    "plain": Service("plain", 2),
}


class Host:
    """One host with four engines and three plain endpoints, one of each slow."""

    def __init__(self, target_s):
        self.endpoints, self.random, self.now = EndpointList(), Random(7), 0.0
        for number in range(7):
            service = "model" if number < 4 else "plain"
            slots = SERVICES[service].slots
            endpoint = ListedEndpoint(
                f"e{number}", service, "127.0.0.1", 9, "ab"[number % 2], slots
            )
            list(self.endpoints.put(endpoint))
        self.dispatcher = ServiceDispatcher(
            self.endpoints, "a", lambda: FleetRetryBudget(0.2, 10, 10.0)
        )
        routes = (stream_route(target_s),)
        self.dispatcher.on_routing(Routing(1, routes=routes, services=SERVICES))
        self.running = []

    def job(self, name, service):
        prompt = None
        if service == "model":
            part = PromptPart(f"part{self.random.randrange(3)}", 800)
            prompt = Prompt((part, PromptPart("own", 100)), 900, 40)
        queued = QueuedRequest(
            name, "a", 1.0, 1, self.now, self.now + 0.3, self.now + 0.1
        )
        return Job(queued, 0.3, prompt)

    def submit(self, service, name):
        """Submit a request; return the explanation before it and its choice, if any."""
        job = self.job(name, service)
        preview = self.dispatcher.preview(self.now, service)
        explained = explain_placement(preview, job)
        for decision in self.dispatcher.submit(self.now, service, job, "a"):
            if isinstance(decision, StartJob) and decision.request == name:
                choice = decision.choice
                self.dispatcher.on_request_sent(self.now, name, choice, job.prompt)
                lasts_s = self.random.uniform(0.1, 0.4)
                slow = 2.5 if choice.endpoint.id in ("e0", "e4") else 1.0
                first_at = self.now + 0.02
                entry = [first_at, first_at + slow * lasts_s, name, choice.endpoint]
                self.running.append(entry)
                return explained, choice
            self.end(decision.request)
        return explained, None

    def end(self, name):
        self.running = [entry for entry in self.running if entry[2] != name]

    def pass_time(self, seconds):
        self.now += seconds
        for first_at, end_at, name, endpoint in self.running:
            service, dispatcher = endpoint.service, self.dispatcher
            if first_at <= self.now and service == "model":
                dispatcher.on_first_event(self.now, name, endpoint)
            if end_at <= self.now:
                self.end(name)
                dispatcher.on_request_released(name, endpoint, completed_at=self.now)
                list(dispatcher.on_request_end(self.now, service, name))

    def play(self, requests=1200):
        for number in range(requests):
            self.pass_time(0.02)
            service = self.random.choice(["model", "plain"])
            explained, choice = self.submit(service, f"r{number}")
            if choice is not None:
                yield service, explained, choice


def test_terms_are_those_that_decided():
    """Guards against a log that shows operators other figures than those compared: each
    is checked against the explanation that the host gives just before.
    """
    seen, durations, slow = 0, set(), 0.0
    for service, explained, choice in Host(0.3).play():
        rows = {row.id: row for row in explained.candidates}
        row, terms = rows[choice.endpoint.id], choice.terms
        others = [r.cost for r in rows.values() if r is not row and r.cost is not None]
        assert terms.next_cost == min(others, default=None)
        assert terms.next_cost is None or terms.next_cost >= choice.cost
        assert terms.slowness == row.slowness
        assert terms.cached_tokens == row.cached_tokens
        if service == "model":
            assert terms.queue_wait_s == row.queue_wait_s <= choice.wait_s
        elif row.running < row.slots:
            assert terms.queue_wait_s == 0.0
        else:
            assert terms.queue_wait_s > 0.0 or not terms.duration_s
        durations.add(terms.duration_s > 0.0)
        slow = max(slow, terms.slowness)
        seen += 1
    assert seen > 400 and durations == {True, False} and slow > 1.5


def test_there_are_no_terms_without_short_targets():
    """Guards against costs and lines that change for other deployments."""
    for _, _, choice in Host(1.0).play(200):
        assert choice.terms is None
        assert decision_fields(choice) == {}


class Recorder:
    """Stand-in for log and metrics page that keeps the lines."""

    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))

    def observe(self, *_args):
        pass


def context():
    req = ForwardRequest(id="abc", method="POST", host="x", target="/")
    return SimpleNamespace(
        id="57",
        req=req,
        service="model",
        account="a",
        route=stream_route(0.3),
        arrived_at=1.0,
        identity=SimpleNamespace(request=request_fingerprint(req, "a")),
    )


def sent_fields(target_s, choice, placer):
    host, log = Host(target_s), Recorder()
    telemetry = ForwardTelemetry(log, log, host.dispatcher)
    telemetry.on_sent(1.0, context(), choice, placer)
    ((event, fields),) = log.lines
    assert event is DecisionEvent.SENT
    return set(fields)


def last_choice(target_s):
    choices = [choice for _, _, choice in Host(target_s).play()]
    terms = [choice.terms for choice in choices]
    has_next = [t is None or t.next_cost is not None for t in terms]
    return [c for c, found in zip(choices, has_next, strict=True) if found][-1]


def test_line_of_a_sent_request_holds_the_terms_where_costs_decide():
    """Guards against decisions that operators can't understand, and against lines that
    change for other deployments.
    """
    by_cost, usual = last_choice(0.3), last_choice(1.0)
    assert sent_fields(0.3, by_cost, "") == USUAL | TERMS
    assert sent_fields(1.0, usual, "") == USUAL
    assert sent_fields(1.0, usual, "h1") == USUAL
    placed_elsewhere = Choice(by_cost.endpoint, 100.0, 0.1)
    assert sent_fields(0.3, placed_elsewhere, "h1") == USUAL | {"number"}


def test_line_is_valid_and_short():
    """Guards against a line that the log shortens or that can't be read."""
    read_fd, write_fd = os.pipe()
    try:
        log, host = DecisionLog(write_fd, "host-of-a-long-name"), Host(0.3)
        telemetry = ForwardTelemetry(log, Recorder(), host.dispatcher)
        telemetry.on_sent(1.0, context(), last_choice(0.3), "")
        log.flush()
        (row,) = os.read(read_fd, 65536).splitlines()
    finally:
        os.close(read_fd)
        os.close(write_fd)
    line = json.loads(row)
    assert line.keys() >= TERMS and len(row) < 800
    assert line["slowness"] > 0 and line["cost"] <= line["next_cost"]


@pytest.mark.parametrize("target_s", [0.3, 1.0])
def test_placer_writes_a_line_for_other_hosts_requests(target_s):
    """The terms are known only to the host that places a request. Guards against
    decisions on other hosts' requests that show nowhere, and against more lines than
    before in other deployments.
    """
    fleet = Fleet()
    services = {"model": Service("model", 4, memory_tokens=100_000)}
    routing = Routing(1, routes=(stream_route(target_s),), services=services)
    placer, log = fleet.hosts[fleet.placer], Recorder()
    for host in fleet.hosts.values():
        host.book.on_routing(routing)
    placer.write = log.write
    name = fleet.others[0].ask()
    placer.ask()
    fleet.run(0.1)
    assert name in fleet.others[0].started
    if target_s == 1.0:
        assert not log.lines
        return
    ((event, fields),) = log.lines
    assert event is DecisionEvent.PLACED
    assert fields.keys() | {"next_cost"} == set(event.fields)
    assert fields["request"] == f"{fleet.others[0].name}/1/{name}"
