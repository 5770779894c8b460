"""Decides requests on this host or through the placer of their engine."""

from collections.abc import Callable, Iterable, Iterator

from greengageflow.core.endpoint_choice import Choice
from greengageflow.core.endpoint_list import EndpointList, ListedEndpoint
from greengageflow.core.forward_request import Prompt
from greengageflow.core.place_messages import (
    PlacementAnswer,
    PlacementEntry,
    PlacementEvent,
    PlacementEventKind,
    PlacementMessage,
    PlacementRequest,
    PlacementSnapshot,
    Verdict,
)
from greengageflow.core.placers import PlacerTable
from greengageflow.core.prompt_places import home_of
from greengageflow.core.remote_placements import RemotePlacements, placement_request
from greengageflow.core.router_table import Hello
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.core.service_scheduler import Decision, Job, RefuseJob, StartJob
from greengageflow.daemon.kept_parts import PartsAsker
from greengageflow.daemon.pending_placements import PendingPlacement, PlaceSender, Run
from greengageflow.errors import ErrorKind
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.net.decision_log import DecisionLog
from greengageflow.net.timers import Timers

ANSWER_S = 0.15
MUTE_S = 1.0
ROLL_S = 0.5
ROLLS_ON_S = 2.0
SETTLE_S = 1.0
ALONE_S = 0.3
"""Seconds after the start for which a host that knows no peer holds requests back.

When all hosts start at once, each would otherwise send the engines as many requests as
the whole fleet may.
"""
BEGIN_S = 3.0
LOOK_S = 0.05
STEADY_S = 0.3
"""Seconds as placer after which engines are asked for their cached prefixes.

A starting host considers itself the only one until it discovers its peers, which takes
a round. Without the delay, nine starting hosts would all ask each engine.
"""
LATE_WORD_S = 0.1


