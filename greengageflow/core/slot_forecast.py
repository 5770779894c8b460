"""Forecast of whether a request that can't start now can start before it expires.

Each estimate errs towards waiting: the probability of a start is an upper bound, given
the learned durations. Requests that come later, and slots that other requests take, are
left out unless they are certain to come first.
"""

from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum
from functools import cache, partial
from math import ceil, exp, inf, lgamma, log
from typing import NamedTuple

from greengageflow.core.endpoint_choice import (
    NEGLIGIBLE_WAIT_S,
    PLAIN_REQUESTS_PER_SLOT,
)
from greengageflow.core.endpoint_health import EndpointHealth
from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.endpoint_load import EndpointLoad
from greengageflow.core.log_histogram import Distribution
from greengageflow.core.prefill_model import MIN_TRUSTED_SAMPLES
from greengageflow.core.work_estimates import WorkKey
from greengageflow.core.work_model import WorkModel
from greengageflow.core.work_queue import QueuedRequest

MIN_START_PROBABILITY = 0.05
"""Probability of a start below which a request is rejected at once."""
REUSE_S = 0.025
"""Age, in seconds, up to which a forecast is used for further requests.

Its cost grows with the running requests; made for each arrival it would grow with their
product.
"""
HORIZON_STEP_S = 0.005
"""Step, in seconds, to which waiting times are rounded up to share a forecast."""
MAX_FORECASTS = 64
"""Maximum number of forecasts that are kept, one for each kind of query."""
READ_RATE_MARGIN = 1.5
"""Factor by which an engine may read faster than learned."""
REPORT_AGE_S = 0.25
"""Maximum age of other hosts' reports of their running requests, in seconds."""


class ForecastOutcome(StrEnum):
    """What became of a request for which there was a forecast."""

    REJECTED = "rejected"
    STARTED = "started"
    EXPIRED = "expired"


@dataclass(frozen=True, slots=True)
class StartQuery:
    """What a queued request may use.

    Args:
        service: Name of the service.
        reads_prompt: It runs on model engines, which read its prompt.
        fill: Fraction of an endpoint's capacity that it may fill.
        max_wait_s: Wait at an engine at which it may start, in seconds.
        wait_shrinks: The maximum wait becomes shorter as the request gets older.
        avoid: Ids of endpoints that it must not be sent to.
        zones: Availability zones whose endpoints may run it, or None for all.
    """

    service: str
    reads_prompt: bool
    fill: float
    max_wait_s: float = inf
    wait_shrinks: bool = True
    avoid: frozenset[str] = frozenset()
    zones: frozenset[str] | None = None


class RequestAhead(NamedTuple):
    """A request that starts before another one unless it expires.

    Args:
        expires_at: Time at which it expires.
        reuse: Probability that it would have ended again by the horizon.
    """

    expires_at: float
    reuse: float = 0.0


@dataclass(frozen=True, slots=True)
class Outlook:
    """How slots become free until a horizon.

    Args:
        opening: Probability that a slot opens for the request.
        per_s: Maximum expected rate at which requests end, per second.
        reuse_s: Longest time for which a request can run that starts before the
            horizon, in seconds; 0 if the rate includes those.
        free_memory: Free memory of the fullest engine, in tokens.
    """

    opening: float
    per_s: float = inf
    reuse_s: float = 0.0
    free_memory: float = inf

    def start_probability(
        self, now: float, until: float, ahead: Iterable[RequestAhead]
    ) -> float:
        """Return an upper bound of the probability of a start in ``now`` to ``until``.

        Args:
            now: The time.
            until: Time at which the request expires.
            ahead: Requests that come before it.
        """
        # The slots that open go to the first request that has not expired. The request
        # gets one if, from some moment on, more slots open than requests are ahead of
        # it at that moment; it suffices to look at the moments at which one expires.
        moments = sorted((a for a in ahead if a.expires_at > now), reverse=True)
        probability = reused = 0.0
        for needed, (since, reuse) in enumerate((*moments, RequestAhead(now)), 1):
            if since < until:
                mean = self.per_s * (until - since) + reused
                probability += at_least(needed, mean)
                if probability >= MIN_START_PROBABILITY:
                    break
            reused += reuse
        return min(probability, self.opening)

    def is_open(self, now: float, until: float, queued: int) -> bool:
        """Whether a request should wait even if ``queued`` requests are ahead of it."""
        return at_least(queued + 1, self.per_s * (until - now)) >= MIN_START_PROBABILITY


