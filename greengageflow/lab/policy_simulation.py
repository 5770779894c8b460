"""Simulates a day of requests with the real scheduling and placement code."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from greengageflow.core import service_scheduler
from greengageflow.core.endpoint_choice import Choice
from greengageflow.core.endpoint_list import EndpointList, ListedEndpoint
from greengageflow.core.fleet_retry_budget import FleetRetryBudget
from greengageflow.core.fleet_sums import FleetTotals
from greengageflow.core.routes import Routing, Service
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.core.service_scheduler import Decision, Job, StartJob
from greengageflow.core.work_queue import QueuedRequest
from greengageflow.lab.policy_deployments import Deployment
from greengageflow.lab.policy_engine import EngineRun, PolicyEngine
from greengageflow.lab.policy_load import (
    DAY_S,
    Fault,
    SimulatedRequest,
    draw_faults,
    draw_load,
)

SERVICE = "model"
ONE_WAY_DELAY_S = 0.001
"""One-way network delay within a zone, in seconds."""
CROSS_ZONE_EXTRA_DELAY_S = 0.0009
"""Additional one-way delay between zones, from the users' topology, in seconds."""
PUMP_INTERVAL_S = 0.05
TOTALS_INTERVAL_S = 0.25
"""Intervals of queue processing and of fleet totals at a gateway, in seconds."""
RESTART_DELAY_S = 1.0
"""Time until hosts accept requests after all of them restarted, in seconds."""
CRASH_REMOVAL_DELAY_S = 1.5
"""Time until a crashed engine is removed from the endpoint list, in seconds."""
CACHE_QUERY_DELAY_S = 0.3
"""Time until a restarted placer has queried the engines' caches, in seconds."""
MAX_CALLER_RETRIES = 1
ANSWER_TOKEN_BYTES = 60
"""Bytes of an answer per token, including event framing."""


@dataclass(slots=True)
class RequestOutcome:
    """Outcome of a request.

    Args:
        request: The request.
        end: ``in_time``, ``late``, ``refused``, ``failed`` or ``left``.
        retries: Number of retries by the caller.
        first_event_s: Time from the first attempt to the first event, in seconds.
        gap_exceeded: A gap between events exceeded the limit.
        cross_zone_bytes: Bytes sent between zones.
    """

    request: SimulatedRequest
    end: str = ""
    retries: int = 0
    first_event_s: float | None = None
    gap_exceeded: bool = False
    cross_zone_bytes: int = 0


@dataclass(slots=True, eq=False)
class _Attempt:
    row: RequestOutcome
    id: str
    endpoint: ListedEndpoint | None = None
    run: EngineRun | None = None


@dataclass(slots=True)
class SimulationResult:
    """Results of a simulated day.

    Args:
        rows: All requests.
        faults: Faults of the day.
        recomputed_tokens: Shared tokens prefilled although an engine had done so.
        fetched_tokens: Tokens fetched from other engines.
    """

    rows: list[RequestOutcome] = field(default_factory=list)
    faults: tuple[Fault, ...] = ()
    recomputed_tokens: int = 0
    fetched_tokens: int = 0


