"""Decides requests on this host or through the placer of their engine."""

from collections.abc import Callable, Iterable, Iterator

from greengageflow.core.endpoint_choice import Choice
from greengageflow.core.endpoint_list import EndpointList, ListedEndpoint
from greengageflow.core.forward_request import Prompt
from greengageflow.core.place_messages import (
    PlacementAnswer,
    PlacementEvent,
    PlacementEventKind,
    PlacementMessage,
    PlacementRequest,
    PlacementSnapshot,
    Verdict,
)
from greengageflow.core.placers import PlacerTable
from greengageflow.core.remote_placements import placement_request, refusal_in
from greengageflow.core.router_table import Hello
from greengageflow.core.second_placer import Redirect, RedirectOutcome
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.core.service_scheduler import Decision, Job, RefuseJob, StartJob
from greengageflow.daemon.cached_parts import PartsLoader
from greengageflow.daemon.decision_fields import log_placed
from greengageflow.daemon.pending_placements import (
    PendingPlacement,
    PlacedRun,
    PlacementSender,
)
from greengageflow.daemon.placement_snapshots import (
    SNAPSHOT_INTERVAL_S,
    SnapshotSchedule,
)
from greengageflow.daemon.placer_role import PlacerRole
from greengageflow.daemon.placer_selection import PlacerSelection
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.net.decision_log import DecisionLog
from greengageflow.net.timers import Timers

ANSWER_TIMEOUT_S = 0.15
PLACER_BACKOFF_S = 1.0
DISCOVERY_HOLD_S = 0.3
"""Seconds after the start for which a host that knows no peer holds requests back.

When all hosts start at once, each would otherwise send the engines as many requests as
the whole fleet may.
"""
STARTUP_S = 3.0
DISCOVERY_POLL_S = 0.05
REFUSAL_GRACE_S = 0.1