class Placement:
    """Sends requests to the placer of their engine and places those of other hosts.

    If a placer does not answer within ``ANSWER_S``, its requests are decided on this
    host, and no request is sent to it for ``MUTE_S``.

    Args:
        own: This host.
        book: Decides the requests that are decided on this host.
        endpoints: Listed endpoints.
        timers: Timer service.
        sender: Sends messages to other hosts.
        carry_out: Carries out decisions on requests of this host.
        log: Gets a line when a placer stops answering or this host's role changes.
        parts: Asks the engines that this host places for their cached prefixes.
    """

    def __init__(
        self,
        own: Hello,
        book: ServiceDispatcher,
        endpoints: EndpointList,
        timers: Timers,
        sender: PlaceSender,
        carry_out: Callable[[Iterable[Decision]], None],
        log: DecisionLog,
        parts: PartsAsker,
    ) -> None:
        self.stopping = False
        self._host = own.host
        self._zone = own.zone
        self._boot = own.boot
        self._book = book
        self._endpoints = endpoints
        self._timers = timers
        self._sender = sender
        self._carry_out = carry_out
        self._log = log
        self._parts = parts
        self._desk = RemotePlacements(own.host, book)
        self._pending: dict[str, PendingPlacement] = {}
        self._runs: dict[str, Run] = {}
        self._table = PlacerTable(own.host, MUTE_S)
        self._owned: frozenset[str] | None = None
        self._roll_until: dict[str, float] = {}
        self._placer_since = float("inf")
        self._begun_at = float("-inf")

    def start(self) -> None:
        """Start sending periodic snapshots to placers."""
        self._begun_at = self._timers.now
        self._timers.every(ROLL_S, self._roll)
        self._look()

    @property
    def _begins(self) -> bool:
        return self._timers.now - self._begun_at < BEGIN_S

    def _look(self) -> None:
        # A whole round would delay the held-back requests too long.
        if self._begins and self._table.is_alone:
            self.on_round()
            self._timers.after(LOOK_S, self._look)

    @property
    def placed(self) -> int:
        """Number of requests of other hosts that this host queued or placed."""
        return len(self._desk)

    # Requests of this host.

    @property
    def waiting(self) -> int:
        """Number of this host's requests that are queued here or at a placer."""
        return self._book.waiting - self._desk.waiting + len(self._pending)

    def placer(self, request: str) -> str:
        """Return the host that placed a request; empty if this one did."""
        run = self._runs.get(request)
        return run.placer if run else ""

    def submit(
        self, now: float, service: str, job: Job, account: str
    ) -> Iterator[Decision]:
        """Request a placement, and yield the decisions made on this host."""
        self._book.count_request(now, service)
        if job.prompt is not None and self._holds_back(now):
            held = PendingPlacement("", service, job, account, now, queued=True)
            self._pending[job.queued_request.id] = held
            return
        yield from self._place(now, service, job, account)

    def _holds_back(self, now: float) -> bool:
        return self._table.is_alone and now - self._begun_at < ALONE_S

    def _place(
        self, now: float, service: str, job: Job, account: str
    ) -> Iterator[Decision]:
        placer = self._placer_for(now, service, job.prompt)
        if not placer:
            yield from self._book.submit(
                now, service, job, account, count_for_budget=False
            )
            return
        request = job.queued_request.id
        self._pending[request] = PendingPlacement(placer, service, job, account, now)
        self._roll_until[placer] = now + ROLLS_ON_S
        avoid = self._book.unavailable_endpoints(now, service)
        ask = placement_request(
            self._host, self._boot, now, service, job, account, avoid, self._zone
        )
        self._send(placer, ask)
        self._timers.after(ANSWER_S, lambda: self._on_silence(request))

    def _placer_for(self, now: float, service: str, prompt: Prompt | None) -> str:
        if prompt is None:
            return ""
        home = home_of(prompt.affinity, self._book.available_endpoints(now, service))
        placer = self._table.owner(home.id) if home else ""
        return placer if self._table.is_available(now, placer) else ""

    def _on_silence(self, request: str) -> None:
        asked = self._pending.get(request)
        if asked is None:
            return
        if not asked.queued:
            self._on_mute(asked.placer)
            return
        late_s = asked.job.queued_request.expires_at - self._timers.now + LATE_WORD_S
        if late_s > 0:
            self._timers.after(late_s, lambda: self._on_silence(request))
        else:
            self._decide_here(lambda other: other is asked)

    def _on_mute(self, placer: str) -> None:
        if self._table.on_timeout(self._timers.now, placer):
            asked = sum(1 for other in self._pending.values() if other.placer == placer)
            self._log.write(DecisionEvent.PLACER_SILENT, placer=placer, asked=asked)
        self._decide_here(lambda other: other.placer == placer)

    def _on_heard(self, now: float, placer: str) -> None:
        silent_s = self._table.on_answer(now, placer)
        if silent_s is not None:
            after_ms = round(1000 * silent_s)
            self._log.write(
                DecisionEvent.PLACER_HEARD, placer=placer, after_ms=after_ms
            )

    def _decide_here(self, which: Callable[[PendingPlacement], bool]) -> None:
        """Decide matching requests that await a placer's answer on this host."""
        now = self._timers.now
        for request, asked in list(self._pending.items()):
            if which(asked) and self._pending.pop(request, None) is not None:
                self._carry_out(
                    self._book.submit(
                        now,
                        asked.service,
                        asked.job,
                        asked.account,
                        count_for_budget=False,
                    )
                )

    def sent(
        self, now: float, request: str, choice: Choice, prompt: Prompt | None
    ) -> None:
        """Record that a request was sent to an endpoint."""
        run = self._runs.get(request)
        if run is None or run.endpoint.id != choice.endpoint.id or not run.live:
            self._book.on_request_sent(now, request, choice, prompt)

    def first_event(self, now: float, request: str, endpoint: ListedEndpoint) -> None:
        """Record the first event of a request's response."""
        self._book.on_first_event(now, request, endpoint)
        run = self._runs.get(request)
        if run is not None and run.live:
            run.reading = 0.0
            self._note(request, run, PlacementEventKind.FIRST_EVENT)

    def answered(self, request: str, endpoint: ListedEndpoint, good: bool) -> None:
        """Record whether an endpoint's response was good."""
        self._book.on_answer(endpoint, good)
        run = self._runs.get(request)
        if run is not None and run.live and not good:
            self._note(request, run, PlacementEventKind.FAILED)

    def silent(self, now: float, request: str, endpoint: ListedEndpoint) -> bool:
        """Record a missing response; return whether the endpoint's backoff starts."""
        run = self._runs.get(request)
        if run is not None and run.live:
            self._note(request, run, PlacementEventKind.SILENT)
        return self._book.on_no_answer(now, endpoint)

    def left(self, request: str, endpoint: ListedEndpoint) -> None:
        """Record that an endpoint no longer works on a request."""
        self._book.on_request_released(request, endpoint)
        run = self._runs.get(request)
        if run is not None and run.live:
            run.live = False
            self._note(request, run, PlacementEventKind.ENDED)

    def ended(self, now: float, service: str, request: str) -> Iterator[Decision]:
        """Record that a request was answered or its caller disconnected."""
        asked = self._pending.pop(request, None)
        if asked is not None:
            self._tell(asked.placer, request, PlacementEventKind.ENDED)
        run = self._runs.pop(request, None)
        if run is not None and run.live:
            self._note(request, run, PlacementEventKind.ENDED)
        yield from self._book.on_request_end(now, service, request)

    def _note(self, request: str, run: Run, happened: PlacementEventKind) -> None:
        # The endpoint's placer may have changed since; the new one knows the request
        # from a snapshot.
        for host in {run.placer, self._table.owner(run.endpoint.id)}:
            self._tell(host, request, happened)

    def _tell(self, host: str, request: str, happened: PlacementEventKind) -> None:
        note = PlacementEvent(
            host=self._host, boot=self._boot, request=request, kind=happened
        )
        if host == self._host:
            self._carry_out(self._desk.on_event(self._timers.now, note))
        else:
            self._send(host, note)

    # Messages of other hosts.

    def receive(self, message: PlacementMessage) -> None:
        """Handle a message of another host."""
        now = self._timers.now
        match message:
            case PlacementRequest():
                self._on_ask(now, message)
            case PlacementAnswer():
                self._on_answer(now, message)
            case PlacementEvent():
                self._carry_out(self._desk.on_event(now, message))
            case PlacementSnapshot():
                self._carry_out(self._desk.on_snapshot(now, message))

    def _on_ask(self, now: float, ask: PlacementRequest) -> None:
        # A host that started while partitioned from the store knows no endpoints and
        # would refuse all requests; the asking hosts know endpoints and can decide.
        if not self._places(now) or not self._endpoints.usable(ask.service):
            self._answer(ask, Verdict.PASS)
            return
        self._carry_out(self._desk.on_request(now, ask))
        if self._desk.is_waiting(ask):
            self._answer(ask, Verdict.QUEUED)

    def _places(self, now: float) -> bool:
        # If all hosts started together, there was no placer before and nothing runs.
        fresh = self._begins and self._table.started_together
        settled = fresh or now - self._placer_since >= SETTLE_S
        return self._host in self._table.placers and settled and not self.stopping

    def _answer(self, ask: PlacementRequest, verdict: Verdict) -> None:
        answer = PlacementAnswer(
            host=self._host, boot=ask.boot, request=ask.request, verdict=verdict
        )
        self._send(ask.host, answer)

    def _send(self, host: str, message: PlacementMessage) -> None:
        address = self._table.address(host)
        if address is not None:
            self._sender.send_to(address, message)

    def on_decision(self, decision: Decision) -> None:
        """Send another host the decision on its request."""
        told = self._desk.on_decision(self._timers.now, decision)
        if told is not None:
            self._send(*told)

    def _on_answer(self, now: float, answer: PlacementAnswer) -> None:
        self._on_heard(now, answer.host)
        asked = self._pending.get(answer.request)
        # Each process numbers its requests from 1, so an answer meant for the host's
        # previous process would start an unrelated request, possibly at an endpoint
        # of another service.
        other = answer.boot != self._boot
        if other or asked is None or asked.placer != answer.host:
            # The next snapshot frees what the placer reserved for a decided request.
            return
        match answer.verdict:
            case Verdict.QUEUED:
                asked.queued = True
            case Verdict.PASS:
                self._table.on_pass(now, answer.host, ANSWER_S)
                self._decide_here(lambda other: other is asked)
            case Verdict.REFUSE:
                del self._pending[answer.request]
                refusal = RefuseJob(
                    answer.request,
                    ErrorKind(answer.kind),
                    answer.message,
                    answer.retry_after_s,
                )
                self._carry_out([refusal])
            case Verdict.START:
                self._on_start(asked, answer)

    def _on_start(self, asked: PendingPlacement, answer: PlacementAnswer) -> None:
        endpoint = self._endpoints.get(answer.endpoint)
        now = self._timers.now
        if endpoint is None or not self._book.is_available(now, endpoint):
            self._tell(asked.placer, answer.request, PlacementEventKind.ENDED)
            self._decide_here(lambda other: other is asked)
            return
        del self._pending[answer.request]
        prompt = asked.job.prompt
        memory = prompt.tokens_in + prompt.tokens_out
        self._runs[answer.request] = Run(asked.placer, endpoint, answer.reading, memory)
        source = self._endpoints.get(answer.fetch_from)
        choice = Choice(endpoint, answer.reading, answer.wait_s, source)
        self._carry_out([StartJob(asked.job.queued_request, choice)])

    # The fleet.

    def on_round(self) -> None:
        """Update the membership and the placers; called a few times per second."""
        now = self._timers.now
        changed = self._table.update(self._sender.routers())
        if self._host not in self._table.placers:
            self._placer_since = float("inf")
        elif self._placer_since == float("inf"):
            self._placer_since = now
        if changed:
            placers = self._table.placers
            self._decide_here(lambda asked: asked.placer not in ("", *placers))
            self._roll()
        self._own()
        self._release(now)
        if now - self._placer_since >= STEADY_S:
            listed = filter(None, map(self._endpoints.get, self._owned or ()))
            engines = filter(self._book.is_engine, listed)
            self._parts.ask(e for e in engines if self._book.is_available(now, e))
        self._carry_out(self._desk.drop_silent_hosts(now))

    def _release(self, now: float) -> None:
        """Place the held-back requests once other hosts are known."""
        if self._holds_back(now):
            return
        for request, asked in list(self._pending.items()):
            if not asked.placer and self._pending.pop(request, None) is not None:
                self._carry_out(
                    self._place(now, asked.service, asked.job, asked.account)
                )

    def _own(self) -> None:
        owned = self._table.owned(self._endpoints.ids())
        if owned != self._owned:
            self._owned = owned
            self._book.set_owned_engines(owned)
            self._log.write(
                DecisionEvent.PLACING,
                placers=" ".join(self._table.placers),
                endpoints=len(owned or ()),
            )

    def _roll(self) -> None:
        """Send each placer a snapshot of what it queued or placed for this host."""
        now = self._timers.now
        # A lost answer leaves a reservation at the placer that this host does not know
        # of. Snapshots therefore continue for a while, even if they are empty.
        rolls: dict[str, list[PlacementEntry]] = {
            host: [] for host, until in self._roll_until.items() if now < until
        }
        for request, asked in self._pending.items():
            if asked.placer:
                rolls.setdefault(asked.placer, []).append(PlacementEntry(request))
        for request, run in self._runs.items():
            if run.live:
                placed = PlacementEntry(
                    request, run.endpoint.id, run.reading, run.memory
                )
                rolls.setdefault(self._table.owner(run.endpoint.id), []).append(placed)
        self._roll_until = {
            host: now + ROLLS_ON_S if runs else self._roll_until[host]
            for host, runs in rolls.items()
        }
        for host, runs in rolls.items():
            roll = PlacementSnapshot(
                host=self._host, boot=self._boot, entries=tuple(runs)
            )
            if host == self._host:
                self._carry_out(self._desk.on_snapshot(now, roll))
            else:
                self._send(host, roll)
