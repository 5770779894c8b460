"""Which routers live: probes, suspicion, and news that rides on the probes.

Each router probes one member a period, in shuffled turns, asks a few others to
probe one that does not answer, and tells changes on the same messages. What one
router sends in a second does not depend on the size of the fleet.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from itertools import count
from random import Random
from types import MappingProxyType
from typing import Any

from greengageflow._view import DEAD, LEFT, STOPPING, SUSPECT, Entry
from greengageflow._view import View as ViewTable
from greengageflow.effects import Connect, Disconnect, Send
from greengageflow.messages import (
    Ack,
    Member,
    PeerId,
    Ping,
    PingRequest,
    View,
    ViewRequest,
)

NEWS_LIMIT = 12
HELPERS = 3
GOSSIP_FANOUT = 2
LEAVE_FANOUT = 6
AWAY_FANOUT = 3
AWAY_EVERY = 5
TICKS_PER_PERIOD = 4
PAUSE_PERIODS = 2.0
SETTLE_PERIODS = 2.0
RELAY_PERIODS = 2.0
VIEW_ROWS_PER_S = 400.0
VIEW_ROWS_BURST = 4000.0


@dataclass(frozen=True, slots=True)
class Seed:
    """Where a router may be found that is not known as a live member.

    Args:
        host: Host name.
        ip: IP number of its peer side.
        port: TCP port of its peer side.
    """

    host: str
    ip: str
    port: int


@dataclass(frozen=True, slots=True)
class LiveMember:
    """A router that counts as live.

    Args:
        peer: Host and life.
        zone: Availability zone.
        stopping: It gets no new ownership, and leaves when its work is done.
    """

    peer: PeerId
    zone: str
    stopping: bool


@dataclass(slots=True)
class _Probe:
    host: str
    seq: int
    sent_at: float
    helped: bool = False


class Membership:
    """The fleet as one router sees it.

    Args:
        own: The member that this router is; its ``bump`` and ``status`` count.
        seeds: Routers to look for.
        period_s: Seconds between two probes.
        suspicion_s: Seconds from a suspicion to the death that follows.
        seed: Seed of the random choices.

    Attributes:
        revision: Newest configuration revision of this router, told to others.
        pauses: How often this process found that it had been paused.
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
        self._period_s = period_s
        self._view = ViewTable(own, suspicion_s=suspicion_s)
        self._random = Random(seed)
        self._seeds: dict[str, Seed] = {}
        self._addresses: dict[str, tuple[str, int]] = {}
        self._newest = (0, "")
        self._seqs = count(1)
        self._turns: list[str] = []
        self._away_turns: list[str] = []
        self._periods = 0
        self._probe: _Probe | None = None
        self._relays: dict[int, tuple[str, int, float]] = {}
        self._next_probe = float("-inf")
        self._last_tick: float | None = None
        self._synced = False
        self._differs_since: float | None = None
        self._asked_at = float("-inf")
        self._rows = VIEW_ROWS_BURST
        self._rows_at: float | None = None
        self._live: tuple[int, Mapping[str, LiveMember]] | None = None
        self.set_seeds(seeds)

    @property
    def tick_s(self) -> float:
        """Seconds after which ``on_tick`` wants to be called again."""
        return self._period_s / TICKS_PER_PERIOD

    @property
    def own(self) -> Member:
        """This router's own entry, with its present bump and status."""
        return self._view.own

    @property
    def newer_boot(self) -> int | None:
        """A later life of this very host that others know of, if any.

        This process is then a left-over, or its boot number came from a clock that
        ran backwards; others ignore it either way.
        """
        return self._view.newer_boot

    @property
    def view_version(self) -> int:
        """Grows with each change of ``members``."""
        return self._view.version

    @property
    def members(self) -> Mapping[str, LiveMember]:
        """Live routers by host, this one included until it leaves."""
        if self._live is None or self._live[0] != self._view.version:
            live = {e.member.host: _live(e) for e in self._view.entries if e.live}
            self._live = self._view.version, MappingProxyType(live)
        return self._live[1]

    @property
    def dead_hosts(self) -> frozenset[str]:
        """Hosts that were members once and are not live."""
        return frozenset(e.member.host for e in self._view.entries if not e.live)

    def newer_revision(self) -> str | None:
        """Return a host with a newer configuration than ``revision``, or None."""
        revision, host = self._newest
        return host if revision > self.revision else None

    @property
    def newest_revision(self) -> int:
        """Newest configuration revision that this router has heard of."""
        return max(self.revision, self._newest[0])

    def set_seeds(self, seeds: Iterable[Seed]) -> None:
        """Replace the routers to look for: settings and the platform's list."""
        own = self._view.own.host
        self._seeds = {seed.host: seed for seed in seeds if seed.host != own}
        self._away_turns.clear()

    def forget(self, host: str) -> None:
        """Drop a dead host that the platform no longer knows."""
        self._view.forget(host)

    def stop(self) -> None:
        """Say that this router stops: no new ownership, still live."""
        self._view.set_own_status(STOPPING)

    def leave(self, now: float) -> Iterator[Connect | Send]:
        """Say good-bye; the last thing that this router does."""
        self._view.set_own_status(LEFT)
        for host in self._sample(LEAVE_FANOUT):
            yield from self._ping(host)

    def on_tick(self, now: float) -> Iterator[Connect | Disconnect | Send]:
        """Probe, suspect and bury; call every ``tick_s`` seconds."""
        self._notice_pause(now)
        self._last_tick = now
        for host in self._view.expire(now):
            yield Disconnect(host)
        if now >= self._next_probe:
            yield from self._next_period(now)
        elif self._probe is not None and not self._probe.helped:
            yield from self._ask_helpers(self._probe, now)

    def receive(
        self, now: float, sender: PeerId, message: Any
    ) -> Iterator[Connect | Disconnect | Send]:
        """Take in one membership message of another router."""
        self._notice_pause(now)
        if isinstance(message, Ping | Ack):
            yield from self._merge(message.news, now)
        if not self._current(sender):
            return
        match message:
            case Ping():
                yield self._ack(sender.host, message.seq)
                yield from self._compare(sender.host, message, now)
            case Ack():
                yield from self._on_ack(message)
                yield from self._compare(sender.host, message, now)
            case PingRequest():
                yield from self._relay(sender.host, message, now)
            case ViewRequest():
                yield from self._send_view(sender.host, now)
            case View():
                self._synced = True
                # Whoever sent the view has told of the live ones; a joiner that
                # told again of each would fill its messages for a minute.
                yield from self._merge(message.members, now, tell=False)

    def _current(self, sender: PeerId) -> bool:
        """Whether the sender is a known life that has not left."""
        entry = self._view.get(sender.host)
        if entry is None or entry.member.status == LEFT:
            return False
        return entry.member.boot == sender.boot

    def _notice_pause(self, now: float) -> None:
        """Excuse the others when it was this process that stood still.

        After a pause every probe looks unanswered and every suspect overdue, and
        a woken router would declare its whole fleet dead. Their answers lie unread
        in the sockets, so starting probe and deadlines anew is enough.
        """
        if self._last_tick is None:
            return
        if now - self._last_tick <= PAUSE_PERIODS * self._period_s:
            return
        self.pauses += 1
        self._last_tick = now
        self._probe = None
        self._differs_since = None
        self._view.restart_deadlines(now)

    # Probes.

    def _next_period(self, now: float) -> Iterator[Connect | Send]:
        if self._probe is not None:
            self._view.suspect(self._probe.host, now)
            self._probe = None
        self._next_probe = max(
            self._next_probe + self._period_s, now + self._period_s - self.tick_s
        )
        self._periods += 1
        self._drop_old_relays(now)
        host = self._next_turn()
        if host is not None:
            self._probe = _Probe(host, next(self._seqs), now)
            yield from self._ping(host, self._probe.seq)
        if self._view.has_news:
            for other in self._sample(GOSSIP_FANOUT, host):
                yield from self._ping(other)
        yield from self._look_for_absent()

    def _look_for_absent(self) -> Iterator[Connect | Send]:
        """Probe dead members and seeds now and then, so that halves rejoin."""
        alone = self._view.live_count == 1
        if not alone and self._synced and self._periods % AWAY_EVERY:
            return
        for _ in range(AWAY_FANOUT if alone else 1):
            host = self._next_absent()
            if host is not None:
                yield from self._ping(host)

    def _next_turn(self) -> str | None:
        """Return the next live member of this round; a round visits each once."""
        if not self._turns:
            self._turns = self._others()
            self._random.shuffle(self._turns)
        while self._turns:
            host = self._turns.pop()
            entry = self._view.get(host)
            if entry is not None and entry.live:
                return host
        return None

    def _join_turns(self, host: str) -> None:
        """Let a newcomer have its turn in this round, lest it die unnoticed."""
        self._turns.insert(self._random.randint(0, len(self._turns)), host)

    def _next_absent(self) -> str | None:
        if not self._away_turns:
            hosts = {e.member.host for e in self._view.entries if _gone(e)}
            hosts.update(h for h in self._seeds if self._view.get(h) is None)
            self._away_turns = sorted(hosts)
            self._random.shuffle(self._away_turns)
        while self._away_turns:
            host = self._away_turns.pop()
            entry = self._view.get(host)
            if entry is None or not entry.live:
                return host
        return None

    def _others(self) -> list[str]:
        own = self._view.own.host
        return [
            e.member.host for e in self._view.entries if e.live and e.member.host != own
        ]

    def _sample(self, size: int, *excluded: str | None) -> list[str]:
        hosts = [host for host in self._others() if host not in excluded]
        return self._random.sample(hosts, min(size, len(hosts)))

    def _ask_helpers(self, probe: _Probe, now: float) -> Iterator[Send]:
        if now - probe.sent_at < self.tick_s:
            return
        probe.helped = True
        for helper in self._sample(HELPERS, probe.host):
            yield Send(helper, PingRequest(probe.seq, probe.host))

    def _relay(
        self, asker: str, request: PingRequest, now: float
    ) -> Iterator[Connect | Send]:
        if self._view.get(request.target) is None:
            return
        seq = next(self._seqs)
        self._relays[seq] = asker, request.seq, now
        yield from self._ping(request.target, seq)

    def _drop_old_relays(self, now: float) -> None:
        oldest = now - RELAY_PERIODS * self._period_s
        self._relays = {k: v for k, v in self._relays.items() if v[2] >= oldest}

    def _on_ack(self, ack: Ack) -> Iterator[Send]:
        if self._probe is not None and self._probe.seq == ack.seq:
            self._probe = None
        relay = self._relays.pop(ack.seq, None)
        if relay is not None:
            yield self._ack(relay[0], relay[1])

    # Messages.

    def _ping(self, host: str, seq: int | None = None) -> Iterator[Connect | Send]:
        yield from self._connect(host)
        number = next(self._seqs) if seq is None else seq
        news = self._news_for(host)
        yield Send(host, Ping(number, self.revision, self._view.digest, news))

    def _ack(self, host: str, seq: int) -> Send:
        news = self._news_for(host)
        return Send(host, Ack(seq, self.revision, self._view.digest, news))

    def _news_for(self, host: str) -> tuple[Member, ...]:
        """Own entry, what is held against the addressee, then the freshest news.

        A router that is held for dead must hear it to refute it, and no one else
        tells it.
        """
        news = {self._view.own.host: self._view.own}
        entry = self._view.get(host)
        if entry is not None and entry.member.status in (SUSPECT, DEAD, LEFT):
            news[host] = entry.member
        news.update((m.host, m) for m in self._view.take_news(NEWS_LIMIT))
        return tuple(news.values())

    def _connect(self, host: str) -> Iterator[Connect]:
        """Name the address of ``host`` when it is new or has changed."""
        entry = self._view.get(host)
        place = entry.member if entry is not None else self._seeds.get(host)
        if place is None:
            return
        address = place.ip, place.port
        if self._addresses.get(host) != address:
            self._addresses[host] = address
            yield Connect(host, place.ip, place.port)

    # Views.

    def _merge(
        self, members: Iterable[Member], now: float, *, tell: bool = True
    ) -> Iterator[Connect | Disconnect]:
        for member in members:
            known = self._view.get(member.host)
            if not self._view.merge(member, now, tell=tell):
                continue
            if known is None or not known.live:
                self._join_turns(member.host)
            yield from self._connect(member.host)
            if member.status == LEFT:
                yield Disconnect(member.host)

    def _compare(self, host: str, message: Ping | Ack, now: float) -> Iterator[Send]:
        """Ask for the peer's view when the two have differed for a while."""
        if message.revision > max(self.revision, self._newest[0]):
            self._newest = message.revision, host
        if message.digest == self._view.digest:
            self._differs_since = None
            self._synced = True
            return
        if self._differs_since is None:
            self._differs_since = now
        settle_s = SETTLE_PERIODS * self._period_s
        waited = now - self._differs_since >= settle_s or not self._synced
        if waited and now - self._asked_at >= settle_s:
            self._asked_at = now
            yield Send(host, ViewRequest(self._view.digest))

    def _send_view(self, host: str, now: float) -> Iterator[Send]:
        """Send the view, within a rate that keeps a mass restart affordable."""
        since = now if self._rows_at is None else self._rows_at
        earned = (now - since) * VIEW_ROWS_PER_S
        self._rows_at = now
        self._rows = min(VIEW_ROWS_BURST, self._rows + earned)
        if self._rows <= 0:
            return
        members = tuple(entry.member for entry in self._view.entries)
        self._rows -= len(members)
        yield Send(host, View(members))


def _gone(entry: Entry) -> bool:
    return entry.member.status == DEAD


def _live(entry: Entry) -> LiveMember:
    member = entry.member
    return LiveMember(
        PeerId(member.host, member.boot),
        member.zone,
        entry.stopping,
    )
