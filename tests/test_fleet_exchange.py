"""Aggregates over a fleet of routers, on a simulated network and clock.

Usage in a report decays while the report is in transit; ``USAGE_DECAY_S`` is infinite
here so that the expected aggregates are exact.
"""

from collections import Counter
from dataclasses import replace
from heapq import heappop, heappush
from itertools import count
from math import inf
from zlib import crc32

import pytest

from greengageflow.core.endpoint_load import LoadShare
from greengageflow.core.fleet_sums import FleetTotals, SumReport, merge
from greengageflow.core.keyed_record import KeyedRecord
from greengageflow.core.peer_report import LoadNotice, PeerReport, PeerTable
from greengageflow.core.relay_sums import RelayAggregator
from greengageflow.core.router_table import Hello, RouterTable
from greengageflow.core.store_duty import (
    READER_ZONES,
    StoreRole,
    peer_config_state,
    peer_list_state,
)
from greengageflow.core.store_updates import StoreTopic, StoreUpdate
from greengageflow.core.sum_table import SumOutcome, SumTable
from greengageflow.core.tick_echo import ClockTick
from greengageflow.daemon import fleet_exchange
from greengageflow.daemon.fleet_exchange import READER_DELAY_S, FleetExchange
from greengageflow.net.report_codec import decode
from greengageflow.net.tick_codec import split_stamp


class Network:
    """Simulated network and clock; datagram loss does not depend on event order."""

    def __init__(self, loss=0.0):
        self.now = 0.0
        self.loss = loss
        self.routers = {}
        self.sent, self.received = Counter(), Counter()
        self.sent_bytes, self.received_bytes = Counter(), Counter()
        self._heap, self._order, self._pairs = [], count(), Counter()
        self.detours = {}
        self.asleep_until = {}

    def at(self, when, call):
        heappush(self._heap, (when, next(self._order), call))

    def run(self, seconds, check=lambda: None):
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call = heappop(self._heap)
            call()
            check()
        self.now = end

    def transmit(self, source, target, data):
        self.sent[source] += 1
        self.sent_bytes[source] += len(data)
        self._pairs[source, target] += 1
        chance = crc32(f"{source} {target} {self._pairs[source, target]}".encode())
        if chance % 1000 >= 1000 * self.loss:
            delay_s = 0.0005 + chance % 997 * 1e-6
            for extra_s in self.detours.get(target, lambda _chance: [0.0])(chance):
                at = self.now + delay_s + extra_s
                self.at(at, lambda: self._deliver(target, data))

    def _deliver(self, target, data):
        if self.now < (wakes_at := self.asleep_until.get(target, -inf)):
            self.at(wakes_at, lambda: self._deliver(target, data))
        elif router := self.routers.get(target):
            self.received[target] += 1
            self.received_bytes[target] += len(data)
            router.receive(data)

    def reset_counters(self):
        for counter in (self.sent, self.received, self.sent_bytes, self.received_bytes):
            counter.clear()


