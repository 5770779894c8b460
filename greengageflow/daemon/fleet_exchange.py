"""Exchange of load, membership and store state between routers.

In a small fleet each router reports to all others (full mesh). In a larger one it
reports to the relays of its zone, which send back aggregates; see ``core.fleet_sums``.
"""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from random import Random

from greengageflow.core.announcer import Announcer
from greengageflow.core.endpoint_load import LoadShare
from greengageflow.core.fleet_demand import sum_reports
from greengageflow.core.fleet_sums import FleetTotals, SumReport, relay_turns
from greengageflow.core.hello_cache import HelloCache
from greengageflow.core.hello_ring import HelloRing
from greengageflow.core.leaving_report import LeavingReport
from greengageflow.core.peer_report import LoadNotice, PeerReport, PeerTable
from greengageflow.core.place_messages import (
    PlacementAnswer,
    PlacementEvent,
    PlacementMessage,
    PlacementRequest,
    PlacementSnapshot,
)
from greengageflow.core.quarantine import CrashRecord, CrashReport
from greengageflow.core.relay_sums import RelayAggregator, store_state_of
from greengageflow.core.router_table import RELAYS_PER_ZONE, Hello, RouterTable
from greengageflow.core.service_dispatcher import USAGE_DECAY_S
from greengageflow.core.store_duty import READER_ZONES, StoreReport, StoreRole
from greengageflow.core.store_updates import StoreUpdate
from greengageflow.core.sum_changes import FullSumRequest, SumDelta
from greengageflow.core.sum_table import SumOutcome
from greengageflow.core.zone_loads import ZoneLoads
from greengageflow.daemon.exchange_listener import ExchangeListener
from greengageflow.net.gossip_link import GossipLink
from greengageflow.net.report_codec import ReportError, decode, encode
from greengageflow.net.timers import Timers

MESH_MOST = 14
PERIOD_S = 0.25
NOTICE_S = 0.05
HELLOS_A_ROUND = 10
ANNOUNCED_A_TURN = 25
TOLD_PEERS = 8
QUIET_S = 1.5
FORGET_S = 10.0
SAME_S = 0.02

SETTLE_S = 1.5
"""Seconds after the start in which a router does not become a store reader.

It has discovered few peers by then. When a whole fleet starts, every router would
otherwise read the store.
"""

Address = tuple[str, int]


