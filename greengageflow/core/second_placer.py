"""Choice of a second placer for a request that the first one rejected.

A placer chooses among its own engines only. With a hot account or a hot prompt they
are full while those of another placer have free slots.

Load reports are 50 to 250 ms old, and all hosts have the same. If each host chose the
placer with the most free slots, all would choose the same one. So each request may go
to one of two placers drawn by a hash (Mitzenmacher, 2001).
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum
from heapq import nlargest
from operator import itemgetter

from greengageflow.core.rendezvous import uncached_rank
from greengageflow.core.service_scheduler import RefuseJob

DRAWN_PLACERS = 2
MIN_FREE_SLOTS = 2
"""Free slots that all engines of a placer together must have.

A single one is likely to be taken before the request arrives.
"""


class RedirectOutcome(StrEnum):
    """What became of a request for which a second placer was asked."""

    STARTED = "started"
    REFUSED = "refused"
    """The second placer rejected it too; its rejection is returned."""
    UNANSWERED = "unanswered"
    """The second placer was silent, gone or unable; the first rejection is returned."""
    ABANDONED = "abandoned"
    """The caller disconnected, or the deadline passed, before an answer."""


@dataclass(frozen=True, slots=True)
class SecondPlacer:
    """The placer that is asked next for a rejected request.

    Args:
        host: The placer.
        free_slots: Free slots of its engines that the request may use, as reported.
        others_free_slots: The same for the other drawn placer; -1 if there is none.
    """

    host: str
    free_slots: int
    others_free_slots: int = -1


@dataclass(frozen=True, slots=True)
class Redirect:
    """A request for which a second placer is asked.

    Args:
        first: Placer that rejected it.
        second: Placer that is asked.
        refusal: The first placer's rejection.
        redirected_at: Time at which the second placer was asked.
        left_s: Seconds for which the request could still be queued at that time.
    """

    first: str
    second: SecondPlacer
    refusal: RefuseJob
    redirected_at: float
    left_s: float

    @property
    def request(self) -> str:
        """Id of the request."""
        return self.refusal.request


def choose_second_placer(
    key: str, placers: Iterable[str], free_slots: Callable[[str], int]
) -> SecondPlacer | None:
    """Return the placer to ask, or None if those drawn have no capacity.

    Args:
        key: Identifies the request in the whole fleet.
        placers: Placers that may be asked.
        free_slots: Returns the free slots of a placer's engines.
    """
    drawn = nlargest(
        DRAWN_PLACERS, placers, key=lambda host: uncached_rank(f"{key} {host}")
    )
    slots = [(host, free_slots(host)) for host in drawn]
    host, free = max(slots, key=itemgetter(1), default=("", 0))
    if free < MIN_FREE_SLOTS:
        return None
    others = [count for other, count in slots if other != host]
    return SecondPlacer(host, free, *others)
