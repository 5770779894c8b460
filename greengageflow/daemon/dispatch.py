"""Request dispatch: admission, queueing, slot grants, endpoint runs and answers."""

from collections.abc import Callable
from http import HTTPStatus
from time import monotonic, time

from greengageflow.core.affinity import PrefixMap
from greengageflow.core.catalog import Endpoint, FleetConfig
from greengageflow.core.effects import Refuse, Replay, Start
from greengageflow.core.entry import WaitingRequest
from greengageflow.core.fingerprint import Fingerprint
from greengageflow.core.limits import RetryBudget
from greengageflow.core.quarantine import Quarantine
from greengageflow.daemon.active_requests import ActiveRequests
from greengageflow.daemon.admission import Admission
from greengageflow.daemon.control import Control
from greengageflow.daemon.crash_watch import CrashWatch, EndpointStart
from greengageflow.daemon.endpoint_run import EndpointRuns, RunEnd
from greengageflow.daemon.request_context import Phase, RequestContext
from greengageflow.daemon.request_telemetry import RequestTelemetry
from greengageflow.daemon.status import StatusSource
from greengageflow.errors import ErrorKind, Ran, RouterError
from greengageflow.metrics import Metrics
from greengageflow.net.callers import ChatCall, ServiceCall, StatusCall
from greengageflow.net.engine_client import (
    Completed,
    Cut,
    EngineCall,
    Refused,
    Unreachable,
)
from greengageflow.net.service_client import ServiceAnswer
from greengageflow.tracing import Tracing

MAX_ATTEMPTS = 3
"""Maximum number of attempts per request, the first one included."""
SUSPECT_RUN_MAX_AGE_S = 1.0
"""Age up to which a run is suspected when its endpoint crashes, in seconds.

Counted from the run's first piece; a run without one is always suspected.
"""
CRASH_INTERVAL_S = 5.0
"""Interval in which crashes of an endpoint count as one, in seconds."""
CALLER_FAULT_STATUSES = frozenset({400, 404, 405, 413, 415, 422})
"""Statuses that blame the request; it is not retried."""


