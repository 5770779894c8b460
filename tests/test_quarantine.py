"""Which requests are held back, in simulated time."""

from dataclasses import replace

import pytest
from engine_stubs import endpoint
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from greengageflow.core.forward_request import ForwardRequest, request_fingerprint
from greengageflow.core.quarantine import (
    FINGERPRINT_BYTES,
    GOOD_S,
    HOLD_S,
    MOST_RECORDS,
    CrashRecord,
    Quarantine,
)
from greengageflow.daemon.crash_watch import CHECKS_S, CrashWatch
from greengageflow.net.connect_check import Reach
from tests.test_fleet_exchange import RouterStub, fleet

FINGERPRINT = b"f" * FINGERPRINT_BYTES
REQUEST = ForwardRequest(id="1", method="POST", host="h", target="/t", body=b"b")


def crash(quarantine, now, start, *fingerprints):
    for fingerprint in fingerprints:
        quarantine.suspect(now, start, fingerprint)
    quarantine.crashed(now, start)


def test_fingerprint_depends_on_all_that_an_endpoint_gets_but_the_id():
    others = [
        replace(REQUEST, method="PUT"),
        replace(REQUEST, host="other"),
        replace(REQUEST, target="/t/"),
        replace(REQUEST, body=b"c"),
    ]
    found = {request_fingerprint(one, "a") for one in (REQUEST, *others)}
    found |= {request_fingerprint(REQUEST, "b"), request_fingerprint(REQUEST, "a/t")}
    assert len(found) == 7
    again = replace(REQUEST, id="2", headers=(("x", "y"),), max_wait_s=1.0)
    assert request_fingerprint(again, "a") in found


def test_request_is_held_back_after_the_second_crash_until_its_time_is_over():
    quarantine = Quarantine()
    crash(quarantine, 1, "e1", b"poison", b"sound")
    assert not quarantine.left_s(1, b"poison")
    crash(quarantine, 2, "e2", b"poison", b"other")
    assert quarantine.left_s(3, b"poison") == HOLD_S - 1
    assert quarantine.held(3) == [b"poison"]
    assert not quarantine.left_s(3, b"sound")
    assert not quarantine.left_s(2 + HOLD_S, b"poison")


def test_one_crash_counts_once_however_many_copies_ran_there():
    quarantine = Quarantine()
    crash(quarantine, 1, "e1", b"poison", b"poison")
    crash(quarantine, 2, "e1", b"poison")
    assert not quarantine.left_s(2, b"poison")


def test_good_answer_clears_a_request_that_was_only_in_flight():
    quarantine = Quarantine()
    crash(quarantine, 1, "e1", b"sound")
    assert quarantine.answered(2, b"sound")
    later = 2 + GOOD_S + 1
    crash(quarantine, later, "e2", b"sound")
    assert not quarantine.left_s(later, b"sound")
    crash(quarantine, later, "e3", b"sound")
    assert quarantine.left_s(later, b"sound")


def test_request_that_is_answered_all_the_time_is_no_suspect():
    quarantine = Quarantine()
    quarantine.answered(1, b"sound")
    crash(quarantine, 2, "e1", b"sound")
    crash(quarantine, 2, "e2", b"sound")
    assert not quarantine.left_s(2, b"sound")


def test_cuts_alone_hold_nothing_back():
    """Replicas that reset answers and go on were taken for crashed for half a second;
    short requests that a caller sends all the time were refused meanwhile."""
    quarantine = Quarantine()
    for start in ("e1", "e2", "e3"):
        quarantine.suspect(1, start, b"sound")
    assert not quarantine.left_s(1, b"sound")


def test_request_does_not_run_again_before_the_second_crash_is_known():
    quarantine = Quarantine()
    crash(quarantine, 1, "e1", b"poison")
    quarantine.suspect(2, "e2", b"poison")
    assert 0 < quarantine.left_s(2, b"poison") < 2
    quarantine.alive("e2")
    assert not quarantine.left_s(2, b"poison")


