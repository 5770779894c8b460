"""Request forwarding: admission, sending to endpoints, retries and answers."""

from collections.abc import Iterable

from greengageflow.core.endpoint_choice import Choice
from greengageflow.core.endpoint_list import EndpointList, ListedEndpoint
from greengageflow.core.quarantine import Fingerprint, Quarantine
from greengageflow.core.routes import Routing
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.core.service_scheduler import (
    QUEUE_TARGET_FRACTION,
    Decision,
    RefuseJob,
    StartJob,
)
from greengageflow.daemon.crash_watch import CrashWatch
from greengageflow.daemon.forward_admission import ForwardAdmission
from greengageflow.daemon.forward_flight import ForwardFlight, Phase
from greengageflow.daemon.forward_sending import (
    MIN_ATTEMPT_S,
    STALL_TIMEOUT_S,
    is_stalled,
    new_events,
    with_limits,
    with_stale_retry,
)
from greengageflow.daemon.forward_telemetry import ForwardTelemetry
from greengageflow.daemon.leaving_watch import LeavingWatch
from greengageflow.daemon.placement import Placement
from greengageflow.errors import ErrorKind, Ran, RouterError
from greengageflow.net.endpoint_answer import AnswerNote
from greengageflow.net.endpoint_attempt import EndpointAttempt
from greengageflow.net.event_frames import Frame
from greengageflow.net.forward_calls import ForwardCall
from greengageflow.net.http_messages import Failure, FailureKind
from greengageflow.net.http_pool import HttpPool
from greengageflow.net.timers import Timers
from greengageflow.platform.answers import headers_for_caller, note_of
from greengageflow.platform.requests import outgoing

