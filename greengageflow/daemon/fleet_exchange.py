"""Exchange of load, membership and store state between routers.

In a small fleet each router reports to all others (full mesh). In a larger one it
reports to the relays of its zone, which send back aggregates; see ``core.fleet_sums``.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from random import Random

from greengageflow.core.announcer import Announcer
from greengageflow.core.endpoint_load import LoadShare
from greengageflow.core.evacuation import EvacuationReport
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
from greengageflow.core.start_report import StartTimesReport
from greengageflow.core.store_duty import READER_ZONES, StoreReport, StoreRole
from greengageflow.core.store_updates import StoreUpdate
from greengageflow.core.sum_changes import FullSumRequest, SumDelta
from greengageflow.core.sum_table import SumOutcome
from greengageflow.core.tick_echo import NO_ECHO, ClockTick, Stamp, TickEcho
from greengageflow.core.unproven_starts import (
    UnprovenStartQuery,
    UnprovenStartReport,
)
from greengageflow.core.version_affinity import (
    StreamVersionQuery,
    StreamVersionReport,
)
from greengageflow.core.zone_loads import ZoneLoads
from greengageflow.daemon.exchange_listener import ExchangeListener
from greengageflow.net.gossip_link import GossipLink
from greengageflow.net.report_codec import ReportError, decode, encode
from greengageflow.net.tick_codec import add_stamp, split_stamp
from greengageflow.net.timers import Timers

RELAY_MIN_PEERS = 14
REPORT_INTERVAL_S = 0.25
NOTICE_INTERVAL_S = 0.05
HELLOS_PER_ROUND = 10
ANNOUNCED_PER_TURN = 25
MAX_PEERS_PER_MESSAGE = 8
PEER_TIMEOUT_S = 1.5
ADDRESS_TIMEOUT_S = 10.0
STORE_STATES_CACHE_S = 0.02

READER_DELAY_S = 1.5
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
        clock: Returns the time in seconds, by a clock that includes suspension.
    """

    def __init__(
        self,
        own: Hello,
        link: GossipLink,
        timers: Timers,
        seeds: Iterable[Address],
        listener: ExchangeListener,
        clock: Callable[[], float],
    ) -> None:
        self.stopping = False
        self._own = own
        self._link = link
        self._timers = timers
        self._seeds = set(seeds) - {own.address}
        self._listener = listener
        self._router_table = RouterTable(own)
        self._peer_table = PeerTable(own.host)
        self._relay_aggregator = RelayAggregator(
            own, self._router_table, self._peer_table, USAGE_DECAY_S, clock
        )
        tick_offset = Random(f"{own.host} {own.boot}").getrandbits(32)
        self._tick_echo = TickEcho(clock, tick_offset)
        self._without_tick: set[Address] = set()
        self._mesh_loads = ZoneLoads()
        self._store_states: tuple[float, list[StoreReport]] = (float("-inf"), [])
        self._addresses: dict[Address, float] = {}
        self._started_at = float("inf")
        self._number = 0
        self._sequence = 0
        self._reported_loads: Mapping[str, LoadShare] = {}
        self._loads_changed = False
        self._report_due = False
        self._is_full_sum_requested = False
        self._turns = 0
        self._random = Random(own.host)
        self._ring = HelloRing(self._random)
        self._announcer = Announcer()
        self._hello_cache = HelloCache()

    def start(self) -> None:
        """Start the periodic messages."""
        self._started_at = self._now
        self._link.start()
        self._round()
        self._timers.every(NOTICE_INTERVAL_S, self._on_turn)

    # Membership and state.

    @property
    def _now(self) -> float:
        return self._timers.now

    @property
    def _is_large(self) -> bool:
        return len(self._addresses) >= RELAY_MIN_PEERS

    @property
    def _peer_timeout_s(self) -> float:
        rounds = max(1.0, len(self._addresses) / HELLOS_PER_ROUND)
        return (
            PEER_TIMEOUT_S
            if not self._is_large
            else PEER_TIMEOUT_S + 2.5 * rounds * REPORT_INTERVAL_S
        )

    @property
    def hosts(self) -> int:
        """Number of other live routers."""
        return self._router_table.count(self._now, self._peer_timeout_s)

    @property
    def is_partitioned(self) -> bool:
        """Whether other routers that were alive lately cannot be reached now."""
        return not self.hosts or self.hosts < len(self._addresses)

    def routers(self) -> list[Hello]:
        """Return the live routers that are not stopping, including this one."""
        own = replace(self._own, stopping=self.stopping)
        rows = [*self._router_table.live(self._now, self._peer_timeout_s), own]
        return [row for row in rows if not row.stopping]

    def send_to(
        self,
        to: Address,
        message: PlacementMessage
        | StreamVersionReport
        | StreamVersionQuery
        | UnprovenStartQuery
        | UnprovenStartReport,
    ) -> None:
        """Send one router a message without a delivery guarantee."""
        if isinstance(
            message, PlacementRequest | StreamVersionQuery | UnprovenStartQuery
        ):
            # A request of a caller waits for the answer.
            self._link.batching = False
        self._link.send(to, encode(message))

    def receive_pending(self) -> None:
        """Receive the messages that have arrived."""
        self._link.receive_pending()

    def send_crashes(
        self, records: tuple[CrashRecord, ...], max_peers: int | None
    ) -> None:
        """Send records of requests that crashed endpoints.

        Args:
            records: Crash records.
            max_peers: Maximum number of recipients, drawn at random; None for all.
        """
        self._send(encode(CrashReport(records)), self._sample_addresses(max_peers))

    def send_leaving(self, report: LeavingReport, max_peers: int | None) -> None:
        """Send which endpoints announced that they leave, to ``max_peers`` peers."""
        self._send(encode(report), self._sample_addresses(max_peers))

    def send_start_times(self, report: StartTimesReport, max_peers: int | None) -> None:
        """Send that endpoints state start times to ``max_peers`` peers."""
        self._send(encode(report), self._sample_addresses(max_peers))

    def send_evacuations(self, report: EvacuationReport, max_peers: int | None) -> None:
        """Send which zones are evacuated to ``max_peers`` peers."""
        self._send(encode(report), self._sample_addresses(max_peers))

    def _sample_addresses(self, max_peers: int | None) -> set[Address]:
        addresses = self._all_addresses()
        if max_peers is None:
            return addresses
        return set(
            self._random.sample(sorted(addresses), min(max_peers, len(addresses)))
        )

    def forward_update(self, update: StoreUpdate, is_own: bool) -> None:
        """Send peers what was read from the platform's store.

        Args:
            update: What was read.
            is_own: Whether this router read it; otherwise a peer did.
        """
        if is_own and self.store_role is not StoreRole.MEMBER:
            # A standby forwards it too: the store may refuse all readers.
            self._send(encode(update), self._zone_peers() | self._other_relays())
        elif not is_own and self._relays_to_zone:
            self._send(encode(update), self._zone_peers())

    @property
    def _relays_to_zone(self) -> bool:
        now, peer_timeout_s = self._now, self._peer_timeout_s
        is_acting_relay = self._is_large and self._relay_aggregator.is_relay(
            now, peer_timeout_s
        )
        return is_acting_relay or self._leads_zone

    @property
    def _leads_zone(self) -> bool:
        relays = self._router_table.relays(self._now, self._peer_timeout_s)
        zone_relays = relays.get(self._own.zone)
        return not zone_relays or zone_relays[0].host == self._own.host

    @property
    def store_role(self) -> StoreRole:
        """Role of this router in reading the platform's store.

        Routers need not agree on it. If their views differ for a while, there is an
        extra reader, or no reader until the routers notice that their state is stale
        (``store_duty.STALE_INTERVALS``).
        """
        if self._now - self._started_at < READER_DELAY_S:
            return StoreRole.MEMBER
        relays = self._router_table.relays(self._now, self._peer_timeout_s)
        reading = sorted(relays)[:READER_ZONES]
        zone = relays.get(self._own.zone, ())
        if not zone or (self._leads_zone and self._own.zone in reading):
            return StoreRole.READER
        if self._own.host in (row.host for row in zone):
            return StoreRole.STANDBY
        return StoreRole.MEMBER

    def store_states(self) -> list[StoreReport]:
        """Return the store state that other routers reported."""
        now = self._now
        at, store_states = self._store_states
        if now - at > STORE_STATES_CACHE_S:
            store_states = list(map(store_state_of, self._peer_table.live(now)))
            store_states += self._relay_aggregator.store_states(now)
            self._store_states = now, store_states
        return store_states

    def distrust_reports(self) -> None:
        """Take no report as a recent confirmation until ``trust_new_reports``."""
        self._set_proven_since(float("inf"))

    @property
    def distrusts_reports(self) -> bool:
        """Whether no report counts as a recent confirmation."""
        return self._relay_aggregator.proven_since == float("inf")

    def trust_new_reports(self) -> None:
        """Take the reports that are received from now on as confirmations again."""
        self._set_proven_since(self._now)

    def _set_proven_since(self, at: float) -> None:
        self._relay_aggregator.proven_since = at
        self._store_states = (float("-inf"), [])

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
        stamp, data = split_stamp(data)
        try:
            message = decode(data)
        except ReportError:
            return
        self._store_states = (float("-inf"), [])
        match message:
            case PeerReport() if self._peer_table.put(
                now, message, self._sent_after(stamp)
            ):
                self._on_stamp(message.address, stamp)
                self._on_hello(now, _hello(message))
            case LoadNotice() if self._peer_table.apply_notice(message):
                self._loads_changed = True
            case SumReport() | SumDelta():
                self._on_sum(now, message, stamp)
                return
            case ClockTick():
                self._tick_echo.receive((message.ip, message.port), message.tick)
                return
            case FullSumRequest():
                self._is_full_sum_requested |= self._relay_aggregator.request_full_sum(
                    now, message.fleet_wide
                )
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
            case StartTimesReport():
                self._listener.on_start_times_report(message)
                return
            case EvacuationReport():
                self._listener.on_evacuation_report(message)
                return
            case StreamVersionReport():
                self._listener.on_version_report(message)
                return
            case StreamVersionQuery():
                self._listener.on_version_query(message)
                return
            case UnprovenStartQuery():
                self._listener.on_start_query(message)
                return
            case UnprovenStartReport():
                self._listener.on_start_report(message)
                return
            case (
                PlacementRequest()
                | PlacementAnswer()
                | PlacementEvent()
                | PlacementSnapshot()
            ):
                self._listener.on_placement_message(message)
                return
            case _:
                return
        self._listener.on_placements(message.placed)

    def _sent_after(self, stamp: Stamp | None) -> float:
        return self._tick_echo.sent_after(NO_ECHO if stamp is None else stamp.echo)

    def _on_stamp(self, sender: Address, stamp: Stamp | None) -> None:
        if stamp is None:
            # An earlier release that replaced the sender's may not know stamps.
            self._tick_echo.forget(sender)
        else:
            self._tick_echo.receive(sender, stamp.tick)

    def _on_sum(
        self, now: float, message: SumReport | SumDelta, stamp: Stamp | None
    ) -> None:
        # Each round sends hellos to a few routers only, so one may be missed for a
        # while. A router that dropped the first relay for that would report to others,
        # and the first relay's sums would lack that router.
        self._router_table.touch(now, message.host, message.boot)
        sums = self._relay_aggregator.sums
        match sums.put(now, message, self._sent_after(stamp)):
            case SumOutcome.NEW:
                for address in self._router_table.addresses(message.host):
                    self._on_stamp(address, stamp)
                self._loads_changed = True
                self._listener.on_placements(
                    sums.placed(message.host, message.fleet_wide)
                )
            case SumOutcome.MISSED:
                data = encode(FullSumRequest(fleet_wide=message.fleet_wide))
                self._send(data, self._router_table.addresses(message.host))

    def _on_hello(self, now: float, hello: Hello) -> None:
        if hello.host == self._own.host:
            return
        if self._router_table.put(now, hello):
            self._announcer.on_start(now, hello.address)
        self._addresses[hello.address] = now
        self.add_addresses(hello.peers)

    # Sent messages.

    def schedule_report(self) -> None:
        """Send a full report at the next turn, for urgent changes."""
        self._report_due = True

    def _on_turn(self) -> None:
        # Timers are called before sockets are read. Without this, a late event loop
        # would find that all sums of the fleet have expired.
        self._link.receive_pending()
        self._turns += 1
        announced = self._announcer.next_batch(self._now, ANNOUNCED_PER_TURN)
        self._send_hello(announced, self._sample_peers() if announced else ())
        if self._report_due:
            self._report_due = False
            self._send_report()
        if not self._is_large:
            self._publish_loads()
            self._send_notice(self._all_addresses())
        elif self._turns % relay_turns(len(self._addresses)) == 0:
            self._is_full_sum_requested = False
            self._relay_aggregator.drop_silent_relays(self._now, self._peer_timeout_s)
            self._send_sums()
            self._publish_loads()
            # The second relay needs notices only while it replaces the first.
            is_missed = self._relay_aggregator.is_fleet_sum_overdue(self._now)
            self._send_notice(self._own_relays(RELAYS_PER_ZONE if is_missed else 1))
        elif self._is_full_sum_requested:
            self._is_full_sum_requested = False
            self._send_sums()

    def _publish_loads(self) -> None:
        if self._loads_changed:
            self._loads_changed = False
            if self._is_large:
                loads = self._relay_aggregator.peer_loads(
                    self._now, self._peer_timeout_s
                )
                self._listener.on_loads(loads)
            else:
                reports = self._peer_table.live(self._now)
                self._listener.on_loads(self._mesh_loads.update(reports))

    def _send_notice(self, to: Iterable[Address]) -> None:
        loads = self._changed_loads()
        if not loads:
            return
        self._sequence += 1
        self._record_own_totals()
        notice = LoadNotice(
            host=self._own.host,
            boot=self._own.boot,
            number=self._number,
            sequence=self._sequence,
            loads=loads,
            placed=self._listener.recent_placements(),
        )
        self._send(encode(notice), to)

    def _changed_loads(self) -> dict[str, LoadShare]:
        """Return the loads that changed since the last report or notice."""
        loads = self._listener.loads()
        before, self._reported_loads = self._reported_loads, loads
        return {
            name: loads.get(name, LoadShare())
            for name in loads.keys() | before.keys()
            if loads.get(name) != before.get(name)
        }

    def _send_report(self) -> None:
        self._number += 1
        self._sequence += 1
        report = self._listener.report(self._number, self._sequence)
        self._reported_loads = report.loads
        report = replace(report, peers=self._sample_peers())
        self._record_own_totals(report)
        to = self._own_relays() if self._is_large else self._all_addresses()
        self._send_stamped(encode(report), to)

    def _sample_peers(self) -> tuple[Address, ...]:
        addresses = list(self._addresses)
        return tuple(
            self._random.sample(addresses, min(MAX_PEERS_PER_MESSAGE, len(addresses)))
        )

    def _record_own_totals(self, report: PeerReport | None = None) -> None:
        if not self._is_large:
            return
        report = report or self._listener.report(self._number, self._sequence)
        totals = FleetTotals(report.served, report.offered, report.loads, 1)
        self._relay_aggregator.history.record(self._sequence, totals)

    def _all_addresses(self) -> set[Address]:
        return self._seeds | self._addresses.keys()

    def _own_relays(self, max_relays: int = RELAYS_PER_ZONE) -> set[Address]:
        relays = self._router_table.relays(self._now, self._peer_timeout_s)
        zone_relays = relays.get(self._own.zone, ())
        return {row.address for row in zone_relays[:max_relays]} - {self._own.address}

    def _send(self, data: bytes, to: Iterable[Address]) -> None:
        for address in to:
            self._link.send(address, data)

    def _send_stamped(self, data: bytes, to: Iterable[Address]) -> None:
        for address in to:
            if self._tick_echo.has_tick_of(address):
                stamped = add_stamp(self._tick_echo.stamp(address), data)
                self._link.send(address, stamped)
            else:
                self._without_tick.add(address)
                self._link.send(address, data)

    def _send_ticks(self) -> None:
        """Ask the routers that got messages without a stamp for theirs."""
        to, self._without_tick = self._without_tick, set()
        if to:
            own = self._own
            tick = ClockTick(own.ip, own.port, self._tick_echo.tick)
            self._send(encode(tick), to)

    def _hello_targets(self) -> set[Address]:
        to = set(self._ring.next(self._addresses, HELLOS_PER_ROUND))
        # One seed per round: with all seeds in each round, a seed got a hello from
        # every router of the fleet four times per second.
        seeds = sorted(self._seeds)
        if seeds:
            to.add(seeds[self._number % len(seeds)])
        return to

    def _send_hello(self, to: Iterable[Address], peers: tuple[Address, ...]) -> None:
        if to:
            own = replace(self._own, stopping=self.stopping, peers=peers)
            self._send(encode(own), to)

    def _round(self) -> None:
        # Scheduled first: otherwise an exception in one round ends all later rounds,
        # and peers drop a live router.
        self._timers.after(
            REPORT_INTERVAL_S * self._random.uniform(0.9, 1.1), self._round
        )
        now = self._now
        # An address from peers that never answered belongs to a dead host.
        address_timeout_s = max(ADDRESS_TIMEOUT_S, 2 * self._peer_timeout_s)
        for address, at in list(self._addresses.items()):
            if now - at > address_timeout_s:
                del self._addresses[address]
                self._announcer.remove(address)
                self._tick_echo.forget(address)
        self._send_report()
        self._send_ticks()
        if self._is_large:
            # Addresses are sent by the announcer and in reports. Without them these
            # hellos stay identical, so that receivers can cache the decoded message.
            self._send_hello(self._hello_targets(), ())
        self._listener.on_totals(self._peer_totals())

    # Aggregates.

    def _peer_totals(self) -> FleetTotals:
        """Return the totals of all other routers."""
        now = self._now
        if not self._is_large:
            return sum_reports(now, self._peer_table.live(now), USAGE_DECAY_S)
        return self._relay_aggregator.peer_totals(now, self._peer_timeout_s)

    def _send_sums(self) -> None:
        now, peer_timeout_s = self._now, self._peer_timeout_s
        if not self._relay_aggregator.is_relay(now, peer_timeout_s):
            return
        own = self._listener.report(self._number, self._sequence)
        zone_sum, fleet_sum = self._relay_aggregator.next_messages(
            now, own, self._turns
        )
        self._send_stamped(encode(zone_sum), self._other_relays())
        self._send_stamped(encode(fleet_sum), self._zone_peers())

    def _other_relays(self) -> set[Address]:
        relays = self._router_table.relays(self._now, self._peer_timeout_s).items()
        return {r.address for z, rows in relays if z != self._own.zone for r in rows}

    def _zone_peers(self) -> set[Address]:
        rows = self._router_table.members(self._now, self._peer_timeout_s)
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