class RouterStub:
    """Timer service, link and listener of one exchange."""

    def __init__(self, network, index, zone, seeds, boot=1):
        self.network = network
        self.address = (f"127.0.{index // 200}.{index % 200 + 1}", 7000)
        self.hello = Hello(
            host=f"r{index:03}", boot=boot, ip=self.address[0], port=7000, zone=zone
        )
        self.served = {("model", "a"): 100.0 + index, ("model", f"b{index % 3}"): 7.0}
        self.offered = {key: 2 * served for key, served in self.served.items()}
        self.load_shares = {
            f"e{index % 5}": LoadShare(1 + index % 4, 10.0 * index, 5.0)
        }
        self.totals, self.seen_loads, self.seen_placements = FleetTotals(), {}, set()
        self.confirmed_until = -inf
        self.clock_offset_s = 1000.0 * index
        self.updates, self.crashes, self.leaving, self.evacuations = [], [], [], []
        self.exchange = FleetExchange(self.hello, self, self, seeds, self, self.clock)
        network.routers[self.address] = self

    @property
    def now(self):
        return self.network.now

    def clock(self):
        return self.now + self.clock_offset_s

    def after(self, delay_s, call):
        def run():
            if self.network.routers.get(self.address) is not self:
                return
            wakes_at = self.network.asleep_until.get(self.address, -inf)
            if self.now < wakes_at:
                self.network.at(wakes_at, run)
            else:
                call()

        self.network.at(self.now + delay_s, run)

    def every(self, interval_s, call):
        self.after(interval_s, lambda: (call(), self.every(interval_s, call)))

    def receive_pending(self):
        """Messages are handled when they arrive."""

    def start(self):
        pass

    def receive(self, data):
        self.exchange.receive(data)

    def send(self, address, data):
        self.network.transmit(self.address, address, data)

    def report(self, number, sequence):
        return PeerReport(
            host=self.hello.host,
            boot=self.hello.boot,
            number=number,
            sequence=sequence,
            ip=self.hello.ip,
            port=self.hello.port,
            zone=self.hello.zone,
            config_age_s=max(0.0, self.now - self.confirmed_until),
            list_age_s=max(0.0, self.now - self.confirmed_until),
            served=self.served,
            offered=self.offered,
            loads=self.load_shares,
        )

    def loads(self):
        return self.load_shares

    def recent_placements(self):
        return ()

    def on_placements(self, placed):
        self.seen_placements.update(placed)

    def on_loads(self, loads):
        self.seen_loads = loads

    def on_totals(self, totals):
        self.totals, self.seen_loads = totals, totals.loads

    def on_store_update(self, update):
        self.updates.append(update)
        if self.updates.count(update) == 1:
            self.exchange.forward_update(update, is_own=False)

    def on_crash_report(self, report):
        self.crashes.append(report)

    def on_leaving_report(self, report):
        self.leaving.append(report)

    def on_evacuation_report(self, report):
        self.evacuations.append(report)

    def stop(self):
        del self.network.routers[self.address]


def fleet(monkeypatch, size, zones, loss=0.0):
    monkeypatch.setattr(fleet_exchange, "USAGE_DECAY_S", inf)
    network = Network(loss)
    seeds = [(f"127.0.0.{index + 1}", 7000) for index in range(2)]
    routers = [
        RouterStub(network, index, f"z{index % zones}", seeds) for index in range(size)
    ]
    for index, router in enumerate(routers):
        network.at(index * 0.0031, router.exchange.start)
    return network, routers


def nonzero(sums):
    return {key: round(value, 3) for key, value in sums.items() if value > 1e-3}


def busy(loads):
    return {name: load for name, load in loads.items() if load.running}


def find_wrong_routers(routers):
    """Yield the routers whose totals differ from the sum of all other routers."""
    for router in routers:
        others = merge(
            FleetTotals(other.served, other.offered, other.load_shares, 1)
            for other in routers
            if other is not router
        )
        seen = router.totals
        right = (
            seen.hosts == others.hosts
            and nonzero(seen.served) == nonzero(others.served)
            and nonzero(seen.offered) == nonzero(others.offered)
            and busy(router.seen_loads) == busy(others.loads)
        )
        if not right:
            yield router.hello.host


FLEETS = pytest.mark.parametrize(("size", "zones"), [(9, 3), (60, 4)])


@FLEETS
@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_each_router_gets_exact_totals_of_all_others(monkeypatch, size, zones, loss):
    """Routers that disagree on the relays, for example after missing a few of their
    hellos, report to the wrong ones, and totals lose a router from time to time."""
    network, routers = fleet(monkeypatch, size, zones, loss)
    most = []
    for _ in range(20 if not loss else 32):
        network.run(0.5)
        most.append(max(router.totals.hosts for router in routers))
    assert max(most) == size - 1, "no router is counted twice while the fleet starts"
    for _ in range(20 if not loss else 1):
        network.run(0.3)
        assert not list(find_wrong_routers(routers))
    for router in routers[::2]:
        router.load_shares = {
            "e1": LoadShare(9, 3.0, 4.0),
            "e7": LoadShare(1, 0.0, 1.0),
        }
    network.run(1 if not loss else 3)
    assert not list(find_wrong_routers(routers))


@pytest.mark.parametrize("dead_relays", [1, 2])
def test_failed_relays_are_replaced(monkeypatch, dead_relays):
    """A router without totals acts as the only one and starts as many requests as the
    whole fleet may. Members must get the second relay's totals before those of the
    first expire. If both die at once, the zone has no totals for a while."""
    network, routers = fleet(monkeypatch, 60, 4)
    network.run(10)
    for index in range(dead_relays):
        routers[4 * index].stop()
    survivors = [router for router in routers if router.address in network.routers]
    lowest_counts = []
    for _ in range(80 if dead_relays == 1 else 240):
        network.run(0.05)
        lowest_counts.append(min(router.totals.hosts for router in survivors))
    assert not list(find_wrong_routers(survivors))
    assert dead_relays == 2 or min(lowest_counts) >= 58