MAX_ATTEMPTS = 4
"""Maximum number of times that a request is sent, the first one included."""
SUSPECT_RUN_MAX_AGE_S = 1.0
"""Age up to which a run is suspected when its endpoint crashes, in seconds.

Counted from the run's first event; a run without one is always suspected.
"""
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that assure the caller that its request has not run and never will."""


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
    """

    placement: Placement
    crashes: CrashWatch
    leaving: LeavingWatch

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
        self._timers = timers
        self._endpoints = endpoints
        self._dispatcher = dispatcher
        self._admission = admission
        self._telemetry = telemetry
        self._quarantine = quarantine
        self._flights: dict[str, ForwardFlight] = {}
        self._by_call: dict[int, ForwardFlight] = {}

    @property
    def flights(self) -> int:
        """Number of requests that have no final answer yet."""
        return len(self._flights)

    def on_routing(self, routing: Routing) -> None:
        """Apply a new configuration."""
        self._admission.on_routing(routing)
        self._dispatcher.on_routing(routing)
        self._telemetry.config_version = routing.version

    # Calls.

    def unready(self) -> RouterError | None:
        """Return why the load balancer should send no requests here, or None."""
        if self.stopping:
            return RouterError(ErrorKind.STOPPING, "this router is stopping")
        return self._admission.unready()

    def on_call(self, call: ForwardCall) -> None:
        """Handle a call; the answer may come later."""
        try:
            if self.refusing:
                text = "this router is stopping"
                raise RouterError(ErrorKind.STOPPING, text, retry_after_s=0.0)
            flight = self._admission.admit(call)
        except RouterError as exc:
            self._telemetry.on_not_admitted(call.request, exc)
            call.reply.error(exc)
            return
        if (exc := self._quarantine_error(flight)) is not None:
            self._telemetry.on_refused(self._timers.now, flight, exc)
            call.reply.error(exc)
            return
        self._flights[flight.id] = flight
        self._by_call[flight.call_key] = flight
        timeout_s = flight.deadline - flight.arrived_at
        flight.timer = self._timers.after(timeout_s, lambda: self._on_deadline(flight))
        job = self._admission.job(flight)
        self.carry_out(
            self.placement.submit(
                flight.arrived_at, flight.service, job, flight.account
            )
        )

    def _quarantine_error(self, flight: ForwardFlight) -> RouterError | None:
        """Return why a request must not be sent to any endpoint, or None."""
        remaining_s = self._quarantine.remaining_s(self._timers.now, flight.fingerprint)
        if not remaining_s:
            return None
        text = "endpoints crashed while running this request"
        return RouterError(ErrorKind.QUARANTINED, text, retry_after_s=remaining_s)

    def on_quarantined(self, quarantined: frozenset[Fingerprint]) -> None:
        """Refuse requests under way that were just quarantined.

        A request that an endpoint may still have queued is cancelled there before it
        starts to run. Streams that have begun are left alone.
        """
        for flight in list(self._flights.values()):
            streaming = flight.phase is Phase.STREAMING
            if (
                flight.fingerprint in quarantined
                and not streaming
                and self._is_open(flight)
            ):
                if flight.attempt is not None:
                    self._stop_attempt(flight)
                    flight.may_have_run = True
                self._answer_error(flight, self._quarantine_error(flight))

    def _is_open(self, flight: ForwardFlight) -> bool:
        return self._flights.get(flight.id) is flight

    def on_gone(self, call: ForwardCall) -> None:
        """Cancel the request of a caller that has disconnected."""
        flight = self._by_call.get(id(call))
        if flight is None:
            return
        self._stop_attempt(flight)
        self._telemetry.on_caller_left(self._timers.now, flight)
        self._end(flight)

    # Decisions.

    def carry_out(self, decisions: Iterable[Decision]) -> None:
        """Start or refuse requests as decided by the scheduler."""
        for decision in decisions:
            flight = self._flights.get(decision.request)
            if flight is None:
                self.placement.on_decision(decision)
                continue
            match decision:
                case StartJob(choice=choice):
                    if (exc := self._quarantine_error(flight)) is None:
                        self._start(flight, choice)
                    else:
                        self._answer_error(flight, exc)
                case RefuseJob(kind=kind, message=message, retry_after_s=wait_s):
                    exc = RouterError(kind, message, retry_after_s=wait_s)
                    self._answer_error(flight, exc)

    def _start(self, flight: ForwardFlight, choice: Choice) -> None:
        now = self._timers.now
        flight.phase = Phase.SENT
        flight.first_sent_at = now
        flight.predicted_wait_s = choice.wait_s
        self._telemetry.on_sent(now, flight, choice, self.placement.placer(flight.id))
        self._send(flight, choice)

    def _send(self, flight: ForwardFlight, choice: Choice) -> None:
        now = self._timers.now
        flight.attempt_count += 1
        flight.choice = choice
        flight.last_progress_at = now
        flight.run_began_at = None
        self.placement.sent(now, flight.id, choice, flight.req.prompt)
        request = outgoing(
            flight.req,
            choice.endpoint,
            account=flight.account,
            left_s=flight.deadline - now,
            last_event=flight.last_event,
            fetch_from=choice.fetch_from,
        )
        flight.attempt = EndpointAttempt(
            self._pool,
            with_limits(request, flight, now),
            choice.endpoint,
            lambda head: note_of(head, flight.req.id),
            stream=flight.route.stream,
            listener=_AttemptListener(self, flight),
        )
        flight.attempt.start()

    # Events from endpoints.

    def on_head(self, flight: ForwardFlight) -> None:
        """Handle the answer's head and what it says about the endpoint's state."""
        attempt = flight.attempt
        flight.may_have_arrived = True
        if attempt.note.leaving:
            self.leaving.on_answer(attempt.endpoint)

    def on_events(self, flight: ForwardFlight, frames: list[Frame]) -> None:
        """Pass stream events on to the caller, with backpressure."""
        now = self._timers.now
        attempt = flight.attempt
        if attempt.events == len(frames):
            self.placement.first_event(now, flight.id, attempt.endpoint)
            flight.may_have_run = True
            flight.run_began_at = now
        if flight.phase is not Phase.STREAMING:
            flight.phase = Phase.STREAMING
            flight.first_event_at = now
            self._telemetry.on_first_event(now, flight)
            flight.reply.begin(attempt.head.status, headers_for_caller(attempt.head))
        else:
            flight.longest_pause_s = max(
                flight.longest_pause_s, now - flight.last_progress_at
            )
        flight.last_progress_at = now
        flight.reply.piece(b"".join(new_events(flight, frames)))
        if flight.reply.blocked:
            attempt.pause()
            flight.reply.on_drain = attempt.resume

    def on_answer(self, flight: ForwardFlight, body: bytes) -> None:
        """Handle a complete answer that is not streamed: pass it on or retry."""
        note = flight.attempt.note
        endpoint = flight.attempt.endpoint
        if note.not_run:
            self._on_not_run(flight, note)
            return
        flight.avoid.add(endpoint.id)
        flight.may_have_run = True
        flight.runs += 1
        invalid = not note.good and note.status < 400
        good = note.good or 400 <= note.status < 500
        self.placement.answered(flight.id, endpoint, good)
        self.placement.left(flight.id, endpoint)
        if note.good:
            self.crashes.on_good_answer(flight.fingerprint)
        if not invalid and note.status < 500:
            self._answer(flight, body)
        elif (
            flight.repeatable and flight.has_runs_left and self._retry(flight, "failed")
        ):
            return
        elif invalid:
            text = "the endpoint sent an invalid answer"
            self._answer_error(flight, RouterError(ErrorKind.ENDPOINT_FAILED, text))
        else:
            self._answer(flight, body)

    def _on_not_run(self, flight: ForwardFlight, note: AnswerNote) -> None:
        endpoint = flight.attempt.endpoint
        self.placement.left(flight.id, endpoint)
        if note.backoff_s:
            self._on_backoff(endpoint, note.backoff_s)
        else:
            flight.avoid.add(endpoint.id)
        if note.replaced:
            self._endpoints.mark_leaving(endpoint.id, endpoint.born)
        exc = self._rejection_error(flight, note.status)
        if not self._retry(flight, exc.message) and not self._schedule_retry(
            flight, exc
        ):
            self._answer_error(flight, exc)

    def _schedule_retry(self, flight: ForwardFlight, exc: RouterError) -> bool:
        """Schedule a retry for the end of a backoff if the request can wait for it."""
        now = self._timers.now
        wait_s = self._dispatcher.backoff_s(now, flight.service)
        until = flight.arrived_at + QUEUE_TARGET_FRACTION * flight.route.target_s
        if flight.phase is Phase.STREAMING:
            until = flight.last_progress_at + STALL_TIMEOUT_S
        late = now + wait_s > min(until, flight.deadline)
        if not wait_s or late or flight.attempt_count >= MAX_ATTEMPTS:
            return False
        self._timers.after(wait_s, lambda: self._after_backoff(flight, exc))
        return True

    def _after_backoff(self, flight: ForwardFlight, exc: RouterError) -> None:
        if self._is_open(flight) and not self._retry(flight, exc.message):
            self._answer_error(flight, exc)

    def _on_backoff(self, endpoint: ListedEndpoint, seconds: float) -> None:
        now = self._timers.now
        if self._dispatcher.on_backoff(now, endpoint, seconds):
            self._telemetry.on_backoff(endpoint, seconds)
            self.carry_out(self._dispatcher.pump(now))

    def _rejection_error(self, flight: ForwardFlight, status: int) -> RouterError:
        text = f"{flight.attempt.endpoint.id} rejected the request with status {status}"
        wait_s = self._dispatcher.backoff_s(self._timers.now, flight.service)
        return RouterError(ErrorKind.QUEUE_FULL, text, retry_after_s=wait_s or None)

    def _answer(self, flight: ForwardFlight, body: bytes) -> None:
        head = flight.attempt.head
        now = self._timers.now
        if flight.phase is Phase.STREAMING:
            self._telemetry.on_cut(
                now, flight, f"resumption answered with status {head.status}"
            )
            flight.reply.abort()
        else:
            self._telemetry.on_finished(now, flight, head.status)
            flight.reply.raw(head.status, headers_for_caller(head), body)
        self._end(flight)

    def on_end(self, flight: ForwardFlight) -> None:
        """Finish a stream that the endpoint ended regularly."""
        head = flight.attempt.head
        self.placement.left(flight.id, flight.attempt.endpoint)
        self.crashes.on_good_answer(flight.fingerprint)
        if flight.phase is not Phase.STREAMING:
            flight.reply.begin(head.status, headers_for_caller(head))
        else:
            self._telemetry.record_longest_pause(flight)
        self._telemetry.on_finished(self._timers.now, flight, head.status)
        flight.reply.finish()
        self._end(flight)

    def on_failure(self, flight: ForwardFlight, failure: Failure) -> None:
        """Retry on another endpoint after an incomplete answer, or answer an error."""
        flight.may_have_arrived |= failure.sent
        if failure.stale and self._retry_stale(flight, failure):
            return
        failure = with_stale_retry(flight, failure)
        flight.avoid.add(flight.attempt.endpoint.id)
        if failure.lost and self._is_suspect_run(flight):
            self.crashes.on_cut(flight.attempt.endpoint, flight.fingerprint)
        self._on_attempt_failed(flight, failure)
        text = f"{flight.attempt.endpoint.id}: {failure.message}"
        if not failure.sent or (flight.repeatable and flight.has_runs_left):
            ran = Ran.UNKNOWN if flight.may_have_run else Ran.NO
            kind = ErrorKind.ENDPOINT_CUT if failure.sent else ErrorKind.NO_ENDPOINT
            self._retry_or_fail(flight, RouterError(kind, text, ran=ran))
        else:
            self._answer_error(flight, RouterError(ErrorKind.ENDPOINT_CUT, text))

    def _retry_stale(self, flight: ForwardFlight, failure: Failure) -> bool:
        """Retry a request at the same endpoint on a new connection, if allowed.

        The kept connection ended before the first byte of an answer. The endpoint may
        have received the request, so the retry counts against the retry budget.
        """
        endpoint = flight.attempt.endpoint
        allowed = flight.repeatable and flight.stale_retry_endpoint != endpoint.id
        if not allowed or not self._dispatcher.is_available(self._timers.now, endpoint):
            return False
        if not self._may_retry(flight) or not self._take_retry(flight):
            return False
        flight.may_have_run = True
        flight.stale_retry_endpoint = endpoint.id
        self.placement.left(flight.id, endpoint)
        self._resend(flight, flight.choice, failure.message)
        return True

    def _is_suspect_run(self, flight: ForwardFlight) -> bool:
        began_at = flight.run_began_at
        return began_at is None or self._timers.now - began_at < SUSPECT_RUN_MAX_AGE_S

    def _on_attempt_failed(self, flight: ForwardFlight, failure: Failure) -> None:
        endpoint = flight.attempt.endpoint
        suspended = self.placement.silent(self._timers.now, flight.id, endpoint)
        self.placement.left(flight.id, endpoint)
        self._telemetry.on_endpoint_failure(flight, failure.message, suspended)
        if failure.sent:
            flight.may_have_run = True
            flight.runs += 1

    def _retry_or_fail(self, flight: ForwardFlight, exc: RouterError) -> None:
        if not self._retry(flight, exc.message):
            self._answer_error(flight, exc)

    def _retry(self, flight: ForwardFlight, why: str) -> bool:
        """Retry a request on another endpoint, if allowed."""
        choice = self._next_choice(flight, flight.avoid)
        if choice is None:
            return False
        self._resend(flight, choice, why)
        return True

    def _next_choice(self, flight: ForwardFlight, avoid: set[str]) -> Choice | None:
        if not self._may_retry(flight):
            return None
        now = self._timers.now
        choice = self._dispatcher.choose_retry_endpoint(
            now, flight.service, flight.req.prompt, avoid
        )
        return choice if choice and self._take_retry(flight) else None

    def _may_retry(self, flight: ForwardFlight) -> bool:
        late = self._timers.now >= flight.deadline - MIN_ATTEMPT_S
        if flight.attempt_count >= MAX_ATTEMPTS or late:
            return False
        return self._quarantine_error(flight) is None

    def _take_retry(self, flight: ForwardFlight) -> bool:
        if not flight.may_have_arrived:
            return True
        now = self._timers.now
        if self._dispatcher.take_retry(now, flight.service):
            return True
        self._telemetry.on_budget_exhausted(now, flight.service)
        return False

    def _resend(self, flight: ForwardFlight, choice: Choice, why: str) -> None:
        self._telemetry.on_retry(flight, flight.attempt.endpoint.id, choice, why)
        self._send(flight, choice)

    def _resume_elsewhere(self, flight: ForwardFlight) -> None:
        # An engine that is only slow continues later. Without another endpoint to
        # resume on, giving up would cut a stream that would have completed. The engine
        # is not added to `avoid` either, as the other endpoint may prove to be down.
        flight.may_have_arrived = True
        avoid = flight.avoid | {flight.attempt.endpoint.id}
        choice = self._next_choice(flight, avoid)
        if choice is None:
            return
        flight.attempt.cancel()
        failure = Failure(FailureKind.TIMEOUT, True, "the stream stalled")
        self._on_attempt_failed(flight, failure)
        self._resend(flight, choice, failure.message)

    # Final answers and cleanup.

    def _on_deadline(self, flight: ForwardFlight) -> None:
        if flight.id not in self._flights:
            return
        self._stop_attempt(flight)
        if flight.attempt is not None:
            flight.may_have_run = True
            text = "no complete answer from the endpoint before the deadline"
            exc = RouterError(ErrorKind.OUTCOME_UNKNOWN, text)
        else:
            exc = RouterError(
                ErrorKind.DEADLINE, "the deadline passed while the request was queued"
            )
        self._answer_error(flight, exc)

    def on_tick(self) -> None:
        """Resume stalled streams elsewhere and carry out decisions that are due."""
        now = self._timers.now
        for flight in [f for f in self._flights.values() if is_stalled(f, now)]:
            self._resume_elsewhere(flight)
        self.carry_out(self._dispatcher.pump(now))

    def _stop_attempt(self, flight: ForwardFlight) -> None:
        if flight.attempt is not None:
            flight.attempt.cancel()
            self.placement.left(flight.id, flight.attempt.endpoint)

    def _answer_error(self, flight: ForwardFlight, exc: RouterError) -> None:
        if flight.may_have_run and exc.status in NOT_RUN_STATUSES:
            exc = RouterError(ErrorKind.ENDPOINT_FAILED, exc.message)
        now = self._timers.now
        if flight.phase is Phase.STREAMING:
            self._telemetry.on_cut(now, flight, exc.message)
            flight.reply.abort()
        else:
            self._telemetry.on_refused(now, flight, exc)
            flight.reply.error(exc)
        self._end(flight)

    def _end(self, flight: ForwardFlight) -> None:
        if self._flights.pop(flight.id, None) is None:
            return
        del self._by_call[flight.call_key]
        flight.timer.cancel()
        now = self._timers.now
        self.carry_out(self.placement.ended(now, flight.service, flight.id))


class _AttemptListener:
    """Passes events of an attempt to the forwarder unless a newer one replaced it."""

    def __init__(self, forwarder: Forwarder, flight: ForwardFlight) -> None:
        self._forwarder = forwarder
        self._flight = flight

    def on_head(self, attempt: EndpointAttempt) -> None:
        if self._flight.attempt is attempt:
            self._forwarder.on_head(self._flight)

    def on_events(self, attempt: EndpointAttempt, frames: list[Frame]) -> None:
        if self._flight.attempt is attempt:
            self._forwarder.on_events(self._flight, frames)

    def on_answer(self, attempt: EndpointAttempt, body: bytes) -> None:
        if self._flight.attempt is attempt:
            self._forwarder.on_answer(self._flight, body)

    def on_end(self, attempt: EndpointAttempt) -> None:
        if self._flight.attempt is attempt:
            self._forwarder.on_end(self._flight)

    def on_failure(self, attempt: EndpointAttempt, failure: Failure) -> None:
        if self._flight.attempt is attempt:
            self._forwarder.on_failure(self._flight, failure)