def test_what_is_repeated_between_hosts_does_not_hold_a_request_for_longer():
    first, second = Quarantine(), Quarantine()
    for number, start in enumerate(("e1", "e2")):
        crash(first, number, start, b"poison")
    for step in range(1, 400):
        now = 2.0 * step
        for source, target in ((first, second), (second, first)):
            target.receive(now + 0.5, source.records(now, 10, 9))
    assert not first.held(HOLD_S + 2)
    assert not second.held(HOLD_S + 2)


def test_records_are_bounded_and_those_held_back_go_last():
    quarantine = Quarantine()
    for start in ("e1", "e2"):
        crash(quarantine, 1, start, b"poison")
    for number in range(2 * MOST_RECORDS):
        crash(quarantine, 2 + number / 1000, f"s{number}", b"%d" % number)
    assert len(list(quarantine.records(5, 100, 10**6))) <= MOST_RECORDS
    assert quarantine.left_s(5, b"poison")


class Fleet(RuleBasedStateMachine):
    """Hosts that see crashes and answers, and hear of each other's in any order."""

    def __init__(self):
        super().__init__()
        self.hosts = [Quarantine() for _ in range(3)]
        self.messages = []
        self.now = 0.0
        self.crashes, self.answers = set(), 0
        self.starts = 0

    def _tell(self, host):
        records = self.hosts[host].records(self.now, 1e9, 99)
        self.messages.append(tuple(records))

    @rule(host=st.integers(0, 2), fingerprint=st.sampled_from([b"p", b"q"]))
    def crash(self, host, fingerprint):
        self.starts += 1
        crash(self.hosts[host], self.now, f"e{self.starts}", fingerprint)
        self.crashes.add((f"e{self.starts}", fingerprint))
        self._tell(host)

    @rule(host=st.integers(0, 2), fingerprint=st.sampled_from([b"q", b"r"]))
    def answer(self, host, fingerprint):
        self.hosts[host].answered(self.now, fingerprint)
        self._tell(host)

    @rule(host=st.integers(0, 2), data=st.data())
    def hear(self, host, data):
        if self.messages:
            self.hosts[host].receive(
                self.now, data.draw(st.sampled_from(self.messages))
            )

    @rule(host=st.integers(0, 2))
    def start_again(self, host):
        self.hosts[host] = Quarantine()

    @rule()
    def wait(self):
        self.now += GOOD_S + 1

    @invariant()
    def holds_only_what_crashed_twice(self):
        for host in self.hosts:
            for fingerprint in host.held(self.now):
                starts = {s for s, found in self.crashes if found == fingerprint}
                assert len(starts) >= 2

    @invariant()
    def agrees_once_all_has_arrived(self):
        ends = [Quarantine() for _ in range(2)]
        for end, order in zip(ends, (1, -1), strict=True):
            for message in self.messages[::order] * 2:
                end.receive(self.now, message)
        assert set(ends[0].held(self.now)) == set(ends[1].held(self.now))
        if sum(found == b"p" for _, found in self.crashes) >= 2:
            assert b"p" in ends[0].held(self.now)


TestFleet = Fleet.TestCase


class Watched:
    """Timers, reachability, sender and notes of one watch; time stands still."""

    now = 5.0

    def __init__(self, *reach):
        self.reach, self.checked = list(reach), []
        self.lines, self.sent, self.held_back = [], [], []
        self.quarantine = Quarantine()
        self.watch = CrashWatch(
            self.quarantine, self, self, self, self, self.held_back.append
        )

    def after(self, _delay_s, call):
        call()

    def check(self, address, on_done):
        self.checked.append(address)
        on_done(self.reach.pop(0))

    def send_crashes(self, records, most):
        self.sent.append((records, most))

    def crashed(self, endpoint, requests):
        self.lines.append(("crashed", endpoint.id, len(requests)))

    def held(self, fingerprint, source, for_s):
        assert for_s > 0
        self.lines.append(("held", fingerprint, source))

    def cleared(self, fingerprint):
        self.lines.append(("cleared", fingerprint))


