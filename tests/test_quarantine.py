"""Tests of the quarantine of poison requests, in simulated time."""

from dataclasses import replace

import pytest
from engine_stubs import endpoint
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from greengageflow.core.fingerprint import (
    FINGERPRINT_BYTES,
    RequestIdentity,
    fingerprint_of,
)
from greengageflow.core.forward_request import ForwardRequest, request_fingerprint
from greengageflow.core.quarantine import (
    CLEARANCE_S,
    EVICTED_RECORDS,
    MAX_RECORDS,
    QUARANTINE_S,
    CrashRecord,
    Quarantine,
)
from greengageflow.daemon.crash_watch import CHECK_DELAYS_S, CrashWatch
from greengageflow.net.connect_check import ConnectResult
from tests.test_fleet_exchange import RouterStub, fleet

FINGERPRINT = b"f" * FINGERPRINT_BYTES
REQUEST = ForwardRequest(id="1", method="POST", host="h", target="/t", body=b"b")


def crash(quarantine, now, start, *fingerprints):
    for fingerprint in fingerprints:
        quarantine.add_suspect(now, start, fingerprint)
    quarantine.on_crash(now, start)


def test_fingerprint_covers_the_request_except_its_id():
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


def test_second_crash_quarantines_until_expiry():
    quarantine = Quarantine()
    crash(quarantine, 1, "e1", b"poison", b"sound")
    assert not quarantine.remaining_s(1, b"poison")
    crash(quarantine, 2, "e2", b"poison", b"other")
    assert quarantine.remaining_s(3, b"poison") == QUARANTINE_S - 1
    assert quarantine.quarantined(3) == [b"poison"]
    assert not quarantine.remaining_s(3, b"sound")
    assert not quarantine.remaining_s(2 + QUARANTINE_S, b"poison")


def test_crash_counts_once_for_several_copies_of_a_request():
    quarantine = Quarantine()
    crash(quarantine, 1, "e1", b"poison", b"poison")
    crash(quarantine, 2, "e1", b"poison")
    assert not quarantine.remaining_s(2, b"poison")


def test_successful_answer_clears_earlier_crashes():
    quarantine = Quarantine()
    crash(quarantine, 1, "e1", b"sound")
    assert quarantine.on_success(2, b"sound")
    later = 2 + CLEARANCE_S + 1
    crash(quarantine, later, "e2", b"sound")
    assert not quarantine.remaining_s(later, b"sound")
    crash(quarantine, later, "e3", b"sound")
    assert quarantine.remaining_s(later, b"sound")


def test_recent_answer_keeps_a_request_from_suspicion():
    quarantine = Quarantine()
    quarantine.on_success(1, b"sound")
    crash(quarantine, 2, "e1", b"sound")
    crash(quarantine, 2, "e2", b"sound")
    assert not quarantine.remaining_s(2, b"sound")


def test_cut_connections_alone_do_not_quarantine():
    """Connection resets without a crash must not quarantine a request.

    Replicas that reset connections but kept running counted as crashed for half a
    second, during which a caller's continuously repeated short requests were refused.
    """
    quarantine = Quarantine()
    for start in ("e1", "e2", "e3"):
        quarantine.add_suspect(1, start, b"sound")
    assert not quarantine.remaining_s(1, b"sound")


def test_request_is_held_while_a_second_crash_is_undecided():
    quarantine = Quarantine()
    crash(quarantine, 1, "e1", b"poison")
    quarantine.add_suspect(2, "e2", b"poison")
    assert 0 < quarantine.remaining_s(2, b"poison") < 2
    quarantine.on_alive("e2")
    assert not quarantine.remaining_s(2, b"poison")


def test_repeated_exchange_does_not_extend_the_quarantine():
    first, second = Quarantine(), Quarantine()
    for number, start in enumerate(("e1", "e2")):
        crash(first, number, start, b"poison")
    for step in range(1, 400):
        now = 2.0 * step
        for source, target in ((first, second), (second, first)):
            target.receive(now + 0.5, source.records(now, 10, 9))
    assert not first.quarantined(QUARANTINE_S + 2)
    assert not second.quarantined(QUARANTINE_S + 2)


def test_records_are_bounded_and_quarantined_ones_evicted_last():
    quarantine = Quarantine()
    for start in ("e1", "e2"):
        crash(quarantine, 1, start, b"poison")
    for number in range(2 * MAX_RECORDS):
        crash(quarantine, 2 + number / 1000, f"s{number}", b"%d" % number)
    assert len(list(quarantine.records(5, 100, 10**6))) <= MAX_RECORDS
    assert quarantine.remaining_s(5, b"poison")


def record_of(number, now):
    """Return a record of one crash at the time ``number`` / 100."""
    fingerprint = fingerprint_of(b"%d" % number)
    age_s = now - number / 100
    return CrashRecord(fingerprint, (f"e{number}",), (), age_s)


