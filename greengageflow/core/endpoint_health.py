"""Endpoints that fail get less, and for a while no, new work."""

from collections.abc import Mapping
from dataclasses import dataclass

FAILURES_TO_REST = 2
FIRST_REST_S = 0.5
LONGEST_REST_S = 8.0
SMOOTHING = 0.15


@dataclass(slots=True)
class _Record:
    in_row: int = 0
    rest_until: float = 0.0
    rest_s: float = FIRST_REST_S
    failing: float = 0.0


class EndpointHealth:
    """What this host saw of each endpoint lately.

    An endpoint that does not answer at all rests, longer each time; when the rest is
    over one request tries it. An endpoint that answers part of its requests with
    failures is ranked behind others by that part. One that turns a request away may ask
    for backoff: it gets nothing at all until that is over.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._backoffs: dict[str, float] = {}

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that is gone."""
        self._records.pop(endpoint, None)
        self._backoffs.pop(endpoint, None)

    def rests(self, now: float, endpoint: str) -> bool:
        """Whether an endpoint gets no work now."""
        found = self._records.get(endpoint)
        return found is not None and now < found.rest_until

    def ask_backoff(self, now: float, endpoint: str, seconds: float) -> bool:
        """Note that an endpoint wants nothing for so long; True when it is news."""
        until = self._backoffs.get(endpoint, now)
        self._backoffs[endpoint] = max(until, now + seconds)
        return until <= now

    def backoffs(self, now: float) -> Mapping[str, float]:
        """Return the seconds for which endpoints want nothing, by endpoint."""
        if not self._backoffs:
            return self._backoffs
        self._backoffs = {e: at for e, at in self._backoffs.items() if at > now}
        return {endpoint: until - now for endpoint, until in self._backoffs.items()}

    def resting(self, now: float) -> frozenset[str]:
        """Return the endpoints that get no work now."""
        rests = (name for name, one in self._records.items() if now < one.rest_until)
        return frozenset(rests).union(self.backoffs(now))

    def failing(self, endpoint: str) -> float:
        """Return the part of an endpoint's answers that were failures, 0 to 1."""
        found = self._records.get(endpoint)
        return found.failing if found else 0.0

    def in_row(self, endpoint: str) -> int:
        """Return how often in a row an endpoint did not answer."""
        found = self._records.get(endpoint)
        return found.in_row if found else 0

    def on_answer(self, endpoint: str, good: bool) -> bool:
        """Note that an endpoint answered, with a success or a failure of its own.

        Returns:
            True when it had rested.
        """
        record = self._records.setdefault(endpoint, _Record())
        rested = record.rest_until > 0.0
        record.in_row = 0
        record.rest_until = 0.0
        record.rest_s = FIRST_REST_S
        record.failing += SMOOTHING * ((not good) - record.failing)
        return rested

    def on_silence(self, now: float, endpoint: str) -> bool:
        """Note that an endpoint did not answer; True when it begins to rest.

        A single request that is cut happens to sound endpoints, too; several in a
        row without an answer between them do not.
        """
        record = self._records.setdefault(endpoint, _Record())
        record.in_row += 1
        record.failing += SMOOTHING * (1.0 - record.failing)
        if record.in_row < FAILURES_TO_REST or now < record.rest_until:
            return False
        record.rest_until = now + record.rest_s
        record.rest_s = min(LONGEST_REST_S, 2 * record.rest_s)
        return True
