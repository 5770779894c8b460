"""Simulated inference engine: chunked prefill, batched decoding and a prefix cache."""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from random import Random

from greengageflow.core.forward_request import PromptPart
from greengageflow.lab.policy_deployments import Deployment
from greengageflow.lab.policy_load import SimulatedRequest

PREFILL_CHUNK_TOKENS = 2048
"""Maximum number of prompt tokens processed in a step."""
ATTENTION_PAIR_S = 5.25e-10
"""Attention time per pair of a prefilled token and an earlier token, in seconds."""


@dataclass(slots=True, eq=False)
class EngineRun:
    """State of a request at an engine.

    Args:
        request: The request.
        prefill_remaining: Prompt tokens that still need prefill.
        ready_at: Earliest start of prefill, after a fetch has finished.
        decode_start: Start of decoding; None until prefill is complete.
        generated: Generated tokens.
        last_event_at: Time of the last event.
        max_gap_s: Longest gap between two events, in seconds.
    """

    request: SimulatedRequest
    prefill_remaining: int = 0
    ready_at: float = 0.0
    decode_start: float | None = None
    generated: int = 0
    last_event_at: float = 0.0
    max_gap_s: float = 0.0


class PolicyEngine:
    """One simulated engine.

    Args:
        name: Id of the engine.
        zone: Availability zone.
        deployment: Performance parameters.
        speed: Relative speed.
        on_first: Called at the first event of a run.
        on_end: Called when a run has finished.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        deployment: Deployment,
        speed: float,
        on_first: Callable[["PolicyEngine", EngineRun, float], None],
        on_end: Callable[["PolicyEngine", EngineRun, float], None],
    ) -> None:
        self.name, self.zone = name, zone
        self.step_slowdown = 1.0
        self.recomputed_tokens = 0
        self.fetched_tokens = 0
        self.runs: list[EngineRun] = []
        self.queue: list[EngineRun] = []
        self.busy = False
        self.speed = speed
        self._deployment = deployment
        self._random = Random(name)
        self._on_first, self._on_end = on_first, on_end
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._link_free_at = 0.0

    @property
    def cached_parts(self) -> tuple[PromptPart, ...]:
        """Cached prompt parts, least recently used first."""
        return tuple(PromptPart(name, n) for name, n in self._cache.items())

    @property
    def _time_factor(self) -> float:
        """Durations relative to those of an engine of speed 1 without a fault."""
        return self.step_slowdown / self.speed

    def has_cached(self, part: str) -> bool:
        """Whether a prompt part is in the cache."""
        return part in self._cache

    def submit(self, now: float, run: EngineRun, source: "PolicyEngine | None") -> None:
        """Queue a request; fetch its shared part if only ``source`` has it cached."""
        shared = run.request.prompt.parts[0]
        if (
            source is not None
            and source.has_cached(shared.id)
            and not self.has_cached(shared.id)
        ):
            begin = max(now, self._link_free_at, source._link_free_at)
            duration_s = 0.004 + shared.tokens * self._deployment.fetch_s_per_token
            self._link_free_at = source._link_free_at = begin + duration_s
            run.ready_at = begin + duration_s
            self.fetched_tokens += shared.tokens
            self._cache_part(shared.id, shared.tokens)
        self.queue.append(run)

    def cancel(self, run: EngineRun) -> None:
        """Cancel a request whose caller has disconnected."""
        for runs in (self.queue, self.runs):
            if run in runs:
                runs.remove(run)

    def crash(self) -> list[EngineRun]:
        """Drop all requests and the cache, and return the requests."""
        dropped = self.queue + self.runs
        self.queue, self.runs = [], []
        self._cache.clear()
        return dropped

    def step(self, now: float) -> float | None:
        """Run one step and return its duration in seconds, or None if idle."""
        self._admit(now)
        if not self.runs:
            return None
        prefilled = pairs = decoding = 0
        for run in self.runs:
            if run.decode_start is not None:
                decoding += run.decode_start <= now
            elif prefilled < PREFILL_CHUNK_TOKENS and run.ready_at <= now:
                chunk = min(PREFILL_CHUNK_TOKENS - prefilled, run.prefill_remaining)
                pairs += chunk * (run.request.prompt.tokens_in - run.prefill_remaining)
                run.prefill_remaining -= chunk
                prefilled += chunk
        duration_s = (
            self._deployment.step_s + self._deployment.step_s_per_run * decoding
        )
        duration_s = self._time_factor * (
            duration_s
            + prefilled / self._deployment.prefill_tokens_per_s
            + pairs * ATTENTION_PAIR_S
        )
        if self._deployment.step_noise:
            duration_s *= self._random.lognormvariate(0.0, self._deployment.step_noise)
        self._advance(now + duration_s)
        return duration_s

    def _advance(self, now: float) -> None:
        for run in list(self.runs):
            if run.decode_start is None:
                if run.prefill_remaining <= 0 and run.ready_at <= now:
                    shared = run.request.prompt.parts[0]
                    self._cache_part(shared.id, shared.tokens)
                    run.decode_start = (
                        now + self._time_factor * self._deployment.first_event_delay_s
                    )
            elif run.decode_start <= now:
                self._generate_token(now, run)

    def _generate_token(self, now: float, run: EngineRun) -> None:
        run.generated += 1
        if run.generated == 1:
            run.last_event_at = now
            self._on_first(self, run, now)
        elif (
            run.generated % self._deployment.tokens_per_event == 0
            or run.generated >= run.request.out
        ):
            run.max_gap_s = max(run.max_gap_s, now - run.last_event_at)
            run.last_event_at = now
        if run.generated >= run.request.out and run in self.runs:
            self.runs.remove(run)
            own = run.request.prompt.parts[1]
            self._cache_part(own.id, own.tokens + run.generated)
            self._on_end(self, run, now)

    def _admit(self, now: float) -> None:
        while self.queue and len(self.runs) < self._deployment.slots:
            run = self.queue[0]
            if self.runs and not self._has_memory(run):
                return
            del self.queue[0]
            prompt = run.request.prompt
            shared = prompt.parts[0]
            run.prefill_remaining = prompt.tokens_in
            if self.has_cached(shared.id):
                self._cache.move_to_end(shared.id)
                run.prefill_remaining -= shared.tokens
            self.runs.append(run)

    def _has_memory(self, run: EngineRun) -> bool:
        prompt = run.request.prompt
        used = sum(self._parts_in_use().values()) + sum(
            other.request.prompt.parts[1].tokens + other.request.out
            for other in self.runs
        )
        return (
            used + prompt.tokens_in + run.request.out <= self._deployment.memory_tokens
        )

    def _parts_in_use(self) -> dict[str, int]:
        return {
            run.request.prompt.parts[0].id: run.request.prompt.parts[0].tokens
            for run in self.runs
        }

    def _cache_part(self, part: str, tokens: int) -> None:
        self._cache[part] = tokens
        self._cache.move_to_end(part)
        own = sum(r.request.prompt.parts[1].tokens + r.request.out for r in self.runs)
        in_use = self._parts_in_use()
        cached_tokens = sum(self._cache.values())
        for evicted in self._evictable(in_use):
            if cached_tokens + own <= self._deployment.memory_tokens:
                return
            cached_tokens -= self._cache.pop(evicted)

    def _evictable(self, in_use: dict[str, int]) -> Iterator[str]:
        yield from [part for part in self._cache if part not in in_use]