class Placement:
    """Sends requests to the placer of their engine and places those of other hosts.

    If a placer does not answer within ``ANSWER_TIMEOUT_S``, its requests are decided
    on this host, and no request is sent to it for ``PLACER_BACKOFF_S``.

    If a placer rejects a request that could still be queued, one other placer is asked;
    see ``second_placer``. Its answer is final. If it gives none in time, the first
    rejection is returned: this host does not decide then, since the first placer knew
    the load of its engines better.

    Args:
        own: This host.
        dispatcher: Decides the requests that are decided on this host.
        endpoints: Listed endpoints.
        timers: Timer service.
        sender: Sends messages to other hosts.
        carry_out: Carries out decisions on requests of this host.
        log: Gets a line when a placer stops answering or this host's role changes.
        parts: Asks the engines that this host places for their cached prefixes.

    Attributes:
        on_redirected: Gets each request for which a second placer was asked, and what
            became of it.
    """

    def __init__(
        self,
        own: Hello,
        dispatcher: ServiceDispatcher,
        endpoints: EndpointList,
        timers: Timers,
        sender: PlacementSender,
        carry_out: Callable[[Iterable[Decision]], None],
        log: DecisionLog,
        parts: PartsLoader,
    ) -> None:
        self.on_redirected: Callable[[Redirect, RedirectOutcome], None]
        self.on_redirected = lambda _redirect, _outcome: None
        self._host = own.host
        self._zone = own.zone
        self._boot = own.boot
        self._dispatcher = dispatcher
        self._endpoints = endpoints
        self._timers = timers
        self._sender = sender
        self._carry_out = carry_out
        self._log = log
        self._pending: dict[str, PendingPlacement] = {}
        self._runs: dict[str, PlacedRun] = {}
        self._table = PlacerTable(own.host, PLACER_BACKOFF_S)
        self._selection = PlacerSelection(own, dispatcher, self._table)
        self._snapshots = SnapshotSchedule(own.host, own.boot)
        self._role = PlacerRole(
            own.host,
            dispatcher,
            endpoints,
            self._table,
            self._send,
            carry_out,
            log,
            parts,
        )
        self._remote_placements = self._role.placements
        # Requests of this host's callers that it decides as their placer.
        self._own_placements: dict[str, PendingPlacement] = {}
        self._started_at = float("-inf")

    def start(self) -> None:
        """Start sending periodic snapshots to placers."""
        self._started_at = self._timers.now
        self._timers.every(SNAPSHOT_INTERVAL_S, self._send_snapshots)
        self._poll_membership()

    def stop_placing(self) -> None:
        """Let other hosts decide their requests, since this host is stopping."""
        self._role.stopping = True

    @property
    def _is_starting(self) -> bool:
        return self._timers.now - self._started_at < STARTUP_S

    def _poll_membership(self) -> None:
        # A whole round would delay the held-back requests too long.
        if self._is_starting and self._table.is_alone:
            self.on_round()
            self._timers.after(DISCOVERY_POLL_S, self._poll_membership)

    @property
    def remote_count(self) -> int:
        """Number of requests of other hosts that this host queued or placed."""
        return len(self._remote_placements)

    @property
    def may_batch_messages(self) -> bool:
        """Whether other hosts' messages may wait for the next periodic call.

        A placer and a host that waits for one need them at once, a host that starts
        has to find its peers soon.
        """
        return self._role.owned is None and not self._pending and not self._is_starting

    # Requests of this host.

    @property
    def waiting(self) -> int:
        """Number of this host's requests that are queued here or at a placer."""
        return (
            self._dispatcher.waiting
            - self._remote_placements.waiting
            + len(self._pending)
        )

    def placer_of(self, request: str) -> str:
        """Return the host that placed a request; empty if this one did."""
        run = self._runs.get(request)
        return run.placer if run else ""

    def submit(
        self, now: float, service: str, job: Job, account: str
    ) -> Iterator[Decision]:
        """Request a placement, and yield the decisions made on this host."""
        self._dispatcher.count_request(now, service)
        if job.prompt is not None and self._holds_requests(now):
            held = PendingPlacement("", service, job, account, now, queued=True)
            self._pending[job.queued_request.id] = held
            return
        yield from self._place(now, service, job, account)

    def _holds_requests(self, now: float) -> bool:
        return self._table.is_alone and now - self._started_at < DISCOVERY_HOLD_S

    def _place(
        self, now: float, service: str, job: Job, account: str
    ) -> Iterator[Decision]:
        placer = self.placer_for(now, service, job)
        if placer:
            self._ask(now, PendingPlacement(placer, service, job, account, now))
            return
        if self._role.is_placer and self._selection.may_redirect(job):
            own = PendingPlacement(self._host, service, job, account, now)
            self._own_placements[job.queued_request.id] = own
        yield from self._dispatcher.submit(
            now, service, job, account, count_for_budget=False
        )

    def _ask(self, now: float, pending: PendingPlacement) -> None:
        """Ask a placer to place a request."""
        request = pending.job.queued_request.id
        self._pending[request] = pending
        self._snapshots.extend(now, pending.placer)
        message = placement_request(
            self._host,
            self._boot,
            now,
            pending.service,
            pending.job,
            pending.account,
            self._dispatcher.unavailable_endpoints(now, pending.service),
            self._zone,
            redirected=pending.redirect is not None,
        )
        self._send(pending.placer, message)
        self._timers.after(
            ANSWER_TIMEOUT_S, lambda: self._on_answer_timeout(request, pending)
        )

    def redirect(self, refusal: RefuseJob) -> bool:
        """Ask a second placer for a request that this host rejects as its placer.

        Returns:
            Whether one was asked; the rejection must then not be returned.
        """
        own = self._own_placements.pop(refusal.request, None)
        return own is not None and self._redirect(own, refusal)

    def _redirect(self, pending: PendingPlacement, refusal: RefuseJob) -> bool:
        now = self._timers.now
        redirect = self._selection.second(now, pending, refusal)
        if redirect is None:
            return False
        self._ask(now, pending.redirected(redirect))
        return True

    def owner_of(self, endpoint: str) -> str:
        """Return the placer of an engine, or an empty string if there is none."""
        return self._table.owner(endpoint)

    def placer_for(self, now: float, service: str, job: Job) -> str:
        """Return the host that would place a request; empty if this one would."""
        return self._selection.first(now, service, job)

    def _on_answer_timeout(self, request: str, pending: PendingPlacement) -> None:
        if self._pending.get(request) is not pending:
            return
        # Timers are called before sockets are read. At a host whose event loop is late,
        # the answer may have come in time.
        self._sender.receive_pending()
        if self._pending.get(request) is not pending:
            return
        if not pending.queued:
            self._on_placer_timeout(pending.placer)
            return
        late_s = (
            pending.job.queued_request.expires_at - self._timers.now + REFUSAL_GRACE_S
        )
        if late_s > 0:
            self._timers.after(
                late_s, lambda: self._on_answer_timeout(request, pending)
            )
        else:
            self._decide_locally(lambda other: other is pending)

    def _on_placer_timeout(self, placer: str) -> None:
        if self._table.on_timeout(self._timers.now, placer):
            asked = sum(1 for other in self._pending.values() if other.placer == placer)
            self._log.write(DecisionEvent.PLACER_SILENT, placer=placer, asked=asked)
        self._decide_locally(lambda other: other.placer == placer)

    def _on_placer_answered(self, now: float, placer: str) -> None:
        silent_s = self._table.on_answer(now, placer)
        if silent_s is not None:
            after_ms = round(1000 * silent_s)
            self._log.write(
                DecisionEvent.PLACER_HEARD, placer=placer, after_ms=after_ms
            )

    def _decide_locally(self, matches: Callable[[PendingPlacement], bool]) -> None:
        """Decide matching requests that await a placer's answer on this host.

        Those that another placer has rejected are rejected.
        """
        now = self._timers.now
        for request, pending in list(self._pending.items()):
            if not matches(pending) or self._pending.pop(request, None) is None:
                continue
            if pending.placer:
                # The placer may have it in its queue, or start it later.
                self._withdraw(pending.placer, request)
            if pending.redirect is not None:
                self.on_redirected(pending.redirect, RedirectOutcome.UNANSWERED)
                self._carry_out([pending.redirect.refusal])
                continue
            self._carry_out(
                self._dispatcher.submit(
                    now,
                    pending.service,
                    pending.job,
                    pending.account,
                    count_for_budget=False,
                )
            )

    def on_request_sent(
        self, now: float, request: str, choice: Choice, prompt: Prompt | None
    ) -> None:
        """Record that a request was sent to an endpoint."""
        run = self._runs.get(request)
        if run is None or run.endpoint.id != choice.endpoint.id or not run.active:
            self._dispatcher.on_request_sent(now, request, choice, prompt)

    def on_first_event(
        self, now: float, request: str, endpoint: ListedEndpoint
    ) -> None:
        """Record the first event of a request's response."""
        self._dispatcher.on_first_event(now, request, endpoint)
        run = self._runs.get(request)
        if run is not None and run.active:
            run.prefill_tokens = 0.0
            self._report_event(request, run, PlacementEventKind.FIRST_EVENT)

    def on_response(self, request: str, endpoint: ListedEndpoint, good: bool) -> None:
        """Record whether an endpoint's response was good."""
        self._dispatcher.on_answer(endpoint, good)
        run = self._runs.get(request)
        if run is not None and run.active and not good:
            self._report_event(request, run, PlacementEventKind.FAILED)

    def on_no_response(
        self, now: float, request: str, endpoint: ListedEndpoint
    ) -> bool:
        """Record a missing response; return whether the endpoint's backoff starts."""
        run = self._runs.get(request)
        if run is not None and run.active:
            self._report_event(request, run, PlacementEventKind.SILENT)
        return self._dispatcher.on_no_answer(now, endpoint)

    def on_request_released(
        self, request: str, endpoint: ListedEndpoint, *, completed: bool = False
    ) -> None:
        """Record that an endpoint no longer works on a request.

        Args:
            request: Its id.
            endpoint: The endpoint.
            completed: Its whole answer has come.
        """
        completed_at = self._timers.now if completed else None
        self._dispatcher.on_request_released(
            request, endpoint, completed_at=completed_at
        )
        run = self._runs.get(request)
        if run is not None and run.active:
            run.active = False
            self._report_event(request, run, PlacementEventKind.ENDED)

    def on_request_end(
        self, now: float, service: str, request: str
    ) -> Iterator[Decision]:
        """Record that a request was answered or its caller disconnected."""
        pending = self._pending.pop(request, None)
        if pending is not None:
            self._withdraw(pending.placer, request)
            if pending.redirect is not None:
                self.on_redirected(pending.redirect, RedirectOutcome.ABANDONED)
        self._own_placements.pop(request, None)
        run = self._runs.pop(request, None)
        if run is not None and run.active:
            self._report_event(request, run, PlacementEventKind.ENDED)
        yield from self._dispatcher.on_request_end(now, service, request)

    def _report_event(
        self, request: str, run: PlacedRun, kind: PlacementEventKind
    ) -> None:
        # The endpoint's placer may have changed since; the new one knows the request
        # from a snapshot.
        for host in {run.placer, self._table.owner(run.endpoint.id)}:
            self._send_event(host, request, kind)

    def _withdraw(self, placer: str, request: str) -> None:
        self._send_event(placer, request, PlacementEventKind.WITHDRAWN)

    def _send_event(self, host: str, request: str, kind: PlacementEventKind) -> None:
        event = PlacementEvent(
            host=self._host, boot=self._boot, request=request, kind=kind
        )
        if host == self._host:
            self._carry_out(self._remote_placements.on_event(self._timers.now, event))
        else:
            self._send(host, event)

    # Messages of other hosts.

    def receive(self, message: PlacementMessage) -> None:
        """Handle a message of another host."""
        now = self._timers.now
        match message:
            case PlacementRequest():
                self._role.on_request(now, message, self._is_starting)
            case PlacementAnswer():
                self._on_answer(now, message)
            case PlacementEvent():
                self._carry_out(self._remote_placements.on_event(now, message))
            case PlacementSnapshot():
                self._carry_out(self._remote_placements.on_snapshot(now, message))

    def _send(self, host: str, message: PlacementMessage) -> None:
        address = self._table.address(host)
        if address is not None:
            self._sender.send_to(address, message)

    def on_decision(self, decision: Decision) -> None:
        """Send another host the decision on its request."""
        reply = self._remote_placements.on_decision(self._timers.now, decision)
        if reply is not None:
            log_placed(self._log, decision)
            self._send(*reply)

    def _on_answer(self, now: float, answer: PlacementAnswer) -> None:
        self._on_placer_answered(now, answer.host)
        pending = self._pending.get(answer.request)
        # Each process numbers its requests from 1, so an answer meant for the host's
        # previous process would start an unrelated request, possibly at an endpoint
        # of another service.
        is_stale = answer.boot != self._boot
        if is_stale or pending is None or pending.placer != answer.host:
            if answer.verdict is Verdict.START and not is_stale:
                self._on_unused_start(answer)
            return
        match answer.verdict:
            case Verdict.QUEUED:
                pending.queued = True
            case Verdict.PASS:
                self._table.on_pass(now, answer.host, ANSWER_TIMEOUT_S)
                self._decide_locally(lambda other: other is pending)
            case Verdict.REFUSE:
                del self._pending[answer.request]
                refusal = refusal_in(answer)
                if pending.redirect is not None:
                    self.on_redirected(pending.redirect, RedirectOutcome.REFUSED)
                elif self._redirect(pending, refusal):
                    return
                self._carry_out([refusal])
            case Verdict.START:
                self._on_start(pending, answer)

    def _on_unused_start(self, answer: PlacementAnswer) -> None:
        """Free what a placer reserved for a request that was decided meanwhile."""
        run = self._runs.get(answer.request)
        if run is None or run.placer != answer.host:
            self._withdraw(answer.host, answer.request)

    def _on_start(self, pending: PendingPlacement, answer: PlacementAnswer) -> None:
        endpoint = self._endpoints.get(answer.endpoint)
        now = self._timers.now
        if (
            endpoint is None
            or not self._dispatcher.is_available(now, endpoint)
            or pending.job.version not in ("", endpoint.version)
        ):
            self._decide_locally(lambda other: other is pending)
            return
        del self._pending[answer.request]
        if pending.redirect is not None:
            self.on_redirected(pending.redirect, RedirectOutcome.STARTED)
        prompt = pending.job.prompt
        memory = prompt.tokens_in + prompt.tokens_out
        self._runs[answer.request] = PlacedRun(
            pending.placer, endpoint, answer.reading, memory
        )
        source = self._fetch_source(answer.fetch_from)
        choice = Choice(endpoint, answer.reading, answer.wait_s, source)
        self._carry_out([StartJob(pending.job.queued_request, choice)])

    def _fetch_source(self, endpoint: str) -> ListedEndpoint | None:
        source = self._endpoints.get(endpoint)
        if source is None or not self._endpoints.may_use(endpoint):
            return None
        # The placer chose an earlier start of it, whose cache is lost.
        return None if source.is_unlisted else source

    # The fleet.

    def drop_ended(self) -> None:
        """Free what requests used at a start of an endpoint that has ended."""
        self._carry_out(self._remote_placements.drop_ended(self._timers.now))

    def on_round(self) -> None:
        """Update the membership and the placers; called a few times per second."""
        now = self._timers.now
        routers = self._sender.routers()
        changed = self._table.update(routers)
        self._dispatcher.set_live_hosts(now, {row.host: row.zone for row in routers})
        self._role.on_membership(now)
        if changed:
            placers = self._table.placers
            self._decide_locally(lambda pending: pending.placer not in ("", *placers))
            self._send_snapshots()
        self._role.update_owned_engines()
        self._place_held(now)
        self._role.load_cached_parts(now)
        self._carry_out(self._remote_placements.drop_silent_hosts(now))

    def _place_held(self, now: float) -> None:
        """Place the held-back requests once other hosts are known."""
        if self._holds_requests(now):
            return
        for request, pending in list(self._pending.items()):
            if not pending.placer and self._pending.pop(request, None) is not None:
                self._carry_out(
                    self._place(now, pending.service, pending.job, pending.account)
                )

    def _send_snapshots(self) -> None:
        """Send each placer a snapshot of what it queued or placed for this host."""
        now = self._timers.now
        runs = {
            request: run
            for request, run in self._runs.items()
            if not self._endpoints.has_ended(run.endpoint)
        }
        snapshots = self._snapshots.due(now, self._pending, runs, self._table.owner)
        for host, snapshot in snapshots.items():
            if host == self._host:
                self._carry_out(self._remote_placements.on_snapshot(now, snapshot))
            else:
                self._send(host, snapshot)