def test_relays_that_fail_together_are_replaced_before_their_timeout(monkeypatch):
    """The time-out after which a router without hellos counts as dead grows with the
    fleet. If the zone waited for it, its members would act as the only routers."""
    network, routers = fleet(monkeypatch, 100, 4)
    network.run(10)
    for index in (0, 4):
        routers[index].stop()
    survivors = [router for router in routers if router.address in network.routers]
    network.run(3.0)
    assert not list(find_wrong_routers(survivors))
    assert all(router.exchange.hosts >= 97 for router in survivors)


@pytest.mark.parametrize("size", [30, 60])
def test_traffic_of_a_router_is_bounded(monkeypatch, size):
    """All limits are per second. A member's do not depend on the fleet's size, a
    relay's grow with its zone, and a seed also receives hellos of all routers."""
    network, routers = fleet(monkeypatch, size, 4)
    network.run(10)
    network.reset_counters()
    for turn in range(40):
        for router in routers:
            router.load_shares = {
                f"e{turn % 5}": LoadShare(1 + turn % 3, 100.0 * turn, 9.0)
            }
        network.run(0.05)
    counters = (
        network.sent,
        network.received,
        network.sent_bytes,
        network.received_bytes,
    )
    zone = size / 4

    def most(some_routers):
        return [max(c[r.address] for r in some_routers) / 2 for c in counters]

    sent, received, sent_bytes, received_bytes = most(routers[8:])
    assert sent <= 75 and received <= 60
    assert sent_bytes <= 6000 and received_bytes <= 6000
    sent, received, sent_bytes, received_bytes = most(routers[2:8])
    assert sent <= 140 + 10 * zone and received <= 110 + 15 * zone
    assert sent_bytes <= 110 * (140 + 10 * zone)
    assert received_bytes <= 60 * (110 + 15 * zone)
    assert most(routers[:2])[1] <= 110 + 15 * zone + 1.5 * size


def test_late_and_duplicate_messages_are_ignored():
    """Datagrams are reordered; an old one must not overwrite a newer one."""
    report = RouterStub(Network(), 1, "z", ()).report(5, 8)
    old, restarted = replace(report, number=4), replace(report, boot=2, number=1)
    peers = PeerTable("other")
    assert [peers.put(1.0, r) for r in (report, report, old, restarted, report)] == [
        *(True, False, False),
        *(True, False),
    ]
    notice = LoadNotice(host="r001", boot=2, number=1, sequence=9, loads={})
    later, stray = replace(notice, sequence=10), replace(notice, number=2, sequence=11)
    assert [peers.apply_notice(n) for n in (later, notice, later, stray)] == [
        *(True, False),
        *(False, False),
    ]
    assert not PeerTable("r001").put(1.0, report)
    assert [h.report.sequence for h in peers.live(1.1)] == [10] and not peers.count(9.0)
    sums = SumTable()
    head = {"host": "r1", "boot": 1, "zone": "z", "fleet_wide": False}
    first, second = (SumReport(number=n, totals=FleetTotals(), **head) for n in (1, 2))
    new, old = SumOutcome.NEW, SumOutcome.OLD
    assert [sums.put(1.0, s) for s in (second, first, second)] == [new, old, old]
    assert [(s.report, s.at) for s in sums.zone_sums(1.1, "other")] == [(second, 1.0)]
    assert not sums.zone_sums(1.1, "z") and not sums.fleet_sum(1.1)


def test_rounds_continue_after_an_exception(monkeypatch):
    """After an exception in its listener, a router must keep sending reports;
    otherwise its peers drop a running router for good."""
    network, routers = fleet(monkeypatch, 3, 1)

    def fail(totals):
        raise RuntimeError(totals)

    network.run(2)
    routers[1].on_totals = fail
    with pytest.raises(RuntimeError):
        network.run(1)
    del routers[1].on_totals
    network.run(4)
    assert not list(find_wrong_routers(routers))


def roles(routers):
    return Counter(router.exchange.store_role for router in routers)


