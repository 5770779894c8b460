"""Roles of hosts that read the platform's store, and the timing of their reads."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto

READER_ZONES = 2
"""Number of zones whose first relay reads the store.

The loss of a single reader would affect all routers.
"""

STALE_INTERVALS = 1.67
"""Age of the known state of the store at which it is stale, in read intervals."""

STANDBY_STALE_INTERVALS = 1.2
"""The same for standby routers, which replace a lost reader before all others read."""

MEMBER_READ_INTERVAL_S = 3.0
"""Minimum interval between two reads of a router that is no reader, in seconds."""

UPDATE_TIMEOUT_S = 0.25
"""Time that a host waits for a peer to forward a change it knows of, in seconds."""

MAX_READ_INTERVAL_S = 0.9
MIN_READ_INTERVAL_S = 0.2


class StoreRole(Enum):
    """Role of a router in reading the store."""

    READER = auto()
    """Reads continuously."""

    STANDBY = auto()
    """Reads as soon as the readers seem to have failed."""

    MEMBER = auto()
    """Reads only if no other router seems to."""


def read_interval_s(*bounds_s: float) -> float:
    """Return the interval between two reads of the store, in seconds.

    The worst case is a reader that fails: a host learns of a change only after the
    reader's last report has become stale and the host has read the store itself. This
    must fit within each of the operators' bounds.

    Args:
        bounds_s: Times within which changes must be known, in seconds.
    """
    return min(MAX_READ_INTERVAL_S, max(MIN_READ_INTERVAL_S, 0.45 * min(bounds_s)))


@dataclass(frozen=True, slots=True)
class StoreReport:
    """Store state reported by another router, or merged from several reports.

    Args:
        reported_at: Time before which the report was not sent, by this host's clock
            that includes suspension; -inf if unknown.
        version: Version of the configuration in force there.
        list_mark: Mark of the last change of the endpoint list there.
        config_age_s: Time since the configuration was confirmed to be the newest, as of
            the report, in seconds.
        list_age_s: The same for the endpoint list.
    """

    reported_at: float
    version: int
    list_mark: int
    config_age_s: float
    list_age_s: float


class CatchUpTimer:
    """Decides when a host that is behind its peers reads the store itself."""

    def __init__(self) -> None:
        self._behind_since: float | None = None

    def is_due(self, now: float, is_behind: bool, without_updates: bool) -> bool:
        """Return whether to read now.

        Args:
            now: Current time.
            is_behind: Whether a peer knows of a change that this host lacks.
            without_updates: Whether this host can't use updates from peers, so that
                there is no point in waiting for one.
        """
        if not is_behind:
            self._behind_since = None
            return False
        if self._behind_since is None:
            self._behind_since = now
        return without_updates or now - self._behind_since >= UPDATE_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class PeerStoreState:
    """Summary of the peers' reports on one part of the store.

    Args:
        mark: The newest mark that any peer has.
        age_s: Time since the latest confirmation by a peer that its state is the
            newest, in seconds. Only peers whose mark is not newer than the own one
            count.
    """

    mark: int
    age_s: float


def peer_config_state(
    now: float, own: int, reports: Iterable[StoreReport]
) -> PeerStoreState:
    """Summarize the peers' configurations; ``own`` is the version on this host."""
    return _summarize(
        now, own, ((r.reported_at, r.version, r.config_age_s) for r in reports)
    )


def peer_list_state(
    now: float, own: int, reports: Iterable[StoreReport]
) -> PeerStoreState:
    """Summarize the peers' endpoint lists; ``own`` is the mark on this host."""
    return _summarize(
        now, own, ((r.reported_at, r.list_mark, r.list_age_s) for r in reports)
    )


def _summarize(
    now: float, own: int, rows: Iterable[tuple[float, int, float]]
) -> PeerStoreState:
    mark = 0
    min_age_s = float("inf")
    for reported_at, peer_mark, age_s in rows:
        mark = max(mark, peer_mark)
        if peer_mark <= own:
            min_age_s = min(min_age_s, age_s + now - reported_at)
    return PeerStoreState(mark, min_age_s)


def merge_store_reports(now: float, reports: Iterable[StoreReport]) -> StoreReport:
    """Merge reports into one with the newest marks and their latest confirmations."""
    received = list(reports)
    version = max((r.version for r in received), default=0)
    mark = max((r.list_mark for r in received), default=0)
    config_ages_s = (
        r.config_age_s + now - r.reported_at for r in received if r.version == version
    )
    list_ages_s = (
        r.list_age_s + now - r.reported_at for r in received if r.list_mark == mark
    )
    unknown_s = float("inf")
    return StoreReport(
        now,
        version,
        mark,
        min(config_ages_s, default=unknown_s),
        min(list_ages_s, default=unknown_s),
    )
