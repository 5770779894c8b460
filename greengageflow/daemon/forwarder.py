"""Request forwarding: admission, sending to endpoints, retries and answers."""

from collections.abc import Callable, Iterable
from functools import partial

from greengageflow.core.endpoint_choice import Choice
from greengageflow.core.endpoint_list import EndpointList, ListedEndpoint
from greengageflow.core.fingerprint import Fingerprint
from greengageflow.core.quarantine import Quarantine
from greengageflow.core.routes import RetryPolicy, Routing
from greengageflow.core.second_placer import Redirect, RedirectOutcome
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.core.service_scheduler import (
    QUEUE_TARGET_FRACTION,
    Decision,
    RefuseJob,
    StartJob,
)
from greengageflow.daemon.crash_watch import CrashWatch
from greengageflow.daemon.end_check import (
    CHECK_TIMEOUT_S,
    REPORT_LAG_S,
    EndCheck,
    EndFinding,
)
from greengageflow.daemon.forward_admission import ForwardAdmission
from greengageflow.daemon.forward_context import (
    EndProof,
    ForwardContext,
    Phase,
    UnconfirmedEnd,
)
from greengageflow.daemon.forward_sending import (
    MIN_ATTEMPT_S,
    STALL_TIMEOUT_S,
    OnOtherStart,
    is_confirmation_overdue,
    is_stalled,
    new_events,
    start_check,
    with_limits,
    with_stale_retry,
)
from greengageflow.daemon.forward_telemetry import ForwardTelemetry
from greengageflow.daemon.leaving_watch import LeavingWatch
from greengageflow.daemon.placement import Placement
from greengageflow.daemon.stream_versions import StreamVersions
from greengageflow.errors import NOT_RUN_STATUSES, ErrorKind, Ran, RouterError
from greengageflow.net._caller_parts import BodyBudget
from greengageflow.net.endpoint_attempt import MAX_RESERVED_BYTES, EndpointAttempt
from greengageflow.net.endpoint_response import ResponseInfo
from greengageflow.net.event_frames import Frame
from greengageflow.net.forward_calls import ForwardCall
from greengageflow.net.http_messages import Failure, FailureKind
from greengageflow.net.http_pool import HttpPool
from greengageflow.net.timers import Timers
from greengageflow.platform.answers import headers_for_caller, interpret_answer
from greengageflow.platform.reports import StartVerifications
from greengageflow.platform.requests import endpoint_request

MAX_ATTEMPTS = 4
"""Maximum number of times that a request is sent, the first one included."""
SUSPECT_RUN_MAX_AGE_S = 1.0
"""Age up to which a run is suspected when its endpoint crashes, in seconds.

Counted from the run's first event; a run without one is always suspected.
"""