@pytest.mark.parametrize(("size", "zones"), [(9, 3), (60, 4)])
def test_fleet_has_two_store_readers_and_few_standbys(monkeypatch, size, zones):
    """Load on the store grows with the number of readers, most of all when a whole
    fleet starts."""
    network, routers = fleet(monkeypatch, size, zones)
    network.run(READER_DELAY_S / 2)
    assert roles(routers)[StoreRole.READER] == 0
    network.run(8.0)
    found = roles(routers)
    assert found[StoreRole.READER] == READER_ZONES
    assert found[StoreRole.STANDBY] == 2 * zones - READER_ZONES


def test_partitioned_router_reads_the_store_itself(monkeypatch):
    """A router partitioned from all others must not wait for their updates."""
    network, (router,) = fleet(monkeypatch, 1, 1)
    network.run(READER_DELAY_S + 0.1)
    assert router.exchange.store_role is StoreRole.READER


@pytest.mark.parametrize("role", [StoreRole.READER, StoreRole.STANDBY])
def test_store_update_reaches_each_router_without_looping(monkeypatch, role):
    """The store may refuse all readers while it serves a standby."""
    network, routers = fleet(monkeypatch, 60, 4)
    network.run(8.0)
    record = KeyedRecord("e1", b"{}", 7)
    update = StoreUpdate(topic=StoreTopic.ENDPOINTS, since=0, end=8, records=(record,))
    for reader in [r for r in routers if r.exchange.store_role is role]:
        for router in routers:
            router.updates.clear()
        reader.updates.append(update)
        reader.exchange.forward_update(update, is_own=True)
        network.run(0.5)
        assert {len(router.updates) for router in routers} <= {1, 2}
    member = next(r for r in routers if r.exchange.store_role is StoreRole.MEMBER)
    network.reset_counters()
    member.exchange.forward_update(update, is_own=True)
    assert not network.sent[member.address]


