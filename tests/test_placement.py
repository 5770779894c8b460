"""Placement by placers, on an in-memory network and in simulated time."""

from contextlib import suppress
from dataclasses import replace
from heapq import heappop, heappush
from itertools import count
from operator import attrgetter
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgpack import packb

from greengageflow.core.endpoint_list import EndpointList, ListedEndpoint
from greengageflow.core.fleet_retry_budget import FleetRetryBudget
from greengageflow.core.fleet_sums import FleetTotals
from greengageflow.core.forward_request import Prompt, PromptPart
from greengageflow.core.place_messages import (
    PlacementAnswer,
    PlacementEvent,
    PlacementMessage,
    PlacementSnapshot,
    Verdict,
)
from greengageflow.core.placers import placer_of, placers_among
from greengageflow.core.remote_placements import RemotePlacements, placement_request
from greengageflow.core.router_table import Hello
from greengageflow.core.routes import Routing, Service
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.core.service_scheduler import Job, RefuseJob, StartJob
from greengageflow.core.work_queue import QueuedRequest
from greengageflow.daemon.placement import (
    ANSWER_TIMEOUT_S,
    DISCOVERY_HOLD_S,
    DISCOVERY_POLL_S,
    PLACER_BACKOFF_S,
    Placement,
)
from greengageflow.daemon.placer_role import NEW_PLACER_DELAY_S
from greengageflow.net.report_codec import ReportError, decode, encode

SLOTS = 4
ID = attrgetter("id")
PROMPT = Prompt((PromptPart("shared", 500), PromptPart("own", 100)), 600, 50)


class Fleet:
    """Hosts with one shared engine; a host in ``unreachable`` receives no messages."""

    def __init__(self, hosts=3):
        self.now, self.unreachable, self.crashed = 0.0, set(), set()
        self.is_dropped = lambda message: False
        self.members_known_at = 0.0
        self._heap, self._order = [], count()
        self.hosts = {f"h{i}": HostStub(self, f"h{i}", i) for i in range(hosts)}
        rows = [host.hello for host in self.hosts.values()]
        self.placer = placers_among(rows)[0]
        self.others = [h for name, h in self.hosts.items() if name != self.placer]
        self.run(NEW_PLACER_DELAY_S + 0.3)

    def at(self, when, call):
        heappush(self._heap, (when, next(self._order), call))

    def run(self, seconds):
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call = heappop(self._heap)
            call()
        self.now = end

    def restart(self, host):
        """Replace a host's process by a new one without requests."""
        new = HostStub(self, host.name, host.hello.port - 9, host.hello.boot + 1)
        self.hosts[host.name] = new
        return new

    def running(self, host):
        load = self.hosts[host].book.own_loads().get("e0")
        return load.running if load else 0


