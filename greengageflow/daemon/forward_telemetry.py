"""Log lines and metrics of forwarded requests."""

from collections.abc import Iterator

from greengageflow.core.endpoint_choice import Choice
from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.fingerprint import part_fingerprint, short_digest
from greengageflow.core.forward_request import (
    ForwardRequest,
    request_fingerprint,
)
from greengageflow.core.second_placer import Redirect, RedirectOutcome
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.daemon.decision_fields import decision_fields
from greengageflow.daemon.forward_context import ForwardContext, Phase
from greengageflow.daemon.refused_accounts import RefusedAccounts
from greengageflow.errors import Ran, RouterError
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.net.decision_log import DecisionLog
from greengageflow.net.metrics_page import MetricsPage, PageMetric

MAX_LOGGED_PARTS = 8
OUT_OF_BUDGET_LOG_INTERVAL_S = 1.0
"""Minimum time between two ``OUT_OF_BUDGET`` log lines of a service, in seconds."""


def _ms(seconds: float) -> int:
    return round(1000 * seconds)


def _shared_parts(ctx: ForwardContext) -> Iterator[str]:
    parts = ctx.req.prompt.parts[:-1] if ctx.req.prompt else ()
    for part in parts[:MAX_LOGGED_PARTS]:
        yield f"{part.id}:{short_digest(part_fingerprint(part.id))}"


def _start_fields(ctx: ForwardContext) -> dict[str, int]:
    is_verified = bool(ctx.attempt.verified_start)
    return {"born": ctx.attempt.endpoint.born, "verified": int(is_verified)}


