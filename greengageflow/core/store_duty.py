"""Roles of hosts that read the platform's store, and the timing of their reads."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto

READER_ZONES = 2
"""Number of zones whose first relay reads; a single reader would be a single point
of failure."""

STALE_INTERVALS = 1.67
"""Age in paces after which the cached state of the store counts as stale."""

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
        at: Time of the report.
        version: Version of the configuration in force there.
        list_mark: Mark of the last change of the endpoint list there.
        heard_s: Time since the configuration was confirmed to be the newest, as of
            the report, in seconds.
        list_heard_s: The same for the endpoint list.
    """

    at: float
    version: int
    list_mark: int
    heard_s: float
    list_heard_s: float


class CatchUpTimer:
    """Decides when a host that is behind its peers reads the store itself."""

    def __init__(self) -> None:
        self._behind_at: float | None = None

    def is_due(self, now: float, is_behind: bool, alone: bool) -> bool:
        """Return whether to read now.

        Args:
            now: Current time.
            is_behind: Whether a peer knows of a change that this host lacks.
            alone: Whether this host can't use updates from peers, so that there is
                no point in waiting for one.
        """
        if not is_behind:
            self._behind_at = None
            return False
        if self._behind_at is None:
            self._behind_at = now
        return alone or now - self._behind_at >= UPDATE_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class PeerStoreState:
    """Summary of the peers' reports on one part of the store.

    Args:
        mark: The newest mark that any peer has.
        heard_s: Time since the latest confirmation by a peer that its state is the
            newest, in seconds. Only peers whose mark is not newer than the own one
            count.
    """

    mark: int
    heard_s: float


def peer_config_state(
    now: float, own: int, words: Iterable[StoreReport]
) -> PeerStoreState:
    """Summarize the peers' configurations; ``own`` is the version on this host."""
    return _know(now, own, ((w.at, w.version, w.heard_s) for w in words))


def peer_list_state(
    now: float, own: int, words: Iterable[StoreReport]
) -> PeerStoreState:
    """Summarize the peers' endpoint lists; ``own`` is the mark on this host."""
    return _know(now, own, ((w.at, w.list_mark, w.list_heard_s) for w in words))


def _know(
    now: float, own: int, rows: Iterable[tuple[float, int, float]]
) -> PeerStoreState:
    mark = 0
    youngest_s = float("inf")
    for at, theirs, heard_s in rows:
        mark = max(mark, theirs)
        if theirs <= own:
            youngest_s = min(youngest_s, heard_s + now - at)
    return PeerStoreState(mark, youngest_s)


def merge_store_reports(now: float, words: Iterable[StoreReport]) -> StoreReport:
    """Merge reports into one with the newest marks and their latest confirmations."""
    known = list(words)
    version = max((w.version for w in known), default=0)
    mark = max((w.list_mark for w in known), default=0)
    heard = (w.heard_s + now - w.at for w in known if w.version == version)
    list_heard = (w.list_heard_s + now - w.at for w in known if w.list_mark == mark)
    never = float("inf")
    return StoreReport(
        now, version, mark, min(heard, default=never), min(list_heard, default=never)
    )
