"""What requests are likely to cost at each endpoint, learned from finished requests.

Combines estimates of the work of requests with the speeds of endpoints. Decisions for a
service use it only if the configuration gives its streams short targets; see
``Routing.has_short_targets``.
"""

from collections.abc import Callable, Iterator
from copy import copy
from itertools import chain, islice, repeat

from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.endpoint_load import EndpointLoad
from greengageflow.core.endpoint_speed import EndpointSpeed
from greengageflow.core.work_estimates import WorkEstimate, WorkEstimates, WorkKey

UNKNOWN_REMAINING_FRACTION = 0.5
"""Expected rest of a running request of another host, as a fraction of the mean.

When it was sent is not known; on average it is half done.
"""
MIN_REST_S = 0.01
"""Shortest expected rest of a request, in seconds, so that rates stay finite."""

SLOW_ENDPOINT_RATIO = 1.5
"""Slowness from which an endpoint is counted as slow for operators."""


def _ignore(_service: str, _ratio: float) -> None:
    """Stand in for the receiver of ratios."""


class WorkModel:
    """Durations of requests, and slowness of endpoints relative to each other.

    For a stream the duration counts from its first event, as long as it uses a slot
    without reading its prompt; for a plain call it counts from its sending.

    Attributes:
        enabled: Whether requests are recorded and predicted.
        estimates: Distributions of durations, in seconds.
        on_ratio: Called with the service and the ratio of actual to expected duration
            of each finished request that was predicted.
    """

    def __init__(self) -> None:
        self.enabled = False
        self.on_ratio: Callable[[str, float], None] = _ignore
        self.estimates = WorkEstimates()
        self._speeds: dict[str, EndpointSpeed] = {}

    def observe(
        self, now: float, key: WorkKey, endpoint: ListedEndpoint, seconds: float
    ) -> None:
        """Record the duration of a request that has finished.

        Args:
            now: The time.
            key: Its class.
            endpoint: Endpoint that ran it.
            seconds: Its duration.
        """
        if not self.enabled:
            return
        expected = self.estimates.estimate(key, now)
        if expected is not None:
            speed = self._speeds.setdefault(endpoint.id, EndpointSpeed(endpoint.born))
            speed.restart(endpoint.born)
            slowness = speed.slowness_at(now)
            self.on_ratio(key.service, seconds / (expected.median * slowness))
            speed.observe(now, seconds, expected.median)
        # At a slow endpoint a request takes longer for the same work.
        self.estimates.observe(now, key, seconds / self.slowness(now, endpoint))

    def estimate(self, now: float, key: WorkKey) -> WorkEstimate | None:
        """Return the duration of a request at an endpoint of average speed."""
        return self.estimates.estimate(key, now) if self.enabled else None

    def slowness(self, now: float, endpoint: ListedEndpoint) -> float:
        """Return an endpoint's slowness: 2 if it takes twice as long as the others."""
        speed = self._speeds.get(endpoint.id)
        if speed is None or not self.enabled:
            return 1.0
        speed.restart(endpoint.born)
        return speed.slowness_at(now)

    def slow_endpoints(self, now: float) -> int:
        """Return the number of endpoints that are much slower than the others."""
        speeds = self._speeds.values() if self.enabled else ()
        return sum(s.slowness_at(now) >= SLOW_ENDPOINT_RATIO for s in speeds)

    def slot_wait_s(
        self, now: float, endpoint: ListedEndpoint, load: EndpointLoad, mean_s: float
    ) -> float:
        """Return the expected seconds until a new request gets a slot of an endpoint.

        Args:
            now: The time.
            endpoint: The endpoint.
            load: Its load.
            mean_s: Mean duration of a request at an endpoint of average speed.
        """
        if load.running < load.slots:
            return 0.0
        slowness = self.slowness(now, endpoint)
        queued = load.running - load.slots
        known = list(islice(self._known_rests(now, load, slowness), load.slots))
        unknown_s = UNKNOWN_REMAINING_FRACTION * mean_s
        rests = chain(known, repeat(unknown_s, load.slots - len(known)))
        # Requests end independently of each other, so their rates of ending add up.
        first_end_s = 1.0 / sum(1.0 / max(rest, MIN_REST_S) for rest in rests)
        return slowness * (first_end_s + queued * mean_s / load.slots)

    def _known_rests(
        self, now: float, load: EndpointLoad, slowness: float
    ) -> Iterator[float]:
        for key, age_s in load.ages(now):
            rest = self.estimates.remaining_s(now, key, age_s / slowness)
            if rest is not None:
                yield rest

    def snapshot(self) -> "WorkModel":
        """Return a copy for predictions that leave this model unchanged.

        It is valid until the next finished request.
        """
        found = WorkModel()
        found.enabled = self.enabled
        found.estimates = self.estimates.snapshot()
        found._speeds = {name: copy(speed) for name, speed in self._speeds.items()}
        return found

    def forget(self, endpoint: str) -> None:
        """Drop the speed of an endpoint that is no longer listed."""
        self._speeds.pop(endpoint, None)
