"""Locations of shared prompt parts in the prefix caches of engines."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b

from greengageflow.core.endpoint_list import ListedEndpoint

_MAX_PARTS = 20_000
_MAX_CACHED_HOMES = 2_000
"""Cache size of ``home_of``; hashing each engine for each request is expensive."""

ASSUMED_READ_S = 0.3


def home_of(part: str, endpoints: Iterable[ListedEndpoint]) -> ListedEndpoint | None:
    """Return the preferred endpoint of a part, which is the same on all hosts.

    Uses rendezvous hashing, so that adding or removing an endpoint moves only the parts
    whose home it is.
    """
    rows = tuple(endpoints)
    return (
        rows[_home_among(part, tuple(endpoint.id for endpoint in rows))]
        if rows
        else None
    )


@lru_cache(maxsize=_MAX_CACHED_HOMES)
def _home_among(part: str, names: tuple[str, ...]) -> int:
    def weight(index: int) -> bytes:
        return blake2b(f"{part} {names[index]}".encode(), digest_size=8).digest()

    return max(range(len(names)), key=weight)


@dataclass(frozen=True, slots=True)
class Holder:
    """An endpoint that was sent a prompt part.

    Args:
        endpoint: Endpoint id.
        age_s: Seconds since the part was last sent to it.
        has_read: It is assumed to have read the part.
    """

    endpoint: str
    age_s: float
    has_read: bool


@dataclass(slots=True)
class _SentPart:
    first_sent_at: float
    last_sent_at: float
    has_read: bool = False


class PromptPlaces:
    """Records which endpoints were recently sent a prompt part.

    Args:
        retention_s: Seconds for which an endpoint is assumed to keep a part, unless
            its eviction is known.
    """

    def __init__(self, retention_s: float = 40.0) -> None:
        self._retention_s = retention_s
        self._places: OrderedDict[str, dict[str, _SentPart]] = OrderedDict()

    def on_sent(self, at: float, part: str, endpoint: str) -> None:
        """Record that a request with ``part`` was sent to an endpoint."""
        places = self._places.setdefault(part, {})
        place = places.get(endpoint)
        if place is None or at - place.last_sent_at > self._retention_s:
            places[endpoint] = _SentPart(at, at)
        else:
            place.last_sent_at = max(at, place.last_sent_at)
        self._places.move_to_end(part)
        if len(self._places) > _MAX_PARTS:
            self._places.popitem(last=False)

    def on_read(self, part: str, endpoint: str) -> None:
        """Record that an endpoint has read a part that was sent to it."""
        place = self._places.get(part, {}).get(endpoint)
        if place is not None:
            place.has_read = True

    def on_evicted(self, part: str, endpoint: str) -> None:
        """Remove a part that an endpoint has evicted."""
        self._places.get(part, {}).pop(endpoint, None)

    def forget_endpoint(self, endpoint: str) -> None:
        """Remove all parts of an endpoint."""
        for places in self._places.values():
            places.pop(endpoint, None)

    def holders(self, now: float, part: str) -> list[Holder]:
        """Return the endpoints that were recently sent ``part``, latest first."""
        places = self._places.get(part)
        if not places:
            return []
        for endpoint in [
            e for e, p in places.items() if now - p.last_sent_at > self._retention_s
        ]:
            del places[endpoint]
        # The time counts from the first request. Counted from the last one, a part that
        # is requested continuously would never count as read, so that every other
        # engine would read it again.
        found = [
            Holder(
                name,
                now - p.last_sent_at,
                p.has_read or now - p.first_sent_at >= ASSUMED_READ_S,
            )
            for name, p in places.items()
        ]
        return sorted(found, key=lambda holder: holder.age_s)
