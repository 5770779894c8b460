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
from greengageflow.lab.policy_engine import EngineRun, PolicyEngine
from greengageflow.lab.policy_load import (
    DAY_S,
    Asked,
    Sheet,
    Trouble,
    draw_load,
    draw_troubles,
)

SERVICE = "model"
WAY_S = 0.001
"""One-way network delay within a zone, in seconds."""
AWAY_S = 0.0009
"""Additional one-way delay between zones, from the users' topology, in seconds."""
TICK_S = 0.05
ROUND_S = 0.25
"""Intervals of queue processing and of fleet totals at a gateway, in seconds."""
START_S = 1.0
"""Time until hosts accept requests after all of them restarted, in seconds."""
RELIST_S = 1.5
"""Time until a crashed engine is removed from the endpoint list, in seconds."""
ASKED_S = 0.3
"""Time until a restarted placer has queried the engines' caches, in seconds."""
RETRIES = 1
ANSWER_TOKEN_BYTES = 60
"""Bytes of an answer per token, including event framing."""


@dataclass(slots=True)
class Row:
    """Outcome of a request.

    Args:
        asked: The request.
        end: ``in_time``, ``late``, ``refused``, ``failed`` or ``left``.
        tries: Number of retries by the caller.
        first_s: Time from the first attempt to the first event, in seconds.
        paused: A gap between events exceeded the limit.
        away_bytes: Bytes sent between zones.
    """

    asked: Asked
    end: str = ""
    tries: int = 0
    first_s: float | None = None
    paused: bool = False
    away_bytes: int = 0


@dataclass(slots=True, eq=False)
class _Try:
    row: Row
    id: str
    endpoint: ListedEndpoint | None = None
    run: EngineRun | None = None


@dataclass(slots=True)
class Played:
    """Results of a simulated day.

    Args:
        rows: All requests.
        troubles: Faults of the day.
        read_again: Shared tokens prefilled again after an engine had processed them.
        fetched: Tokens fetched from other engines.
    """

    rows: list[Row] = field(default_factory=list)
    troubles: tuple[Trouble, ...] = ()
    read_again: int = 0
    fetched: int = 0


