"""Placers decide for all hosts: on a network in memory and in simulated time."""

from contextlib import suppress
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
from greengageflow.core.place_desk import PlaceDesk, ask_for
from greengageflow.core.place_messages import (
    PlaceAnswer,
    PlaceMessage,
    PlaceNote,
    PlaceRoll,
    Verdict,
)
from greengageflow.core.placers import placer_of, placers_among
from greengageflow.core.router_table import Hello
from greengageflow.core.routes import Routing, Service
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.core.service_scheduler import Job, RefuseJob, StartJob
from greengageflow.core.work_queue import QueuedRequest
from greengageflow.daemon.placement import (
    ALONE_S,
    ANSWER_S,
    LOOK_S,
    MUTE_S,
    SETTLE_S,
    Placement,
)
from greengageflow.net.report_codec import ReportError, decode, encode

SLOTS = 4
ID = attrgetter("id")
PROMPT = Prompt((PromptPart("shared", 500), PromptPart("own", 100)), 600, 50)


class Fleet:
    """Hosts with one engine before them; a host in ``deaf`` gets no message."""

    def __init__(self, hosts=3):
        self.now, self.deaf, self.dead = 0.0, set(), set()
        self.drops = lambda message: False
        self.known_at = 0.0
        self._heap, self._order = [], count()
        self.hosts = {f"h{i}": HostStub(self, f"h{i}", i) for i in range(hosts)}
        rows = [host.hello for host in self.hosts.values()]
        self.placer = placers_among(rows)[0]
        self.others = [h for name, h in self.hosts.items() if name != self.placer]
        self.run(SETTLE_S + 0.3)

    def at(self, when, call):
        heappush(self._heap, (when, next(self._order), call))

    def run(self, seconds):
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call = heappop(self._heap)
            call()
        self.now = end

    def restart(self, host):
        """Replace a host's process by a new one, which has nothing under way."""
        new = HostStub(self, host.name, host.hello.port - 9, host.hello.boot + 1)
        self.hosts[host.name] = new
        return new

    def running(self, host):
        load = self.hosts[host].book.own_loads().get("e0")
        return load.running if load else 0


class HostStub:
    """Timer service, sender and requests of one host."""

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
        self.lines, self.asked = [], set()
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
            SimpleNamespace(ask=lambda engines: self.asked.update(map(ID, engines))),
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
        lives = self.fleet.hosts[self.name] is self
        return lives and self.name not in self.fleet.dead

    def every(self, interval_s, call):
        self.after(interval_s, lambda: (call(), self.every(interval_s, call)))

    def write(self, event, **_fields):
        self.lines.append(event.name)

    def round(self):
        self.placement.on_round()
        self.carry_out(self.book.on_totals(self.now, FleetTotals()))

    def routers(self):
        hosts = getattr(self.fleet, "hosts", {})
        if self.now < self.fleet.known_at:
            hosts = {self.name: self}
        return [h.hello for n, h in hosts.items() if n not in self.fleet.dead]

    def send_to(self, to, message):
        [target] = [h for h in self.fleet.hosts.values() if h.hello.address == to]
        lost = self.fleet.deaf | self.fleet.dead
        if target.name in lost or self.fleet.drops(message):
            return
        data = encode(message)
        arrive = lambda: target.placement.receive(decode(data))  # noqa: E731
        self.fleet.at(self.now + 0.002, arrive)

    def carry_out(self, decisions):
        for decision in decisions:
            if not decision.request.isdigit():
                self.placement.on_decision(decision)
            elif isinstance(decision, StartJob):
                self.started[decision.request] = self.now
                self.placement.sent(self.now, decision.request, decision.choice, PROMPT)
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
        self.placement.left(name, self.endpoints.get("e0"))
        self.carry_out(self.placement.ended(self.now, "model", name))


def test_no_more_is_started_than_the_engine_runs_whoever_asks():
    """Callers of all hosts ask at the same moment for an engine of four slots. Hosts
    that each knew it idle would send it all; the placer has it run three or four, lets
    the others wait, and starts one of them as soon as one has ended."""
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