class FleetExchange:
    """Sends this router's state to its peers and aggregates theirs.

    Args:
        own: This router.
        link: Sends datagrams.
        timers: Timer service.
        seeds: Addresses through which peers are discovered.
        listener: Provides this router's state and receives that of its peers.
    """

    def __init__(
        self,
        own: Hello,
        link: GossipLink,
        timers: Timers,
        seeds: Iterable[Address],
        listener: ExchangeListener,
    ) -> None:
        self.stopping = False
        self._own = own
        self._link = link
        self._timers = timers
        self._seeds = set(seeds) - {own.address}
        self._listener = listener
        self._table = RouterTable(own)
        self._book = PeerTable(own.host)
        self._relayed = RelayAggregator(own, self._table, self._book, USAGE_DECAY_S)
        self._mesh_loads = ZoneLoads()
        self._words: tuple[float, list[StoreReport]] = (float("-inf"), [])
        self._addresses: dict[Address, float] = {}
        self._began = float("inf")
        self._number = 0
        self._sequence = 0
        self._told: Mapping[str, LoadShare] = {}
        self._changed = False
        self._report_due = False
        self._wanted = False
        self._turns = 0
        self._random = Random(own.host)
        self._ring = HelloRing(self._random)
        self._announcer = Announcer()
        self._hello_cache = HelloCache()

    def start(self) -> None:
        """Start the periodic messages."""
        self._began = self._now
        self._link.start()
        self._round()
        self._timers.every(NOTICE_S, self._turn)

    # Membership and state.

    @property
    def _now(self) -> float:
        return self._timers.now

    @property
    def _is_large(self) -> bool:
        return len(self._addresses) >= MESH_MOST

    @property
    def _quiet_s(self) -> float:
        rounds = max(1.0, len(self._addresses) / HELLOS_A_ROUND)
        return QUIET_S if not self._is_large else QUIET_S + 2.5 * rounds * PERIOD_S

    @property
    def hosts(self) -> int:
        """Number of other live routers."""
        return self._table.count(self._now, self._quiet_s)

    def routers(self) -> list[Hello]:
        """Return the live routers that are not stopping, including this one."""
        own = replace(self._own, stopping=self.stopping)
        rows = [*self._table.live(self._now, self._quiet_s), own]
        return [row for row in rows if not row.stopping]

    def send_to(self, to: Address, message: PlacementMessage) -> None:
        """Send one router a message without a delivery guarantee."""
        self._link.send(to, encode(message))

    def send_crashes(self, records: tuple[CrashRecord, ...], most: int | None) -> None:
        """Send records of requests that crashed endpoints.

        Args:
            records: Crash records.
            most: Maximum number of recipients, drawn at random; None for all.
        """
        self._send(encode(CrashReport(records)), self._some(most))

    def send_leaving(self, report: LeavingReport, most: int | None) -> None:
        """Send which endpoints announced that they leave, to at most ``most`` peers."""
        self._send(encode(report), self._some(most))

    def _some(self, most: int | None) -> set[Address]:
        known = self._everybody()
        if most is None:
            return known
        return set(self._random.sample(sorted(known), min(most, len(known))))

    def pass_on(self, update: StoreUpdate, is_own: bool) -> None:
        """Send peers what was read from the platform's store.

        Args:
            update: What was read.
            is_own: Whether this router read it; otherwise a peer did.
        """
        if is_own and self.store_role is not StoreRole.MEMBER:
            # A standby forwards it too: the store may refuse all readers.
            self._send(encode(update), self._zone_mates() | self._other_relays())
        elif not is_own and self._relays_to_zone:
            self._send(encode(update), self._zone_mates())

    @property
    def _relays_to_zone(self) -> bool:
        now, quiet_s = self._now, self._quiet_s
        stands_in = self._is_large and self._relayed.is_relay(now, quiet_s)
        return stands_in or self._leads_zone

    @property
    def _leads_zone(self) -> bool:
        relays = self._table.relays(self._now, self._quiet_s)
        found = relays.get(self._own.zone)
        return not found or found[0].host == self._own.host

    @property
    def store_role(self) -> StoreRole:
        """Role of this router in reading the platform's store.

        Routers need not agree on it. If their views differ for a while, there is an
        extra reader, or no reader until the routers notice that their state is stale
        (``store_duty.STALE_INTERVALS``).
        """
        if self._now - self._began < SETTLE_S:
            return StoreRole.MEMBER
        relays = self._table.relays(self._now, self._quiet_s)
        reading = sorted(relays)[:READER_ZONES]
        zone = relays.get(self._own.zone, ())
        if not zone or (self._leads_zone and self._own.zone in reading):
            return StoreRole.READER
        if self._own.host in (row.host for row in zone):
            return StoreRole.STANDBY
        return StoreRole.MEMBER

    def words(self) -> list[StoreReport]:
        """Return the store state that other routers reported."""
        now = self._now
        at, words = self._words
        if now - at > SAME_S:
            words = [store_state_of(one.report, one.at) for one in self._book.live(now)]
            words += self._relayed.store_states(now)
            self._words = now, words
        return words

    def add_addresses(self, addresses: Iterable[Address]) -> None:
        """Add addresses at which other routers may be."""
        for address in addresses:
            if address != self._own.address and address not in self._addresses:
                self._addresses[address] = self._now
                self._announcer.add([address])

    # Received messages.

    def receive(self, data: bytes) -> None:
        """Handle a datagram."""
        now = self._now
        if (hello := self._hello_cache.get(data)) is not None:
            self._on_hello(now, hello)
            return
        try:
            message = decode(data)
        except ReportError:
            return
        self._words = (float("-inf"), [])
        match message:
            case PeerReport() if self._book.put(now, message):
                self._on_hello(now, _hello(message))
            case LoadNotice() if self._book.apply_notice(message):
                self._changed = True
            case SumReport() | SumDelta():
                self._on_sum(now, message)
                return
            case FullSumRequest():
                self._wanted |= self._relayed.request_full_sum(now, message.fleet_wide)
                return
            case Hello():
                if not message.peers:
                    self._hello_cache.put(data, message)
                self._on_hello(now, message)
                return
            case StoreUpdate():
                self._listener.on_store_update(message)
                return
            case CrashReport():
                self._listener.on_crash_report(message)
                return
            case LeavingReport():
                self._listener.on_leaving_report(message)
                return
            case (
                PlacementRequest()
                | PlacementAnswer()
                | PlacementEvent()
                | PlacementSnapshot()
            ):
                self._listener.on_place_message(message)
                return
            case _:
                return
        self._listener.on_placed(message.placed)

    def _on_sum(self, now: float, message: SumReport | SumDelta) -> None:
        # Each round sends hellos to a few routers only, so one may be missed for a
        # while. A router that dropped the first relay for that would report to others,
        # and the first relay's sums would lack that router.
        self._table.touch(now, message.host, message.boot)
        sums = self._relayed.sums
        match sums.put(now, message):
            case SumOutcome.NEW:
                self._changed = True
                self._listener.on_placed(sums.placed(message.host, message.fleet_wide))
            case SumOutcome.MISSED:
                data = encode(FullSumRequest(fleet_wide=message.fleet_wide))
                self._send(data, self._table.addresses(message.host))

    def _on_hello(self, now: float, hello: Hello) -> None:
        if hello.host == self._own.host:
            return
        if self._table.put(now, hello):
            self._announcer.on_start(now, hello.address)
        self._addresses[hello.address] = now
        self.add_addresses(hello.peers)

    # Sent messages.

    def report_soon(self) -> None:
        """Send a full report at the next turn, for urgent changes."""
        self._report_due = True

    def _turn(self) -> None:
        self._turns += 1
        announced = self._announcer.next_batch(self._now, ANNOUNCED_A_TURN)
        self._say_hello(announced, self._told_peers() if announced else ())
        if self._report_due:
            self._report_due = False
            self._tell()
        if not self._is_large:
            self._on_changed()
            self._notice(self._everybody())
        elif self._turns % relay_turns(len(self._addresses)) == 0:
            self._wanted = False
            self._relayed.drop_silent_relays(self._now, self._quiet_s)
            self._relay()
            self._on_changed()
            # The second relay needs notices only while it replaces the first.
            is_missed = self._relayed.is_fleet_sum_overdue(self._now)
            self._notice(self._own_relays(RELAYS_PER_ZONE if is_missed else 1))
        elif self._wanted:
            self._wanted = False
            self._relay()

    def _on_changed(self) -> None:
        if self._changed:
            self._changed = False
            if self._is_large:
                loads = self._relayed.peer_loads(self._now, self._quiet_s)
                self._listener.on_loads(loads)
            else:
                heard = self._book.live(self._now)
                self._listener.on_loads(self._mesh_loads.update(heard))

    def _notice(self, to: Iterable[Address]) -> None:
        loads = self._changed_loads()
        if not loads:
            return
        self._sequence += 1
        self._note_own()
        notice = LoadNotice(
            host=self._own.host,
            boot=self._own.boot,
            number=self._number,
            sequence=self._sequence,
            loads=loads,
            placed=self._listener.placed(),
        )
        self._send(encode(notice), to)

    def _changed_loads(self) -> dict[str, LoadShare]:
        """Return the loads that changed since the last report or notice."""
        loads = self._listener.loads()
        before, self._told = self._told, loads
        return {
            name: loads.get(name, LoadShare())
            for name in loads.keys() | before.keys()
            if loads.get(name) != before.get(name)
        }

    def _tell(self) -> None:
        self._number += 1
        self._sequence += 1
        report = self._listener.report(self._number, self._sequence)
        self._told = report.loads
        report = replace(report, peers=self._told_peers())
        self._note_own(report)
        to = self._own_relays() if self._is_large else self._everybody()
        self._send(encode(report), to)

    def _told_peers(self) -> tuple[Address, ...]:
        known = list(self._addresses)
        return tuple(self._random.sample(known, min(TOLD_PEERS, len(known))))

    def _note_own(self, report: PeerReport | None = None) -> None:
        if not self._is_large:
            return
        report = report or self._listener.report(self._number, self._sequence)
        totals = FleetTotals(report.served, report.offered, report.loads, 1)
        self._relayed.history.record(self._sequence, totals)

    def _everybody(self) -> set[Address]:
        return self._seeds | self._addresses.keys()

    def _own_relays(self, most: int = RELAYS_PER_ZONE) -> set[Address]:
        relays = self._table.relays(self._now, self._quiet_s)
        found = relays.get(self._own.zone, ())
        return {row.address for row in found[:most]} - {self._own.address}

    def _send(self, data: bytes, to: Iterable[Address]) -> None:
        for address in to:
            self._link.send(address, data)

    def _turns_of_hello(self) -> set[Address]:
        to = set(self._ring.next(self._addresses, HELLOS_A_ROUND))
        # One seed per round: with all seeds in each round, a seed got a hello from
        # every router of the fleet four times per second.
        seeds = sorted(self._seeds)
        if seeds:
            to.add(seeds[self._number % len(seeds)])
        return to

    def _say_hello(self, to: Iterable[Address], peers: tuple[Address, ...]) -> None:
        if to:
            own = replace(self._own, stopping=self.stopping, peers=peers)
            self._send(encode(own), to)

    def _round(self) -> None:
        # Scheduled first: otherwise an exception in one round ends all later rounds,
        # and peers drop a live router.
        self._timers.after(PERIOD_S * self._random.uniform(0.9, 1.1), self._round)
        now = self._now
        # An address from peers that never answered belongs to a dead host.
        forget_s = max(FORGET_S, 2 * self._quiet_s)
        for address, at in list(self._addresses.items()):
            if now - at > forget_s:
                del self._addresses[address]
                self._announcer.remove(address)
        self._tell()
        if self._is_large:
            # Addresses are sent by the announcer and in reports. Without them these
            # hellos stay identical, so that receivers can cache the decoded message.
            self._say_hello(self._turns_of_hello(), ())
        self._listener.on_totals(self._others())

    # Aggregates.

    def _others(self) -> FleetTotals:
        """Return the totals of all other routers."""
        now = self._now
        if not self._is_large:
            return sum_reports(now, self._book.live(now), USAGE_DECAY_S)
        return self._relayed.peer_totals(now, self._quiet_s)

    def _relay(self) -> None:
        now, quiet_s = self._now, self._quiet_s
        if not self._relayed.is_relay(now, quiet_s):
            return
        own = self._listener.report(self._number, self._sequence)
        zone, whole = self._relayed.next_messages(now, own, self._turns)
        self._send(encode(zone), self._other_relays())
        self._send(encode(whole), self._zone_mates())

    def _other_relays(self) -> set[Address]:
        relays = self._table.relays(self._now, self._quiet_s).items()
        return {r.address for z, rows in relays if z != self._own.zone for r in rows}

    def _zone_mates(self) -> set[Address]:
        rows = self._table.members(self._now, self._quiet_s)
        return {row.address for row in rows} - {self._own.address}


def _hello(report: PeerReport) -> Hello:
    return Hello(
        host=report.host,
        boot=report.boot,
        ip=report.ip,
        port=report.port,
        zone=report.zone,
        stopping=report.stopping,
        peers=report.peers,
    )
