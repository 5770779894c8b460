"""Request dispatch: admission, queueing, slot grants, endpoint runs and answers."""

from collections.abc import Callable
from http import HTTPStatus
from time import monotonic, time

from greengageflow.core.affinity import PrefixMap
from greengageflow.core.catalog import Endpoint, FleetConfig
from greengageflow.core.effects import Refuse, Replay, Start
from greengageflow.core.entry import WaitingRequest
from greengageflow.core.limits import RetryBudget
from greengageflow.core.quarantine import Fingerprint, Quarantine
from greengageflow.daemon.admission import Admission
from greengageflow.daemon.control import Control
from greengageflow.daemon.crash_watch import CrashWatch, EndpointStart
from greengageflow.daemon.endpoint_run import EndpointRuns, RunEnd
from greengageflow.daemon.flight import Flight, Phase
from greengageflow.daemon.flights import Flights
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
        self._flights = Flights()
        self._prefixes = PrefixMap()
        self._budget = RetryBudget(self._cfg.policy.retry_ratio, now=monotonic())

    @property
    def flights(self) -> int:
        """Number of requests that have no final answer yet."""
        return len(self._flights)

    def on_config(self, cfg: FleetConfig) -> None:
        """Apply a new configuration."""
        self._cfg = cfg
        self._admission.on_config(cfg)
        self._budget.ratio = cfg.policy.retry_ratio

    # Calls.

    def unready(self) -> RouterError | None:
        """Return why the load balancer should send no requests here, or None."""
        if self.stopping:
            return RouterError(ErrorKind.STOPPING, "this router is stopping")
        return self._admission.unready

    def on_call(self, call: ChatCall | ServiceCall | StatusCall) -> None:
        """Handle a call; the answer may come later."""
        if isinstance(call, StatusCall):
            status = self._status.status()
            if call.request:
                status["request"] = self._flights.explain(call.request)
            call.reply.json(200, status)
            return
        try:
            if self.refusing:
                raise RouterError(ErrorKind.STOPPING, "this router is stopping")
            flight = self._admission.admit(call)
            # A repeated protected action may have run before, so the log is consulted
            # before the quarantine.
            if not flight.protected:
                self._check_quarantine(flight)
        except RouterError as exc:
            self._telemetry.on_refused(exc)
            call.reply.error(exc)
            return
        self._flights.add(flight)
        self._telemetry.on_admitted(flight)
        flight.span = self._tracing.start(
            "caller",
            traceparent=call.traceparent,
            attributes={"request": flight.id, "account": flight.account.name},
        )
        self._budget.on_attempt()
        if flight.protected:
            self._begin_action(flight)
        else:
            self._queue(flight)

    def _quarantine_error(self, flight: Flight) -> RouterError | None:
        """Return why a request must not be sent to any endpoint, or None."""
        if not self._quarantine:
            return None
        remaining_s = self._quarantine.remaining_s(monotonic(), flight.fingerprint)
        if not remaining_s:
            return None
        text = "endpoints crashed while running this request"
        return RouterError(ErrorKind.QUARANTINED, text, retry_after_s=remaining_s)

    def _check_quarantine(self, flight: Flight) -> None:
        if (exc := self._quarantine_error(flight)) is not None:
            raise exc

    def on_quarantined(self, quarantined: frozenset[Fingerprint]) -> None:
        """Refuse queued requests that were just quarantined."""
        waiting = [f for f in self._flights if f.phase is Phase.QUEUED]
        for flight in waiting:
            if flight.fingerprint in quarantined:
                cancelled = self._control.entry.cancel(flight.id)
                self._control.run(cancelled)
                self._refuse(flight, self._quarantine_error(flight))

    def on_gone(self, call: ChatCall | ServiceCall | StatusCall) -> None:
        """Cancel the request of a caller that has disconnected."""
        flight = self._flights.for_call(call)
        if flight is None:
            return
        if flight.phase is Phase.RUNNING and flight.protected:
            # The action was sent and may take effect. Its outcome is still recorded in
            # the log; otherwise a retry with the same key would get only "unknown".
            return
        if flight.phase is Phase.RUNNING:
            self._stop_run(flight)
        elif flight.phase is Phase.QUEUED:
            self._control.run(self._control.entry.cancel(flight.id))
        self._cancel_action(flight)
        self._end(flight, "gone")

    # Queueing and slot grants.

    def _begin_action(self, flight: Flight) -> None:
        flight.phase = Phase.ASKING
        flight.stage_span = self._tracing.start("action", parent=flight.span)
        begin = self._control.actions.begin(
            monotonic(), flight.id, flight.action_key, flight.digest, flight.deadline
        )
        self._control.run(begin)

    def on_may_run(self, request: str) -> None:
        """Queue a protected action that is the first with its key."""
        flight = self._flights.get(request)
        if flight is None:
            cancel_effects = self._control.actions.cancel(monotonic(), request)
            self._control.run(cancel_effects)
            return
        self._tracing.finish(flight.stage_span)
        if (exc := self._quarantine_error(flight)) is not None:
            self._refuse(flight, exc)
        else:
            self._queue(flight)

    def _queue(self, flight: Flight) -> None:
        flight.phase = Phase.QUEUED
        flight.queued_at = monotonic()
        flight.stage_span = self._tracing.start("queue", parent=flight.span)
        waiting = WaitingRequest(
            flight.id,
            flight.account.name,
            flight.pool.name,
            flight.cost,
            flight.deadline,
            self._prefixes.endpoint(flight.prefix),
        )
        self._control.run(self._control.entry.submit(flight.queued_at, waiting))

    def on_refuse(self, refuse: Refuse) -> None:
        """Answer a waiting request with an error."""
        flight = self._flights.get(refuse.request)
        if flight is None:
            return
        self._refuse(
            flight,
            RouterError(
                refuse.kind,
                refuse.message,
                ran=refuse.ran,
                retry_after_s=refuse.retry_after_s,
            ),
        )

    def on_replay(self, replay: Replay) -> None:
        """Answer a repeated protected action from its record."""
        flight = self._flights.get(replay.request)
        if flight is None:
            return
        headers = (
            ("Content-Type", replay.content_type or "application/octet-stream"),
            ("Idempotent-Replayed", "true"),
        )
        flight.call.reply.raw(replay.status, headers, replay.body)
        self._telemetry.on_replayed()
        self._end(flight, "replayed")

    def on_start(self, start: Start) -> None:
        """Send a request to the endpoint that granted it a slot."""
        flight = self._flights.get(start.request)
        now = monotonic()
        if flight is None:
            self._return_grant(start.grant)
            return
        self._tracing.finish(flight.stage_span, endpoint=start.endpoint)
        self._telemetry.on_started(flight, now)
        flight.grant = start.grant
        flight.endpoint = self._cfg.endpoints.get(start.endpoint)
        grant_span = self._tracing.start("grant", parent=flight.span)
        self._tracing.finish(grant_span, grant=start.grant)
        if flight.endpoint is None:
            self._return_grant(start.grant, flight)
            self._retry(
                flight,
                RouterError(
                    ErrorKind.NO_ENDPOINT, "the endpoint is no longer configured"
                ),
            )
        elif now >= flight.deadline or not self._may_send(flight):
            text = "the deadline passed before the request could be sent"
            self._refuse(flight, RouterError(ErrorKind.DEADLINE, text))
        elif (exc := self._quarantine_error(flight)) is not None:
            self._refuse(flight, exc)
        else:
            self._send(flight, now)

    def _may_send(self, flight: Flight) -> bool:
        if not flight.protected:
            return True
        return self._control.actions.begin_send(monotonic(), flight.id)

    def _send(self, flight: Flight, now: float) -> None:
        flight.phase = Phase.RUNNING
        flight.started_at = now
        flight.attempts += 1
        flight.pieces = 0
        flight.stage_span = self._tracing.start(
            "endpoint",
            parent=flight.span,
            attributes={"endpoint": flight.endpoint.name, "attempt": flight.attempts},
        )
        received = flight.call.traceparent
        traceparent = self._tracing.traceparent(flight.stage_span, received)
        self._prefixes.record(flight.prefix, flight.endpoint.name)
        self._runs.start(flight, traceparent, self)

    # Events of a run; see ``endpoint_run.RunListener``.

    def take_retry(self) -> bool:
        """Take a retry from the budget; False if the budget is exhausted."""
        return self._budget.take(monotonic())

    def on_progress(self, flight: Flight, pieces: int) -> None:
        """Charge streamed pieces to the grant."""
        self._control.entry.on_progress(flight.grant, pieces)
        self._check_leaving(flight)

    def _check_leaving(self, flight: Flight) -> None:
        if isinstance(flight.run, EngineCall) and flight.run.leaving:
            self._on_leaving(flight.endpoint.name, "answer")

    def on_run_end(self, flight: Flight, end: RunEnd) -> None:
        """Answer or retry the request, depending on how its run ended."""
        if isinstance(flight.run, EngineCall):
            self._telemetry.on_stream_end(flight, flight.run)
            self._check_leaving(flight)
        match end:
            case Completed():
                self._complete(flight, end)
            case ServiceAnswer():
                self._answer(flight, end)
            case Refused(status, message) if status in CALLER_FAULT_STATUSES:
                self._return_grant(flight.grant, flight)
                exc = RouterError(ErrorKind.BAD_REQUEST, message, ran=Ran.NO)
                self._refuse_after_send(flight, exc)
            case Refused(status, message, wait):
                requested_backoff_s = (
                    wait if status == HTTPStatus.SERVICE_UNAVAILABLE else None
                )
                self._return_grant(
                    flight.grant,
                    flight,
                    failed=True,
                    backoff_s=requested_backoff_s or 0.0,
                )
                self._retry(flight, _endpoint_error(message, wait))
            case Unreachable(message):
                self._return_grant(flight.grant, flight, failed=True)
                self._retry(flight, _endpoint_error(message, None))
            case Cut():
                self._cut(flight, end)

    def _complete(self, flight: Flight, end: Completed) -> None:
        self.crashes.on_good_answer(flight.fingerprint)
        served = end.usage.completion_tokens if end.usage else flight.pieces
        self._return_grant(flight.grant, flight, served=float(served))
        self._runs.finish_answer(flight, end)
        content_type, body = self._runs.stored_answer(flight, end)
        self._record_outcome(flight, Ran.YES, 200, content_type, body)
        self._telemetry.on_answered(flight, served)
        self._end(flight, "complete", tokens=served)

    def _answer(self, flight: Flight, end: ServiceAnswer) -> None:
        if end.leaving:
            self._on_leaving(flight.endpoint.name, "answer")
        if end.status < HTTPStatus.MULTIPLE_CHOICES:
            self.crashes.on_good_answer(flight.fingerprint)
        self._return_grant(
            flight.grant, flight, served=flight.cost, backoff_s=end.backoff_s
        )
        headers = (*end.headers, ("X-Request-Id", flight.wire_id))
        flight.call.reply.raw(end.status, headers, end.body)
        self._record_outcome(flight, Ran.YES, end.status, end.content_type, end.body)
        self._telemetry.on_answered(flight, flight.cost)
        self._end(flight, "complete", status=end.status)

    def _cut(self, flight: Flight, end: Cut) -> None:
        self._return_grant(
            flight.grant, flight, served=float(flight.pieces), failed=True
        )
        self._telemetry.on_cut(flight)
        if end.lost and _is_suspect_run(flight):
            self.crashes.on_cut(_endpoint_start(flight.endpoint), flight.fingerprint)
        text = f"endpoint {flight.endpoint.name}: {end.message}"
        exc = RouterError(ErrorKind.ENDPOINT_CUT, text, ran=end.ran)
        repeatable = not flight.protected and isinstance(flight.call, ChatCall)
        if repeatable and not flight.call.reply.streaming:
            flight.ran = end.ran
            self._retry(flight, exc)
        else:
            self._refuse_after_send(flight, exc)

    # Retries, final answers and cleanup.

    def _retry(self, flight: Flight, exc: RouterError) -> None:
        """Queue a request again that did not run or may run more than once."""
        if flight.protected:
            self._refuse_after_send(flight, exc)
            return
        late = monotonic() >= flight.deadline
        if (quarantine_exc := self._quarantine_error(flight)) is not None:
            self._refuse(flight, quarantine_exc)
            return
        if late or flight.attempts >= MAX_ATTEMPTS or not self.take_retry():
            self._refuse(flight, exc)
            return
        self._tracing.finish(flight.stage_span, error=exc.message)
        self._telemetry.on_retry(flight)
        self._queue(flight)

    def _refuse_after_send(self, flight: Flight, exc: RouterError) -> None:
        if exc.ran is not Ran.NO:
            self._telemetry.on_outcome_unknown(flight)
            self._record_outcome(flight, exc.ran)
        elif flight.protected:
            ended = self._control.actions.on_ended(monotonic(), flight.id, Ran.NO)
            self._control.run(ended)
        self._refuse(flight, exc)

    def _refuse(self, flight: Flight, exc: RouterError) -> None:
        if flight.phase is not Phase.RUNNING and flight.grant:
            self._return_grant(flight.grant)
        self._cancel_action(flight)
        if exc.ran is Ran.NO and flight.ran is not Ran.NO:
            # This attempt did not run, but an earlier one that was cut off may have,
            # so the answer must not claim that the request never ran.
            exc = RouterError(
                exc.kind, exc.message, ran=flight.ran, retry_after_s=exc.retry_after_s
            )
        self._telemetry.on_refused(exc, flight)
        headers = [("X-Request-Id", flight.wire_id)]
        flight.call.reply.error(exc, headers)
        self._end(flight, exc.kind.value)

    def _record_outcome(
        self,
        flight: Flight,
        ran: Ran,
        status: int = 0,
        content_type: str = "",
        body: bytes = b"",
    ) -> None:
        if not flight.protected:
            return
        self._control.run(
            self._control.actions.on_ended(
                monotonic(),
                flight.id,
                ran,
                status=status,
                content_type=content_type,
                body=body,
            )
        )

    def _cancel_action(self, flight: Flight) -> None:
        if flight.protected:
            cancel_effects = self._control.actions.cancel(monotonic(), flight.id)
            self._control.run(cancel_effects)

    def _return_grant(
        self,
        grant: str,
        flight: Flight | None = None,
        *,
        served: float = 0.0,
        failed: bool = False,
        backoff_s: float = 0.0,
    ) -> None:
        if flight and backoff_s:
            endpoint = flight.endpoint.name
            if self._control.entry.on_backoff(monotonic(), endpoint, backoff_s):
                self._telemetry.on_backoff(endpoint, backoff_s)
        seconds = monotonic() - flight.started_at if flight else 0.0
        if flight:
            flight.grant = ""
        finished = self._control.entry.on_finished(
            grant, served, seconds, failed=failed, backoff_s=backoff_s
        )
        self._control.run(finished)

    def _stop_run(self, flight: Flight) -> None:
        flight.run.cancel()
        self._return_grant(flight.grant, flight, served=float(flight.pieces))

    def _end(self, flight: Flight, result: str, **attributes: object) -> None:
        self._telemetry.on_ended(flight, monotonic())
        self._tracing.finish(flight.stage_span)
        self._tracing.finish(flight.span, result=result, **attributes)
        self._flights.remove(flight, result)

    def on_tick(self) -> None:
        """Stop requests that run past their deadline; their callers no longer wait."""
        now = monotonic()
        for flight in self._flights.overdue(now):
            self._stop_run(flight)
            ran = Ran.YES if flight.pieces else Ran.UNKNOWN
            text = "the deadline passed while the endpoint ran the request"
            self._refuse_after_send(
                flight, RouterError(ErrorKind.DEADLINE, text, ran=ran)
            )


def _is_suspect_run(flight: Flight) -> bool:
    """Whether a run is suspected if its endpoint crashed."""
    run = flight.run
    first_s = run.first_piece_s if isinstance(run, EngineCall) else None
    return first_s is None or run.seconds - first_s < SUSPECT_RUN_MAX_AGE_S


def _endpoint_start(endpoint: Endpoint) -> EndpointStart:
    # The configuration does not distinguish process starts of an endpoint, so the
    # time is divided into intervals instead.
    start = f"{endpoint.name} {endpoint.generation} {int(time() // CRASH_INTERVAL_S)}"
    address = endpoint.host, endpoint.port
    return EndpointStart(endpoint.name, start, endpoint.pool, address)


def _endpoint_error(message: str, retry_after_s: float | None) -> RouterError:
    return RouterError(
        ErrorKind.ENDPOINT_FAILED, message, ran=Ran.NO, retry_after_s=retry_after_s
    )