class Dispatcher:
    """Handles the calls of one router; see ``callers.RequestHandler``.

    Args:
        control: Control core of this router.
        runs: Sends requests to endpoints.
        tracing: Records a span per stage of a request.
        metrics: Counters and timers.
        status: Source of the ``/status`` document.
        quarantine: Requests that must not be sent to any endpoint.
        on_leaving: Called with the name of an endpoint that announces that it is
            leaving, and the source of the announcement.

    Attributes:
        crashes: Checks endpoints that cut requests off for crashes; must be set before
            the first call.
    """

    crashes: CrashWatch

    def __init__(
        self,
        control: Control,
        runs: EndpointRuns,
        *,
        tracing: Tracing,
        metrics: Metrics,
        status: StatusSource,
        quarantine: Quarantine,
        on_leaving: Callable[[str, str], None],
    ) -> None:
        self.stopping = False
        self.refusing = False
        self._control = control
        self._runs = runs
        self._tracing = tracing
        self._telemetry = RequestTelemetry(metrics)
        self._status = status
        self._quarantine = quarantine
        self._on_leaving = on_leaving
        self._cfg = FleetConfig()
        self._admission = Admission(control.own)
        self._active = ActiveRequests()
        self._prefixes = PrefixMap()
        self._budget = RetryBudget(self._cfg.policy.retry_ratio, now=monotonic())

    @property
    def active_requests(self) -> int:
        """Number of requests that have no final answer yet."""
        return len(self._active)

    def on_config(self, cfg: FleetConfig) -> None:
        """Apply a new configuration."""
        self._cfg = cfg
        self._admission.on_config(cfg)
        self._budget.ratio = cfg.policy.retry_ratio

    # Calls.

    def readiness_error(self) -> RouterError | None:
        """Return why the load balancer should send no requests here, or None."""
        if self.stopping:
            return RouterError(ErrorKind.STOPPING, "this router is stopping")
        return self._admission.readiness_error

    def on_call(self, call: ChatCall | ServiceCall | StatusCall) -> None:
        """Handle a call; the answer may come later."""
        if isinstance(call, StatusCall):
            status = self._status.status()
            if call.request:
                status["request"] = self._active.explain(call.request)
            call.reply.json(200, status)
            return
        try:
            if self.refusing:
                raise RouterError(ErrorKind.STOPPING, "this router is stopping")
            ctx = self._admission.admit(call)
            # A repeated protected action may have run before, so the log is consulted
            # before the quarantine.
            if not ctx.protected:
                self._check_quarantine(ctx)
        except RouterError as exc:
            self._telemetry.on_refused(exc)
            call.reply.error(exc)
            return
        self._active.add(ctx)
        self._telemetry.on_admitted(ctx)
        ctx.span = self._tracing.start(
            "caller",
            traceparent=call.traceparent,
            attributes={"request": ctx.id, "account": ctx.account.name},
        )
        self._budget.on_attempt()
        if ctx.protected:
            self._begin_action(ctx)
        else:
            self._queue(ctx)

    def _quarantine_error(self, ctx: RequestContext) -> RouterError | None:
        """Return why a request must not be sent to any endpoint, or None."""
        if not self._quarantine:
            return None
        remaining_s = self._quarantine.remaining_s(
            monotonic(), ctx.identity.request, ctx.identity.parts
        )
        if not remaining_s:
            return None
        text = "endpoints crashed while running this request"
        return RouterError(ErrorKind.QUARANTINED, text, retry_after_s=remaining_s)

    def _check_quarantine(self, ctx: RequestContext) -> None:
        if (exc := self._quarantine_error(ctx)) is not None:
            raise exc

    def on_quarantined(self, quarantined: frozenset[Fingerprint]) -> None:
        """Refuse queued requests that were just quarantined."""
        waiting = [c for c in self._active if c.phase is Phase.QUEUED]
        for ctx in waiting:
            exc = self._quarantine_error(ctx)
            if exc is not None and not quarantined.isdisjoint(ctx.identity):
                cancelled = self._control.entry.cancel(ctx.id)
                self._control.run(cancelled)
                self._refuse(ctx, exc)

    def on_caller_disconnect(self, call: ChatCall | ServiceCall | StatusCall) -> None:
        """Cancel the request of a caller that has disconnected."""
        ctx = self._active.for_call(call)
        if ctx is None:
            return
        if ctx.phase is Phase.RUNNING and ctx.protected:
            # The action was sent and may take effect. Its outcome is still recorded in
            # the log; otherwise a retry with the same key would get only "unknown".
            return
        if ctx.phase is Phase.RUNNING:
            self._stop_run(ctx)
        elif ctx.phase is Phase.QUEUED:
            self._control.run(self._control.entry.cancel(ctx.id))
        self._cancel_action(ctx)
        self._end(ctx, "gone")

    # Queueing and slot grants.

    def _begin_action(self, ctx: RequestContext) -> None:
        ctx.phase = Phase.ASKING
        ctx.stage_span = self._tracing.start("action", parent=ctx.span)
        begin = self._control.actions.begin(
            monotonic(), ctx.id, ctx.action_key, ctx.digest, ctx.deadline
        )
        self._control.run(begin)

    def on_may_run(self, request: str) -> None:
        """Queue a protected action that is the first with its key."""
        ctx = self._active.get(request)
        if ctx is None:
            cancel_effects = self._control.actions.cancel(monotonic(), request)
            self._control.run(cancel_effects)
            return
        self._tracing.finish(ctx.stage_span)
        if (exc := self._quarantine_error(ctx)) is not None:
            self._refuse(ctx, exc)
        else:
            self._queue(ctx)

    def _queue(self, ctx: RequestContext) -> None:
        ctx.phase = Phase.QUEUED
        ctx.queued_at = monotonic()
        ctx.stage_span = self._tracing.start("queue", parent=ctx.span)
        waiting = WaitingRequest(
            ctx.id,
            ctx.account.name,
            ctx.pool.name,
            ctx.cost,
            ctx.deadline,
            self._prefixes.endpoint(ctx.prefix),
        )
        self._control.run(self._control.entry.submit(ctx.queued_at, waiting))

    def on_refuse(self, refuse: Refuse) -> None:
        """Answer a waiting request with an error."""
        ctx = self._active.get(refuse.request)
        if ctx is None:
            return
        self._refuse(
            ctx,
            RouterError(
                refuse.kind,
                refuse.message,
                ran=refuse.ran,
                retry_after_s=refuse.retry_after_s,
            ),
        )

    def on_replay(self, replay: Replay) -> None:
        """Answer a repeated protected action from its record."""
        ctx = self._active.get(replay.request)
        if ctx is None:
            return
        headers = (
            ("Content-Type", replay.content_type or "application/octet-stream"),
            ("Idempotent-Replayed", "true"),
        )
        ctx.call.reply.raw(replay.status, headers, replay.body)
        self._telemetry.on_replayed()
        self._end(ctx, "replayed")

    def on_start(self, start: Start) -> None:
        """Send a request to the endpoint that granted it a slot."""
        ctx = self._active.get(start.request)
        now = monotonic()
        if ctx is None:
            self._return_grant(start.grant)
            return
        self._tracing.finish(ctx.stage_span, endpoint=start.endpoint)
        self._telemetry.on_started(ctx, now)
        ctx.grant = start.grant
        ctx.endpoint = self._cfg.endpoints.get(start.endpoint)
        grant_span = self._tracing.start("grant", parent=ctx.span)
        self._tracing.finish(grant_span, grant=start.grant)
        if ctx.endpoint is None:
            self._return_grant(start.grant, ctx)
            self._retry(
                ctx,
                RouterError(
                    ErrorKind.NO_ENDPOINT, "the endpoint is no longer configured"
                ),
            )
        elif now >= ctx.deadline or not self._may_send(ctx):
            text = "the deadline passed before the request could be sent"
            self._refuse(ctx, RouterError(ErrorKind.DEADLINE, text))
        elif (exc := self._quarantine_error(ctx)) is not None:
            self._refuse(ctx, exc)
        else:
            self._send(ctx, now)

    def _may_send(self, ctx: RequestContext) -> bool:
        if not ctx.protected:
            return True
        return self._control.actions.begin_send(monotonic(), ctx.id)

    def _send(self, ctx: RequestContext, now: float) -> None:
        ctx.phase = Phase.RUNNING
        ctx.started_at = now
        ctx.attempts += 1
        ctx.pieces = 0
        ctx.run_is_sound = False
        ctx.stage_span = self._tracing.start(
            "endpoint",
            parent=ctx.span,
            attributes={"endpoint": ctx.endpoint.name, "attempt": ctx.attempts},
        )
        received = ctx.call.traceparent
        traceparent = self._tracing.traceparent(ctx.stage_span, received)
        self._prefixes.record(ctx.prefix, ctx.endpoint.name)
        self._runs.start(ctx, traceparent, self)

    # Events of a run; see ``endpoint_run.RunListener``.

    def take_retry(self) -> bool:
        """Take a retry from the budget; False if the budget is exhausted."""
        return self._budget.take(monotonic())

    def on_progress(self, ctx: RequestContext, pieces: int) -> None:
        """Charge streamed pieces to the grant."""
        self._control.entry.on_progress(ctx.grant, pieces)
        if not ctx.run_is_sound and not _is_suspect_run(ctx):
            ctx.run_is_sound = True
            self.crashes.on_sound_run(ctx.identity, _began_at(ctx))
        self._check_leaving(ctx)

    def _check_leaving(self, ctx: RequestContext) -> None:
        if isinstance(ctx.run, EngineCall) and ctx.run.leaving:
            self._on_leaving(ctx.endpoint.name, "answer")

    def on_run_end(self, ctx: RequestContext, end: RunEnd) -> None:
        """Answer or retry the request, depending on how its run ended."""
        if isinstance(ctx.run, EngineCall):
            self._telemetry.on_stream_end(ctx, ctx.run)
            self._check_leaving(ctx)
            if ctx.run.was_sent_before and ctx.ran is Ran.NO:
                ctx.ran = Ran.UNKNOWN
        match end:
            case Completed():
                self._complete(ctx, end)
            case ServiceAnswer():
                self._answer(ctx, end)
            case Refused(status, message) if status in CALLER_FAULT_STATUSES:
                self._return_grant(ctx.grant, ctx)
                exc = RouterError(ErrorKind.BAD_REQUEST, message, ran=Ran.NO)
                self._refuse_after_send(ctx, exc)
            case Refused(status, message, wait):
                requested_backoff_s = (
                    wait if status == HTTPStatus.SERVICE_UNAVAILABLE else None
                )
                self._return_grant(
                    ctx.grant,
                    ctx,
                    failed=True,
                    backoff_s=requested_backoff_s or 0.0,
                )
                self._retry(ctx, _endpoint_error(message, wait))
            case Unreachable(message):
                self._return_grant(ctx.grant, ctx, failed=True)
                self._retry(ctx, _endpoint_error(message, None))
            case Cut():
                self._cut(ctx, end)

    def _complete(self, ctx: RequestContext, end: Completed) -> None:
        self.crashes.on_successful_answer(ctx.identity, _began_at(ctx))
        served = end.usage.completion_tokens if end.usage else ctx.pieces
        self._return_grant(ctx.grant, ctx, served=float(served))
        self._runs.finish_answer(ctx, end)
        content_type, body = self._runs.stored_answer(ctx, end)
        self._record_outcome(ctx, Ran.YES, 200, content_type, body)
        self._telemetry.on_answered(ctx, served)
        self._end(ctx, "complete", tokens=served)

    def _answer(self, ctx: RequestContext, end: ServiceAnswer) -> None:
        if end.leaving:
            self._on_leaving(ctx.endpoint.name, "answer")
        if end.status < HTTPStatus.MULTIPLE_CHOICES:
            self.crashes.on_successful_answer(ctx.identity, _began_at(ctx))
        self._return_grant(ctx.grant, ctx, served=ctx.cost, backoff_s=end.backoff_s)
        headers = (*end.headers, ("X-Request-Id", ctx.wire_id))
        ctx.call.reply.raw(end.status, headers, end.body)
        self._record_outcome(ctx, Ran.YES, end.status, end.content_type, end.body)
        self._telemetry.on_answered(ctx, ctx.cost)
        self._end(ctx, "complete", status=end.status)

    def _cut(self, ctx: RequestContext, end: Cut) -> None:
        self._return_grant(ctx.grant, ctx, served=float(ctx.pieces), failed=True)
        self._telemetry.on_cut(ctx)
        if end.connection_lost and _is_suspect_run(ctx):
            self.crashes.on_cut(_endpoint_start(ctx.endpoint), ctx.identity)
        text = f"endpoint {ctx.endpoint.name}: {end.message}"
        exc = RouterError(ErrorKind.ENDPOINT_CUT, text, ran=end.ran)
        repeatable = not ctx.protected and isinstance(ctx.call, ChatCall)
        if repeatable and not ctx.call.reply.streaming:
            ctx.ran = end.ran
            self._retry(ctx, exc)
        else:
            self._refuse_after_send(ctx, exc)

    # Retries, final answers and cleanup.

    def _retry(self, ctx: RequestContext, exc: RouterError) -> None:
        """Queue a request again that did not run or may run more than once."""
        if ctx.protected:
            self._refuse_after_send(ctx, exc)
            return
        late = monotonic() >= ctx.deadline
        if (quarantine_exc := self._quarantine_error(ctx)) is not None:
            self._refuse(ctx, quarantine_exc)
            return
        if late or ctx.attempts >= MAX_ATTEMPTS or not self.take_retry():
            self._refuse(ctx, exc)
            return
        self._tracing.finish(ctx.stage_span, error=exc.message)
        self._telemetry.on_retry(ctx)
        self._queue(ctx)

    def _refuse_after_send(self, ctx: RequestContext, exc: RouterError) -> None:
        if exc.ran is not Ran.NO:
            self._telemetry.on_outcome_unknown(ctx)
            self._record_outcome(ctx, exc.ran)
        elif ctx.protected:
            ended = self._control.actions.on_ended(monotonic(), ctx.id, Ran.NO)
            self._control.run(ended)
        self._refuse(ctx, exc)

    def _refuse(self, ctx: RequestContext, exc: RouterError) -> None:
        if ctx.phase is not Phase.RUNNING and ctx.grant:
            self._return_grant(ctx.grant)
        self._cancel_action(ctx)
        if exc.ran is Ran.NO and ctx.ran is not Ran.NO:
            # This attempt did not run, but an earlier one that was cut off may have,
            # so the answer must not claim that the request never ran.
            exc = RouterError(
                exc.kind, exc.message, ran=ctx.ran, retry_after_s=exc.retry_after_s
            )
        has_status = not ctx.call.reply.streaming
        if exc.ran is not Ran.NO and exc.claims_not_run and has_status:
            exc = _without_claim(exc)
        self._telemetry.on_refused(exc, ctx)
        headers = [("X-Request-Id", ctx.wire_id)]
        ctx.call.reply.error(exc, headers)
        self._end(ctx, exc.kind.value)

    def _record_outcome(
        self,
        ctx: RequestContext,
        ran: Ran,
        status: int = 0,
        content_type: str = "",
        body: bytes = b"",
    ) -> None:
        if not ctx.protected:
            return
        self._control.run(
            self._control.actions.on_ended(
                monotonic(),
                ctx.id,
                ran,
                status=status,
                content_type=content_type,
                body=body,
            )
        )

    def _cancel_action(self, ctx: RequestContext) -> None:
        if ctx.protected:
            cancel_effects = self._control.actions.cancel(monotonic(), ctx.id)
            self._control.run(cancel_effects)

    def _return_grant(
        self,
        grant: str,
        ctx: RequestContext | None = None,
        *,
        served: float = 0.0,
        failed: bool = False,
        backoff_s: float = 0.0,
    ) -> None:
        if ctx and backoff_s:
            endpoint = ctx.endpoint.name
            if self._control.entry.on_backoff(monotonic(), endpoint, backoff_s):
                self._telemetry.on_backoff(endpoint, backoff_s)
        seconds = monotonic() - ctx.started_at if ctx else 0.0
        if ctx:
            ctx.grant = ""
        finished = self._control.entry.on_finished(
            grant, served, seconds, failed=failed, backoff_s=backoff_s
        )
        self._control.run(finished)

    def _stop_run(self, ctx: RequestContext) -> None:
        ctx.run.cancel()
        self._return_grant(ctx.grant, ctx, served=float(ctx.pieces))

    def _end(self, ctx: RequestContext, result: str, **attributes: object) -> None:
        self._telemetry.on_ended(ctx, monotonic())
        self._tracing.finish(ctx.stage_span)
        self._tracing.finish(ctx.span, result=result, **attributes)
        self._active.remove(ctx, result)

    def on_tick(self) -> None:
        """Stop requests that run past their deadline; their callers no longer wait."""
        now = monotonic()
        for ctx in self._active.overdue(now):
            self._stop_run(ctx)
            ran = Ran.YES if ctx.pieces else Ran.UNKNOWN
            text = "the deadline passed while the endpoint ran the request"
            self._refuse_after_send(ctx, RouterError(ErrorKind.DEADLINE, text, ran=ran))