class SlotForecast:
    """Forecasts starts of one service's requests at this host.

    Args:
        usable: Returns all endpoints that may be used, also those in backoff.
        loads: Returns the load of an endpoint.
        health: Recent failures of the endpoints.
        may_send: Returns whether an endpoint may get one more request now, which a
            cold one may not always.
        work: Predicts durations of requests at endpoints.

    Attributes:
        on_outcome: Called with what became of a request for which there was a forecast.
    """

    def __init__(
        self,
        usable: Callable[[], Sequence[ListedEndpoint]],
        loads: Callable[[ListedEndpoint], EndpointLoad],
        health: EndpointHealth,
        may_send: Callable[[float, ListedEndpoint], bool],
        work: WorkModel,
    ) -> None:
        self.on_outcome: Callable[[ForecastOutcome], None] = _ignore
        self._usable = usable
        self._loads = loads
        self._health = health
        self._may_send = may_send
        self._work = work
        self._outlooks: dict[tuple[StartQuery, int], Outlook | None] = {}
        self._made_at: dict[tuple[StartQuery, int], float] = {}
        self._let_wait: set[str] = set()

    def snapshot(
        self, loads: Callable[[ListedEndpoint], EndpointLoad], work: WorkModel
    ) -> "SlotForecast":
        """Return a copy for explanations, which leaves this object unchanged.

        Args:
            loads: Returns a copy of an endpoint's load.
            work: Copy of the work model.
        """
        found = SlotForecast(self._usable, loads, self._health, self._may_send, work)
        found._outlooks = dict(self._outlooks)
        found._made_at = dict(self._made_at)
        return found

    def start_probability(
        self,
        now: float,
        queued: QueuedRequest,
        query: StartQuery,
        endpoints: Callable[[], Sequence[ListedEndpoint]],
        waiting: int,
        ahead: Callable[[float], Iterable[tuple[float, str]]],
    ) -> float | None:
        """Return an upper bound of the probability that a request starts in time.

        Args:
            now: The time.
            queued: The request, which can't start now.
            query: What it may use.
            endpoints: Returns the endpoints that this host may choose.
            waiting: Number of queued requests.
            ahead: Returns the expiry and the kind of each request ahead of it, given
                the free memory of the fullest engine.

        Returns:
            None if there is no forecast, so that the request has to wait.
        """
        until = queued.expires_at
        outlook = self._outlook(now, until, query, endpoints)
        if outlook is None:
            return None
        probability = outlook.opening
        can_open = probability >= MIN_START_PROBABILITY
        if can_open and not outlook.is_open(now, until, waiting):
            reuse = cache(partial(self._reuse, now, query.service, outlook.reuse_s))
            rivals = (
                RequestAhead(expires_at, reuse(kind))
                for expires_at, kind in ahead(outlook.free_memory)
            )
            probability = outlook.start_probability(now, until, rivals)
        if probability >= MIN_START_PROBABILITY:
            self._let_wait.add(queued.id)
        else:
            self.on_outcome(ForecastOutcome.REJECTED)
        return probability

    def on_left_queue(self, request: str, outcome: ForecastOutcome | None) -> None:
        """Record that a request was started or expired, or None if it was cancelled."""
        if request in self._let_wait:
            self._let_wait.discard(request)
            if outcome is not None:
                self.on_outcome(outcome)

    def _outlook(
        self,
        now: float,
        until: float,
        query: StartQuery,
        endpoints: Callable[[], Sequence[ListedEndpoint]],
    ) -> Outlook | None:
        """Return how slots become free for a request, as of at most ``REUSE_S`` ago.

        Args:
            now: The time.
            until: Time at which the request expires.
            query: What it may use.
            endpoints: Returns the endpoints that this host may choose.

        Returns:
            None if there is no forecast, so that the request has to wait.
        """
        steps = ceil((until - now) / HORIZON_STEP_S)
        kind = query, steps
        made_at = self._made_at.get(kind)
        if made_at is None or not 0.0 <= now - made_at < REUSE_S:
            if len(self._made_at) >= MAX_FORECASTS:
                self._made_at.clear()
                self._outlooks.clear()
            self._made_at[kind] = now
            # Requests that come while it is used expire later than this one.
            horizon_s = HORIZON_STEP_S * steps + REUSE_S
            self._outlooks[kind] = self._look_ahead(now, horizon_s, query, endpoints())
        return self._outlooks[kind]

    def _look_ahead(
        self,
        now: float,
        horizon_s: float,
        query: StartQuery,
        endpoints: Sequence[ListedEndpoint],
    ) -> Outlook | None:
        # What runs there is of all kinds.
        estimate = self._work.estimate(now, WorkKey(query.service, "", ""))
        own = [e for e in endpoints if _may_run(e, query)]
        if estimate is None or not own or self._may_come_back(now, horizon_s, query):
            return None
        if any(
            self._health.is_suspended(now, e.id) or not self._may_send(now, e)
            for e in own
        ):
            return None
        distributions = cache(partial(self._work.estimates.distribution, now))
        closed = 1.0
        per_s = 0.0
        free_memory = first_event_s = inf
        for endpoint in own:
            load = self._loads(endpoint)
            if _reads_too_long(now, horizon_s, query, load):
                continue
            excess = load.running - _capacity(query, load)
            if excess < 0:
                # It can start as soon as its prompt, memory or account allow.
                return Outlook(1.0)
            slowness = self._work.slowness(now, endpoint)
            mean_s = slowness * estimate.mean
            if query.reads_prompt:
                free_memory = min(free_memory, load.free_memory)
                first_event_s = min(first_event_s, load.model.fixed_s)
                ends = list(
                    self._endings(now, load, distributions, horizon_s, slowness, mean_s)
                )
                early = sum([half for half, _ in ends])
                late = sum([whole for _, whole in ends]) - early
                per_s += max(early, late) / (horizon_s / 2)
                closed *= _at_most(excess, [whole for _, whole in ends])
            else:
                rate = load.slots / mean_s
                per_s += rate
                age_s = REPORT_AGE_S if load.others.running else 0.0
                closed *= 1.0 - at_least(excess + 1, rate * (horizon_s + age_s))
        reuse_s = max(0.0, horizon_s - first_event_s) if query.reads_prompt else 0.0
        return Outlook(1.0 - closed, per_s, reuse_s, free_memory)

    def _reuse(self, now: float, service: str, reuse_s: float, kind: str) -> float:
        """Return the probability that a request which starts ends within ``reuse_s``."""
        if not reuse_s:
            return 0.0
        key = WorkKey(service, kind, "")
        return self._work.estimates.ended_within(now, key, 0.0, reuse_s) or 0.0

    def _may_come_back(self, now: float, horizon_s: float, query: StartQuery) -> bool:
        """Whether an endpoint ends its backoff before the horizon."""
        backoffs = self._health.backoffs(now)
        return bool(backoffs) and any(
            backoffs.get(e.id, inf) < horizon_s and _may_run(e, query)
            for e in self._usable()
        )

    def _endings(
        self,
        now: float,
        load: EndpointLoad,
        distributions: Callable[[WorkKey], Distribution | None],
        horizon_s: float,
        slowness: float,
        mean_s: float,
    ) -> Iterator[tuple[float, float]]:
        """Yield for each running request the probabilities that it ends.

        The first is that of the first half of the horizon, the second of all of it.
        """
        whole_s = horizon_s / slowness
        half_s = whole_s / 2
        unknown = load.running
        for key, age_s in load.ages(now):
            distribution = distributions(key)
            if distribution is not None:
                unknown -= 1
                age_s /= slowness
                ended_within = distribution.ended_within
                yield ended_within(age_s, half_s), ended_within(age_s, whole_s)
        if unknown > 0:
            age_s = REPORT_AGE_S if load.others.running else 0.0
            half = min(1.0, (horizon_s / 2 + age_s) / mean_s)
            whole = min(1.0, (horizon_s + age_s) / mean_s)
            yield from ((half, whole) for _ in range(unknown))