def test_evicted_records_do_not_come_back_from_other_hosts(monkeypatch):
    """After many crashes each host had more records than fit. It evicted those that
    others went on sending, added them again, and searched all records for each."""
    searched = []
    is_quarantined = Quarantine._is_quarantined

    def count(self, now, fingerprint):
        searched.append(fingerprint)
        return is_quarantined(self, now, fingerprint)

    monkeypatch.setattr(Quarantine, "_is_quarantined", count)
    quarantine, now = Quarantine(), 50.0
    records = [record_of(number, now) for number in range(2 * MAX_RECORDS)]
    for _ in range(3):
        quarantine.receive(now, records)
    assert len(searched) <= 40 * len(records)
    kept = list(quarantine.records(now, 600.0, 2 * MAX_RECORDS))
    assert MAX_RECORDS - EVICTED_RECORDS <= len(kept) <= MAX_RECORDS
    newest = {record.fingerprint for record in records[-len(kept) :]}
    assert {record.fingerprint for record in kept} == newest
    now += 20.0
    quarantine.receive(now, [record_of(n, now) for n in range(2 * MAX_RECORDS)])
    assert not list(quarantine.records(now, 10.0, 2 * MAX_RECORDS))


def test_evidence_against_an_evicted_request_is_accepted():
    """A request that crashed endpoints again since is no old record."""
    quarantine, now = Quarantine(), 50.0
    quarantine.receive(now, [record_of(n, now) for n in range(2 * MAX_RECORDS)])
    poison = record_of(0, now)
    assert not quarantine.receive(now, [poison])
    assert not quarantine.record(now, poison.fingerprint)
    again = replace(poison, crashed=("e0", "e9"))
    assert quarantine.receive(now, [again]) == (poison.fingerprint,)


class Fleet(RuleBasedStateMachine):
    """Hosts that see crashes and answers and exchange records in any order."""

    def __init__(self):
        super().__init__()
        self.hosts = [Quarantine() for _ in range(3)]
        self.messages = []
        self.now = 0.0
        self.crashes, self.answers = set(), 0
        self.starts = 0

    def _send_records(self, host):
        records = self.hosts[host].records(self.now, 1e9, 99)
        self.messages.append(tuple(records))

    @rule(host=st.integers(0, 2), fingerprint=st.sampled_from([b"p", b"q"]))
    def crash(self, host, fingerprint):
        self.starts += 1
        crash(self.hosts[host], self.now, f"e{self.starts}", fingerprint)
        self.crashes.add((f"e{self.starts}", fingerprint))
        self._send_records(host)

    @rule(host=st.integers(0, 2), fingerprint=st.sampled_from([b"q", b"r"]))
    def succeed(self, host, fingerprint):
        self.hosts[host].on_success(self.now, fingerprint)
        self._send_records(host)

    @rule(host=st.integers(0, 2), data=st.data())
    def receive_records(self, host, data):
        if self.messages:
            self.hosts[host].receive(
                self.now, data.draw(st.sampled_from(self.messages))
            )

    @rule(host=st.integers(0, 2))
    def restart(self, host):
        self.hosts[host] = Quarantine()

    @rule()
    def wait(self):
        self.now += CLEARANCE_S + 1

    @invariant()
    def quarantines_only_after_two_crashes(self):
        for host in self.hosts:
            for fingerprint in host.quarantined(self.now):
                starts = {s for s, found in self.crashes if found == fingerprint}
                assert len(starts) >= 2

    @invariant()
    def hosts_agree_after_receiving_all_messages(self):
        ends = [Quarantine() for _ in range(2)]
        for end, order in zip(ends, (1, -1), strict=True):
            for message in self.messages[::order] * 2:
                end.receive(self.now, message)
        assert set(ends[0].quarantined(self.now)) == set(ends[1].quarantined(self.now))
        if sum(found == b"p" for _, found in self.crashes) >= 2:
            assert b"p" in ends[0].quarantined(self.now)


TestFleet = Fleet.TestCase


class WatchHarness:
    """Fakes for the timers, reachability checks, sender and log of one watch."""

    now = 5.0

    def __init__(self, *reach):
        self.reach, self.checked = list(reach), []
        self.lines, self.sent, self.held_back = [], [], []
        self.quarantine = Quarantine()
        self.crashed_starts = []
        self.watch = CrashWatch(
            self.quarantine,
            self,
            self,
            self,
            self,
            self.held_back.append,
            on_crashed=self.crashed_starts.append,
        )

    def after(self, _delay_s, call):
        call()

    def check(self, address, on_done):
        self.checked.append(address)
        on_done(self.reach.pop(0))

    def send_crashes(self, records, most):
        self.sent.append((records, most))

    def record_crash(self, endpoint, requests):
        self.lines.append(("crashed", endpoint.id, len(requests)))

    def record_quarantine(self, fingerprint, source, for_s):
        assert for_s > 0
        self.lines.append(("held", fingerprint, source))

    def record_clearance(self, fingerprint):
        self.lines.append(("cleared", fingerprint))