def test_host_decides_alone_when_its_placer_is_silent():
    """The placer's host hangs. A request waits no longer than the time for an answer,
    later ones not at all, and the placer is asked again a second later."""
    fleet = Fleet()
    host = fleet.others[0]
    fleet.deaf.add(fleet.placer)
    first = host.ask()
    fleet.run(ANSWER_S + 0.01)
    assert host.started[first] <= fleet.now
    second = host.ask()
    assert second in host.started
    fleet.deaf.clear()
    fleet.run(MUTE_S)
    third = host.ask()
    assert third not in host.started
    fleet.run(0.01)
    assert third in host.started and fleet.running(fleet.placer) == 1
    assert host.lines == ["PLACER_SILENT", "PLACER_HEARD"]


def test_answers_to_an_earlier_process_start_nothing_of_the_next_one():
    """A host's process is killed and started again, and numbers its requests from 1 as
    the one before it did. A place found for a request of the old process would start
    the new one's of that number, at an engine that nobody counts it at."""
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


def test_a_placer_that_knows_no_engine_lets_hosts_decide():
    """A placer's host is started again while it is cut off from the store, so that its
    list of endpoints is empty. It would refuse the engine requests of the whole fleet
    for want of an endpoint that all the other hosts know."""
    fleet = Fleet()
    host = fleet.others[0]
    list(fleet.hosts[fleet.placer].endpoints.drop("e0"))
    name = host.ask()
    fleet.run(0.05)
    assert name in host.started and not host.refused


def test_requests_that_wait_at_a_placer_are_decided_when_it_is_gone():
    fleet = Fleet()
    host = fleet.others[0]
    for _ in range(SLOTS + 2):
        host.ask(patience_s=2.0)
    fleet.run(0.05)
    waiting = SLOTS + 2 - len(host.started)
    assert waiting
    fleet.dead.add(fleet.placer)
    fleet.run(3.0)
    assert len(host.started) + len(host.refused) == SLOTS + 2


def test_next_placer_counts_what_an_earlier_one_started():
    """The placer's host is lost with requests under way on the engine. The next one
    would take the engine for idle and send it as much again."""
    fleet = Fleet()
    host = fleet.others[0]
    names = [host.ask() for _ in range(2)]
    fleet.run(0.1)
    assert set(names) <= host.started.keys()
    fleet.dead.add(fleet.placer)
    fleet.run(0.6)
    assert sum(fleet.running(h.name) for h in fleet.others) == 2


@pytest.mark.parametrize("lost", [PlaceNote, PlaceAnswer])
def test_lost_messages_take_up_no_slot_for_good(lost):
    """The note that a request has ended is lost, or the answer that it may start. The
    placer would count it for ever, and the engine have a slot less."""
    fleet = Fleet()
    host = fleet.others[0]
    fleet.drops = lambda message: (
        isinstance(message, lost) and getattr(message, "verdict", 1) != Verdict.QUEUED
    )
    name = host.ask()
    fleet.run(0.3)
    assert name in host.started
    host.end(name)
    fleet.run(1.6)
    assert fleet.running(fleet.placer) == 0
    assert sum(fleet.running(h.name) for h in fleet.others) == 0


def test_caller_that_left_takes_its_request_out_of_the_placers_queue():
    fleet = Fleet()
    host = fleet.others[0]
    names = [host.ask() for _ in range(SLOTS + 1)]
    fleet.run(0.05)
    waits = next(name for name in names if name not in host.started)
    host.end(waits)
    fleet.run(0.05)
    host.end(next(iter(host.started)))
    fleet.run(0.1)
    assert waits not in host.started


@pytest.mark.parametrize("known_after_s", [0.0, 0.2])
def test_hosts_that_all_begin_at_once_send_an_engine_what_one_may(known_after_s):
    """After the loss of all hosts callers come at once. Hosts that each decided for
    themselves until they knew a placer that had settled sent it several times that."""
    fleet = Fleet(6)
    fleet.known_at = fleet.now + known_after_s
    for host in list(fleet.hosts.values()):
        fleet.restart(host)
    known = fleet.hosts
    names = [(host, host.ask()) for host in known.values() for _ in range(3)]
    fleet.run(known_after_s + 0.1)
    started = [(host, name) for host, name in names if name in host.started]
    assert 0 < len(started) <= SLOTS
    assert not any(host.refused for host in known.values())
    for host, name in started:
        host.end(name)
    fleet.run(0.1)
    assert sum(len(host.started) for host in known.values()) > len(started)