@pytest.mark.parametrize("size", [60, 200])
def test_fleet_started_at_once_discovers_all_routers_soon(monkeypatch, size):
    """After a restart of all hosts, routers that have not discovered each other
    disagree on relays and placers and decide on partial load information."""
    network, routers = fleet(monkeypatch, size, 5)
    network.run(2.0)
    known = sorted(router.exchange.hosts for router in routers)
    assert known[size // 10] >= 0.99 * (size - 1), known


def test_restarted_router_is_discovered_by_all_soon(monkeypatch):
    """It also discovers them all, though it starts with the address of one seed."""
    network, routers = fleet(monkeypatch, 100, 5)
    network.run(12.0)
    routers[50].stop()
    network.run(1.0)
    restarted = RouterStub(network, 50, "z0", [("127.0.0.1", 7000)], boot=2)
    restarted.exchange.start()
    network.run(0.5)
    assert restarted.exchange.hosts == 99
    for router in routers[:50] + routers[51:]:
        boots = {row.host: row.boot for row in router.exchange.routers()}
        assert boots["r050"] == 2


def confirmed_at(router):
    """Return the latest time at which the store's state was confirmed, as a router
    takes it from the reports of its peers."""
    now = router.clock()
    reports = router.exchange.store_states()
    ages_s = (peer_config_state(now, 0, reports).age_s,)
    ages_s += (peer_list_state(now, 0, reports).age_s,)
    assert ages_s[0] == ages_s[1]
    return router.now - ages_s[0]


def delayed(_chance):
    return [3.0]


def reordered(chance):
    return [chance % 31 / 10]


def repeated(chance):
    return [0.0, 0.5 + chance % 31 / 10]


def suspended(network, routers):
    network.asleep_until |= {router.address: network.now + 4.0 for router in routers}


def briefly_suspended(network, routers):
    for start in range(8):
        until = network.now + 0.5 * start
        network.at(until, lambda: suspended_for(network, routers, 0.45))


def suspended_for(network, routers, seconds):
    for router in routers:
        network.asleep_until[router.address] = network.now + seconds


def detour(way):
    def begin(network, routers):
        network.detours |= {router.address: way for router in routers}

    return begin


DISTURBANCES = pytest.mark.parametrize(
    "begin",
    [
        detour(delayed),
        detour(reordered),
        detour(repeated),
        suspended,
        briefly_suspended,
    ],
    ids=["delayed", "reordered", "repeated", "suspended", "briefly suspended"],
)


@DISTURBANCES
@pytest.mark.parametrize("size", [9, 40])
@pytest.mark.parametrize("hit", [slice(0, 1), slice(0, 2), slice(8, 9)])
def test_no_confirmation_is_dated_later_than_it_was(monkeypatch, size, hit, begin):
    """Reports were dated to their arrival. What a slow network or a suspended process
    had held back passed for fresh, also in the sums of a relay, and hosts that were
    cut off from the store trusted revoked keys."""
    network, routers = fleet(monkeypatch, size, 3)
    last_confirmed_at = 9.0
    for router in routers:
        router.confirmed_until = last_confirmed_at
    network.run(6.0)
    for router in routers:
        assert 5.5 < confirmed_at(router) <= network.now
    begin(network, routers[hit])
    for _ in range(140):
        network.run(0.05)
        for router in routers:
            if network.now >= network.asleep_until.get(router.address, -inf):
                latest = min(last_confirmed_at, network.now)
                assert confirmed_at(router) <= latest + 0.02
    undisturbed = [router for router in routers if router not in routers[hit]]
    assert max(map(confirmed_at, undisturbed[2:])) <= last_confirmed_at + 0.02


def test_restarted_router_takes_no_echo_of_its_predecessor(monkeypatch):
    """An echo of an earlier process's clock says nothing about the new one's. The
    address may be that of another host now, whose clock is behind."""
    network, routers = fleet(monkeypatch, 9, 3)
    for router in routers:
        router.confirmed_until = 6.0
    network.run(6.0)
    network.detours[routers[0].address] = delayed
    network.run(1.0)
    routers[0].stop()
    routers[0] = RouterStub(network, 0, "z0", [routers[1].address], boot=2)
    routers[0].clock_offset_s = -1.0
    routers[0].exchange.start()
    for _ in range(100):
        network.run(0.05)
        assert confirmed_at(routers[0]) <= 6.02


class EarlierRelease(RouterStub):
    """A router of a release without stamps."""

    def send(self, address, data):
        stamp, message = split_stamp(data)
        if not isinstance(decode(message), ClockTick):
            super().send(address, message)

    def receive(self, data):
        if split_stamp(data)[0] is None and not isinstance(decode(data), ClockTick):
            super().receive(data)


@pytest.mark.parametrize("size", [9, 40])
def test_fleet_of_two_releases_gets_exact_totals(monkeypatch, size):
    """During a rolling upgrade routers that know no stamps must understand the others,
    also where one takes the address of a router that knew them."""
    network, routers = fleet(monkeypatch, size, 3)
    seeds = [router.address for router in routers[:2]]
    network.run(6.0)
    for index in range(0, size, 3):
        routers[index].stop()
        routers[index] = EarlierRelease(network, index, "z0", seeds, boot=2)
        routers[index].exchange.start()
    network.run(12.0)
    assert not list(find_wrong_routers(routers))
    for router in routers:
        router.confirmed_until = network.now
    network.run(1.0)
    same_release = [r for r in routers if not isinstance(r, EarlierRelease)]
    assert all(confirmed_at(router) <= network.now for router in same_release)


def test_a_relay_dates_what_it_passes_on():
    """Its sums must confirm to its zone no more than the reports in them prove."""

    def report(host, number, age_s):
        return PeerReport(
            host=host,
            boot=1,
            number=number,
            sequence=number,
            ip="127.0.0.1",
            port=7000,
            zone="z",
            config_age_s=age_s,
        )

    own = Hello(host="r0", boot=1, ip="127.0.0.1", port=7000, zone="z")
    peers, clock = PeerTable("r0"), iter([101.1, 101.3, 101.5])
    relay = RelayAggregator(own, RouterTable(own), peers, 2.0, lambda: next(clock))
    peers.put(1.0, report("r1", 1, 0.1), sent_after=100.9)
    in_time, _ = relay.next_messages(1.1, report("r0", 1, 9.0), 1)
    peers.put(1.2, report("r1", 2, 0.1))
    unproven, _ = relay.next_messages(1.3, report("r0", 2, 9.2), 2)
    peers.put(1.4, report("r1", 3, 0.1), sent_after=98.0)
    delayed, _ = relay.next_messages(1.5, report("r0", 3, 9.4), 3)
    ages = [round(m.config_age_s, 1) for m in (in_time, unproven, delayed)]
    assert ages == [0.3, 9.2, 3.6]