class HostStub:
    """One host: its placement, with this stub as timers, sender and log."""

    def __init__(self, fleet, name, index, boot=1):
        self.fleet, self.name = fleet, name
        self.endpoints = EndpointList()
        engine = ListedEndpoint("e0", "model", "10.0.0.1", 80, "z", slots=SLOTS)
        list(self.endpoints.put(engine))
        self.book = ServiceDispatcher(
            self.endpoints, "z", lambda: FleetRetryBudget(1, 9, 10.0)
        )
        service = Service("model", slots=SLOTS, memory_tokens=100_000)
        self.book.on_routing(Routing(version=1, services={"model": service}))
        self.log_events, self.asked = [], set()
        self.started, self.refused, self.runs = {}, {}, count(1)
        address = {"ip": "127.0.0.1", "port": 9 + index}
        self.hello = Hello(host=name, boot=boot, zone="z", **address)
        self.placement = Placement(
            self.hello,
            self.book,
            self.endpoints,
            self,
            self,
            self.carry_out,
            self,
            SimpleNamespace(load=lambda engines: self.asked.update(map(ID, engines))),
        )
        self.placement.start()
        self.every(0.25, self.round)

    @property
    def now(self):
        return self.fleet.now

    def after(self, delay_s, call):
        self.fleet.at(self.now + delay_s, lambda: self.alive and call())
        return SimpleNamespace(cancel=lambda: None)

    @property
    def alive(self):
        is_current = self.fleet.hosts[self.name] is self
        return is_current and self.name not in self.fleet.crashed

    def every(self, interval_s, call):
        self.after(interval_s, lambda: (call(), self.every(interval_s, call)))

    def write(self, event, **_fields):
        self.log_events.append(event.name)

    def round(self):
        self.placement.on_round()
        self.carry_out(self.book.on_totals(self.now, FleetTotals()))

    def routers(self):
        hosts = getattr(self.fleet, "hosts", {})
        if self.now < self.fleet.members_known_at:
            hosts = {self.name: self}
        return [h.hello for n, h in hosts.items() if n not in self.fleet.crashed]

    def send_to(self, to, message):
        [target] = [h for h in self.fleet.hosts.values() if h.hello.address == to]
        lost = self.fleet.unreachable | self.fleet.crashed
        if target.name in lost or self.fleet.is_dropped(message):
            return
        data = encode(message)
        arrive = lambda: target.placement.receive(decode(data))  # noqa: E731
        self.fleet.at(self.now + 0.002, arrive)

    def receive_pending(self):
        """Messages are handled when they arrive."""

    def carry_out(self, decisions):
        for decision in decisions:
            if not decision.request.isdigit():
                self.placement.on_decision(decision)
            elif isinstance(decision, StartJob):
                self.started[decision.request] = self.now
                self.placement.on_request_sent(
                    self.now, decision.request, decision.choice, PROMPT
                )
            elif isinstance(decision, RefuseJob):
                self.refused[decision.request] = decision

    def ask(self, patience_s=0.5):
        name, now = str(next(self.runs)), self.now
        queued_request = QueuedRequest(
            name, "a", 100.0, 0, now, now + 1, now + patience_s
        )
        job = Job(queued_request, 1.0, PROMPT)
        self.carry_out(self.placement.submit(now, "model", job, "a"))
        return name

    def end(self, name):
        self.placement.on_request_released(name, self.endpoints.get("e0"))
        self.carry_out(self.placement.on_request_end(self.now, "model", name))


def test_requests_of_all_hosts_together_respect_engine_slots():
    """Hosts that each see an engine of four slots idle would all send to it at once.

    The placer starts three or four of the requests, queues the others, and starts one
    of them when one has ended.
    """
    fleet = Fleet()
    names = [(host, host.ask()) for host in fleet.hosts.values() for _ in range(5)]
    fleet.run(0.1)
    started = [(host, name) for host, name in names if name in host.started]
    assert 0 < len(started) <= SLOTS
    host, name = started[0]
    host.end(name)
    fleet.run(0.1)
    assert sum(len(host.started) for host in fleet.hosts.values()) == len(started) + 1
    fleet.run(0.6)
    refused = sum(len(host.refused) for host in fleet.hosts.values())
    assert refused == len(names) - len(started) - 1


def test_host_decides_itself_when_its_placer_does_not_answer():
    """The placer's host hangs.

    The first request waits for the answer timeout, later ones are decided at once, and
    the placer is asked again after its backoff of a second.
    """
    fleet = Fleet()
    host = fleet.others[0]
    fleet.unreachable.add(fleet.placer)
    first = host.ask()
    fleet.run(ANSWER_TIMEOUT_S + 0.01)
    assert host.started[first] <= fleet.now
    second = host.ask()
    assert second in host.started
    fleet.unreachable.clear()
    fleet.run(PLACER_BACKOFF_S)
    third = host.ask()
    assert third not in host.started
    fleet.run(0.01)
    assert third in host.started and fleet.running(fleet.placer) == 1
    assert host.log_events == ["PLACER_SILENT", "PLACER_HEARD"]


