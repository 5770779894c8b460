"""Which hosts read the platform's store, and when the others do."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto

READING_ZONES = 2
"""Zones whose first router reads; with one alone, its loss would be felt by all."""

STALE_PACES = 1.67
"""Times the pace after which what is known of the store counts as stale."""

STANDBY_PACES = 1.2
"""The same for routers that read in place of a lost one before all others do."""

MEMBER_RETRY_S = 3.0
"""Least seconds between two reads of a router that leaves reading to others."""

NEWS_S = 0.25
"""Seconds that a host waits for a peer to pass on a change that it heard of."""

LONGEST_PACE_S = 0.9
SHORTEST_PACE_S = 0.2


class StoreRole(Enum):
    """What a router does about the store."""

    READER = auto()
    """It reads all the time."""

    STANDBY = auto()
    """It reads as soon as it seems that no reader does."""

    MEMBER = auto()
    """It reads when nobody else seems to."""


def pace_s(*bounds_s: float) -> float:
    """Return the seconds between two reads of the store, by the operators' bounds.

    A change is known at the latest when the word of a reader that was lost has become
    stale and the host has read for itself; that must leave time within each bound.

    Args:
        bounds_s: Times within which changes must be known, in seconds.
    """
    return min(LONGEST_PACE_S, max(SHORTEST_PACE_S, 0.45 * min(bounds_s)))


@dataclass(frozen=True, slots=True)
class StoreWord:
    """What another router knows of the store, or the best of several.

    Args:
        at: Time at which that was told.
        version: Configuration in force there.
        list_mark: Offset of the last change of the list of endpoints.
        heard_s: Seconds, then, since the configuration was known to be the newest.
        list_heard_s: The same of the list.
    """

    at: float
    version: int
    list_mark: int
    heard_s: float
    list_heard_s: float


class CatchUp:
    """Says when a host that is behind its peers reads for itself."""

    def __init__(self) -> None:
        self._behind_at: float | None = None

    def is_due(self, now: float, is_behind: bool, alone: bool) -> bool:
        """Return whether to read now.

        Args:
            now: The time.
            is_behind: A peer knows of a change that is not known here.
            alone: Nobody passes on anything to this host that it can take over.
        """
        if not is_behind:
            self._behind_at = None
            return False
        if self._behind_at is None:
            self._behind_at = now
        return alone or now - self._behind_at >= NEWS_S


@dataclass(frozen=True, slots=True)
class PeersKnow:
    """What the other routers know of one part of the store.

    Args:
        mark: The newest mark that one of them knows.
        heard_s: Seconds since the one that heard last knew it to be the newest, of
            those whose mark is not newer than ours.
    """

    mark: int
    heard_s: float


def peers_know_config(now: float, own: int, words: Iterable[StoreWord]) -> PeersKnow:
    """Return what peers know of the configuration, whose version here is ``own``."""
    return _know(now, own, ((w.at, w.version, w.heard_s) for w in words))


def peers_know_list(now: float, own: int, words: Iterable[StoreWord]) -> PeersKnow:
    """Return what peers know of the list, which was read here up to ``own``."""
    return _know(now, own, ((w.at, w.list_mark, w.list_heard_s) for w in words))


def _know(now: float, own: int, rows: Iterable[tuple[float, int, float]]) -> PeersKnow:
    mark = 0
    youngest_s = float("inf")
    for at, theirs, heard_s in rows:
        mark = max(mark, theirs)
        if theirs <= own:
            youngest_s = min(youngest_s, heard_s + now - at)
    return PeersKnow(mark, youngest_s)


def best_word(now: float, words: Iterable[StoreWord]) -> StoreWord:
    """Return one word for several: the newest marks, and who heard them last."""
    known = list(words)
    version = max((w.version for w in known), default=0)
    mark = max((w.list_mark for w in known), default=0)
    heard = (w.heard_s + now - w.at for w in known if w.version == version)
    list_heard = (w.list_heard_s + now - w.at for w in known if w.list_mark == mark)
    never = float("inf")
    return StoreWord(
        now, version, mark, min(heard, default=never), min(list_heard, default=never)
    )
