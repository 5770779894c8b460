"""Outlier detection: failing endpoints get less work or none for a while."""

from collections.abc import Mapping
from dataclasses import dataclass

FAILURES_TO_SUSPEND = 2
INITIAL_SUSPENSION_S = 0.5
MAX_SUSPENSION_S = 8.0
FAILURE_RATE_WEIGHT = 0.15


@dataclass(slots=True)
class _EndpointRecord:
    in_row: int = 0
    rest_until: float = 0.0
    rest_s: float = INITIAL_SUSPENSION_S
    failing: float = 0.0


class EndpointHealth:
    """Recent failures of each endpoint, as seen by this host.

    An endpoint that repeatedly does not answer is suspended, for twice as long each
    time; after that one request probes it. An endpoint that answers a fraction of its
    requests with failures is ranked lower by that fraction. An endpoint that rejects a
    request may ask for backoff: it gets no work until the backoff ends.
    """

    def __init__(self) -> None:
        self._records: dict[str, _EndpointRecord] = {}
        self._backoffs: dict[str, float] = {}

    def forget(self, endpoint: str) -> None:
        """Remove an endpoint that is no longer listed."""
        self._records.pop(endpoint, None)
        self._backoffs.pop(endpoint, None)

    def rests(self, now: float, endpoint: str) -> bool:
        """Whether an endpoint is suspended."""
        found = self._records.get(endpoint)
        return found is not None and now < found.rest_until

    def ask_backoff(self, now: float, endpoint: str, seconds: float) -> bool:
        """Start or extend a backoff that an endpoint asked for.

        Returns:
            True if the endpoint was not in backoff before.
        """
        until = self._backoffs.get(endpoint, now)
        self._backoffs[endpoint] = max(until, now + seconds)
        return until <= now

    def backoffs(self, now: float) -> Mapping[str, float]:
        """Return the remaining backoffs in seconds, by endpoint."""
        if not self._backoffs:
            return self._backoffs
        self._backoffs = {e: at for e, at in self._backoffs.items() if at > now}
        return {endpoint: until - now for endpoint, until in self._backoffs.items()}

    def resting(self, now: float) -> frozenset[str]:
        """Return the endpoints that are suspended or in backoff."""
        rests = (name for name, one in self._records.items() if now < one.rest_until)
        return frozenset(rests).union(self.backoffs(now))

    def failing(self, endpoint: str) -> float:
        """Return the smoothed failure rate of an endpoint, 0 to 1."""
        found = self._records.get(endpoint)
        return found.failing if found else 0.0

    def in_row(self, endpoint: str) -> int:
        """Return an endpoint's number of consecutive missing answers."""
        found = self._records.get(endpoint)
        return found.in_row if found else 0

    def on_answer(self, endpoint: str, good: bool) -> bool:
        """Record that an endpoint answered, with a success or a failure.

        Returns:
            True if it had been suspended.
        """
        record = self._records.setdefault(endpoint, _EndpointRecord())
        rested = record.rest_until > 0.0
        record.in_row = 0
        record.rest_until = 0.0
        record.rest_s = INITIAL_SUSPENSION_S
        record.failing += FAILURE_RATE_WEIGHT * ((not good) - record.failing)
        return rested

    def on_silence(self, now: float, endpoint: str) -> bool:
        """Record that an endpoint did not answer.

        A single lost connection also happens with healthy endpoints; several in a row
        without an answer in between do not.

        Returns:
            True if the endpoint becomes suspended.
        """
        record = self._records.setdefault(endpoint, _EndpointRecord())
        record.in_row += 1
        record.failing += FAILURE_RATE_WEIGHT * (1.0 - record.failing)
        if record.in_row < FAILURES_TO_SUSPEND or now < record.rest_until:
            return False
        record.rest_until = now + record.rest_s
        record.rest_s = min(MAX_SUSPENSION_S, 2 * record.rest_s)
        return True