class Simulation:
    """Simulation of one day.

    Args:
        deployment: Simulated deployment.
        seed: Seed of load and faults.
        faults: Faults; None to draw them from the seed.
    """

    def __init__(
        self, deployment: Deployment, seed: int, faults: tuple[Fault, ...] | None = None
    ) -> None:
        random = Random(seed)
        self._random = Random(seed + 1)
        self._deployment = deployment
        drawn = draw_faults(random, deployment)
        self._faults = drawn if faults is None else faults
        self._load = list(draw_load(random, deployment, self._faults))
        self._result = SimulationResult(faults=self._faults)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        self._now = 0.0
        self._attempts: dict[str, _Attempt] = {}
        self._prefilled_parts: set[str] = set()
        self._hosts_down_until = 0.0
        self._engines: dict[str, PolicyEngine] = {}
        self._endpoint_list = EndpointList()
        for number in range(deployment.engines):
            zone = deployment.zones[number % len(deployment.zones)]
            speed = deployment.speeds[number % len(deployment.speeds)]
            self._add_engine(f"e{number}", zone, speed)
        self._dispatcher = self._new_dispatcher()

    def run(self) -> SimulationResult:
        """Run the simulation and return the results."""
        for request in self._load:
            self._schedule(
                request.at,
                lambda request=request: self._on_arrival(RequestOutcome(request)),
            )
        for fault in self._faults:
            self._schedule(fault.at, lambda fault=fault: self._start_fault(fault))
        self._schedule_every(
            PUMP_INTERVAL_S, lambda: self._apply(self._dispatcher.pump(self._now))
        )
        self._schedule_every(TOTALS_INTERVAL_S, self._report_totals)
        while self._heap:
            self._now, _, action = heappop(self._heap)
            action()
        return self._result

    # Event queue.

    def _schedule(self, time: float, action: Callable[[], None]) -> None:
        heappush(self._heap, (time, next(self._sequence), action))

    def _schedule_every(self, interval_s: float, action: Callable[[], None]) -> None:
        def run_and_reschedule() -> None:
            action()
            if self._now < DAY_S + 20:
                self._schedule(self._now + interval_s, run_and_reschedule)

        self._schedule(interval_s, run_and_reschedule)

    # Dispatcher and endpoint list.

    def _new_dispatcher(self) -> ServiceDispatcher:
        dispatcher = ServiceDispatcher(
            self._endpoint_list,
            self._deployment.zones[0],
            lambda: FleetRetryBudget(0.2, 58, 10.0),
        )
        service = Service(
            SERVICE,
            self._deployment.slots,
            self._deployment.memory_tokens,
            transfers=True,
        )
        dispatcher.on_routing(
            Routing(
                1,
                routes=tuple(kind.route(SERVICE) for kind in self._deployment.kinds),
                services={SERVICE: service},
                tokens_per_s=self._deployment.tokens_per_s,
            )
        )
        dispatcher.set_owned_engines(frozenset(self._endpoint_list.ids()))
        return dispatcher

    def _report_totals(self) -> None:
        self._dispatcher.set_owned_engines(frozenset(self._endpoint_list.ids()))
        self._apply(self._dispatcher.on_totals(self._now, FleetTotals(hosts=8)))

    def _add_engine(self, name: str, zone: str, speed: float) -> None:
        self._engines[name] = PolicyEngine(
            name, zone, self._deployment, speed, self._on_first, self._on_end
        )
        entry = ListedEndpoint(
            name, SERVICE, "127.0.0.1", 9, zone, self._deployment.slots
        )
        list(self._endpoint_list.put(entry))

    # Callers.

    def _on_arrival(self, row: RequestOutcome) -> None:
        request = row.request
        if self._now < self._hosts_down_until:
            self._schedule(self._hosts_down_until, lambda: self._on_arrival(row))
            return
        if not row.retries:
            self._result.rows.append(row)
        attempt_id = f"{request.id}/{row.retries}"
        attempt = self._attempts[attempt_id] = _Attempt(row, attempt_id)
        queue_deadline = (
            self._now + service_scheduler.QUEUE_TARGET_FRACTION * request.kind.target_s
        )
        deadline_at = request.at + request.kind.deadline_s
        queued_request = QueuedRequest(
            attempt_id,
            request.account,
            request.prompt.work,
            0,
            self._now,
            request.at + request.kind.target_s,
            min(queue_deadline, deadline_at),
        )
        job = Job(
            queued_request, request.kind.target_s, request.prompt, zone=request.zone
        )
        self._schedule(deadline_at, lambda: self._abort(attempt, "failed"))
        if request.disconnects_after_s is not None:
            self._schedule(
                request.at + request.disconnects_after_s,
                lambda: self._abort(attempt, "left"),
            )
        self._apply(self._dispatcher.submit(self._now, SERVICE, job, request.account))

    def _apply(self, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            attempt = self._attempts.get(decision.request)
            if attempt is None:
                continue
            if isinstance(decision, StartJob):
                self._send(attempt, decision.choice)
            else:
                self._refuse(attempt, decision.retry_after_s)

    def _refuse(self, attempt: _Attempt, wait_s: float) -> None:
        row = attempt.row
        del self._attempts[attempt.id]
        left_s = row.request.at + row.request.kind.deadline_s - self._now
        if row.retries < MAX_CALLER_RETRIES and row.request.disconnects_after_s is None:
            row.retries += 1
            self._schedule(
                self._now + min(wait_s, left_s / 3), lambda: self._on_arrival(row)
            )
        else:
            row.end = "refused"

    def _finish(self, attempt: _Attempt, end: str) -> None:
        if self._attempts.pop(attempt.id, None) is None:
            return
        attempt.row.end = end
        if attempt.endpoint is not None:
            completed_at = self._now if end in ("in_time", "late") else None
            self._dispatcher.on_request_released(
                attempt.id, attempt.endpoint, completed_at=completed_at
            )
        self._apply(self._dispatcher.on_request_end(self._now, SERVICE, attempt.id))

    def _abort(self, attempt: _Attempt, end: str) -> None:
        if attempt.id in self._attempts:
            if attempt.run is not None and attempt.endpoint.id in self._engines:
                self._engines[attempt.endpoint.id].cancel(attempt.run)
            self._finish(attempt, end)

    # Engines.

    def _send(self, attempt: _Attempt, choice: Choice) -> None:
        request = attempt.row.request
        attempt.endpoint = choice.endpoint
        self._dispatcher.on_request_sent(self._now, attempt.id, choice, request.prompt)
        delay_s = ONE_WAY_DELAY_S
        if choice.endpoint.zone != request.zone:
            delay_s += CROSS_ZONE_EXTRA_DELAY_S
            attempt.row.cross_zone_bytes += (
                request.prompt.tokens_in + ANSWER_TOKEN_BYTES * request.out
            )
        self._schedule(
            self._now + delay_s, lambda: self._on_request_delivered(attempt, choice)
        )

    def _on_request_delivered(self, attempt: _Attempt, choice: Choice) -> None:
        if attempt.id not in self._attempts:
            return
        engine = self._engines.get(choice.endpoint.id)
        request = attempt.row.request
        if engine is None:
            self._dispatcher.on_no_answer(self._now, choice.endpoint)
            self._dispatcher.on_request_released(attempt.id, choice.endpoint)
            retry_choice = self._dispatcher.choose_retry_endpoint(
                self._now, SERVICE, request.prompt, {choice.endpoint.id}
            )
            if retry_choice is None or not self._dispatcher.take_retry(
                self._now, SERVICE
            ):
                self._finish(attempt, "failed")
            else:
                self._send(attempt, retry_choice)
            return
        source = choice.fetch_from and self._engines.get(choice.fetch_from.id)
        shared = request.prompt.parts[0]
        fetches = source is not None and source.has_cached(shared.id)
        if (
            not engine.has_cached(shared.id)
            and not fetches
            and shared.id in self._prefilled_parts
        ):
            self._result.recomputed_tokens += shared.tokens
        self._prefilled_parts.add(shared.id)
        attempt.run = EngineRun(request)
        fetched_before = engine.fetched_tokens
        engine.submit(self._now, attempt.run, source)
        self._result.fetched_tokens += engine.fetched_tokens - fetched_before
        if not engine.busy:
            engine.busy = True
            self._schedule(self._now, lambda: self._step(engine))

    def _step(self, engine: PolicyEngine) -> None:
        duration_s = engine.step(self._now)
        if duration_s is None:
            engine.busy = False
        else:
            self._schedule(self._now + duration_s, lambda: self._step(engine))

    def _attempt_of(self, run: EngineRun) -> _Attempt | None:
        for retries in (0, 1):
            attempt = self._attempts.get(f"{run.request.id}/{retries}")
            if attempt is not None and attempt.run is run:
                return attempt
        return None

    def _on_first(self, engine: PolicyEngine, run: EngineRun, at: float) -> None:
        self._schedule(at + ONE_WAY_DELAY_S, lambda: self._on_answer_start(engine, run))

    def _on_answer_start(self, engine: PolicyEngine, run: EngineRun) -> None:
        attempt = self._attempt_of(run)
        if attempt is None:
            return
        if self._random.random() < self._failure_probability(engine):
            self._dispatcher.on_answer(attempt.endpoint, False)
            self._abort(attempt, "failed")
            return
        attempt.row.first_event_s = self._now - run.request.at
        self._dispatcher.on_first_event(self._now, attempt.id, attempt.endpoint)
        self._apply(self._dispatcher.pump(self._now))

    def _failure_probability(self, engine: PolicyEngine) -> float:
        if engine.name not in self._engines:
            # It crashed after it had sent the first event.
            return 0.0
        index = list(self._engines).index(engine.name)
        active = (
            t for t in self._faults if t.kind == "grey" and t.is_active(self._now)
        )
        return max((t.severity for t in active if t.index == index), default=0.0)

    def _on_end(self, _engine: PolicyEngine, run: EngineRun, at: float) -> None:
        self._schedule(at + ONE_WAY_DELAY_S, lambda: self._on_answer_end(run))

    def _on_answer_end(self, run: EngineRun) -> None:
        attempt = self._attempt_of(run)
        if attempt is None:
            return
        kind = run.request.kind
        attempt.row.gap_exceeded = run.max_gap_s > kind.gap_s
        in_time = (
            attempt.row.first_event_s <= kind.target_s and not attempt.row.gap_exceeded
        )
        self._finish(attempt, "in_time" if in_time else "late")

    # Faults.

    def _start_fault(self, fault: Fault) -> None:
        name = list(self._engines)[fault.index % len(self._engines)]
        engine = self._engines[name]
        match fault.kind:
            case "crash":
                self._crash(engine)
                self._schedule(
                    fault.until,
                    lambda: self._add_engine(f"{name}+", engine.zone, engine.speed),
                )
            case "slow":
                engine.step_slowdown = fault.severity
                self._schedule(
                    fault.until, lambda: setattr(engine, "step_slowdown", 1.0)
                )
            case "forget":
                self._restart_hosts()

    def _crash(self, engine: PolicyEngine) -> None:
        del self._engines[engine.name]
        for run in engine.crash():
            attempt = self._attempt_of(run)
            if attempt is not None:
                self._dispatcher.on_no_answer(self._now, attempt.endpoint)
                self._finish(attempt, "failed")
        self._schedule(
            self._now + CRASH_REMOVAL_DELAY_S,
            lambda: list(self._endpoint_list.drop(engine.name)),
        )

    def _restart_hosts(self) -> None:
        """Restart all hosts: open streams fail and the dispatcher loses its state."""
        for attempt in list(self._attempts.values()):
            self._abort(attempt, "failed")
        self._dispatcher = self._new_dispatcher()
        self._hosts_down_until = self._now + RESTART_DELAY_S
        self._schedule(
            self._hosts_down_until + CACHE_QUERY_DELAY_S, self._report_cached_parts
        )

    def _report_cached_parts(self) -> None:
        """Report the engines' cached prompt parts to a restarted dispatcher."""
        for name, engine in self._engines.items():
            endpoint = self._endpoint_list.get(name)
            if endpoint is not None:
                self._dispatcher.on_cached_parts(
                    self._now, endpoint, engine.cached_parts
                )