class ForwardTelemetry:
    """Writes log lines and metrics for each decision on a request.

    Args:
        log: Decision log.
        page: Metrics page.
        dispatcher: Source of the queue lengths, usage and budget figures in log lines.
        accounts: Counts requests by account, or None.

    Attributes:
        config_version: Version of the configuration in use.
        totals_at: Time of the last fleet totals.
    """

    def __init__(
        self,
        log: DecisionLog,
        page: MetricsPage,
        dispatcher: ServiceDispatcher,
        accounts: RefusedAccounts | None = None,
    ) -> None:
        self.config_version = 0
        self.totals_at = 0.0
        self._log = log
        self._page = page
        self._dispatcher = dispatcher
        self._accounts = accounts
        self._out_of_budget_at: dict[str, float] = {}

    def on_not_admitted(self, req: ForwardRequest, exc: RouterError) -> None:
        """Record a request that was refused at admission."""
        self._count_refusal(exc)
        self._log.write(
            DecisionEvent.REFUSED,
            request=req.id,
            digest=short_digest(request_fingerprint(req, "")),
            why=exc.kind.value,
            text=exc.message,
            retry_after_ms=_ms(exc.retry_after_s or 0.0),
            config=self.config_version,
        )

    def on_sent(
        self, now: float, ctx: ForwardContext, choice: Choice, placer: str
    ) -> None:
        """Record that a request is first sent, as decided by the host ``placer``."""
        self._page.observe(PageMetric.WAITING_TIME, now - ctx.arrived_at, ctx.service)
        if self._accounts is not None and ctx.req.prompt is not None:
            self._accounts.on_sent(ctx.account, ctx.req.prompt.work)
        self._log.write(
            DecisionEvent.SENT,
            request=ctx.req.id,
            digest=short_digest(ctx.identity.request),
            account=ctx.account,
            route=ctx.route.name,
            endpoint=choice.endpoint.id,
            born=choice.endpoint.born,
            fetch_from=choice.fetch_from.id if choice.fetch_from else "",
            prompt=ctx.req.prompt.tokens_in if ctx.req.prompt else 0,
            reading=round(choice.reading),
            waited_ms=_ms(now - ctx.arrived_at),
            predicted_ms=_ms(choice.wait_s),
            placer=placer,
            **self._decision_inputs(now, ctx),
            **({"resumes": ctx.req.resumes} if ctx.req.resumes else {}),
            # The placer's line has the terms of its decision and this host's number.
            **({"number": ctx.id} if placer and self._by_cost else {}),
            **decision_fields(choice),
        )

    @property
    def _by_cost(self) -> bool:
        return self._dispatcher.work.enabled

    def _decision_inputs(self, now: float, ctx: ForwardContext) -> dict[str, int]:
        return {
            "queued": self._dispatcher.queue_length(ctx.service),
            "level": int(self._dispatcher.recent_usage(ctx.service, ctx.account)),
            "report_age_ms": _ms(now - self.totals_at),
            "config": self.config_version,
        }

    def on_redirected(
        self,
        now: float,
        ctx: ForwardContext | None,
        redirect: Redirect,
        outcome: RedirectOutcome,
    ) -> None:
        """Record what became of a request for which a second placer was asked.

        Args:
            now: The time.
            ctx: The request, or None if it has ended.
            redirect: Its rejection by the first placer, and the second one.
            outcome: What became of it.
        """
        self._page.count(PageMetric.REDIRECTS, outcome.value)
        if ctx is None:
            return
        self._log.write(
            DecisionEvent.REDIRECTED,
            request=ctx.req.id,
            account=ctx.account,
            first=redirect.first,
            second=redirect.second.host,
            free=redirect.second.free_slots,
            others_free=redirect.second.others_free_slots,
            left_ms=_ms(redirect.left_s),
            retry_after_ms=_ms(redirect.refusal.retry_after_s),
            outcome=outcome.value,
            after_ms=_ms(now - redirect.redirected_at),
            report_age_ms=_ms(redirect.redirected_at - self.totals_at),
        )

    def on_retry(
        self, ctx: ForwardContext, before: str, choice: Choice, why: str
    ) -> None:
        """Record a retry or a resumption of a request."""
        streaming = ctx.phase is Phase.STREAMING
        event = DecisionEvent.RESUMED if streaming else DecisionEvent.RETRIED
        metric = PageMetric.RESUMED if streaming else PageMetric.RETRIES
        self._page.count(metric, ctx.service)
        stream_fields = {}
        if streaming:
            stream_fields = {
                "pieces": ctx.pieces,
                "born": choice.endpoint.born,
                "release": choice.endpoint.version,
            }
        self._log.write(
            event,
            request=ctx.req.id,
            before=before,
            endpoint=choice.endpoint.id,
            why=why,
            config=self.config_version,
            **stream_fields,
        )

    def on_budget_exhausted(self, now: float, service: str) -> None:
        """Record a retry that was refused as the retry budget is exhausted."""
        self._page.count(PageMetric.REPEATS_REFUSED, service)
        before = self._out_of_budget_at.get(service, float("-inf"))
        if now - before < OUT_OF_BUDGET_LOG_INTERVAL_S:
            return
        self._out_of_budget_at[service] = now
        use = self._dispatcher.budget_usage(now, service)
        self._log.write(
            DecisionEvent.OUT_OF_BUDGET,
            service=service,
            requests=use.requests,
            repeats=use.retries,
            hosts=use.hosts,
        )

    def on_first_event(self, now: float, ctx: ForwardContext) -> None:
        """Record the time to the first event of a stream."""
        self._page.observe(
            PageMetric.FIRST_EVENT_TIME, now - ctx.arrived_at, ctx.service
        )
        if ctx.predicted_wait_s and ctx.attempt_count == 1:
            ratio = (now - ctx.first_sent_at) / ctx.predicted_wait_s
            self._page.observe(PageMetric.FIRST_EVENT_RATIO, ratio, ctx.service)

    def record_longest_pause(self, ctx: ForwardContext) -> None:
        """Record the longest time between two events of a stream that has ended."""
        self._page.observe(PageMetric.PAUSE_TIME, ctx.longest_pause_s, ctx.service)

    def on_finished(self, now: float, ctx: ForwardContext, status: int) -> None:
        """Record a complete answer, and whether it met the route's objective."""
        self._page.count(PageMetric.REQUESTS, "answered")
        first_at = ctx.first_event_at or now
        first_event_s = first_at - ctx.arrived_at
        late = first_event_s > ctx.route.target_s
        fields: dict[str, int | str] = {
            "request": ctx.req.id,
            "endpoint": ctx.attempt.endpoint.id,
            **_start_fields(ctx),
            "status": status,
            "end": ctx.attempt.framing.value,
            "proof": ctx.end_proof.value,
            "first_ms": _ms(first_event_s),
            "total_ms": _ms(now - ctx.arrived_at),
        }
        if not late:
            self._log.write(DecisionEvent.FINISHED, **fields)
            return
        self._log.write(
            DecisionEvent.FINISHED_LATE,
            waited_ms=_ms(ctx.first_sent_at - ctx.arrived_at),
            predicted_ms=_ms(ctx.predicted_wait_s),
            objective_ms=_ms(ctx.route.target_s),
            **fields,
        )

    def on_unproven_end(self, ctx: ForwardContext) -> None:
        """Count an answer that ended with its connection."""
        self._page.count(PageMetric.UNPROVEN_ENDS, ctx.service)

    def on_truncated_end(self, ctx: ForwardContext) -> None:
        """Count an answer that ended with its connection and counts as truncated."""
        self._page.count(PageMetric.TRUNCATED_ENDS, ctx.service)

    def on_refused(self, now: float, ctx: ForwardContext, exc: RouterError) -> None:
        """Record a request that is answered with an error."""
        if ctx.attempt_count and exc.ran is not Ran.NO:
            self._on_failed(now, ctx, exc)
            return
        self._count_refusal(exc)
        if self._accounts is not None:
            self._accounts.on_rejected(ctx.account, ctx.service)
        self._log.write(
            DecisionEvent.REFUSED,
            request=ctx.req.id,
            digest=short_digest(ctx.identity.request),
            account=ctx.account,
            route=ctx.route.name,
            why=exc.kind.value,
            text=exc.message,
            retry_after_ms=_ms(exc.retry_after_s or 0.0),
            waited_ms=_ms(now - ctx.arrived_at),
            **self._decision_inputs(now, ctx),
        )

    def _count_refusal(self, exc: RouterError) -> None:
        self._page.count(PageMetric.REQUESTS, "refused")
        self._page.count(PageMetric.REFUSALS, exc.kind.value)

    def _on_failed(self, now: float, ctx: ForwardContext, exc: RouterError) -> None:
        self._page.count(PageMetric.REQUESTS, "failed")
        self._log.write(
            DecisionEvent.FAILED,
            request=ctx.req.id,
            endpoint=ctx.attempt.endpoint.id,
            status=exc.status,
            why=exc.message,
            ran=exc.ran.value,
            total_ms=_ms(now - ctx.arrived_at),
            parts=" ".join(_shared_parts(ctx)),
        )

    def on_cut(self, now: float, ctx: ForwardContext, why: str) -> None:
        """Record a stream that was cut off at its caller."""
        self._page.count(PageMetric.REQUESTS, "cut")
        self._log.write(
            DecisionEvent.CUT,
            request=ctx.req.id,
            endpoint=ctx.attempt.endpoint.id,
            **_start_fields(ctx),
            why=why,
            pieces=ctx.pieces,
            ran=Ran.YES.value,
            total_ms=_ms(now - ctx.arrived_at),
        )

    def on_caller_left(self, now: float, ctx: ForwardContext) -> None:
        """Record a caller that disconnected before its answer was complete."""
        self._page.count(PageMetric.CANCELLED, ctx.service)
        self._log.write(
            DecisionEvent.CALLER_LEFT,
            request=ctx.req.id,
            endpoint=ctx.attempt.endpoint.id if ctx.attempt else "",
            stage=ctx.phase.name.lower(),
            total_ms=_ms(now - ctx.arrived_at),
        )

    def on_backoff(self, endpoint: ListedEndpoint, seconds: float) -> None:
        """Record that an endpoint asked for a backoff."""
        self._page.count(PageMetric.BACKOFFS, endpoint.service)
        self._log.write(
            DecisionEvent.ENDPOINT_BACKOFF, endpoint=endpoint.id, for_ms=_ms(seconds)
        )

    def on_endpoint_failure(
        self, endpoint: ListedEndpoint, why: str, suspended: bool
    ) -> None:
        """Record that an endpoint failed to answer; logged only if suspended."""
        self._page.count(PageMetric.ENDPOINT_FAILURES, endpoint.service)
        if suspended:
            self._log.write(
                DecisionEvent.ENDPOINT_SUSPECT,
                endpoint=endpoint.id,
                why=why,
                failures=self._dispatcher.consecutive_failures(endpoint),
            )