def test_answers_to_an_earlier_process_start_no_request_of_the_restarted_one():
    """A restarted process numbers its requests from 1 again.

    An answer for the earlier process would start the new request of the same number,
    on an engine whose load does not include it.
    """
    fleet = Fleet()
    host = fleet.others[0]
    for _ in range(SLOTS + 1):
        host.ask(patience_s=3.0)
    fleet.run(0.05)
    new = fleet.restart(host)
    fleet.run(0.3)
    for _ in range(SLOTS + 1):
        new.ask(patience_s=3.0)
    fleet.run(0.05)
    assert not new.started
    fleet.run(0.4)
    assert 0 < len(new.started) == fleet.running(fleet.placer)


def test_placer_without_endpoints_lets_hosts_decide():
    """A placer that restarts while cut off from the store has an empty endpoint list.

    It would refuse the engine requests of the whole fleet, although all other hosts
    know the endpoint.
    """
    fleet = Fleet()
    host = fleet.others[0]
    list(fleet.hosts[fleet.placer].endpoints.drop("e0"))
    name = host.ask()
    fleet.run(0.05)
    assert name in host.started and not host.refused


def test_requests_queued_at_a_crashed_placer_are_decided():
    fleet = Fleet()
    host = fleet.others[0]
    for _ in range(SLOTS + 2):
        host.ask(patience_s=2.0)
    fleet.run(0.05)
    waiting = SLOTS + 2 - len(host.started)
    assert waiting
    fleet.crashed.add(fleet.placer)
    fleet.run(3.0)
    assert len(host.started) + len(host.refused) == SLOTS + 2


def test_next_placer_adopts_running_requests():
    """The placer's host fails while its requests run on the engine.

    The next placer would assume that the engine is idle and overload it.
    """
    fleet = Fleet()
    host = fleet.others[0]
    names = [host.ask() for _ in range(2)]
    fleet.run(0.1)
    assert set(names) <= host.started.keys()
    fleet.crashed.add(fleet.placer)
    fleet.run(0.6)
    assert sum(fleet.running(h.name) for h in fleet.others) == 2


def test_request_at_an_ended_start_leaves_the_snapshots_of_its_host():
    """Its placer counted it for the engine's next start while no answer came."""
    fleet = Fleet()
    host = fleet.others[0]
    started = replace(host.endpoints.get("e0"), born=5)
    for other in fleet.hosts.values():
        list(other.endpoints.put(started))
    name = host.ask()
    fleet.run(1.1)
    assert name in host.started and fleet.running(fleet.placer) == 1
    list(host.endpoints.put(replace(started, born=9)))
    fleet.run(1.1)
    assert fleet.running(fleet.placer) == 0


def test_parts_are_not_fetched_from_an_engine_that_has_ended():
    """The placer's list is older than that of the host that sends the request."""
    fleet = Fleet()
    host = fleet.others[0]
    receive, answers, sent = host.placement.receive, [], []
    host.placement.receive = answers.append
    host.placement.on_request_sent = lambda *request: sent.append(request)
    source = replace(host.endpoints.get("e0"), id="e1", born=5, version="v1")
    list(host.endpoints.put(source))
    for is_ended in (False, True):
        if is_ended:
            later = replace(source, born=9, version="")
            list(host.endpoints.put_unlisted(later))
        host.ask()
        fleet.run(0.01)
        receive(replace(answers[-1], fetch_from="e1"))
    assert [choice.fetch_from for _, _, choice, _ in sent] == [source, None]


@pytest.mark.parametrize("lost", [PlacementEvent, PlacementAnswer])
def test_lost_messages_leak_no_slot(lost):
    """The event that a request ended, or the answer that starts it, is lost.

    The placer would count the request for ever, and the engine would lose a slot.
    """
    fleet = Fleet()
    host = fleet.others[0]
    fleet.is_dropped = lambda message: (
        isinstance(message, lost) and getattr(message, "verdict", 1) != Verdict.QUEUED
    )
    name = host.ask()
    fleet.run(0.3)
    assert name in host.started
    host.end(name)
    fleet.run(1.6)
    assert fleet.running(fleet.placer) == 0
    assert sum(fleet.running(h.name) for h in fleet.others) == 0


def usage(fleet):
    return fleet.hosts[fleet.placer].book.recent_usage("model", "a")