def test_a_host_that_begins_alone_serves_its_callers_soon():
    fleet = Fleet(1)
    (host,) = fleet.hosts.values()
    host = fleet.restart(host)
    name = host.ask()
    fleet.run(ALONE_S + 2 * LOOK_S)
    assert name in host.started


def test_a_caller_that_leaves_while_its_request_is_held_back_is_forgotten():
    fleet = Fleet(1)
    host = fleet.restart(next(iter(fleet.hosts.values())))
    host.end(host.ask())
    fleet.run(1.0)
    assert not host.started


def test_a_request_waits_at_the_host_of_its_caller():
    """A placer's log line said that less than none of its requests were running."""
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


def test_a_roll_may_end_what_its_own_decisions_refuse():
    """A host was cut off and has nothing any more. To end its first request lets the
    queue be looked through, which refuses its second, long overdue; that was still on
    the list of what to end, and the placer's handler failed there."""
    fleet = Fleet()
    desk = PlaceDesk("p", fleet.hosts[fleet.placer].book)
    for number in range(SLOTS + 2):
        queued_request = QueuedRequest(str(number), "a", 100.0, 0, 9.0, 10.0, 9.2)
        job = Job(queued_request, 1.0, PROMPT)
        for decision in desk.ask(9.0, ask_for("h", 1, 9.0, "model", job, "a", (), "z")):
            desk.decided(9.0, decision)
    roll = PlaceRoll(host="h", boot=1)
    told = [desk.decided(10.0, decision) for decision in desk.roll(10.0, roll)]
    assert {answer.verdict for _, answer in told} == {Verdict.REFUSE}
    assert not len(desk)


def test_a_host_that_does_not_place_says_so_at_once():
    fleet = Fleet()
    host, stranger = fleet.others
    job = Job(QueuedRequest("7", "a", 1.0, 0, 0.0, 1.0, 0.5), 1.0, PROMPT)
    ask = ask_for(host.name, 1, 0.0, "model", job, "a", (), "z")
    answers = []
    host.placement.receive = answers.append
    stranger.placement.receive(decode(encode(ask)))
    fleet.run(0.05)
    assert [answer.verdict for answer in answers] == [Verdict.PASS]


def hello(host, boot):
    return Hello(host=host, boot=boot, ip="127.0.0.1", port=9, zone="z")


HOSTS = st.dictionaries(st.text(max_size=5), st.integers(1, 9), min_size=1, max_size=80)


@given(HOSTS, st.dictionaries(st.text(min_size=6, max_size=8), st.just(10), max_size=9))
def test_hosts_that_join_or_start_anew_displace_no_placer(hosts, joining):
    """Hosts are added while others serve. Chosen by name alone, a new one may become
    the placer, which begins with nothing known of engines."""
    rows = [hello(host, boot) for host, boot in hosts.items()]
    before = placers_among(rows)
    after = placers_among([*rows, *(hello(h, boot) for h, boot in joining.items())])
    assert after[: len(before)] == before
    anew = [hello(h, 11 if h == before[-1] else boot) for h, boot in hosts.items()]
    assert len(hosts) == len(before) or before[-1] not in placers_among(anew)


@given(HOSTS, st.text(max_size=5))
def test_placers_that_come_or_go_move_only_their_own_endpoints(hosts, endpoint):
    rows = [hello(host, boot) for host, boot in hosts.items()]
    placers = placers_among(rows)
    assert placers == placers_among(reversed(rows)) and set(placers) <= hosts.keys()
    chosen = placer_of(endpoint, placers)
    for lost in set(placers) - {chosen}:
        assert placer_of(endpoint, [p for p in placers if p != lost]) == chosen


@given(st.integers(15, 18), st.lists(st.integers(0, 9) | st.text() | st.floats()))
def test_spoiled_place_messages_are_told_apart(kind, values):
    with suppress(ReportError):
        assert isinstance(decode(packb((kind, *values))), PlaceMessage)
