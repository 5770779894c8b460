"""The requests under way at one router, and those that ended lately."""

from collections import deque
from collections.abc import Iterator

from greengageflow.daemon.flight import Flight, Phase
from greengageflow.net.callers import ChatCall, ServiceCall, StatusCall

ENDED_KEPT = 512


class Flights:
    """Finds requests by id and by call.

    Args:
        kept: Ended requests that are still told of.
    """

    def __init__(self, kept: int = ENDED_KEPT) -> None:
        self._by_id: dict[str, Flight] = {}
        self._by_call: dict[int, Flight] = {}
        self._ended: deque[dict[str, object]] = deque(maxlen=kept)

    def __len__(self) -> int:
        """Return how many have no final answer yet."""
        return len(self._by_id)

    def __iter__(self) -> Iterator[Flight]:
        """Yield those that have no final answer yet."""
        return iter(list(self._by_id.values()))

    def add(self, flight: Flight) -> None:
        """Take a request that began."""
        self._by_id[flight.id] = flight
        self._by_call[id(flight.call)] = flight

    def get(self, request: str) -> Flight | None:
        """Return the request under way with this id, if any."""
        return self._by_id.get(request)

    def of_call(self, call: ChatCall | ServiceCall | StatusCall) -> Flight | None:
        """Return the request under way of a call, if any."""
        return self._by_call.get(id(call))

    def end(self, flight: Flight, result: str) -> None:
        """Take the end of a request.

        Raises:
            KeyError: It is not under way.
        """
        del self._by_id[flight.id]
        del self._by_call[id(flight.call)]
        self._ended.append(flight.describe(result))

    def explain(self, request: str) -> dict[str, object] | None:
        """Tell of a request under way or one that ended lately; None if unknown."""
        flight = self._by_id.get(request)
        if flight is not None:
            return flight.describe()
        for ended in self._ended:
            if request in (ended["id"], ended["wire_id"]):
                return ended
        return None

    def late(self, now: float) -> Iterator[Flight]:
        """Yield those that run past their deadline; ending them meanwhile is fine."""
        for flight in list(self._by_id.values()):
            ended = flight.id not in self._by_id
            if not ended and flight.phase is Phase.RUNNING and now >= flight.deadline:
                yield flight