def _began_at(ctx: RequestContext) -> float | None:
    """Return the time of the first piece of a streamed answer, or None."""
    first_s = ctx.run.first_piece_s if isinstance(ctx.run, EngineCall) else None
    return None if first_s is None else ctx.started_at + first_s


def _is_suspect_run(ctx: RequestContext) -> bool:
    """Whether a run is suspected if its endpoint crashed."""
    run = ctx.run
    first_s = run.first_piece_s if isinstance(run, EngineCall) else None
    return first_s is None or run.seconds - first_s < SUSPECT_RUN_MAX_AGE_S


def _endpoint_start(endpoint: Endpoint) -> EndpointStart:
    # The configuration does not distinguish process starts of an endpoint, so the
    # time is divided into intervals instead.
    start = f"{endpoint.name} {endpoint.generation} {int(time() // CRASH_INTERVAL_S)}"
    address = endpoint.host, endpoint.port
    return EndpointStart(endpoint.name, start, endpoint.pool, address)


def _without_claim(exc: RouterError) -> RouterError:
    """Return an error without a status that claims that the request has not run."""
    timed_out = exc.kind is ErrorKind.DEADLINE
    kind = ErrorKind.OUTCOME_UNKNOWN if timed_out else ErrorKind.ENDPOINT_FAILED
    return RouterError(kind, exc.message, ran=exc.ran, retry_after_s=exc.retry_after_s)


def _endpoint_error(message: str, retry_after_s: float | None) -> RouterError:
    return RouterError(
        ErrorKind.ENDPOINT_FAILED, message, ran=Ran.NO, retry_after_s=retry_after_s
    )