def at_least(count: int, mean: float) -> float:
    """Return an upper bound of the probability of ``count`` or more events.

    Exact for one event of a Poisson distribution. Sums of independent events with
    different probabilities vary less than it.
    """
    if count <= 0 or mean >= count:
        return 1.0
    if mean <= 0.0:
        return 0.0
    if count == 1:
        return 1.0 - exp(-mean)
    # The terms of the tail fall at least as fast as a geometric series.
    first = exp(count * log(mean) - mean - lgamma(count + 1))
    return min(1.0, first / (1.0 - mean / (count + 1)))


def _at_most(count: int, probabilities: Iterable[float]) -> float:
    """Return the probability that at most ``count`` independent events happen."""
    exactly = [1.0] + [0.0] * count
    for p in probabilities:
        for n in range(count, 0, -1):
            exactly[n] += p * (exactly[n - 1] - exactly[n])
        exactly[0] *= 1.0 - p
    return sum(exactly)


def _may_run(endpoint: ListedEndpoint, query: StartQuery) -> bool:
    in_zone = query.zones is None or endpoint.zone in query.zones
    return in_zone and endpoint.id not in query.avoid


def _capacity(query: StartQuery, load: EndpointLoad) -> int:
    """Return the number of running requests below which a request may start."""
    if query.reads_prompt:
        return max(1, int(load.slots * query.fill))
    return ceil(PLAIN_REQUESTS_PER_SLOT * query.fill * load.slots)


def _reads_too_long(
    now: float, horizon_s: float, query: StartQuery, load: EndpointLoad
) -> bool:
    """Whether an engine's unread prompts alone keep a request from starting."""
    if not query.reads_prompt or load.model.samples < MIN_TRUSTED_SAMPLES:
        return False
    wait_s = load.unread_wait_s(now)
    limit_s = max(NEGLIGIBLE_WAIT_S, query.max_wait_s)
    if wait_s <= limit_s:
        return False
    if not query.wait_shrinks:
        return (wait_s - limit_s) / READ_RATE_MARGIN >= horizon_s
    # The time that the request has left becomes shorter while the prompts are read.
    return (
        min(
            (wait_s - NEGLIGIBLE_WAIT_S) / READ_RATE_MARGIN,
            (wait_s - limit_s) / (READ_RATE_MARGIN - 1.0),
        )
        >= horizon_s
    )


def _ignore(_outcome: ForecastOutcome) -> None:
    """Stand in for the receiver of outcomes."""