class Play:
    """Simulation of one day.

    Args:
        sheet: Simulated deployment.
        seed: Seed of load and faults.
        troubles: Faults; None to draw them from the seed.
    """

    def __init__(
        self, sheet: Sheet, seed: int, troubles: tuple[Trouble, ...] | None = None
    ) -> None:
        random = Random(seed)
        self._random = Random(seed + 1)
        self._sheet = sheet
        drawn = draw_troubles(random, sheet)
        self._troubles = drawn if troubles is None else troubles
        self._load = list(draw_load(random, sheet, self._troubles))
        self._played = Played(troubles=self._troubles)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._now = 0.0
        self._tries: dict[str, _Try] = {}
        self._read: set[str] = set()
        self._down_until = 0.0
        self._engines: dict[str, PolicyEngine] = {}
        self._listed = EndpointList()
        for number in range(sheet.engines):
            self._add_engine(f"e{number}", sheet.zones[number % len(sheet.zones)])
        self._book = self._new_book()

    def run(self) -> Played:
        """Run the simulation and return the results."""
        for asked in self._load:
            self._at(asked.at, lambda a=asked: self._arrive(Row(a)))
        for trouble in self._troubles:
            self._at(trouble.at, lambda t=trouble: self._begin(t))
        self._every(TICK_S, lambda: self._carry_out(self._book.pump(self._now)))
        self._every(ROUND_S, self._round)
        while self._heap:
            self._now, _, call = heappop(self._heap)
            call()
        return self._played

    # Event queue.

    def _at(self, time: float, call: Callable[[], None]) -> None:
        heappush(self._heap, (time, next(self._order), call))

    def _every(self, pace_s: float, call: Callable[[], None]) -> None:
        def turn() -> None:
            call()
            if self._now < DAY_S + 20:
                self._at(self._now + pace_s, turn)

        self._at(pace_s, turn)

    # Dispatcher and endpoint list.

    def _new_book(self) -> ServiceDispatcher:
        book = ServiceDispatcher(
            self._listed, self._sheet.zones[0], lambda: FleetRetryBudget(0.2, 58, 10.0)
        )
        service = Service(
            SERVICE, self._sheet.slots, self._sheet.memory, transfers=True
        )
        book.on_routing(
            Routing(
                1, services={SERVICE: service}, tokens_per_s=self._sheet.tokens_per_s
            )
        )
        book.set_owned_engines(frozenset(self._listed.ids()))
        return book

    def _round(self) -> None:
        self._book.set_owned_engines(frozenset(self._listed.ids()))
        self._carry_out(self._book.on_totals(self._now, FleetTotals(hosts=8)))

    def _add_engine(self, name: str, zone: str) -> None:
        self._engines[name] = PolicyEngine(
            name, zone, self._sheet, self._on_first, self._on_end
        )
        entry = ListedEndpoint(name, SERVICE, "127.0.0.1", 9, zone, self._sheet.slots)
        list(self._listed.put(entry))

    # Callers.

    def _arrive(self, row: Row) -> None:
        asked = row.asked
        if self._now < self._down_until:
            self._at(self._down_until, lambda: self._arrive(row))
            return
        if not row.tries:
            self._played.rows.append(row)
        request = f"{asked.id}/{row.tries}"
        tried = self._tries[request] = _Try(row, request)
        give_up = (
            self._now + service_scheduler.QUEUE_TARGET_FRACTION * asked.kind.target_s
        )
        end_at = asked.at + asked.kind.deadline_s
        queued_request = QueuedRequest(
            request,
            asked.account,
            asked.prompt.work,
            0,
            self._now,
            asked.at + asked.kind.target_s,
            min(give_up, end_at),
        )
        job = Job(queued_request, asked.kind.target_s, asked.prompt, zone=asked.zone)
        self._at(end_at, lambda: self._stop(tried, "failed"))
        if asked.leaves_after_s is not None:
            self._at(asked.at + asked.leaves_after_s, lambda: self._stop(tried, "left"))
        self._carry_out(self._book.submit(self._now, SERVICE, job, asked.account))

    def _carry_out(self, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            tried = self._tries.get(decision.request)
            if tried is None:
                continue
            if isinstance(decision, StartJob):
                self._send(tried, decision.choice)
            else:
                self._refuse(tried, decision.retry_after_s)

    def _refuse(self, tried: _Try, wait_s: float) -> None:
        row = tried.row
        del self._tries[tried.id]
        left_s = row.asked.at + row.asked.kind.deadline_s - self._now
        if row.tries < RETRIES and row.asked.leaves_after_s is None:
            row.tries += 1
            self._at(self._now + min(wait_s, left_s / 3), lambda: self._arrive(row))
        else:
            row.end = "refused"

    def _finish(self, tried: _Try, end: str) -> None:
        if self._tries.pop(tried.id, None) is None:
            return
        tried.row.end = end
        if tried.endpoint is not None:
            self._book.on_request_released(tried.id, tried.endpoint)
        self._carry_out(self._book.on_request_end(self._now, SERVICE, tried.id))

    def _stop(self, tried: _Try, end: str) -> None:
        if tried.id in self._tries:
            if tried.run is not None and tried.endpoint.id in self._engines:
                self._engines[tried.endpoint.id].drop(tried.run)
            self._finish(tried, end)

    # Engines.

    def _send(self, tried: _Try, choice: Choice) -> None:
        asked = tried.row.asked
        tried.endpoint = choice.endpoint
        self._book.on_request_sent(self._now, tried.id, choice, asked.prompt)
        way_s = WAY_S
        if choice.endpoint.zone != asked.zone:
            way_s += AWAY_S
            tried.row.away_bytes += (
                asked.prompt.tokens_in + ANSWER_TOKEN_BYTES * asked.out
            )
        self._at(self._now + way_s, lambda: self._reach(tried, choice))

    def _reach(self, tried: _Try, choice: Choice) -> None:
        if tried.id not in self._tries:
            return
        engine = self._engines.get(choice.endpoint.id)
        asked = tried.row.asked
        if engine is None:
            self._book.on_no_answer(self._now, choice.endpoint)
            self._book.on_request_released(tried.id, choice.endpoint)
            again = self._book.choose_retry_endpoint(
                self._now, SERVICE, asked.prompt, {choice.endpoint.id}
            )
            if again is None or not self._book.take_retry(self._now, SERVICE):
                self._finish(tried, "failed")
            else:
                self._send(tried, again)
            return
        source = choice.fetch_from and self._engines.get(choice.fetch_from.id)
        shared = asked.prompt.parts[0]
        fetches = source is not None and source.keeps(shared.id)
        if not engine.keeps(shared.id) and not fetches and shared.id in self._read:
            self._played.read_again += shared.tokens
        self._read.add(shared.id)
        tried.run = EngineRun(asked)
        before = engine.fetched
        engine.put(self._now, tried.run, source)
        self._played.fetched += engine.fetched - before
        if not engine.busy:
            engine.busy = True
            self._at(self._now, lambda: self._step(engine))

    def _step(self, engine: PolicyEngine) -> None:
        took_s = engine.step(self._now)
        if took_s is None:
            engine.busy = False
        else:
            self._at(self._now + took_s, lambda: self._step(engine))

    def _try_of(self, run: EngineRun) -> _Try | None:
        for tries in (0, 1):
            tried = self._tries.get(f"{run.asked.id}/{tries}")
            if tried is not None and tried.run is run:
                return tried
        return None

    def _on_first(self, engine: PolicyEngine, run: EngineRun, at: float) -> None:
        self._at(at + WAY_S, lambda: self._first_event(engine, run))

    def _first_event(self, engine: PolicyEngine, run: EngineRun) -> None:
        tried = self._try_of(run)
        if tried is None:
            return
        if self._random.random() < self._grey(engine):
            self._book.on_answer(tried.endpoint, False)
            self._stop(tried, "failed")
            return
        tried.row.first_s = self._now - run.asked.at
        self._book.on_first_event(self._now, tried.id, tried.endpoint)
        self._carry_out(self._book.pump(self._now))

    def _grey(self, engine: PolicyEngine) -> float:
        index = list(self._engines).index(engine.name)
        on = (t for t in self._troubles if t.kind == "grey" and t.holds(self._now))
        return max((t.x for t in on if t.index == index), default=0.0)

    def _on_end(self, _engine: PolicyEngine, run: EngineRun, at: float) -> None:
        self._at(at + WAY_S, lambda: self._end(run))

    def _end(self, run: EngineRun) -> None:
        tried = self._try_of(run)
        if tried is None:
            return
        kind = run.asked.kind
        tried.row.paused = run.worst_gap_s > kind.gap_s
        in_time = tried.row.first_s <= kind.target_s and not tried.row.paused
        self._finish(tried, "in_time" if in_time else "late")

    # Faults.

    def _begin(self, trouble: Trouble) -> None:
        name = list(self._engines)[trouble.index % len(self._engines)]
        engine = self._engines[name]
        match trouble.kind:
            case "crash":
                self._crash(engine)
                self._at(trouble.to, lambda: self._add_engine(f"{name}+", engine.zone))
            case "slow":
                engine.slow = trouble.x
                self._at(trouble.to, lambda: setattr(engine, "slow", 1.0))
            case "forget":
                self._forget()

    def _crash(self, engine: PolicyEngine) -> None:
        del self._engines[engine.name]
        for run in engine.crash():
            tried = self._try_of(run)
            if tried is not None:
                self._book.on_no_answer(self._now, tried.endpoint)
                self._finish(tried, "failed")
        self._at(self._now + RELIST_S, lambda: list(self._listed.drop(engine.name)))

    def _forget(self) -> None:
        """Restart all hosts: open streams fail and the dispatcher loses its state."""
        for tried in list(self._tries.values()):
            self._stop(tried, "failed")
        self._book = self._new_book()
        self._down_until = self._now + START_S
        self._at(self._down_until + ASKED_S, self._ask_engines)

    def _ask_engines(self) -> None:
        """Report the engines' cached prompt parts to a restarted dispatcher."""
        for name, engine in self._engines.items():
            listed = self._listed.get(name)
            if listed is not None:
                self._book.on_cached_parts(self._now, listed, engine.kept)
