"""Explains where a request would go now, and why, without sending it."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from enum import StrEnum
from math import inf
from typing import Any

from greengageflow.core.endpoint_choice import (
    MAX_FILL_FRACTION,
    Candidates,
    Choice,
)
from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.placement_preview import ChoiceQuery, PlacementPreview
from greengageflow.core.service_scheduler import (
    SPARE_FILL_FRACTION,
    Decision,
    Job,
    RefuseJob,
    StartJob,
)
from greengageflow.errors import ErrorKind


class Exclusion(StrEnum):
    """Reasons for which an endpoint does not get a request now."""

    LEAVING = "leaving"
    EVACUATED = "evacuated zone"
    BACKOFF = "backoff"
    VERSION = "version"
    REGION = "region"
    OTHER_PLACER = "placed by another host"
    SUSPENDED = "suspended"
    COLD = "cold"
    NO_SLOT = "no free slot"
    NO_MEMORY = "no free memory"
    BEYOND_SHARE = "beyond the share's limits"
    TOO_LATE = "begins too late"


class Outcome(StrEnum):
    """What would happen to a request that arrives now."""

    START = "start"
    QUEUE = "queue"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal of the request.

    Args:
        kind: Kind of the error.
        message: Description.
        retry_after_s: ``Retry-After`` of the caller, in seconds.
        after_s: Seconds in the queue before it; 0 for a refusal at once.
    """

    kind: ErrorKind
    message: str
    retry_after_s: float
    after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ExplainedEndpoint:
    """One endpoint of the service, as seen by this host.

    Args:
        id: Endpoint id.
        zone: Its availability zone.
        version: Version of its software; empty if not given.
        placer: Host that places requests on it; empty for a plain service.
        excluded: Reason for which it does not get the request, or None.
        excluded_s: Seconds until a backoff ends; 0 for other reasons.
        queue_wait_s: Seconds until it would begin to read a prompt.
        wait_s: Predicted seconds to the first event; None if excluded, or for a plain
            service.
        reading: Prompt tokens that it would read; None as for ``wait_s``.
        cached_tokens: Length of the prompt's prefix in its cache, in tokens.
        fetch_from: Engine from which it would fetch cached parts; empty for none.
        work_left: Work until the request has ended, in mean requests of a slot; None
            for a model engine.
        slowness: 2 if it takes twice as long as the others.
        running: Running requests of all hosts.
        slots: Requests that it runs at once.
        failure_rate: Smoothed fraction of failures, 0 to 1.
        cost: Cost by which it is compared; the lowest is chosen. None if excluded.
    """

    id: str
    zone: str
    version: str
    placer: str
    excluded: Exclusion | None
    excluded_s: float
    queue_wait_s: float
    wait_s: float | None
    reading: float | None
    cached_tokens: int
    fetch_from: str
    work_left: float | None
    slowness: float
    running: int
    slots: int
    failure_rate: float
    cost: float | None


@dataclass(frozen=True, slots=True)
class PlacementExplanation:
    """What this host would decide on a request now.

    Args:
        outcome: Start, queue or refuse.
        endpoint: Endpoint at which it would start, or empty.
        refusal: The refusal; for a queued request the one that it gets if no endpoint
            has room in time.
        beyond_share: It is beyond the share of this host or its account, so that only
            spare capacity is used; None if no endpoint was compared.
        account_queued: Whether requests of its account are queued before it.
        service_queued: Queued requests of the service at this host.
        candidates: All listed endpoints of the service.
    """

    outcome: Outcome
    endpoint: str
    refusal: Refusal | None
    beyond_share: bool | None
    account_queued: bool
    service_queued: int
    candidates: tuple[ExplainedEndpoint, ...]


def explain_placement(
    preview: PlacementPreview,
    job: Job,
    placer_of: Callable[[str], str] = lambda _endpoint: "",
) -> PlacementExplanation:
    """Return what a host would decide on a request.

    Args:
        preview: State of the host; used up by the call.
        job: The request, as it would be submitted at ``preview.now``.
        placer_of: Returns the host that places requests on an engine.
    """
    decision = next(preview.scheduler.submit(preview.now, job), None)
    query = preview.chooser.last_query
    current = preview.current
    queued = job.queued_request
    # Requests that go on with a stream don't wait for others of their account.
    is_next = (
        current is None or job.version or current.would_be_next(preview.now, queued)
    )
    outcome, endpoint, refusal = _outcome(preview, job, decision, bool(is_next))
    fill = query.limits.get("fill") if query else None
    return PlacementExplanation(
        outcome=outcome,
        endpoint=endpoint,
        refusal=refusal,
        beyond_share=None if query is None else fill == SPARE_FILL_FRACTION,
        account_queued=not is_next,
        service_queued=current.waiting if current else 0,
        candidates=tuple(_Explainer(preview, job, query, placer_of).endpoints()),
    )


def _outcome(
    preview: PlacementPreview, job: Job, decision: Decision | None, is_next: bool
) -> tuple[Outcome, str, Refusal | None]:
    match decision:
        case RefuseJob(kind=kind, message=message, retry_after_s=retry_after_s):
            return Outcome.REFUSE, "", Refusal(kind, message, retry_after_s)
        case StartJob(choice=choice) if is_next:
            return Outcome.START, choice.endpoint.id, None
    # It may have to wait behind others of its account although it could start itself.
    found = preview.scheduler.refuse_hopeless(preview.now, job) if decision else None
    if found is not None:
        return (
            Outcome.REFUSE,
            "",
            Refusal(found.kind, found.message, found.retry_after_s),
        )
    queued = job.queued_request
    refusal = Refusal(
        ErrorKind.QUEUE_FULL,
        "no endpoint had room in time",
        preview.scheduler.retry_after_s(queued.account),
        queued.expires_at - preview.now,
    )
    return Outcome.QUEUE, "", refusal


