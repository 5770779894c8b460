"""Selection of the next queued request of a service and its endpoint."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field, replace
from functools import partial
from math import exp, inf, log

from greengageflow.core.endpoint_choice import (
    MAX_FILL_FRACTION,
    Choice,
    EndpointChooser,
)
from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.forward_request import Prompt
from greengageflow.core.slot_forecast import ForecastOutcome, SlotForecast, StartQuery
from greengageflow.core.slot_outlook import MIN_START_PROBABILITY
from greengageflow.core.work_estimates import WorkKey
from greengageflow.core.work_queue import QueuedRequest, WorkQueue
from greengageflow.errors import ErrorKind

FIRST_EVENT_TARGET_FRACTION = 0.8
"""Fraction of a request's target by which its first event should be expected."""
QUEUE_TARGET_FRACTION = 0.45
"""Fraction of a target for which a request is queued.

After that its answer would be late.
"""
SPARE_FILL_FRACTION = 0.5
"""Fraction of an engine's slots that requests beyond a share may fill."""
LAST_PRIORITY = 2**31
"""Rank in the queue of a stream that goes on; it is started apart from the order.

As the first one of its account it would hold up the account's other requests.
"""
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 5.0
SPARE_WAIT_TARGET_FRACTION = 0.05
"""Fraction of a target for which requests beyond a share may wait at an engine."""


@dataclass(frozen=True, slots=True)
class Job:
    """A request that is submitted for scheduling.

    Args:
        queued_request: Its queue entry.
        target_s: Target latency, counted from its arrival, in seconds.
        prompt: Its prompt, for a model engine.
        avoid: Ids of endpoints that it must not be sent to.
        zone: Availability zone of the host that sends it; empty for this host's.
        allowed_zones: Zones whose endpoints may run it, or None for all.
        version: Software version whose endpoints may run it, which continues a stream;
            empty for all.
    """

    queued_request: QueuedRequest
    target_s: float
    prompt: Prompt | None = None
    avoid: frozenset[str] = frozenset()
    zone: str = ""
    allowed_zones: frozenset[str] | None = None
    version: str = ""

    @property
    def kind(self) -> str:
        """What distinguishes requests by their likely work.

        It is the same at the host that receives the request and at its placer, which
        doesn't know the route. A hint of the length is often off by a factor of two.
        """
        length = self.prompt.tokens_out.bit_length() if self.prompt else 0
        return f"{self.target_s:g} {self.queued_request.priority} {length}"


@dataclass(frozen=True, slots=True)
class CapacityShare:
    """This host's share of a service's capacity under contention.

    Args:
        running: Concurrent requests.
        reading: Prompt tokens of requests without a first event.
        usage_limits: Recent work above which an account yields to others, by account.
        knows_spare: The load of the endpoints is known, so that requests beyond a share
            may start where they have spare capacity.
    """

    running: float = inf
    reading: float = inf
    usage_limits: Mapping[str, float] = field(default_factory=dict)
    knows_spare: bool = True


@dataclass(frozen=True, slots=True)
class StartJob:
    """Decision to send a request now."""

    queued_request: QueuedRequest
    choice: Choice

    @property
    def request(self) -> str:
        """Id of the request."""
        return self.queued_request.id


@dataclass(frozen=True, slots=True)
class RefuseJob:
    """Decision to refuse a request that was not sent.

    Args:
        request: Its id.
        kind: Kind of the error.
        message: Description.
        retry_after_s: ``Retry-After`` of its caller, in seconds.
        start_probability: Probability of a start for which it was refused at once;
            None for other refusals.
    """

    request: str
    kind: ErrorKind
    message: str
    retry_after_s: float
    start_probability: float | None = None


Decision = StartJob | RefuseJob