def test_account_is_not_charged_for_a_start_that_was_lost():
    """Hosts too busy to read their answers used up the shares of their accounts."""
    fleet = Fleet()
    host = fleet.others[0]
    fleet.is_dropped = lambda message: (
        isinstance(message, PlacementAnswer) and message.verdict is Verdict.START
    )
    host.ask()
    fleet.run(0.01)
    assert usage(fleet) > 0
    fleet.run(1.6)
    assert usage(fleet) == pytest.approx(0.0, abs=1e-6)


@pytest.mark.parametrize("decided_by", ["host", "caller"])
def test_account_is_not_charged_for_a_start_that_came_too_late(decided_by):
    """The host had decided, or its caller had left, when the placer started it."""
    fleet = Fleet()
    host = fleet.others[0]
    receive, late = host.placement.receive, []
    host.placement.receive = late.append
    name = host.ask()
    fleet.run(0.003)
    charged = usage(fleet)
    if decided_by == "caller":
        host.end(name)
    else:
        fleet.is_dropped = lambda message: isinstance(message, PlacementEvent)
        fleet.run(ANSWER_TIMEOUT_S)
        fleet.is_dropped = lambda message: False
        receive(late[0])
    fleet.run(0.01)
    assert charged > 0 and fleet.running(fleet.placer) == 0
    assert usage(fleet) == pytest.approx(0.0, abs=1e-6)


def test_account_is_charged_for_what_ran():
    """The end of a request is lost, and the next snapshot lacks it."""
    fleet = Fleet()
    host = fleet.others[0]
    name = host.ask()
    fleet.run(0.01)
    engine = host.endpoints.get("e0")
    host.placement.on_first_event(fleet.now, name, engine)
    fleet.run(0.01)
    fleet.is_dropped = lambda message: isinstance(message, PlacementEvent)
    host.end(name)
    fleet.run(1.6)
    assert fleet.running(fleet.placer) == 0 and usage(fleet) > 0


def test_repeated_start_of_a_running_request_ends_nothing():
    fleet = Fleet()
    host = fleet.others[0]
    receive, answers = host.placement.receive, []
    host.placement.receive = lambda answer: (answers.append(answer), receive(answer))
    host.ask()
    fleet.run(0.01)
    receive(answers[-1])
    fleet.run(0.01)
    assert fleet.running(fleet.placer) == 1 and usage(fleet) > 0


def test_request_of_a_disconnected_caller_leaves_the_placers_queue():
    fleet = Fleet()
    host = fleet.others[0]
    names = [host.ask() for _ in range(SLOTS + 1)]
    fleet.run(0.05)
    queued = next(name for name in names if name not in host.started)
    host.end(queued)
    fleet.run(0.05)
    host.end(next(iter(host.started)))
    fleet.run(0.1)
    assert queued not in host.started


@pytest.mark.parametrize("members_known_after_s", [0.0, 0.2])
def test_hosts_that_start_together_do_not_overload_an_engine(members_known_after_s):
    """All hosts restart together and callers reconnect at once.

    Hosts that decided for themselves until a placer had settled sent the engine
    several times what it can run.
    """
    fleet = Fleet(6)
    fleet.members_known_at = fleet.now + members_known_after_s
    for host in list(fleet.hosts.values()):
        fleet.restart(host)
    hosts = fleet.hosts
    names = [(host, host.ask()) for host in hosts.values() for _ in range(3)]
    fleet.run(members_known_after_s + 0.1)
    started = [(host, name) for host, name in names if name in host.started]
    assert 0 < len(started) <= SLOTS
    assert not any(host.refused for host in hosts.values())
    for host, name in started:
        host.end(name)
    fleet.run(0.1)
    assert sum(len(host.started) for host in hosts.values()) > len(started)


def test_single_host_serves_callers_soon_after_its_start():
    fleet = Fleet(1)
    (host,) = fleet.hosts.values()
    host = fleet.restart(host)
    name = host.ask()
    fleet.run(DISCOVERY_HOLD_S + 2 * DISCOVERY_POLL_S)
    assert name in host.started


