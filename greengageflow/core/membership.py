"""Gossip-based membership and failure detection among routers, after SWIM.

In each period a router probes one of its neighbours, in a shuffled round robin. If
there is no ack, it asks a few other routers to probe the neighbour for it. Membership
updates are piggybacked on these messages. The message rate and the number of
connections of a router hardly depend on the size of the fleet.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from random import Random
from types import MappingProxyType
from typing import Any

from greengageflow.core._member_table import (
    DEAD,
    LEFT,
    STOPPING,
    SUSPECT,
    Entry,
    MemberTable,
)
from greengageflow.core._probes import Probe, Probes
from greengageflow.core._ring import Neighbours, neighbours
from greengageflow.core._view_sync import ViewSync
from greengageflow.core.effects import Connect, Disconnect, Send
from greengageflow.core.messages import (
    Ack,
    Member,
    PeerId,
    Ping,
    PingRequest,
    View,
    ViewRequest,
)

# Most queued updates piggybacked on one message.
MAX_PIGGYBACKED_UPDATES = 12
# Routers asked to probe a neighbour that doesn't answer.
INDIRECT_PROBES = 3
# Additional routers pinged per period while updates are queued.
GOSSIP_FANOUT = 2
# Routers pinged when this router leaves.
LEAVE_FANOUT = 6
# Absent hosts probed at a time by a router that has no live peer; others probe one.
ABSENT_FANOUT = 3
# Periods between two probes of absent hosts.
ABSENT_PROBE_PERIODS = 5
TICKS_PER_PERIOD = 4
# Time between two ticks from which this process counts as having been paused.
PAUSE_PERIODS = 2.0
# Time for which two views must differ before the whole view is requested.
SETTLE_PERIODS = 2.0
# Time for which the ack of an indirect probe is passed on.
RELAY_PERIODS = 2.0


@dataclass(frozen=True, slots=True)
class Seed:
    """Peer address at which a router that isn't a member yet may be found.

    Args:
        host: Host name.
        ip: IP address of its peer listener.
        port: TCP port of its peer listener.
    """

    host: str
    ip: str
    port: int


@dataclass(frozen=True, slots=True)
class LiveMember:
    """A router that is considered live.

    Args:
        peer: Host and boot number.
        zone: Availability zone.
        stopping: Whether it is draining: it gets no new ownership, and leaves when
            its work is done.
    """

    peer: PeerId
    zone: str
    stopping: bool


class Membership:
    """One router's view of the fleet.

    Args:
        own: This router's own entry, with its initial ``incarnation`` and ``status``.
        seeds: Routers to contact.
        period_s: Seconds between two probes.
        suspicion_s: Seconds after which a suspect is declared dead.
        seed: Seed of the random number generator.

    Attributes:
        revision: Newest configuration revision of this router, announced to others.
        pauses: Number of detected pauses of this process.
        long_pause: Whether the process paused for so long that others may have
            declared it dead, and its view hasn't been confirmed since.
    """

    def __init__(
        self,
        own: Member,
        seeds: Iterable[Seed] = (),
        *,
        period_s: float = 0.5,
        suspicion_s: float = 3.0,
        seed: int | None = None,
    ) -> None:
        self.revision = 0
        self.pauses = 0
        self.long_pause = False
        self._period_s = period_s
        self._suspicion_s = suspicion_s
        self._table = MemberTable(own, suspicion_s=suspicion_s)
        self._random = Random(seed)
        self._seeds: dict[str, Seed] = {}
        self._addresses: dict[str, tuple[str, int]] = {}
        self._newest_announced = (0, "")
        self._probes = Probes(self._random, relay_s=RELAY_PERIODS * period_s)
        settle_s = SETTLE_PERIODS * period_s
        self._sync = ViewSync(settle_s, suspicion_s + settle_s)
        self._period_count = 0
        self._next_period_at = float("-inf")
        self._last_tick: float | None = None
        self._live_cache: tuple[int, Mapping[str, LiveMember]] | None = None
        self._neighbours_cache: tuple[int, Neighbours] | None = None
        self.set_seeds(seeds)

    @property
    def tick_s(self) -> float:
        """Interval at which ``on_tick`` must be called, in seconds."""
        return self._period_s / TICKS_PER_PERIOD

    @property
    def own(self) -> Member:
        """This router's own entry, with its current ``incarnation`` and ``status``."""
        return self._table.own

    @property
    def newer_boot(self) -> int | None:
        """Higher boot number under which others know this host, or None.

        Either this process is an outdated instance, or its boot number came from a
        clock that had been set back. Others ignore it in both cases.
        """
        return self._table.newer_boot

    @property
    def view_version(self) -> int:
        """Version of ``members``; increases with each change."""
        return self._table.version

    @property
    def members(self) -> Mapping[str, LiveMember]:
        """Live routers by host, including this one until it leaves."""
        if self._live_cache is None or self._live_cache[0] != self._table.version:
            live = {
                e.member.host: _live_member(e) for e in self._table.entries if e.live
            }
            self._live_cache = self._table.version, MappingProxyType(live)
        return self._live_cache[1]

    @property
    def confirmed(self) -> bool:
        """Whether the view can be trusted after a pause of this process.

        A pause makes the view stale. It is confirmed again when a router acks a later
        probe with the same view, or after the time in which this router's own timers
        detect any failures that the others detected during the pause.
        """
        return self._sync.confirmed

    @property
    def suspects(self) -> frozenset[str]:
        """Hosts that are suspected to have failed but not declared dead yet."""
        entries = self._table.entries
        return frozenset(e.member.host for e in entries if e.member.status == SUSPECT)

    def newer_revision_host(self) -> str | None:
        """Return a host that has a newer configuration than this one, or None."""
        revision, host = self._newest_announced
        return host if revision > self.revision else None

    @property
    def newest_revision(self) -> int:
        """Newest configuration revision announced by any router so far."""
        return max(self.revision, self._newest_announced[0])

    def set_seeds(self, seeds: Iterable[Seed]) -> None:
        """Replace the seeds, taken from the settings and the platform's host list."""
        own = self._table.own.host
        self._seeds = {seed.host: seed for seed in seeds if seed.host != own}

    def forget(self, host: str) -> None:
        """Drop a dead host that the platform no longer lists."""
        self._table.forget(host)

    def set_stopping(self) -> None:
        """Announce that this router is draining: still live, but no new ownership."""
        self._table.set_own_status(STOPPING)

    def leave(self, now: float) -> Iterator[Connect | Send]:
        """Announce that this router leaves; call it last."""
        self._table.set_own_status(LEFT)
        for host in self._sample(LEAVE_FANOUT):
            yield from self._ping(host)

    def on_tick(self, now: float) -> Iterator[Connect | Disconnect | Send]:
        """Send probes and expire suspects; call every ``tick_s`` seconds."""
        self.detect_pause(now)
        self._last_tick = now
        for host in self._table.expire(now):
            yield Disconnect(host)
        self._sync.on_tick(now, alone=self._table.live_count == 1)
        if now >= self._next_period_at:
            yield from self._start_period(now)
        elif self._probes.current is not None:
            yield from self._request_indirect_probes(self._probes.current, now)

    def receive(
        self, now: float, sender: PeerId, message: Any
    ) -> Iterator[Connect | Disconnect | Send]:
        """Handle a membership message from another router."""
        self.detect_pause(now)
        if isinstance(message, Ping | Ack):
            yield from self._merge(message.updates, now)
        if not self._is_current(sender):
            return
        match message:
            case Ping():
                yield self._ack(sender.host, message.seq)
                yield from self._compare_views(sender.host, message, now)
            case Ack():
                yield from self._on_ack(message)
                yield from self._compare_views(sender.host, message, now)
            case PingRequest():
                yield from self._on_ping_request(sender.host, message, now)
            case ViewRequest(digest):
                yield from self._send_view(sender.host, digest, now)
            case View():
                self._sync.synced = True
                # The sender has spread its live members already. Gossiping them
                # again would fill a joining router's messages for a minute.
                yield from self._merge(message.members, now, gossip=False)

    def _is_current(self, sender: PeerId) -> bool:
        """Return whether the sender is the known instance of its host, and active."""
        entry = self._table.get(sender.host)
        if entry is None or entry.member.status == LEFT:
            return False
        return entry.member.boot == sender.boot

    def detect_pause(self, now: float) -> None:
        """Detect a pause of this process, and then restart probes and deadlines.

        After a pause all probes and suspicions look overdue, and the router would
        declare the whole fleet dead. The missing acks are still unread in its
        sockets, so it is enough to start the probe and the deadlines again.
        """
        if self._last_tick is None:
            return
        if now - self._last_tick <= PAUSE_PERIODS * self._period_s:
            return
        long = now - self._last_tick >= self._suspicion_s
        self.long_pause = long or (self.long_pause and not self.confirmed)
        self.pauses += 1
        self._last_tick = now
        self._probes.end_current()
        self._sync.on_pause(now, self._probes.next_seq())
        self._table.restart_deadlines(now)

    # Probes.

    def _start_period(self, now: float) -> Iterator[Connect | Send]:
        unanswered = self._probes.end_current()
        if unanswered is not None:
            self._table.suspect(unanswered.host, now)
        self._next_period_at = max(
            self._next_period_at + self._period_s, now + self._period_s - self.tick_s
        )
        self._period_count += 1
        probe = self._probes.begin(self._neighbours().probed, now)
        host = None if probe is None else probe.host
        if probe is not None:
            yield from self._ping(probe.host, probe.seq)
        if self._table.has_updates:
            for other in self._sample(GOSSIP_FANOUT, host):
                yield from self._ping(other)
        yield from self._probe_absent()

    def _probe_absent(self) -> Iterator[Connect | Send]:
        """Probe dead members and seeds periodically, so that partitions heal."""
        alone = self._table.live_count == 1
        if (
            not alone
            and self._sync.synced
            and self._period_count % ABSENT_PROBE_PERIODS
        ):
            return
        absent = self._absent_hosts()
        size = min(ABSENT_FANOUT if alone else 1, len(absent))
        for host in self._random.sample(absent, size):
            yield from self._ping(host)

    def _neighbours(self) -> Neighbours:
        if (
            self._neighbours_cache is None
            or self._neighbours_cache[0] != self._table.version
        ):
            found = neighbours(self.members, self._table.own.host)
            self._neighbours_cache = self._table.version, found
        return self._neighbours_cache[1]

    def _absent_hosts(self) -> list[str]:
        """Return hosts that may have come back; those that left rejoin on their own."""
        # Computed afresh for a random sample each time. Working through a list in
        # turn kept routers probing the hosts of a lost zone for minutes before they
        # reached those of a healed partition.
        hosts = {e.member.host for e in self._table.entries if _is_dead(e)}
        hosts.update(host for host in self._seeds if self._table.get(host) is None)
        return sorted(hosts)

    def _sample(self, size: int, *excluded: str | None) -> list[str]:
        hosts = [host for host in self._neighbours().adjacent if host not in excluded]
        return self._random.sample(hosts, min(size, len(hosts)))

    def _request_indirect_probes(self, probe: Probe, now: float) -> Iterator[Send]:
        if probe.indirect_requested or now - probe.sent_at < self.tick_s:
            return
        probe.indirect_requested = True
        for helper in self._sample(INDIRECT_PROBES, probe.host):
            yield Send(helper, PingRequest(probe.seq, probe.host))

    def _on_ping_request(
        self, requester: str, request: PingRequest, now: float
    ) -> Iterator[Connect | Send]:
        if self._table.get(request.target) is not None:
            seq = self._probes.begin_relay(requester, request.seq, now)
            yield from self._ping(request.target, seq)

    def _on_ack(self, ack: Ack) -> Iterator[Send]:
        relay = self._probes.on_ack(ack.seq)
        if relay is not None:
            yield self._ack(relay.requester, relay.seq)

    # Messages.

    def _ping(self, host: str, seq: int | None = None) -> Iterator[Connect | Send]:
        yield from self._connect(host)
        used_seq = self._probes.next_seq() if seq is None else seq
        updates = self._table.updates_for(host, MAX_PIGGYBACKED_UPDATES)
        yield Send(host, Ping(used_seq, self.revision, self._table.digest, updates))

    def _ack(self, host: str, seq: int) -> Send:
        updates = self._table.updates_for(host, MAX_PIGGYBACKED_UPDATES)
        return Send(host, Ack(seq, self.revision, self._table.digest, updates))

    def _connect(self, host: str) -> Iterator[Connect]:
        """Connect to the address of ``host`` if it is new or has changed."""
        entry = self._table.get(host)
        location = entry.member if entry is not None else self._seeds.get(host)
        if location is None:
            return
        address = location.ip, location.port
        if self._addresses.get(host) != address:
            self._addresses[host] = address
            yield Connect(host, location.ip, location.port)

    # Views.

    def _merge(
        self, members: Iterable[Member], now: float, *, gossip: bool = True
    ) -> Iterator[Connect | Disconnect]:
        for member in members:
            if not self._table.merge(member, now, gossip=gossip):
                continue
            yield from self._connect(member.host)
            if member.status == LEFT:
                yield Disconnect(member.host)

    def _compare_views(
        self, host: str, message: Ping | Ack, now: float
    ) -> Iterator[Send]:
        """Request the peer's view if it has differed from this one for a while."""
        if message.revision > max(self.revision, self._newest_announced[0]):
            self._newest_announced = message.revision, host
        if message.digest == self._table.digest:
            self._sync.on_same_view()
            if isinstance(message, Ack):
                self._sync.on_ack(message.seq)
        elif self._sync.should_request(now):
            yield Send(host, ViewRequest(self._table.digest))

    def _send_view(self, host: str, digest: int, now: float) -> Iterator[Send]:
        if digest == self._table.digest:
            return
        members = tuple(entry.member for entry in self._table.entries)
        if self._sync.allow_send(now, len(members)):
            yield Send(host, View(members))


def _is_dead(entry: Entry) -> bool:
    return entry.member.status == DEAD


def _live_member(entry: Entry) -> LiveMember:
    member = entry.member
    return LiveMember(
        PeerId(member.host, member.boot),
        member.zone,
        entry.stopping,
    )
