"""Simulated inference engine: chunked prefill, batched decoding and a prefix cache."""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from greengageflow.core.forward_request import PromptPart
from greengageflow.lab.policy_load import Asked, Sheet

CHUNK = 2048
"""Maximum number of prompt tokens processed in a step."""
PAIR_S = 5.25e-10
"""Attention time per pair of a prefilled token and an earlier token, in seconds."""


@dataclass(slots=True, eq=False)
class EngineRun:
    """State of a request at an engine.

    Args:
        asked: The request.
        to_read: Prompt tokens that still need prefill.
        ready_at: Earliest start of prefill, after a fetch has finished.
        decodes_at: Start of decoding; None until prefill is complete.
        made: Generated tokens.
        last_event_at: Time of the last event.
        worst_gap_s: Longest gap between two events, in seconds.
    """

    asked: Asked
    to_read: int = 0
    ready_at: float = 0.0
    decodes_at: float | None = None
    made: int = 0
    last_event_at: float = 0.0
    worst_gap_s: float = 0.0


class PolicyEngine:
    """One simulated engine.

    Args:
        name: Id of the engine.
        zone: Availability zone.
        sheet: Performance parameters.
        on_first: Called at the first event of a run.
        on_end: Called when a run has finished.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        sheet: Sheet,
        on_first: Callable[["PolicyEngine", EngineRun, float], None],
        on_end: Callable[["PolicyEngine", EngineRun, float], None],
    ) -> None:
        self.name, self.zone = name, zone
        self.slow = 1.0
        self.read_again = 0
        self.fetched = 0
        self.runs: list[EngineRun] = []
        self.queue: list[EngineRun] = []
        self.busy = False
        self._sheet = sheet
        self._on_first, self._on_end = on_first, on_end
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._link_free_at = 0.0

    @property
    def kept(self) -> tuple[PromptPart, ...]:
        """Cached prompt parts, least recently used first."""
        return tuple(PromptPart(name, n) for name, n in self._cache.items())

    def keeps(self, part: str) -> bool:
        """Whether a prompt part is in the cache."""
        return part in self._cache

    def put(self, now: float, run: EngineRun, source: "PolicyEngine | None") -> None:
        """Queue a request; fetch its shared part if only ``source`` has it cached."""
        shared = run.asked.prompt.parts[0]
        if source is not None and source.keeps(shared.id) and not self.keeps(shared.id):
            begin = max(now, self._link_free_at, source._link_free_at)
            took = 0.004 + shared.tokens * self._sheet.fetch_s
            self._link_free_at = source._link_free_at = begin + took
            run.ready_at = begin + took
            self.fetched += shared.tokens
            self._keep(shared.id, shared.tokens)
        self.queue.append(run)

    def drop(self, run: EngineRun) -> None:
        """Cancel a request whose caller has disconnected."""
        for runs in (self.queue, self.runs):
            if run in runs:
                runs.remove(run)

    def crash(self) -> list[EngineRun]:
        """Drop all requests and the cache, and return the requests."""
        cut = self.queue + self.runs
        self.queue, self.runs = [], []
        self._cache.clear()
        return cut

    def step(self, now: float) -> float | None:
        """Run one step and return its duration in seconds, or None if idle."""
        self._admit(now)
        if not self.runs:
            return None
        read = pairs = decoding = 0
        for run in self.runs:
            if run.decodes_at is not None:
                decoding += run.decodes_at <= now
            elif read < CHUNK and run.ready_at <= now:
                part = min(CHUNK - read, run.to_read)
                pairs += part * (run.asked.prompt.tokens_in - run.to_read)
                run.to_read -= part
                read += part
        took = self._sheet.step_s + self._sheet.slot_s * decoding
        took = self.slow * (took + read / self._sheet.read_per_s + pairs * PAIR_S)
        self._advance(now + took)
        return took

    def _advance(self, now: float) -> None:
        for run in list(self.runs):
            if run.decodes_at is None:
                if run.to_read <= 0 and run.ready_at <= now:
                    shared = run.asked.prompt.parts[0]
                    self._keep(shared.id, shared.tokens)
                    run.decodes_at = now + self.slow * self._sheet.fixed_s
            elif run.decodes_at <= now:
                self._token(now, run)

    def _token(self, now: float, run: EngineRun) -> None:
        run.made += 1
        if run.made == 1:
            run.last_event_at = now
            self._on_first(self, run, now)
        elif run.made % self._sheet.stride == 0 or run.made >= run.asked.out:
            run.worst_gap_s = max(run.worst_gap_s, now - run.last_event_at)
            run.last_event_at = now
        if run.made >= run.asked.out and run in self.runs:
            self.runs.remove(run)
            own = run.asked.prompt.parts[1]
            self._keep(own.id, own.tokens + run.made)
            self._on_end(self, run, now)

    def _admit(self, now: float) -> None:
        while self.queue and len(self.runs) < self._sheet.slots:
            run = self.queue[0]
            if self.runs and not self._has_memory(run):
                return
            del self.queue[0]
            prompt = run.asked.prompt
            shared = prompt.parts[0]
            run.to_read = prompt.tokens_in
            if self.keeps(shared.id):
                self._cache.move_to_end(shared.id)
                run.to_read -= shared.tokens
            self.runs.append(run)

    def _has_memory(self, run: EngineRun) -> bool:
        prompt = run.asked.prompt
        used = sum(self._parts_in_use().values()) + sum(
            other.asked.prompt.parts[1].tokens + other.asked.out for other in self.runs
        )
        return used + prompt.tokens_in + run.asked.out <= self._sheet.memory

    def _parts_in_use(self) -> dict[str, int]:
        return {
            run.asked.prompt.parts[0].id: run.asked.prompt.parts[0].tokens
            for run in self.runs
        }

    def _keep(self, part: str, tokens: int) -> None:
        self._cache[part] = tokens
        self._cache.move_to_end(part)
        own = sum(r.asked.prompt.parts[1].tokens + r.asked.out for r in self.runs)
        in_use = self._parts_in_use()
        kept = sum(self._cache.values())
        for old in self._yielding(in_use):
            if kept + own <= self._sheet.memory:
                return
            kept -= self._cache.pop(old)

    def _yielding(self, in_use: dict[str, int]) -> Iterator[str]:
        yield from [part for part in self._cache if part not in in_use]