class ServiceScheduler:
    """Queueing, fair ordering and admission control of one service at this host.

    Args:
        endpoints: Returns the endpoints that this host may choose.
        sources: Returns the endpoints from which prompt parts may be fetched.
        chooser: Chooses among them.
        recent_usage: Returns an account's recent work in the whole fleet.
        unread_tokens: Returns the prompt tokens of this host's requests that the
            service's endpoints have yet to read.
        backoff_s: Returns the seconds until the first endpoint ends its backoff; 0 if
            one accepts work now, or if there are none.
        usage_decay_s: Time constant of the decay of recent work, in seconds.
        transfers: Engines can fetch prompt parts from each other.
        service: Name of the service.
        forecast: Forecasts whether queued requests can start in time; None if there
            are no forecasts.

    Attributes:
        by_cost: Choices depend on the likely durations of requests.
        queue_of: Scheduler whose queued requests the forecast considers, for a copy
            that has none of its own; None for this one.
    """

    def __init__(
        self,
        endpoints: Callable[[], Sequence[ListedEndpoint]],
        sources: Callable[[], Sequence[ListedEndpoint]],
        chooser: EndpointChooser,
        recent_usage: Callable[[str], float],
        unread_tokens: Callable[[], float],
        backoff_s: Callable[[], float],
        *,
        usage_decay_s: float,
        transfers: bool = False,
        service: str = "",
        forecast: SlotForecast | None = None,
    ) -> None:
        self.queue_of: ServiceScheduler | None = None
        self.forecast = forecast
        self.capacity_share = CapacityShare()
        self.transfers = transfers
        self.by_cost = False
        self.running: set[str] = set()
        self._endpoints = endpoints
        self._sources = sources
        self._chooser = chooser
        self._recent_usage = recent_usage
        self._unread_tokens = unread_tokens
        self._backoff_s = backoff_s
        self._usage_decay_s = usage_decay_s
        self._service = service
        self._queue = WorkQueue()
        self._jobs: dict[str, Job] = {}
        self._resumed_jobs: dict[str, Job] = {}

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    def would_be_next(self, now: float, queued: QueuedRequest) -> bool:
        """Whether a new request would be the next one of its account."""
        return self._queue.would_be_next(now, queued)

    def submit(self, now: float, job: Job) -> Iterator[Decision]:
        """Queue a request, and yield the decisions that are now possible."""
        endpoints = self._endpoints()
        if not endpoints and not self._backoff_s():
            text = "no endpoint of the service is known"
            yield RefuseJob(job.queued_request.id, ErrorKind.NO_ENDPOINT, text, 1.0)
            return
        if job.version:
            endpoints = self._of_version(job.version)
            if not endpoints:
                text = "no endpoint of the stream's software version accepts work"
                kind = ErrorKind.VERSION_UNAVAILABLE
                yield RefuseJob(job.queued_request.id, kind, text, MIN_RETRY_AFTER_S)
                return
        zones = job.allowed_zones
        if zones is not None and not any(e.zone in zones for e in endpoints):
            text = "no endpoint of the service is in a region that the request may use"
            yield RefuseJob(job.queued_request.id, ErrorKind.NO_ENDPOINT, text, 1.0)
            return
        self._jobs[job.queued_request.id] = job
        queued = job.queued_request
        if job.version:
            self._resumed_jobs[queued.id] = job
            queued = replace(queued, priority=LAST_PRIORITY)
        self._queue.put(queued)
        yield from self.pump(now)
        if queued.id in self._jobs and (refusal := self.refuse_hopeless(now, job)):
            self.cancel(queued.id)
            yield refusal

    def _of_version(self, version: str) -> list[ListedEndpoint]:
        # A host may choose only some of the endpoints itself, and none of these may
        # have the version.
        return [e for e in self._sources() if e.version == version]

    def cancel(self, request: str) -> None:
        """Remove a request from the queue, if it is still queued."""
        if self._queue.remove(request):
            self._forget(request)

    def _forget(self, request: str, outcome: ForecastOutcome | None = None) -> None:
        del self._jobs[request]
        self._resumed_jobs.pop(request, None)
        if self.forecast is not None:
            self.forecast.on_left_queue(request, outcome)

    def release(self, now: float, request: str) -> Iterator[Decision]:
        """Release a request's slot, and yield the decisions that are now possible."""
        self.running.discard(request)
        yield from self.pump(now)

    def pump(self, now: float) -> Iterator[Decision]:
        """Yield all starts and refusals that are due."""
        yield from self._refuse_during_backoff(now)
        # The caller may call again while it carries a decision out, so that nothing may
        # be left behind of requests that are no longer queued.
        expired = list(self._queue.expired(now))
        for queued in expired:
            self._forget(queued.id, ForecastOutcome.EXPIRED)
        for queued in expired:
            text = "no endpoint had room in time"
            wait_s = self.retry_after_s(queued.account)
            yield RefuseJob(queued.id, ErrorKind.QUEUE_FULL, text, wait_s)
        while (start := self._next(now)) is not None:
            self._queue.remove(start.request)
            self._forget(start.request, ForecastOutcome.STARTED)
            self.running.add(start.request)
            yield start

    def _refuse_during_backoff(self, now: float) -> Iterator[RefuseJob]:
        """Refuse requests that would time out before any endpoint ends its backoff."""
        wait_s = self._backoff_s()
        if not wait_s:
            return
        for queued in [job.queued_request for job in self._jobs.values()]:
            if now + wait_s >= queued.expires_at:
                self.cancel(queued.id)
                text = "all endpoints of the service ask for backoff"
                yield RefuseJob(queued.id, ErrorKind.NO_ENDPOINT, text, wait_s)

    def refuse_hopeless(self, now: float, job: Job) -> RefuseJob | None:
        """Return the refusal of a request that will hardly start before it expires.

        Args:
            now: The time.
            job: A request that can't start now.

        Returns:
            None if it should wait, also if there is no forecast.
        """
        if self.forecast is None or not self.by_cost or job.version:
            return None
        queued = job.queued_request
        query = self._start_query(now, job)
        queue = self.queue_of or self
        probability = self.forecast.start_probability(
            now,
            queued,
            query,
            self._endpoints,
            queue.waiting - (queued.id in queue._jobs),
            partial(queue.requests_ahead, now, job, query),
        )
        if probability is None or probability >= MIN_START_PROBABILITY:
            return None
        left_ms = round(1000 * (queued.expires_at - now))
        text = (
            f"no endpoint is expected to have room within {left_ms} ms"
            f" (probability {probability:.2f})"
        )
        wait_s = self.retry_after_s(queued.account)
        return RefuseJob(queued.id, ErrorKind.QUEUE_FULL, text, wait_s, probability)

    def _start_query(self, now: float, job: Job) -> StartQuery:
        queued = job.queued_request
        beyond_share = self._stays_beyond_share(now, queued)
        return StartQuery(
            self._service,
            job.prompt is not None,
            SPARE_FILL_FRACTION if beyond_share else MAX_FILL_FRACTION,
            job.target_s
            * (
                SPARE_WAIT_TARGET_FRACTION
                if beyond_share
                else FIRST_EVENT_TARGET_FRACTION
            ),
            not beyond_share,
            job.avoid,
            job.allowed_zones,
        )

    def requests_ahead(
        self, now: float, job: Job, query: StartQuery, free_memory: float
    ) -> Iterator[tuple[float, str]]:
        """Yield expiry and kind of the requests that start before another one.

        Args:
            now: The time.
            job: The other request.
            query: What it may use.
            free_memory: Free memory of the fullest engine that it may use, in tokens.
        """

        def competes(queued: QueuedRequest) -> bool:
            other = self._jobs[queued.id]
            zones = other.allowed_zones
            return (
                not other.version
                and other.avoid <= query.avoid
                and (zones is None or bool(query.zones) and zones >= query.zones)
                and other.target_s >= job.target_s
                and (not other.prompt or other.prompt.tokens_in <= free_memory)
                and (
                    query.fill == SPARE_FILL_FRACTION
                    or not self._is_beyond_share(queued.account)
                )
            )

        for queued in self._queue.ahead_of(
            now, job.queued_request, self._recent_usage, competes
        ):
            yield queued.expires_at, self._jobs[queued.id].kind

    def retry_after_s(self, account: str) -> float:
        """Return the seconds until the account's usage decays to its share."""
        limit = self.capacity_share.usage_limits.get(account, 0.0)
        usage = self._recent_usage(account)
        if not limit or usage <= limit:
            return MIN_RETRY_AFTER_S
        return min(
            MAX_RETRY_AFTER_S,
            MIN_RETRY_AFTER_S + self._usage_decay_s * log(usage / limit),
        )

    def _next(self, now: float) -> StartJob | None:
        if not self._queue:
            return None
        if (resumed := self._next_resumed(now)) is not None:
            return resumed
        candidates = self._chooser.find_candidates(
            now, self._endpoints(), self._sources()
        )
        if not candidates.with_free_slot:
            return None
        share = self.capacity_share
        within_share = len(self.running) < share.running
        within_share = within_share and self._unread_tokens() < share.reading
        for queued in self._queue.next_by_account(now, self._recent_usage):
            job = self._jobs[queued.id]
            if job.version:
                continue
            beyond_share = not within_share or self._is_beyond_share(queued.account)
            if beyond_share and not share.knows_spare:
                continue
            # Beyond the share of this host or its account, a request starts only on
            # engines with spare capacity. So no capacity idles, and requests within
            # their share do not have to wait for it.
            choice = self._chooser.choose(
                now,
                candidates,
                job.prompt,
                avoid=job.avoid,
                max_wait_s=SPARE_WAIT_TARGET_FRACTION * job.target_s
                if beyond_share
                else inf,
                zone=job.zone,
                allowed_zones=job.allowed_zones,
                first_event_within_s=FIRST_EVENT_TARGET_FRACTION * job.target_s
                - (now - queued.arrived),
                transfers=self.transfers,
                fill=SPARE_FILL_FRACTION if beyond_share else MAX_FILL_FRACTION,
                key=self._work_key(job),
            )
            if choice is not None:
                return StartJob(queued, choice)
        return None

    def _is_beyond_share(self, account: str) -> bool:
        limit = self.capacity_share.usage_limits.get(account, inf)
        return self._recent_usage(account) > limit

    def _stays_beyond_share(self, now: float, queued: QueuedRequest) -> bool:
        """Whether an account is beyond its share until its request expires.

        A host that is over its share is within it again as soon as some of its requests
        end, so it is not counted.
        """
        if not self._is_beyond_share(queued.account):
            return False
        # The account's usage decays, and so do the other accounts' demands that limit
        # it. Below the highest limit it is its own demand that limits it, which may
        # have grown since.
        limit = max(self.capacity_share.usage_limits.values())
        decay = exp((now - queued.expires_at) / self._usage_decay_s)
        return decay * self._recent_usage(queued.account) > limit / decay

    def _next_resumed(self, now: float) -> StartJob | None:
        """Return the next start of a stream that goes on, or None.

        These go first and are not held to a share: work was already done for them, and
        only part of the endpoints can do the rest.
        """
        for job in self._resumed_jobs.values():
            candidates = self._chooser.find_candidates(
                now, self._of_version(job.version), self._sources()
            )
            choice = self._chooser.choose(
                now,
                candidates,
                job.prompt,
                avoid=job.avoid,
                max_wait_s=inf,
                zone=job.zone,
                allowed_zones=job.allowed_zones,
                transfers=self.transfers,
            )
            if choice is not None:
                return StartJob(job.queued_request, choice)
        return None

    def _work_key(self, job: Job) -> WorkKey | None:
        if not self.by_cost:
            return None
        return WorkKey(self._service, job.kind, job.queued_request.account)

    def next_due(self) -> float | None:
        """Return the time at which ``pump`` must be called next, or None."""
        return self._queue.next_expiry()
