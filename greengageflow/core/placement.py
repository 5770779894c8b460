"""Endpoint ownership and slot quotas, derived from the membership view.

Every router computes ownership locally, by rendezvous hashing over the same view.
This needs no election and no messages.
"""

from bisect import insort
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from functools import partial
from hashlib import blake2b
from itertools import islice

from greengageflow.core.messages import PeerId

Rank = tuple[str, ...]
"""Hosts in rendezvous order for one key, best first."""

COLLECTOR_CANDIDATES = 3
_SCORE_BYTES = 8


def _score(key: str, host: str) -> bytes:
    return blake2b(f"{key}\0{host}".encode(), digest_size=_SCORE_BYTES).digest()


@dataclass(frozen=True, slots=True)
class LiveMember:
    """A live router.

    Args:
        boot: Boot number of the router.
        zone: Availability zone.
        stopping: True when the router must not own anything.
    """

    boot: int
    zone: str = ""
    stopping: bool = False


@dataclass(frozen=True)
class FleetView:
    """Membership as seen by one router, and the placement derived from it.

    Args:
        own: This router.
        live: Live routers by host, including this one.
        roster: Hosts of the platform's host list, plus the live hosts. An unreachable
            host stays in it until the list drops it.
        split: True to give each router its share of the slots of every endpoint
            (baseline for comparison with endpoint ownership).
    """

    own: PeerId
    live: Mapping[str, LiveMember]
    roster: frozenset[str]
    split: bool = False
    _ranks: dict[str, Rank] = field(default_factory=dict, repr=False, compare=False)
    _previous_ranks: dict[str, Rank] = field(
        default_factory=dict, repr=False, compare=False
    )
    _owners: dict[str, str | None] = field(
        default_factory=dict, init=False, repr=False, compare=False
    )
    _collectors: dict[tuple[str, int], tuple[str, ...]] = field(
        default_factory=dict, init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        """Add the live hosts to the roster."""
        object.__setattr__(self, "roster", self.roster | self.live.keys())

    def updated(
        self, live: Mapping[str, LiveMember], roster: frozenset[str]
    ) -> "FleetView":
        """Return the next view, which reuses the ranks computed so far."""
        roster = roster | live.keys()
        if roster == self.roster:
            return FleetView(self.own, live, roster, self.split, self._ranks)
        return FleetView(
            self.own, live, roster, self.split, _previous_ranks=self._ranks
        )

    def ranked(self, key: str) -> Rank:
        """Return the roster in rendezvous order for ``key``."""
        rank = self._ranks.get(key)
        if rank is None:
            rank = self._ranks[key] = self._compute_rank(key)
        return rank

    def _compute_rank(self, key: str) -> Rank:
        score = partial(_score, key)
        previous = self._previous_ranks.pop(key, None)
        if previous is None:
            return tuple(sorted(self.roster, key=score))
        # Scores are recomputed instead of stored: stored scores would make the ranks
        # of a large fleet take most of the memory budget of the control plane.
        rank = [host for host in previous if host in self.roster]
        for host in self.roster.difference(previous):
            insort(rank, host, key=score)
        return tuple(rank)

    def owner_of(self, endpoint: str) -> str | None:
        """Return the host that owns the endpoint, or None if no host can."""
        if self.split:
            return self.own.host
        if endpoint not in self._owners:
            self._owners[endpoint] = next(self._eligible(endpoint), None)
        return self._owners[endpoint]

    def collector_of(self, zone: str, shard: int) -> str | None:
        """Return the host that collects a shard's service reports in a zone."""
        hosts = self.collectors_of(zone, shard)
        return hosts[0] if hosts else None

    def collectors_of(self, zone: str, shard: int) -> tuple[str, ...]:
        """Return the collector of a shard in a zone, followed by its two standbys."""
        if (zone, shard) not in self._collectors:
            eligible = self._eligible(f"collector\0{zone}\0{shard}", zone)
            self._collectors[zone, shard] = tuple(
                islice(eligible, COLLECTOR_CANDIDATES)
            )
        return self._collectors[zone, shard]

    def _eligible(self, key: str, zone: str | None = None) -> Iterator[str]:
        for host in self.ranked(key):
            member = self.live.get(host)
            if member is None or member.stopping:
                continue
            if zone is None or member.zone == zone:
                yield host

    def slot_quota(self, endpoint: str, slots: int) -> int:
        """Return how many of an endpoint's slots this side of a partition may use.

        Slot k is assigned to the k-th host of the roster in rendezvous order. Each
        side of a partition uses only the slots assigned to its live members. These
        sets are disjoint, so both sides together do not overload the endpoint.
        """
        rank = self.ranked(endpoint)
        assignees = (rank[k % len(rank)] for k in range(slots))
        if self.split:
            return sum(host == self.own.host for host in assignees)
        return sum(host in self.live for host in assignees)

    @property
    def zone(self) -> str:
        """Availability zone of this router."""
        member = self.live.get(self.own.host)
        return member.zone if member else ""

    @property
    def zones(self) -> set[str]:
        """Availability zones with at least one live router."""
        return {member.zone for member in self.live.values()}

    def zone_hosts(self, zone: str) -> list[str]:
        """Return the hosts of a zone's live routers, sorted by name."""
        return sorted(h for h, member in self.live.items() if member.zone == zone)

    def is_live(self, peer: PeerId) -> bool:
        """Return whether this boot of a router is live."""
        member = self.live.get(peer.host)
        return member is not None and member.boot == peer.boot

    def is_terminated(self, peer: PeerId) -> bool:
        """Return whether this boot of a router has certainly ended.

        A router that is only unreachable may still run requests.
        """
        member = self.live.get(peer.host)
        if member is not None:
            return member.boot != peer.boot
        return peer.host not in self.roster
