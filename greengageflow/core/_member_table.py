"""Member table of ``membership``: merge rules, view digest and gossip queue."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from hashlib import blake2b
from math import ceil, log2

from greengageflow.core.messages import Member

ALIVE = "alive"
STOPPING = "stopping"
SUSPECT = "suspect"
DEAD = "dead"
LEFT = "left"

# Of two updates with equal boot and incarnation, the status of higher rank wins.
STATUS_RANKS = {ALIVE: 0, STOPPING: 1, SUSPECT: 2, DEAD: 3, LEFT: 4}
# An update is sent this many times the logarithm of the number of live members.
RETRANSMIT_FACTOR = 3


@dataclass(frozen=True, slots=True)
class Entry:
    """A member as stored in the table.

    Args:
        member: Newest update about the member.
        stopping: Whether the member has announced since its boot that it drains.
    """

    member: Member
    stopping: bool

    @property
    def live(self) -> bool:
        """Whether the member is considered live, which includes suspects."""
        return self.member.status not in (DEAD, LEFT)


def _is_valid(member: Member) -> bool:
    return (
        isinstance(member.host, str)
        and isinstance(member.boot, int)
        and isinstance(member.incarnation, int)
        and isinstance(member.ip, str)
        and isinstance(member.port, int)
        and isinstance(member.zone, str)
        and member.status in STATUS_RANKS
    )


def _precedence(member: Member) -> tuple[int, int, int]:
    return member.boot, member.incarnation, STATUS_RANKS[member.status]


def _entry_digest(entry: Entry) -> int:
    member = entry.member
    text = f"{member.host}\n{member.boot}\n{entry.stopping}"
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest())


class MemberTable:
    """All members known to one router, including itself.

    Args:
        own: This router's own entry.
        suspicion_s: Seconds after which a suspect is declared dead.

    Attributes:
        digest: Digest of the live members.
        version: Version of the live members; increases with each change.
        newer_boot: Higher boot number under which others know this host, or None.
    """

    def __init__(self, own: Member, *, suspicion_s: float) -> None:
        self._own_host = own.host
        self._suspicion_s = suspicion_s
        self._entries: dict[str, Entry] = {}
        self._deadlines: dict[str, float] = {}
        self._sends: dict[str, int] = {}
        self._live_count = 0
        self.digest = 0
        self.version = 0
        self.newer_boot: int | None = None
        self._store(Entry(own, False))

    @property
    def own(self) -> Member:
        """This router's own entry."""
        return self._entries[self._own_host].member

    @property
    def entries(self) -> Iterable[Entry]:
        """All entries, live or not."""
        return self._entries.values()

    @property
    def live_count(self) -> int:
        """Number of live members, including this router."""
        return self._live_count

    @property
    def has_updates(self) -> bool:
        """Whether updates are queued for gossip."""
        return bool(self._sends)

    def get(self, host: str) -> Entry | None:
        """Return the entry of ``host``, or None if it is unknown."""
        return self._entries.get(host)

    def merge(self, member: Member, now: float, *, gossip: bool = True) -> bool:
        """Merge an update about a member; return whether it changed the table.

        Args:
            member: The update.
            now: Monotonic time in seconds.
            gossip: Whether to gossip an update with status ``alive``; any other status
                is always gossiped.
        """
        if not _is_valid(member):
            return False
        if member.host == self._own_host:
            return self._refute(member)
        current = self._entries.get(member.host)
        if current is None:
            # Ignore dead hosts that aren't in the table. Otherwise routers would keep
            # spreading members that all of them have already forgotten.
            if STATUS_RANKS[member.status] >= STATUS_RANKS[DEAD]:
                return False
        elif (
            current.live
            and member.status == DEAD
            and current.member.boot == member.boot
        ):
            # After a partition heals, the other side reports all members on this side
            # as dead. Accepting that would empty the view until each member has
            # refuted it. Treating it as a suspicion gives them time to refute.
            member = replace(member, status=SUSPECT)
        if current is not None and _precedence(member) <= _precedence(current.member):
            return False
        self._apply(member, current, now, gossip or member.status != ALIVE)
        return True

    def suspect(self, host: str, now: float) -> None:
        """Mark ``host`` as suspect because it didn't answer."""
        entry = self._entries.get(host)
        if entry is not None and entry.live and entry.member.status != SUSPECT:
            self._apply(replace(entry.member, status=SUSPECT), entry, now, True)

    def expire(self, now: float) -> Iterator[str]:
        """Declare suspects dead whose deadline has passed, and yield their hosts."""
        for host in [h for h, due in self._deadlines.items() if due <= now]:
            entry = self._entries[host]
            self._apply(replace(entry.member, status=DEAD), entry, now, True)
            yield host

    def restart_deadlines(self, now: float) -> None:
        """Restart the suspicion timeout of every suspect."""
        for host in self._deadlines:
            self._deadlines[host] = now + self._suspicion_s

    def set_own_status(self, status: str) -> None:
        """Set this router's own status under a new ``incarnation``, so that it wins."""
        self._update_own(self.own.incarnation + 1, status)

    def forget(self, host: str) -> None:
        """Drop ``host`` unless it is live."""
        entry = self._entries.get(host)
        if entry is not None and not entry.live:
            del self._entries[host]
            self._sends.pop(host, None)

    def updates_for(self, host: str, limit: int) -> tuple[Member, ...]:
        """Return the updates to piggyback on a message to ``host``.

        These are this router's own entry, the entry of ``host`` if that is suspect or
        worse, and up to ``limit`` queued updates, least often sent first; their send
        counts increase. A router can refute its death only if it learns of it, and
        routers that consider it dead send it no other messages.
        """
        updates = {self._own_host: self.own}
        entry = self._entries.get(host)
        if (
            entry is not None
            and STATUS_RANKS[entry.member.status] >= STATUS_RANKS[SUSPECT]
        ):
            updates[host] = entry.member
        updates.update((m.host, m) for m in self._take_updates(limit))
        return tuple(updates.values())

    def _take_updates(self, limit: int) -> Iterator[Member]:
        send_limit = RETRANSMIT_FACTOR * ceil(log2(self._live_count + 1))
        for host in sorted(self._sends, key=self._sends.__getitem__)[:limit]:
            yield self._entries[host].member
            self._sends[host] += 1
            if self._sends[host] >= send_limit:
                del self._sends[host]

    def _refute(self, member: Member) -> bool:
        """Refute an update about this router itself; return whether it was refuted."""
        own = self.own
        if member.boot > own.boot:
            self.newer_boot = member.boot
            return False
        if member.boot < own.boot or _precedence(member) <= _precedence(own):
            return False
        self._update_own(member.incarnation + 1, own.status)
        return True

    def _update_own(self, incarnation: int, status: str) -> None:
        member = replace(self.own, incarnation=incarnation, status=status)
        self._store(Entry(member, status == STOPPING))
        self._sends[self._own_host] = 0

    def _apply(
        self, member: Member, current: Entry | None, now: float, gossip: bool
    ) -> None:
        same_boot = current is not None and current.member.boot == member.boot
        stopping = member.status == STOPPING or (same_boot and current.stopping)
        self._store(Entry(member, stopping))
        if member.status == SUSPECT:
            self._deadlines[member.host] = now + self._suspicion_s
        else:
            self._deadlines.pop(member.host, None)
        if gossip:
            self._sends[member.host] = 0

    def _store(self, entry: Entry) -> None:
        host = entry.member.host
        current = self._entries.get(host)
        old = _entry_digest(current) if current is not None and current.live else 0
        new = _entry_digest(entry) if entry.live else 0
        self._entries[host] = entry
        self._live_count += bool(new) - bool(old)
        if old != new:
            self.digest ^= old ^ new
            self.version += 1
