"""Forecast of whether a request that can't start now can start before it expires.

Each estimate errs towards waiting: the probability of a start is an upper bound, given
the learned durations. Requests that come later, and slots that other requests take, are
left out unless they are certain to come first.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from functools import cache, partial
from math import ceil, inf

from greengageflow.core.endpoint_choice import (
    NEGLIGIBLE_WAIT_S,
    PLAIN_REQUESTS_PER_SLOT,
)
from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.endpoint_load import EndpointLoad
from greengageflow.core.full_endpoints import (
    END_RATE_MARGIN,
    FullEndpoint,
    endings_at,
    plain_outlook,
    rough_outlook,
)
from greengageflow.core.prefill_model import MIN_TRUSTED_SAMPLES
from greengageflow.core.recent_results import RecentResults
from greengageflow.core.slot_outlook import (
    MIN_START_PROBABILITY,
    Outlook,
    RequestAhead,
    at_most,
)
from greengageflow.core.work_estimates import WorkKey
from greengageflow.core.work_model import WorkModel
from greengageflow.core.work_queue import QueuedRequest

REUSE_S = 0.025
"""Age, in seconds, up to which a forecast is used for further requests.

Its cost grows with the running requests; made for each arrival it would grow with their
product.
"""
QUEUE_GROWTH = 1.1
"""Growth of the queue up to which a request waits because one before it had to."""
HORIZON_STEP_S = 0.005
"""Step, in seconds, to which waiting times are rounded up to share a forecast."""
READ_RATE_MARGIN = 1.5
"""Factor by which an engine may read faster than learned."""


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


class SlotForecast:
    """Forecasts starts of one service's requests at this host.

    Args:
        usable: Returns all endpoints that may be used, also those in backoff.
        loads: Returns the load of an endpoint.
        is_suspended: Returns whether an endpoint is suspended.
        backoffs: Returns the remaining backoffs in seconds, by endpoint.
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
        is_suspended: Callable[[float, str], bool],
        backoffs: Callable[[float], Mapping[str, float]],
        may_send: Callable[[float, ListedEndpoint], bool],
        work: WorkModel,
    ) -> None:
        self.on_outcome: Callable[[ForecastOutcome], None] = _ignore
        self._usable = usable
        self._loads = loads
        self._is_suspended = is_suspended
        self._backoffs = backoffs
        self._may_send = may_send
        self._work = work
        self._outlooks: RecentResults[Outlook | None] = RecentResults(REUSE_S)
        self._queue_waits: RecentResults[int] = RecentResults(REUSE_S)
        self._let_wait: set[str] = set()

    def snapshot(
        self, loads: Callable[[ListedEndpoint], EndpointLoad], work: WorkModel
    ) -> "SlotForecast":
        """Return a copy for explanations, which leaves this object unchanged.

        Args:
            loads: Returns a copy of an endpoint's load.
            work: Copy of the work model.
        """
        found = SlotForecast(
            self._usable,
            loads,
            self._is_suspended,
            self._backoffs,
            self._may_send,
            work,
        )
        found._outlooks = self._outlooks.copy()
        found._queue_waits = self._queue_waits.copy()
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
            waiting: Number of other queued requests.
            ahead: Returns the expiry and the kind of each request ahead of it, given
                the free memory of the fullest engine.

        Returns:
            None if there is no forecast, so that the request has to wait.
        """
        until = queued.expires_at
        steps = ceil((until - now) / HORIZON_STEP_S)
        rough = self._outlook(now, steps, query, endpoints, rough=True)
        if rough is None:
            return None
        if rough.is_open(now, until, waiting):
            self._let_wait.add(queued.id)
            return rough.opening
        outlook = self._outlook(now, steps, query, endpoints, rough=False)
        if outlook is None:
            return None
        probability = outlook.opening
        can_open = probability >= MIN_START_PROBABILITY
        is_late = queued.target_at <= now
        line = query, queued.account, queued.priority, is_late
        may_be_behind = can_open and not outlook.is_open(now, until, waiting)
        # Scanning the queue for each arrival would cost the most while it is long.
        if (
            may_be_behind
            and self._queue_waits.is_fresh(now, line)
            and waiting <= QUEUE_GROWTH * self._queue_waits.get(line)
        ):
            may_be_behind = False
        if may_be_behind:
            reuse = cache(partial(self._reuse, now, query.service, outlook.reuse_s))
            rivals = (
                RequestAhead(expires_at, reuse(kind))
                for expires_at, kind in ahead(outlook.free_memory)
            )
            probability = outlook.start_probability(now, until, rivals)
            if probability >= MIN_START_PROBABILITY:
                self._queue_waits.put(now, line, waiting)
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
        steps: int,
        query: StartQuery,
        endpoints: Callable[[], Sequence[ListedEndpoint]],
        *,
        rough: bool,
    ) -> Outlook | None:
        """Return how slots become free for a request, as of at most ``REUSE_S`` ago.

        Args:
            now: The time.
            steps: Steps until the request expires.
            query: What it may use.
            endpoints: Returns the endpoints that this host may choose.
            rough: The mean duration stands for those of all running requests.

        Returns:
            None if there is no forecast, so that the request has to wait.
        """
        kind = query, steps, rough
        if not self._outlooks.is_fresh(now, kind):
            # Requests that come while it is used expire later than this one.
            horizon_s = HORIZON_STEP_S * steps + REUSE_S
            full = self._full_endpoints(now, horizon_s, query, endpoints())
            # What runs there is of all kinds.
            key = WorkKey(query.service, "", "")
            estimate = self._work.estimate(now, key)
            outlook = None
            if full is not None and estimate is not None:
                look_ahead = self._look_ahead if query.reads_prompt else plain_outlook
                outlook = (
                    rough_outlook(full, estimate.mean)
                    if rough
                    else look_ahead(now, horizon_s, full, estimate.mean)
                )
            self._outlooks.put(now, kind, outlook)
        return self._outlooks.get(kind)

    def _full_endpoints(
        self,
        now: float,
        horizon_s: float,
        query: StartQuery,
        endpoints: Sequence[ListedEndpoint],
    ) -> list[FullEndpoint] | None:
        """Return the endpoints that may get room for a request until the horizon.

        Returns:
            None if one has room, so that something else holds the request up, or if one
            may come back that accepts no requests now.
        """
        own = [e for e in endpoints if _may_run(e, query)]
        if not own or self._may_come_back(now, horizon_s, query):
            return None
        found = []
        for endpoint in own:
            is_suspended = self._is_suspended(now, endpoint.id)
            if is_suspended or not self._may_send(now, endpoint):
                return None
            load = self._loads(endpoint)
            if _reads_too_long(now, horizon_s, query, load):
                continue
            excess = load.running - _capacity(query, load)
            if excess < 0:
                return None
            slowness = self._work.slowness(now, endpoint)
            found.append(FullEndpoint(load, excess, slowness))
        return found

    def _look_ahead(
        self,
        now: float,
        horizon_s: float,
        engines: Sequence[FullEndpoint],
        mean_s: float,
    ) -> Outlook:
        """Return how slots of engines become free, by what runs there."""
        distributions = cache(partial(self._work.estimates.distribution, now))
        closed = 1.0
        endings = 0.0
        free_memory = first_event_s = inf
        for engine in engines:
            load = engine.load
            ended = list(endings_at(now, engine, distributions, horizon_s, mean_s))
            endings += sum(ended)
            closed *= at_most(engine.excess, ended)
            free_memory = min(free_memory, load.free_memory)
            first_event_s = min(first_event_s, load.model.fixed_s)
        return Outlook(
            1.0 - closed,
            END_RATE_MARGIN * endings / horizon_s,
            max(0.0, horizon_s - first_event_s),
            free_memory,
        )

    def _reuse(self, now: float, service: str, reuse_s: float, kind: str) -> float:
        """Return the probability that a request which starts has ended in time."""
        if not reuse_s:
            return 0.0
        key = WorkKey(service, kind, "")
        return self._work.estimates.ended_within(now, key, 0.0, reuse_s) or 0.0

    def _may_come_back(self, now: float, horizon_s: float, query: StartQuery) -> bool:
        """Whether an endpoint ends its backoff before the horizon."""
        backoffs = self._backoffs(now)
        return bool(backoffs) and any(
            backoffs.get(e.id, inf) < horizon_s and _may_run(e, query)
            for e in self._usable()
        )


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