class Forwarder:
    """Handles the calls of one router; see ``callers.RequestHandler``.

    Args:
        pool: Sends requests to endpoints.
        timers: Timer service.
        endpoints: Listed endpoints.
        dispatcher: Schedules requests and chooses their endpoints.
        admission: Finds routes and accounts.
        telemetry: Writes log lines and metrics.
        quarantine: Requests that must not be sent to any endpoint.

    Attributes:
        placement: Decides locally or through another host where requests go; must be
            set before the first call.
        crashes: Checks endpoints that cut requests off for crashes; must be set before
            the first call.
        leaving: Handles endpoints that announce that they are leaving; must be set
            before the first call.
        versions: Knows which software version began a stream; must be set before the
            first call.
        on_other_start: Called with a start of an endpoint that answers before it is
            listed; must be set before the first call.
    """

    placement: Placement
    crashes: CrashWatch
    leaving: LeavingWatch
    versions: StreamVersions
    on_other_start: OnOtherStart

    def __init__(
        self,
        pool: HttpPool,
        timers: Timers,
        endpoints: EndpointList,
        dispatcher: ServiceDispatcher,
        admission: ForwardAdmission,
        telemetry: ForwardTelemetry,
        quarantine: Quarantine,
    ) -> None:
        self.stopping = False
        self.refusing = False
        self._pool = pool
        self._response_budget = BodyBudget(MAX_RESERVED_BYTES)
        self._timers = timers
        self._endpoints = endpoints
        self._dispatcher = dispatcher
        self._admission = admission
        self._telemetry = telemetry
        self._quarantine = quarantine
        self._verifications = StartVerifications()
        self._active: dict[str, ForwardContext] = {}
        self._by_call: dict[int, ForwardContext] = {}

    @property
    def active_requests(self) -> int:
        """Number of requests that have no final answer yet."""
        return len(self._active)

    def on_routing(self, routing: Routing) -> None:
        """Apply a new configuration."""
        self._admission.on_routing(routing)
        self._dispatcher.on_routing(routing)
        self._telemetry.config_version = routing.version

    # Calls.

    def readiness_error(self) -> RouterError | None:
        """Return why the load balancer should send no requests here, or None."""
        if self.stopping:
            return RouterError(ErrorKind.STOPPING, "this router is stopping")
        return self._admission.readiness_error()

    def on_call(self, call: ForwardCall) -> None:
        """Handle a call; the answer may come later."""
        try:
            if self.refusing:
                text = "this router is stopping"
                raise RouterError(ErrorKind.STOPPING, text, retry_after_s=0.0)
            ctx = self._admission.admit(call)
        except RouterError as exc:
            self._telemetry.on_not_admitted(call.request, exc)
            call.reply.error(exc)
            return
        if (exc := self._quarantine_error(ctx)) is not None:
            self._telemetry.on_refused(self._timers.now, ctx, exc)
            call.reply.error(exc)
            return
        self._active[ctx.id] = ctx
        self._by_call[id(call)] = ctx
        timeout_s = ctx.deadline - ctx.arrived_at
        ctx.timer = self._timers.after(timeout_s, lambda: self._on_deadline(ctx))
        if ctx.resumes_stream:
            self.versions.find(ctx, lambda: self._on_version(ctx))
        else:
            self._submit(ctx)

    def _on_version(self, ctx: ForwardContext) -> None:
        """Submit a request that takes up a stream, if the stream's version is known."""
        if not self._is_open(ctx):
            return
        if ctx.version:
            self._submit(ctx)
        else:
            text = "the software version that began the stream is not known"
            self._answer_error(ctx, RouterError(ErrorKind.VERSION_UNAVAILABLE, text))

    def _submit(self, ctx: ForwardContext) -> None:
        job = self._admission.job(ctx)
        self.carry_out(
            self.placement.submit(self._timers.now, ctx.service, job, ctx.account)
        )

    def _quarantine_error(self, ctx: ForwardContext) -> RouterError | None:
        """Return why a request must not be sent to any endpoint, or None."""
        remaining_s = self._quarantine.remaining_s(
            self._timers.now, ctx.identity.request, ctx.identity.parts
        )
        if not remaining_s:
            return None
        text = "endpoints crashed while running this request"
        return RouterError(ErrorKind.QUARANTINED, text, retry_after_s=remaining_s)

    def on_quarantined(self, quarantined: frozenset[Fingerprint]) -> None:
        """Refuse requests under way that were just quarantined.

        A request that an endpoint may still have queued is cancelled there before it
        starts to run. Streams that have begun are left alone.
        """
        for ctx in list(self._active.values()):
            if quarantined.isdisjoint(ctx.identity) or not self._is_open(ctx):
                continue
            exc = self._quarantine_error(ctx)
            if exc is None or ctx.phase is Phase.STREAMING:
                continue
            if ctx.attempt is not None:
                self._stop_attempt(ctx)
                ctx.may_have_run = True
            self._answer_error(ctx, exc)

    def _is_open(self, ctx: ForwardContext) -> bool:
        return self._active.get(ctx.id) is ctx

    def on_caller_disconnect(self, call: ForwardCall) -> None:
        """Cancel the request of a caller that has disconnected."""
        ctx = self._by_call.get(id(call))
        if ctx is None:
            return
        self._stop_attempt(ctx)
        self._telemetry.on_caller_left(self._timers.now, ctx)
        self._end(ctx)

    # Decisions.

    def carry_out(self, decisions: Iterable[Decision]) -> None:
        """Start or refuse requests as decided by the scheduler."""
        for decision in decisions:
            ctx = self._active.get(decision.request)
            if ctx is None:
                self.placement.on_decision(decision)
                continue
            match decision:
                case StartJob(choice=choice):
                    if (exc := self._quarantine_error(ctx)) is None:
                        self._start(ctx, choice)
                    else:
                        self._answer_error(ctx, exc)
                case RefuseJob(kind=kind, message=message, retry_after_s=wait_s):
                    if self.placement.redirect(decision):
                        continue
                    exc = RouterError(kind, message, retry_after_s=wait_s)
                    self._answer_error(ctx, exc)

    def on_redirected(self, redirect: Redirect, outcome: RedirectOutcome) -> None:
        """Record what became of a request for which a second placer was asked."""
        ctx = self._active.get(redirect.request)
        self._telemetry.on_redirected(self._timers.now, ctx, redirect, outcome)

    def _start(self, ctx: ForwardContext, choice: Choice) -> None:
        now = self._timers.now
        ctx.phase = Phase.SENT
        ctx.first_sent_at = now
        ctx.predicted_wait_s = choice.wait_s
        self._telemetry.on_sent(now, ctx, choice, self.placement.placer_of(ctx.id))
        self._send(ctx, choice)

    def _send(self, ctx: ForwardContext, choice: Choice) -> None:
        now = self._timers.now
        ctx.attempt_count += 1
        ctx.choice = choice
        ctx.last_progress_at = now
        ctx.run_began_at, ctx.run_is_sound = None, False
        ctx.end_proof = EndProof.FRAMING
        self.placement.on_request_sent(now, ctx.id, choice, ctx.req.prompt)
        request = endpoint_request(
            ctx.req,
            choice.endpoint,
            account=ctx.account,
            remaining_s=ctx.deadline - now,
            last_event=ctx.last_event,
            fetch_from=choice.fetch_from,
        )
        verification = start_check(
            ctx,
            self._verifications,
            self.on_other_start,
            now=now,
            states_starts=ctx.service in self._endpoints.stating,
            is_engine=self._dispatcher.is_engine(choice.endpoint),
        )
        ctx.attempt = EndpointAttempt(
            self._pool,
            with_limits(request, ctx, now, verification),
            choice.endpoint,
            partial(interpret_answer, request_id=ctx.req.id),
            stream=ctx.route.stream,
            resumes_after=ctx.last_event if ctx.phase is Phase.STREAMING else None,
            listener=_AttemptListener(self, ctx),
            budget=self._response_budget,
        )
        ctx.attempt.start()

    # Events from endpoints.

    def on_head(self, ctx: ForwardContext) -> None:
        """Handle the answer's head and what it says about the endpoint's state."""
        attempt = ctx.attempt
        ctx.may_have_arrived = True
        if attempt.response_info.leaving:
            self.leaving.on_answer(attempt.endpoint)

    def on_events(self, ctx: ForwardContext, frames: list[Frame]) -> None:
        """Pass stream events on to the caller, with backpressure."""
        now = self._timers.now
        attempt = ctx.attempt
        if attempt.events == len(frames):
            self.placement.on_first_event(now, ctx.id, attempt.endpoint)
            ctx.may_have_run = True
            ctx.run_began_at = now
        elif not ctx.run_is_sound and not self._is_suspect_run(ctx):
            ctx.run_is_sound = True
            self.crashes.on_sound_run(ctx.identity, ctx.run_began_at)
        position = ctx.position
        events = b"".join(new_events(ctx, frames))
        if ctx.unconfirmed_end is not None and ctx.position != position:
            self._on_early_end(ctx)
        pause_s, ctx.last_progress_at = now - ctx.last_progress_at, now
        if ctx.phase is not Phase.STREAMING:
            ctx.phase = Phase.STREAMING
            ctx.first_event_at = now
            self._on_begun(ctx)
            self._telemetry.on_first_event(now, ctx)
            self._begin_reply(ctx, events)
        else:
            ctx.longest_pause_s = max(ctx.longest_pause_s, pause_s)
            if attempt.at_last_events:
                # ``on_end`` follows at once and sends these events with the end.
                ctx.last_events = events
                return
            ctx.reply.send_chunk(events)
        if ctx.reply.blocked:
            attempt.pause()
            ctx.reply.on_drain = attempt.resume

    def _on_begun(self, ctx: ForwardContext) -> None:
        if not ctx.version and ctx.route.retry_policy is RetryPolicy.RESUME:
            self.versions.on_begun(ctx, lambda: self._on_not_recorded(ctx))

    def _on_not_recorded(self, ctx: ForwardContext) -> None:
        text = "the start of the endpoint is not listed, and no other host recorded it"
        exc = RouterError(ErrorKind.ENDPOINT_FAILED, text)
        if not self._is_open(ctx):
            ctx.reply.error(exc)
            return
        self._stop_attempt(ctx)
        ctx.phase, ctx.unconfirmed_end = Phase.SENT, None
        self._answer_error(ctx, exc)

    @staticmethod
    def _begin_reply(ctx: ForwardContext, data: bytes = b"") -> None:
        """Start an answer that shows no more of its end than the endpoint's does."""
        head, until_close = ctx.attempt.head, ctx.attempt.until_close
        headers = headers_for_caller(head)
        ctx.reply.begin(head.status, headers, data, until_close=until_close)

    def on_start_listed(self, endpoint: ListedEndpoint) -> None:
        """Handle that the list names a start, or the version of that start."""
        if endpoint.version:
            self.versions.on_start_listed(endpoint, self._active.values())
        elif not endpoint.born:
            self.versions.on_versions_unproven(endpoint.service, self._active.values())

    def on_answer(self, ctx: ForwardContext, body: bytes) -> None:
        """Handle the end of an answer that is not streamed."""
        if not ctx.attempt.needs_end_check:
            self._on_whole_answer(ctx, body)
            return
        ended_at = self._timers.now

        def on_checked(finding: EndFinding) -> None:
            if finding is EndFinding.UNLISTED:
                self._on_whole_answer(ctx, body)
            else:
                self._check_again(
                    ctx, ended_at, lambda: self._on_whole_answer(ctx, body)
                )

        self._telemetry.on_unproven_end(ctx)
        self._check_end(ctx, on_checked)

    def _on_whole_answer(self, ctx: ForwardContext, body: bytes) -> None:
        """Handle a complete answer that is not streamed: pass it on or retry."""
        note = ctx.attempt.response_info
        endpoint = ctx.attempt.endpoint
        if note.not_run:
            self._on_not_run(ctx, note)
            return
        ctx.avoid.add(endpoint.id)
        ctx.may_have_run = True
        ctx.runs += 1
        # An error that names no request may be another one's. Passed on, it could
        # assure the caller that this one has not run.
        invalid = not note.is_forwardable and (note.status < 400 or not note.identified)
        good = not invalid and note.status < 500
        self.placement.on_response(ctx.id, endpoint, good)
        self.placement.on_request_released(
            ctx.id, endpoint, completed=note.is_forwardable
        )
        if note.is_forwardable:
            self.crashes.on_successful_answer(ctx.identity, ctx.run_began_at)
        # The endpoint has not stated that it did not run the request, but to the caller
        # these statuses would.
        misleading = note.status in NOT_RUN_STATUSES
        if good and not misleading:
            self._answer(ctx, body)
            return
        if ctx.repeatable and ctx.has_runs_left and self._retry(ctx, "failed"):
            return
        if invalid:
            text = "the endpoint sent an invalid answer"
        elif misleading:
            text = f"{endpoint.id} failed the request with status {note.status}"
        else:
            self._answer(ctx, body)
            return
        self._answer_error(ctx, RouterError(ErrorKind.ENDPOINT_FAILED, text))

    def _on_not_run(self, ctx: ForwardContext, note: ResponseInfo) -> None:
        endpoint = ctx.attempt.endpoint
        self.placement.on_request_released(ctx.id, endpoint)
        if note.backoff_s:
            self._on_backoff(endpoint, note.backoff_s)
        else:
            ctx.avoid.add(endpoint.id)
        if note.endpoint_replaced:
            self._endpoints.mark_leaving(endpoint.id, endpoint.born)
        self._retry_or_wait(ctx, note.status)

    def _retry_or_wait(self, ctx: ForwardContext, status: int) -> None:
        """Retry a rejected request now or after a backoff, or answer an error."""
        if ctx.unconfirmed_end is not None:
            self._on_not_confirmed(ctx)
            return
        # The backoff is read before an endpoint is chosen. If it ended between the
        # choice and a later reading, there would be neither an endpoint nor a time to
        # wait for.
        now = self._timers.now
        wait_s = self._dispatcher.backoff_s(now, ctx.service)
        exc = self._rejection_error(ctx, status, wait_s)
        if self._retry(ctx, exc.message):
            return
        if not wait_s or not self._may_wait_until(ctx, now + wait_s):
            self._answer_error(ctx, exc)
            return
        self._timers.after(wait_s, lambda: self._after_backoff(ctx, status))

    def _may_wait_until(self, ctx: ForwardContext, retry_at: float) -> bool:
        until = ctx.arrived_at + QUEUE_TARGET_FRACTION * ctx.route.target_s
        if ctx.phase is Phase.STREAMING:
            until = ctx.last_progress_at + STALL_TIMEOUT_S
        in_time = retry_at <= min(until, ctx.deadline)
        return in_time and ctx.attempt_count < MAX_ATTEMPTS

    def _after_backoff(self, ctx: ForwardContext, status: int) -> None:
        # Answers to other requests may have prolonged the backoff.
        if self._is_open(ctx):
            self._retry_or_wait(ctx, status)

    def _on_backoff(self, endpoint: ListedEndpoint, seconds: float) -> None:
        now = self._timers.now
        if self._dispatcher.on_backoff(now, endpoint, seconds):
            self._telemetry.on_backoff(endpoint, seconds)
            self.carry_out(self._dispatcher.pump(now))

    def _rejection_error(
        self, ctx: ForwardContext, status: int, wait_s: float
    ) -> RouterError:
        text = f"{ctx.attempt.endpoint.id} rejected the request with status {status}"
        return RouterError(ErrorKind.QUEUE_FULL, text, retry_after_s=wait_s or None)

    def _answer(self, ctx: ForwardContext, body: bytes) -> None:
        if ctx.unconfirmed_end is not None:
            self._on_not_confirmed(ctx)
            return
        head = ctx.attempt.head
        now = self._timers.now
        if ctx.phase is Phase.STREAMING:
            self._telemetry.on_cut(
                now, ctx, f"resumption answered with status {head.status}"
            )
            ctx.reply.abort()
        else:
            self._telemetry.on_finished(now, ctx, head.status)
            if ctx.attempt.is_end_proven:
                ctx.reply.raw(head.status, headers_for_caller(head), body)
            else:
                self._begin_reply(ctx, body)
                ctx.reply.finish()
        self._end(ctx)

    def on_end(self, ctx: ForwardContext) -> None:
        """Handle the end of a stream between two events."""
        if ctx.attempt.is_end_proven:
            self._finish_stream(ctx)
        elif ctx.unconfirmed_end is not None:
            self._on_not_confirmed(ctx)
        else:
            self._on_unproven_end(ctx)

    def _on_unproven_end(self, ctx: ForwardContext) -> None:
        end = UnconfirmedEnd(ctx.attempt, ctx.run_began_at, self._timers.now)

        def on_checked(_finding: EndFinding) -> None:
            # The report may be older than the end, so a listed run shows nothing yet.
            ctx.unconfirmed_end = end
            if not self._confirm_end(ctx):
                self._on_not_confirmed(ctx)

        self._telemetry.on_unproven_end(ctx)
        if ctx.phase is not Phase.STREAMING and not ctx.resumes_stream:
            self._on_truncated(ctx, "the stream ended before its first event")
        else:
            self._check_end(ctx, on_checked)

    def _check_end(
        self,
        ctx: ForwardContext,
        on_alive: Callable[[EndFinding], None],
        delay_s: float = 0.0,
    ) -> None:
        """Treat an answer as truncated if its endpoint is found to have ended.

        Args:
            ctx: The request.
            on_alive: Called with what else is found.
            delay_s: Time until the endpoint is asked, in seconds.
        """

        def on_done(finding: EndFinding) -> None:
            ctx.end_check = None
            ctx.end_proof = EndProof.NONE
            # Releases the memory of the answer.
            ctx.attempt.cancel()
            if finding is EndFinding.GONE:
                text = "the endpoint ended with its answer, which has no length"
                self._on_truncated(ctx, text)
            else:
                on_alive(finding)

        ctx.end_check = EndCheck(
            ctx.attempt.endpoint,
            ctx.req.id,
            on_done,
            self.on_other_start,
            states_start=bool(ctx.attempt.verified_start),
            pool=self._pool,
            timers=self._timers,
        )
        # The answer must reach its caller in time, whatever the check finds.
        timeout_s = ctx.deadline - MIN_ATTEMPT_S - self._timers.now - delay_s
        if timeout_s > 0:
            ctx.end_check.start(delay_s, min(timeout_s, CHECK_TIMEOUT_S))
        else:
            on_done(EndFinding.UNKNOWN)

    def _check_again(
        self, ctx: ForwardContext, ended_at: float, on_ended: Callable[[], None]
    ) -> None:
        """Treat an answer as truncated if its endpoint shows so some time later.

        It does if it lists the run still, or ends this connection as well.

        Args:
            ctx: The request.
            ended_at: Time at which the answer ended.
            on_ended: Called if nothing shows so.
        """

        def on_checked(finding: EndFinding) -> None:
            match finding:
                case EndFinding.LISTED:
                    text = "the run goes on after the end of its answer"
                    self._on_truncated(ctx, text)
                case EndFinding.CUT:
                    text = "the endpoint ended with its answer, which has no length"
                    self._on_truncated(ctx, text)
                case _:
                    on_ended()

        endpoint = ctx.attempt.endpoint
        self.placement.on_request_released(ctx.id, endpoint, completed=True)
        delay_s = max(0.0, ended_at + REPORT_LAG_S - self._timers.now)
        self._check_end(ctx, on_checked, delay_s)

    def _on_truncated(self, ctx: ForwardContext, text: str) -> None:
        ctx.unconfirmed_end = None
        self._telemetry.on_truncated_end(ctx)
        self.on_failure(ctx, Failure(FailureKind.CUT, True, text))

    def _confirm_end(self, ctx: ForwardContext) -> bool:
        """Ask another endpoint for events after a stream's end, if allowed."""
        is_resumable = ctx.route.retry_policy is RetryPolicy.RESUME
        if not is_resumable or not ctx.has_runs_left:
            return False
        endpoint = ctx.attempt.endpoint
        choice = self._next_choice(ctx, ctx.avoid | {endpoint.id})
        if choice is None:
            return False
        ctx.avoid.add(endpoint.id)
        self.placement.on_request_released(ctx.id, endpoint, completed=True)
        self._resend(ctx, choice, "the end of the stream is not proven")
        return True

    def _on_early_end(self, ctx: ForwardContext) -> None:
        """Count an endpoint as failed that ended a stream before its last event."""
        endpoint, ctx.unconfirmed_end = ctx.unconfirmed_end.attempt.endpoint, None
        ctx.runs += 1
        self._telemetry.on_truncated_end(ctx)
        suspended = self.placement.on_no_response(self._timers.now, ctx.id, endpoint)
        text = "the stream ended before its last event"
        self._telemetry.on_endpoint_failure(endpoint, text, suspended)

    def _on_not_confirmed(self, ctx: ForwardContext) -> None:
        """Check the endpoint that ended a stream again: no other one confirms the end.

        Nothing else can show that an answer ended too early.
        """
        end = self._return_to_unconfirmed_end(ctx)
        self._check_again(ctx, end.ended_at, lambda: self._finish_unproven_stream(ctx))

    def _return_to_unconfirmed_end(self, ctx: ForwardContext) -> UnconfirmedEnd:
        self._stop_attempt(ctx)
        end = ctx.unconfirmed_end
        ctx.attempt, ctx.run_began_at = end.attempt, end.run_began_at
        return end

    def _finish_unproven_stream(self, ctx: ForwardContext) -> None:
        """Finish a stream where a live endpoint ended it, or break it off."""
        ctx.unconfirmed_end = None
        ctx.end_proof = EndProof.NONE
        if ctx.phase is Phase.STREAMING and not ctx.reply.until_close:
            # The last chunk would show more than is known.
            text = "nothing shows that the stream is complete"
            self._answer_error(ctx, RouterError(ErrorKind.ENDPOINT_CUT, text))
        else:
            self._finish_stream(ctx)

    def _finish_stream(self, ctx: ForwardContext) -> None:
        head = ctx.attempt.head
        if ctx.unconfirmed_end is not None:
            ctx.end_proof = EndProof.CONFIRMED
        self.placement.on_request_released(ctx.id, ctx.attempt.endpoint, completed=True)
        began_at = (
            ctx.unconfirmed_end.run_began_at
            if ctx.unconfirmed_end
            else ctx.run_began_at
        )
        self.crashes.on_successful_answer(ctx.identity, began_at)
        if ctx.phase is not Phase.STREAMING:
            self._begin_reply(ctx)
        else:
            self._telemetry.record_longest_pause(ctx)
        self._telemetry.on_finished(self._timers.now, ctx, head.status)
        ctx.reply.finish(ctx.last_events)
        self._end(ctx)

    def on_failure(self, ctx: ForwardContext, failure: Failure) -> None:
        """Retry on another endpoint after an incomplete answer, or answer an error."""
        if failure.kind in (FailureKind.OTHER_START, FailureKind.UNVERIFIED):
            self._on_start_not_verified(ctx, failure)
            return
        ctx.may_have_arrived |= failure.sent
        if failure.stale and self._retry_stale(ctx, failure):
            return
        failure = with_stale_retry(ctx, failure)
        ctx.avoid.add(ctx.attempt.endpoint.id)
        if failure.connection_lost and self._is_suspect_run(ctx):
            self.crashes.on_cut(ctx.attempt.endpoint, ctx.identity)
        self._on_attempt_failed(ctx, failure)
        text = f"{ctx.attempt.endpoint.id}: {failure.message}"
        if not ctx.is_position_known:
            text += "; the last event has no id to resume after"
        if not failure.sent or (ctx.repeatable and ctx.has_runs_left):
            ran = Ran.UNKNOWN if ctx.may_have_run else Ran.NO
            kind = ErrorKind.ENDPOINT_CUT if failure.sent else ErrorKind.NO_ENDPOINT
            self._retry_or_fail(ctx, RouterError(kind, text, ran=ran))
        else:
            self._answer_error(ctx, RouterError(ErrorKind.ENDPOINT_CUT, text))

    def _on_start_not_verified(self, ctx: ForwardContext, failure: Failure) -> None:
        """Choose another endpoint for a request that was not sent, at no cost to it."""
        endpoint = ctx.attempt.endpoint
        if failure.kind is not FailureKind.OTHER_START or endpoint.id in ctx.restarted:
            ctx.avoid.add(endpoint.id)
        elif self._endpoints.is_current(endpoint):
            # No later start of it answered, but another endpoint.
            self._endpoints.mark_leaving(endpoint.id, endpoint.born)
        ctx.restarted.add(endpoint.id)
        self.placement.on_request_released(ctx.id, endpoint)
        if with_stale_retry(ctx, failure).sent:
            # The start before may have run it.
            ctx.runs += 1
        else:
            ctx.attempt_count -= 1
        may_run = ctx.repeatable and ctx.has_runs_left and self._may_retry(ctx)
        choice = self._choose(ctx, ctx.avoid) if may_run else None
        if choice is not None:
            self._resend(ctx, choice, failure.message)
            return
        ran = Ran.UNKNOWN if ctx.may_have_run else Ran.NO
        text = f"{endpoint.id}: {failure.message}"
        self._answer_error(ctx, RouterError(ErrorKind.NO_ENDPOINT, text, ran=ran))

    def _retry_stale(self, ctx: ForwardContext, failure: Failure) -> bool:
        """Retry a request at the same endpoint on a new connection, if allowed.

        The kept connection ended before the first byte of an answer. The endpoint may
        have received the request, so the retry counts against the retry budget.
        """
        endpoint = ctx.attempt.endpoint
        allowed = ctx.repeatable and ctx.stale_retry_endpoint != endpoint.id
        if not allowed or not self._dispatcher.may_resend(self._timers.now, endpoint):
            return False
        if not self._may_retry(ctx) or not self._take_retry(ctx):
            return False
        ctx.may_have_run = True
        ctx.stale_retry_endpoint = endpoint.id
        self.placement.on_request_released(ctx.id, endpoint)
        self._resend(ctx, ctx.choice, failure.message)
        return True

    def _is_suspect_run(self, ctx: ForwardContext) -> bool:
        began_at = ctx.run_began_at
        return began_at is None or self._timers.now - began_at < SUSPECT_RUN_MAX_AGE_S

    def _on_attempt_failed(self, ctx: ForwardContext, failure: Failure) -> None:
        endpoint = ctx.attempt.endpoint
        suspended = self.placement.on_no_response(self._timers.now, ctx.id, endpoint)
        self.placement.on_request_released(ctx.id, endpoint)
        self._telemetry.on_endpoint_failure(endpoint, failure.message, suspended)
        if failure.sent:
            ctx.may_have_run = True
            ctx.runs += 1

    def _retry_or_fail(self, ctx: ForwardContext, exc: RouterError) -> None:
        if not self._retry(ctx, exc.message):
            self._answer_error(ctx, exc)

    def _retry(self, ctx: ForwardContext, why: str) -> bool:
        """Retry a request on another endpoint, if allowed."""
        choice = self._next_choice(ctx, ctx.avoid)
        if choice is None:
            return False
        self._resend(ctx, choice, why)
        return True

    def _next_choice(self, ctx: ForwardContext, avoid: set[str]) -> Choice | None:
        if not self._may_retry(ctx):
            return None
        choice = self._choose(ctx, avoid)
        return choice if choice and self._take_retry(ctx) else None

    def _choose(self, ctx: ForwardContext, avoid: set[str]) -> Choice | None:
        return self._dispatcher.choose_retry_endpoint(
            self._timers.now,
            ctx.service,
            ctx.req.prompt,
            avoid,
            ctx.allowed_zones,
            ctx.version,
        )

    def _may_retry(self, ctx: ForwardContext) -> bool:
        late = self._timers.now >= ctx.deadline - MIN_ATTEMPT_S
        if ctx.attempt_count >= MAX_ATTEMPTS or late or not ctx.is_position_known:
            return False
        return self._quarantine_error(ctx) is None

    def _take_retry(self, ctx: ForwardContext) -> bool:
        if not ctx.may_have_arrived:
            return True
        now = self._timers.now
        if ctx.unconfirmed_end is not None:
            return self._dispatcher.take_spare_retry(now, ctx.service)
        if self._dispatcher.take_retry(now, ctx.service):
            return True
        self._telemetry.on_budget_exhausted(now, ctx.service)
        return False

    def _resend(self, ctx: ForwardContext, choice: Choice, why: str) -> None:
        self._telemetry.on_retry(ctx, ctx.attempt.endpoint.id, choice, why)
        self._send(ctx, choice)

    def _resume_elsewhere(self, ctx: ForwardContext) -> None:
        # An engine that is only slow continues later. Without another endpoint to
        # resume on, giving up would cut a stream that would have completed. The engine
        # is not added to `avoid` either, as the other endpoint may prove to be down.
        ctx.may_have_arrived = True
        avoid = ctx.avoid | {ctx.attempt.endpoint.id}
        choice = self._next_choice(ctx, avoid)
        if choice is None:
            return
        ctx.attempt.cancel()
        failure = Failure(FailureKind.TIMEOUT, True, "the stream stalled")
        self._on_attempt_failed(ctx, failure)
        self._resend(ctx, choice, failure.message)

    # Final answers and cleanup.

    def _on_deadline(self, ctx: ForwardContext) -> None:
        if ctx.id not in self._active:
            return
        if ctx.unconfirmed_end is not None:
            self._return_to_unconfirmed_end(ctx)
            self._finish_unproven_stream(ctx)
            return
        self._stop_attempt(ctx)
        if ctx.attempt is not None:
            ctx.may_have_run = True
            text = "no complete answer from the endpoint before the deadline"
            exc = RouterError(ErrorKind.OUTCOME_UNKNOWN, text)
        else:
            exc = RouterError(
                ErrorKind.DEADLINE, "the deadline passed while the request was queued"
            )
        self._answer_error(ctx, exc)

    def on_tick(self) -> None:
        """Resume stalled streams elsewhere and carry out decisions that are due."""
        now = self._timers.now
        for ctx in [c for c in self._active.values() if is_stalled(c, now)]:
            self._resume_elsewhere(ctx)
        for ctx in list(self._active.values()):
            if is_confirmation_overdue(ctx, now):
                self._on_not_confirmed(ctx)
        self.carry_out(self._dispatcher.pump(now))

    def _stop_attempt(self, ctx: ForwardContext) -> None:
        if ctx.end_check is not None:
            ctx.end_check.cancel()
            ctx.end_check = None
        if ctx.attempt is not None:
            ctx.attempt.cancel()
            self.placement.on_request_released(ctx.id, ctx.attempt.endpoint)

    def _answer_error(self, ctx: ForwardContext, exc: RouterError) -> None:
        if ctx.unconfirmed_end is not None:
            self._on_not_confirmed(ctx)
            return
        if ctx.may_have_run and exc.claims_not_run:
            exc = RouterError(ErrorKind.ENDPOINT_FAILED, exc.message)
        now = self._timers.now
        if ctx.phase is Phase.STREAMING:
            self._telemetry.on_cut(now, ctx, exc.message)
            ctx.reply.abort()
        else:
            self._telemetry.on_refused(now, ctx, exc)
            ctx.reply.error(exc)
        self._end(ctx)

    def _end(self, ctx: ForwardContext) -> None:
        if self._active.pop(ctx.id, None) is None:
            return
        del self._by_call[id(ctx.call)]
        ctx.timer.cancel()
        # The attempt refers to the context. Without this, an ended request with its
        # body would stay in memory until a garbage collection.
        ctx.attempt = ctx.unconfirmed_end = None
        now = self._timers.now
        self.carry_out(self.placement.on_request_end(now, ctx.service, ctx.id))


class _AttemptListener:
    """Passes events of an attempt to the forwarder unless a newer one replaced it."""

    def __init__(self, forwarder: Forwarder, ctx: ForwardContext) -> None:
        self._forwarder = forwarder
        self._ctx = ctx

    def on_head(self, attempt: EndpointAttempt) -> None:
        if self._ctx.attempt is attempt:
            self._forwarder.on_head(self._ctx)

    def on_events(self, attempt: EndpointAttempt, frames: list[Frame]) -> None:
        if self._ctx.attempt is attempt:
            self._forwarder.on_events(self._ctx, frames)

    def on_answer(self, attempt: EndpointAttempt, body: bytes) -> None:
        if self._ctx.attempt is attempt:
            self._forwarder.on_answer(self._ctx, body)

    def on_end(self, attempt: EndpointAttempt) -> None:
        if self._ctx.attempt is attempt:
            self._forwarder.on_end(self._ctx)

    def on_failure(self, attempt: EndpointAttempt, failure: Failure) -> None:
        if self._ctx.attempt is attempt:
            self._forwarder.on_failure(self._ctx, failure)
