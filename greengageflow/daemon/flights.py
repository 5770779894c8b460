"""Registry of the requests in flight at one router and of recently ended ones."""

from collections import deque
from collections.abc import Iterator

from greengageflow.daemon.flight import Flight, Phase
from greengageflow.net.callers import ChatCall, ServiceCall, StatusCall

MAX_ENDED_REQUESTS = 512
"""Number of ended requests whose status documents are kept."""


class Flights:
    """Requests in flight, by id and by call.

    Args:
        max_ended: Number of ended requests whose status documents are kept.
    """

    def __init__(self, max_ended: int = MAX_ENDED_REQUESTS) -> None:
        self._by_id: dict[str, Flight] = {}
        self._by_call: dict[int, Flight] = {}
        self._ended: deque[dict[str, object]] = deque(maxlen=max_ended)

    def __len__(self) -> int:
        """Return the number of requests that have no final answer yet."""
        return len(self._by_id)

    def __iter__(self) -> Iterator[Flight]:
        """Iterate over a snapshot of the requests that have no final answer yet."""
        return iter(list(self._by_id.values()))

    def add(self, flight: Flight) -> None:
        """Add an admitted request."""
        self._by_id[flight.id] = flight
        self._by_call[id(flight.call)] = flight

    def get(self, request: str) -> Flight | None:
        """Return the request in flight with this id, or None."""
        return self._by_id.get(request)

    def for_call(self, call: ChatCall | ServiceCall | StatusCall) -> Flight | None:
        """Return the request in flight of a call, or None."""
        return self._by_call.get(id(call))

    def remove(self, flight: Flight, result: str) -> None:
        """Remove a request that ended and keep its status document.

        Raises:
            KeyError: The request is not in flight.
        """
        del self._by_id[flight.id]
        del self._by_call[id(flight.call)]
        self._ended.append(flight.describe(result))

    def explain(self, request: str) -> dict[str, object] | None:
        """Return the status document of a current or recent request, or None."""
        flight = self._by_id.get(request)
        if flight is not None:
            return flight.describe()
        for ended in self._ended:
            if request in (ended["id"], ended["wire_id"]):
                return ended
        return None

    def overdue(self, now: float) -> Iterator[Flight]:
        """Yield requests that run past their deadline; the caller may end them."""
        for flight in list(self._by_id.values()):
            ended = flight.id not in self._by_id
            if not ended and flight.phase is Phase.RUNNING and now >= flight.deadline:
                yield flight