def test_held_back_request_of_a_disconnected_caller_is_dropped():
    fleet = Fleet(1)
    host = fleet.restart(next(iter(fleet.hosts.values())))
    host.end(host.ask())
    fleet.run(1.0)
    assert not host.started


def test_waiting_requests_count_at_the_host_of_their_caller():
    """A placer logged a negative number of running requests."""
    fleet = Fleet()
    host = fleet.others[0]
    for _ in range(SLOTS + 2):
        host.ask()
    fleet.run(0.05)
    placer = fleet.hosts[fleet.placer]
    assert host.placement.waiting == placer.book.waiting >= 2
    assert placer.placement.waiting == 0
    placer.ask()
    fleet.run(0.05)
    assert placer.placement.waiting == 1


def test_snapshot_may_end_requests_that_its_own_decisions_refuse():
    """A host that was cut off sends an empty snapshot.

    Ending its first request runs the queue, which refuses its overdue second one. That
    one was still to be ended as well, and the placer's handler failed.
    """
    fleet = Fleet()
    placements = RemotePlacements("p", fleet.hosts[fleet.placer].book)
    for number in range(SLOTS + 2):
        queued_request = QueuedRequest(str(number), "a", 100.0, 0, 9.0, 10.0, 9.2)
        job = Job(queued_request, 1.0, PROMPT)
        for decision in placements.on_request(
            9.0, placement_request("h", 1, 9.0, "model", job, "a", (), "z")
        ):
            placements.on_decision(9.0, decision)
    snapshot = PlacementSnapshot(host="h", boot=1)
    answers = [
        placements.on_decision(10.0, decision)
        for decision in placements.on_snapshot(10.0, snapshot)
    ]
    assert {answer.verdict for _, answer in answers} == {Verdict.REFUSE}
    assert not len(placements)


def test_host_that_is_not_a_placer_passes_at_once():
    fleet = Fleet()
    host, other = fleet.others
    job = Job(QueuedRequest("7", "a", 1.0, 0, 0.0, 1.0, 0.5), 1.0, PROMPT)
    ask = placement_request(host.name, 1, 0.0, "model", job, "a", (), "z")
    answers = []
    host.placement.receive = answers.append
    other.placement.receive(decode(encode(ask)))
    fleet.run(0.05)
    assert [answer.verdict for answer in answers] == [Verdict.PASS]


def hello(host, boot):
    return Hello(host=host, boot=boot, ip="127.0.0.1", port=9, zone="z")


HOSTS = st.dictionaries(st.text(max_size=5), st.integers(1, 9), min_size=1, max_size=80)


@given(HOSTS, st.dictionaries(st.text(min_size=6, max_size=8), st.just(10), max_size=9))
def test_hosts_that_join_or_restart_displace_no_placer(hosts, joining):
    """With placers chosen by name alone, a host that joins may become a placer.

    It would start without any knowledge of the engines.
    """
    rows = [hello(host, boot) for host, boot in hosts.items()]
    before = placers_among(rows)
    after = placers_among([*rows, *(hello(h, boot) for h, boot in joining.items())])
    assert after[: len(before)] == before
    restarted = [hello(h, 11 if h == before[-1] else boot) for h, boot in hosts.items()]
    assert len(hosts) == len(before) or before[-1] not in placers_among(restarted)


@given(HOSTS, st.text(max_size=5))
def test_placers_that_join_or_leave_move_only_their_own_endpoints(hosts, endpoint):
    rows = [hello(host, boot) for host, boot in hosts.items()]
    placers = placers_among(rows)
    assert placers == placers_among(reversed(rows)) and set(placers) <= hosts.keys()
    chosen = placer_of(endpoint, placers)
    for lost in set(placers) - {chosen}:
        assert placer_of(endpoint, [p for p in placers if p != lost]) == chosen


@given(st.integers(15, 18), st.lists(st.integers(0, 9) | st.text() | st.floats()))
def test_malformed_placement_messages_are_rejected(kind, values):
    with suppress(ReportError):
        assert isinstance(decode(packb((kind, *values))), PlacementMessage)