class _Explainer:
    """Explains each endpoint by choosing from it alone, with the request's limits."""

    def __init__(
        self,
        preview: PlacementPreview,
        job: Job,
        query: ChoiceQuery | None,
        placer_of: Callable[[str], str],
    ) -> None:
        self._preview = preview
        self._job = job
        self._placer_of = placer_of
        self._backoffs = preview.health.backoffs(preview.now)
        if query is None:
            empty = preview.chooser.find_candidates(preview.now, ())
            query = ChoiceQuery(
                empty, job.prompt, {"max_wait_s": inf, "transfers": False}
            )
        zones = job.allowed_zones
        candidates = query.candidates
        if zones is not None:
            candidates = candidates.within(zones)
        self._candidates = candidates
        self._limits = query.limits
        self._with_free_slot = {e.id for e in candidates.with_free_slot}
        self._engines = {c.endpoint.id: c for c in candidates.engines}
        self._cached_tokens = (
            preview.chooser.cached_tokens(preview.now, job.prompt, candidates)
            if job.prompt is not None
            else {}
        )

    def endpoints(self) -> Iterator[ExplainedEndpoint]:
        return map(self._endpoint, self._preview.listed)

    def _endpoint(self, endpoint: ListedEndpoint) -> ExplainedEndpoint:
        preview, now = self._preview, self._preview.now
        load = preview.load(endpoint)
        is_plain = self._job.prompt is None
        key = self._limits.get("key")
        excluded = self._exclusion(endpoint)
        choice = None if excluded else self._choose_alone(endpoint)
        if not excluded and choice is None:
            excluded = self._limit(endpoint)
        has_wait = choice is not None and not is_plain
        return ExplainedEndpoint(
            id=endpoint.id,
            zone=endpoint.zone,
            version=endpoint.version,
            placer=self._placer_of(endpoint.id),
            excluded=excluded,
            excluded_s=self._backoffs.get(endpoint.id, 0.0),
            queue_wait_s=load.queue_wait_s(now),
            wait_s=choice.wait_s if has_wait else None,
            reading=choice.reading if has_wait else None,
            cached_tokens=self._cached_tokens.get(endpoint.id, 0),
            fetch_from=choice.fetch_from.id if choice and choice.fetch_from else "",
            work_left=preview.chooser.work_left(now, endpoint, key)
            if is_plain
            else None,
            slowness=preview.chooser.slowness(now, endpoint),
            running=load.running,
            slots=load.slots,
            failure_rate=preview.health.failure_rate(endpoint.id),
            cost=choice.cost if choice else None,
        )

    def _exclusion(self, endpoint: ListedEndpoint) -> Exclusion | None:
        """Return why an endpoint is no candidate, or None."""
        preview, job = self._preview, self._job
        zones = job.allowed_zones
        # A resumed stream may go to all endpoints of its version.
        is_assigned = bool(job.version) or endpoint.id in preview.assigned
        checks = (
            (preview.endpoints.is_leaving(endpoint), Exclusion.LEAVING),
            (preview.endpoints.is_evacuated(endpoint), Exclusion.EVACUATED),
            (endpoint.id in self._backoffs, Exclusion.BACKOFF),
            (job.version not in ("", endpoint.version), Exclusion.VERSION),
            (zones is not None and endpoint.zone not in zones, Exclusion.REGION),
            (not is_assigned, Exclusion.OTHER_PLACER),
        )
        found = next((reason for applies, reason in checks if applies), None)
        return found or self._unreadiness(endpoint)

    def _unreadiness(self, endpoint: ListedEndpoint) -> Exclusion | None:
        preview, now = self._preview, self._preview.now
        is_suspended = preview.health.is_suspended(now, endpoint.id)
        if is_suspended and not self._may_use_suspended:
            return Exclusion.SUSPENDED
        if not preview.warmup.may_send(now, endpoint):
            return Exclusion.COLD
        if endpoint.id not in self._with_free_slot:
            return Exclusion.NO_SLOT
        return None

    @property
    def _may_use_suspended(self) -> bool:
        # A plain service whose endpoints are all suspended uses them nevertheless.
        return self._job.prompt is None and not self._engines

    def _choose_alone(self, endpoint: ListedEndpoint, **limits: Any) -> Choice | None:
        found = self._engines.get(endpoint.id)
        alone: Candidates = replace(
            self._candidates,
            engines=() if found is None else (found,),
            with_free_slot=(endpoint,),
        )
        preview = self._preview
        return preview.chooser.choose(
            preview.now, alone, self._job.prompt, **self._limits | limits
        )

    def _limit(self, endpoint: ListedEndpoint) -> Exclusion:
        """Return which limit keeps a candidate from the request."""
        within_share = {"max_wait_s": inf, "fill": MAX_FILL_FRACTION}
        if self._choose_alone(endpoint, **within_share):
            return Exclusion.BEYOND_SHARE
        any_time = within_share | {"first_event_within_s": inf}
        if self._choose_alone(endpoint, **any_time):
            return Exclusion.TOO_LATE
        load = self._preview.load(endpoint)
        has_slot = load.fits(-inf, MAX_FILL_FRACTION)
        lacks_memory = has_slot and self._job.prompt is not None
        return Exclusion.NO_MEMORY if lacks_memory else Exclusion.NO_SLOT