def test_crash_is_seen_where_the_listener_closes_after_the_connections():
    """A process that ends may take a while; on a busy machine the first look at it came
    too early, and its request went on to take others down."""
    seen = Watched(Reach.LISTENS, Reach.LISTENS, Reach.REFUSED)
    seen.watch.on_cut(endpoint("e1"), b"poison")
    assert seen.lines == [("crashed", "e1", 1)]


def test_crash_is_seen_through_a_proxy_that_goes_on_to_take_connections():
    closed = [Reach.CLOSED] * len(CHECKS_S)
    seen = Watched(*closed, Reach.CLOSED, Reach.LISTENS, Reach.LISTENS)
    seen.watch.on_cut(endpoint("e1"), b"poison")
    assert seen.lines == [("crashed", "e1", 1)]
    seen.watch.on_cut(endpoint("e2"), b"poison")
    assert len(seen.lines) == 1, "it had too many connections for a moment"


def test_cut_counts_as_a_crash_only_where_connections_are_refused():
    """Connections are reset by endpoints that go on, and by links that are cut."""
    alive = [Reach.LISTENS] * len(CHECKS_S)
    unknown = [Reach.UNKNOWN] * len(CHECKS_S)
    seen = Watched(*alive, *unknown, Reach.REFUSED, Reach.REFUSED)
    for name in ("e1", "e2", "e3", "e4"):
        assert not seen.held_back
        seen.watch.on_cut(endpoint(name), b"poison")
    assert seen.lines == [
        ("crashed", "e3", 1),
        ("crashed", "e4", 1),
        ("held", b"poison", "crash"),
    ]
    assert seen.held_back == [frozenset([b"poison"])]
    assert [most for _, most in seen.sent] == [None] * 4


def test_crashes_at_two_hosts_hold_a_request_back_at_both():
    first, second = Watched(Reach.REFUSED), Watched(Reach.REFUSED)
    first.watch.on_cut(endpoint("e1"), b"poison")
    second.watch.receive(first.sent[-1][0])
    second.watch.on_cut(endpoint("e2"), b"poison")
    first.watch.receive(second.sent[-1][0])
    assert first.held_back == second.held_back == [frozenset([b"poison"])]
    assert first.lines[-1] == ("held", b"poison", "peer")


class WatchingRouter:
    """The watch of one router; each endpoint that it looks for has crashed."""

    def __init__(self, router):
        self.router = router
        self.quarantine = Quarantine()
        self.watch = CrashWatch(
            self.quarantine, router, self, router.exchange, self, lambda _held: None
        )
        router.on_crash_report = lambda report: self.watch.receive(report.records)
        self.watch.start()

    def check(self, address, on_done):
        on_done(Reach.REFUSED)

    def crashed(self, endpoint, requests):
        pass

    def held(self, fingerprint, source, for_s):
        pass

    @property
    def knows(self):
        return self.quarantine.held(self.router.now) == [FINGERPRINT]


@pytest.mark.parametrize(("size", "zones"), [(9, 3), (60, 4)])
def test_crashes_are_known_to_all_and_to_those_that_start_later(
    monkeypatch, size, zones
):
    """A fifth of all datagrams is lost."""
    network, routers = fleet(monkeypatch, size, zones, loss=0.2)
    watching = [WatchingRouter(router) for router in routers]
    network.run(8)
    for number in range(2):
        watching[number].watch.on_cut(endpoint(f"e{number}"), FINGERPRINT)
    network.run(3)
    assert all(one.knows for one in watching)
    routers[1].stop()
    late = RouterStub(network, 1, "z1", [routers[0].address], boot=2)
    watching[1] = WatchingRouter(late)
    late.exchange.start()
    network.run(5)
    assert watching[1].knows


def test_report_of_an_old_crash_changes_nothing():
    quarantine = Quarantine()
    old = CrashRecord(b"poison", ("e1", "e2"), (), HOLD_S)
    assert not quarantine.receive(5, [old])
    assert not quarantine
