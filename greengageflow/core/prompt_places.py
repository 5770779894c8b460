"""Where the shared parts of prompts are kept."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b

from greengageflow.core.endpoint_list import ListedEndpoint

_KEPT = 20_000
_HOMES = 2_000
"""Parts whose homes are remembered; a hash of each engine for each request adds up."""

READ_S = 0.3


def home_of(part: str, endpoints: Iterable[ListedEndpoint]) -> ListedEndpoint | None:
    """Return the endpoint that requests with ``part`` prefer, the same on all hosts.

    It is the one with the highest hash of part and endpoint, so that an endpoint that
    comes or goes moves only the parts that are its own.
    """
    rows = tuple(endpoints)
    return rows[_home_among(part, tuple(one.id for one in rows))] if rows else None


@lru_cache(maxsize=_HOMES)
def _home_among(part: str, names: tuple[str, ...]) -> int:
    def weight(at: int) -> bytes:
        return blake2b(f"{part} {names[at]}".encode(), digest_size=8).digest()

    return max(range(len(names)), key=weight)


@dataclass(frozen=True, slots=True)
class Holder:
    """An endpoint that was sent a part.

    Args:
        endpoint: Its id.
        age_s: Seconds since it was sent the part last.
        has_read: It has read the part, as far as is known.
    """

    endpoint: str
    age_s: float
    has_read: bool


@dataclass(slots=True)
class _Place:
    first: float
    last: float
    has_read: bool = False


class PromptPlaces:
    """Remembers which endpoints were lately sent a part.

    Args:
        fresh_s: Seconds for which an endpoint is taken to keep a part, unless it is
            known to have let go of it.
    """

    def __init__(self, fresh_s: float = 40.0) -> None:
        self._fresh_s = fresh_s
        self._seen: OrderedDict[str, dict[str, _Place]] = OrderedDict()

    def note(self, at: float, part: str, endpoint: str) -> None:
        """Note that a request with ``part`` was sent to an endpoint."""
        places = self._seen.setdefault(part, {})
        place = places.get(endpoint)
        if place is None or at - place.last > self._fresh_s:
            places[endpoint] = _Place(at, at)
        else:
            place.last = max(at, place.last)
        self._seen.move_to_end(part)
        if len(self._seen) > _KEPT:
            self._seen.popitem(last=False)

    def on_read(self, part: str, endpoint: str) -> None:
        """Note that an endpoint has read a part that it was sent."""
        place = self._seen.get(part, {}).get(endpoint)
        if place is not None:
            place.has_read = True

    def forget(self, part: str, endpoint: str) -> None:
        """Note that an endpoint keeps a part no longer."""
        self._seen.get(part, {}).pop(endpoint, None)

    def forget_endpoint(self, endpoint: str) -> None:
        """Note that an endpoint keeps nothing any more."""
        for places in self._seen.values():
            places.pop(endpoint, None)

    def holders(self, now: float, part: str) -> list[Holder]:
        """Return the endpoints that were sent ``part`` lately, the last one first."""
        places = self._seen.get(part)
        if not places:
            return []
        for endpoint in [e for e, p in places.items() if now - p.last > self._fresh_s]:
            del places[endpoint]
        # Counted from the first request on: a part that is asked for all the time would
        # otherwise seem unread for good, and be read again wherever it goes.
        found = [
            Holder(name, now - p.last, p.has_read or now - p.first >= READ_S)
            for name, p in places.items()
        ]
        return sorted(found, key=lambda holder: holder.age_s)
