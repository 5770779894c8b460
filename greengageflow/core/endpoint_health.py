"""Outlier detection: failing endpoints get less work or none for a while."""

from collections.abc import Mapping
from dataclasses import dataclass

FAILURES_TO_SUSPEND = 2
INITIAL_SUSPENSION_S = 0.5
MAX_SUSPENSION_S = 8.0
FAILURE_RATE_WEIGHT = 0.15


@dataclass(slots=True)
class _EndpointRecord:
    consecutive_failures: int = 0
    suspended_until: float = 0.0
    suspension_s: float = INITIAL_SUSPENSION_S
    failure_rate: float = 0.0


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

    def is_suspended(self, now: float, endpoint: str) -> bool:
        """Whether an endpoint is suspended."""
        found = self._records.get(endpoint)
        return found is not None and now < found.suspended_until

    def on_backoff(self, now: float, endpoint: str, seconds: float) -> bool:
        """Start or extend a backoff that an endpoint asked for.

        Returns:
            True if the endpoint was not in backoff before.
        """
        until = self._backoffs.get(endpoint, now)
        self._backoffs[endpoint] = max(until, now + seconds)
        return until <= now

    def end_backoff(self, endpoint: str) -> None:
        """End the backoff that an endpoint asked for."""
        self._backoffs.pop(endpoint, None)

    def backoffs(self, now: float) -> Mapping[str, float]:
        """Return the remaining backoffs in seconds, by endpoint."""
        if not self._backoffs:
            return self._backoffs
        self._backoffs = {e: at for e, at in self._backoffs.items() if at > now}
        return {endpoint: until - now for endpoint, until in self._backoffs.items()}

    def unavailable_endpoints(self, now: float) -> frozenset[str]:
        """Return the endpoints that are suspended or in backoff."""
        suspended = (
            name
            for name, record in self._records.items()
            if now < record.suspended_until
        )
        return frozenset(suspended).union(self.backoffs(now))

    def failure_rate(self, endpoint: str) -> float:
        """Return the smoothed failure rate of an endpoint, 0 to 1."""
        found = self._records.get(endpoint)
        return found.failure_rate if found else 0.0

    def consecutive_failures(self, endpoint: str) -> int:
        """Return an endpoint's number of consecutive missing answers."""
        found = self._records.get(endpoint)
        return found.consecutive_failures if found else 0

    def on_answer(self, endpoint: str, success: bool) -> bool:
        """Record that an endpoint answered, with a success or a failure.

        Returns:
            True if it had been suspended.
        """
        record = self._records.setdefault(endpoint, _EndpointRecord())
        was_suspended = record.suspended_until > 0.0
        record.consecutive_failures = 0
        record.suspended_until = 0.0
        record.suspension_s = INITIAL_SUSPENSION_S
        record.failure_rate += FAILURE_RATE_WEIGHT * (
            (not success) - record.failure_rate
        )
        return was_suspended

    def on_no_answer(self, now: float, endpoint: str) -> bool:
        """Record that an endpoint did not answer.

        A single lost connection also happens with healthy endpoints; several in a row
        without an answer in between do not.

        Returns:
            True if the endpoint becomes suspended.
        """
        record = self._records.setdefault(endpoint, _EndpointRecord())
        record.consecutive_failures += 1
        record.failure_rate += FAILURE_RATE_WEIGHT * (1.0 - record.failure_rate)
        if (
            record.consecutive_failures < FAILURES_TO_SUSPEND
            or now < record.suspended_until
        ):
            return False
        record.suspended_until = now + record.suspension_s
        record.suspension_s = min(MAX_SUSPENSION_S, 2 * record.suspension_s)
        return True