def test_crash_is_detected_if_the_listener_closes_late():
    """The listener of a crashed process may stay open for a while.

    On a busy machine the first check came too early, the crash went unnoticed, and the
    request took down further endpoints.
    """
    harness = WatchHarness(
        ConnectResult.ACCEPTED, ConnectResult.ACCEPTED, ConnectResult.REFUSED
    )
    harness.watch.on_cut(endpoint("e1"), RequestIdentity(b"poison"))
    assert harness.lines == [("crashed", "e1", 1)]


def test_crash_is_detected_behind_a_listening_proxy():
    closed = [ConnectResult.CLOSED] * len(CHECK_DELAYS_S)
    harness = WatchHarness(
        *closed, ConnectResult.CLOSED, ConnectResult.ACCEPTED, ConnectResult.ACCEPTED
    )
    harness.watch.on_cut(endpoint("e1"), RequestIdentity(b"poison"))
    assert harness.lines == [("crashed", "e1", 1)]
    harness.watch.on_cut(endpoint("e2"), RequestIdentity(b"poison"))
    assert len(harness.lines) == 1, "a momentary overload of connections is no crash"


def test_cut_counts_as_a_crash_only_if_connections_are_refused():
    """Running endpoints and broken links reset connections as well."""
    alive = [ConnectResult.ACCEPTED] * len(CHECK_DELAYS_S)
    unknown = [ConnectResult.UNKNOWN] * len(CHECK_DELAYS_S)
    harness = WatchHarness(
        *alive, *unknown, ConnectResult.REFUSED, ConnectResult.REFUSED
    )
    for name in ("e1", "e2", "e3", "e4"):
        assert not harness.held_back
        harness.watch.on_cut(endpoint(name), RequestIdentity(b"poison"))
    assert harness.lines == [
        ("crashed", "e3", 1),
        ("crashed", "e4", 1),
        ("held", b"poison", "crash"),
    ]
    assert harness.held_back == [frozenset([b"poison"])]
    assert [most for _, most in harness.sent] == [None] * 4


def test_crashes_on_two_hosts_quarantine_on_both():
    first, second = (
        WatchHarness(ConnectResult.REFUSED),
        WatchHarness(ConnectResult.REFUSED),
    )
    first.watch.on_cut(endpoint("e1"), RequestIdentity(b"poison"))
    second.watch.receive(first.sent[-1][0])
    second.watch.on_cut(endpoint("e2"), RequestIdentity(b"poison"))
    first.watch.receive(second.sent[-1][0])
    assert first.held_back == second.held_back == [frozenset([b"poison"])]
    assert first.lines[-1] == ("held", b"poison", "peer")


def test_crash_is_reported_once_to_the_parts_that_depend_on_it_on_each_host():
    """Other hosts went on expecting the prompt parts that the engine had cached."""
    first, second = WatchHarness(ConnectResult.REFUSED), WatchHarness()
    first.watch.on_cut(endpoint("e1", born=5), RequestIdentity(b"one", (b"two",)))
    for _ in range(3):
        second.watch.receive(first.sent[-1][0])
    first.watch.receive(first.sent[-1][0])
    assert first.crashed_starts == second.crashed_starts == ["e1 5"]


def test_old_crash_of_another_host_is_not_reported():
    """The endpoint may have come back as the same start since."""
    harness = WatchHarness()
    record = CrashRecord(b"one", ("e1 5", "e2"), (), 0.0, (9.0, 0.0))
    harness.watch.receive([record])
    assert harness.crashed_starts == ["e2"]


class WatchingRouter:
    """Crash watch of one router, for which every checked endpoint has crashed."""

    def __init__(self, router):
        self.router = router
        self.quarantine = Quarantine()
        self.watch = CrashWatch(
            self.quarantine, router, self, router.exchange, self, lambda _held: None
        )
        router.on_crash_report = lambda report: self.watch.receive(report.records)
        self.watch.start()

    def check(self, address, on_done):
        on_done(ConnectResult.REFUSED)

    def record_crash(self, endpoint, requests):
        pass

    def record_quarantine(self, fingerprint, source, for_s):
        pass

    @property
    def has_quarantined(self):
        return self.quarantine.quarantined(self.router.now) == [FINGERPRINT]


@pytest.mark.parametrize(("size", "zones"), [(9, 3), (60, 4)])
def test_crashes_reach_all_routers_and_late_starters(monkeypatch, size, zones):
    """Crash records must reach all routers at a datagram loss of 20 %."""
    network, routers = fleet(monkeypatch, size, zones, loss=0.2)
    watching = [WatchingRouter(router) for router in routers]
    network.run(8)
    for number in range(2):
        watching[number].watch.on_cut(
            endpoint(f"e{number}"), RequestIdentity(FINGERPRINT)
        )
    network.run(3)
    assert all(one.has_quarantined for one in watching)
    routers[1].stop()
    late = RouterStub(network, 1, "z1", [routers[0].address], boot=2)
    watching[1] = WatchingRouter(late)
    late.exchange.start()
    network.run(5)
    assert watching[1].has_quarantined


def test_expired_crash_record_is_ignored():
    quarantine = Quarantine()
    old = CrashRecord(b"poison", ("e1", "e2"), (), QUARANTINE_S)
    assert not quarantine.receive(5, [old])
    assert not quarantine
