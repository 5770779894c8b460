"""Batch and prefix cache of the fake platform engine, without I/O.

Not modelled: preemption, and pinning, holding, migrating and backing up cache entries.
"""

from collections import OrderedDict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from greengageflow.platform.names import (
    LAST_EVENT_ID,
    MODEL,
    PROMPT_PREFIX,
    TOKEN_COUNT,
)

ID_PREFIX = "event-id-prefix"
"""Header by which a test sets ``Job.id_prefix``."""
NO_IDS = "none"
STAGE_FIELD = {"stage": "prefill_decode"}
REPORT_DEFAULTS = (
    STAGE_FIELD
    | {"busy": False}
    | dict.fromkeys(("sequence", "handles", "pinned", "held", "next"), 0)
)


@dataclass(slots=True, eq=False)
class Job:
    """One generation.

    Args:
        model: Name of the model.
        parts: Name and number of tokens of each part of the prompt, in order.
        prompt: Number of prompt tokens.
        wanted: Tokens to generate, including those generated before a resumption.
        id_prefix: Text before the number in each event id; ``NO_IDS`` for no ids.
        generated: Tokens generated so far; a resumed stream starts above 0.
        to_prefill: Tokens to prefill before the next one is generated.
        resumed_at: Tokens that the caller had when the generation started.
    """

    model: str
    parts: tuple[tuple[str, int], ...]
    prompt: int
    wanted: int
    id_prefix: str = ""
    generated: int = 0
    to_prefill: int = 0
    resumed_at: int = 0

    @classmethod
    def from_headers(cls, headers: Mapping[str, str], stride: int) -> "Job | None":
        """Return the job of a request; None if it has no token count.

        Raises:
            ValueError: A header is malformed.
        """
        if TOKEN_COUNT not in headers:
            return None
        prompt, wanted = map(int, headers[TOKEN_COUNT].split(","))
        entries = filter(None, headers.get(PROMPT_PREFIX, "").split(","))
        pairs = (entry.split(":") for entry in entries)
        parts = tuple((name, int(tokens)) for name, tokens in pairs)
        id_prefix = headers.get(ID_PREFIX, "")
        last_event = headers.get(LAST_EVENT_ID, "0").removeprefix(id_prefix)
        generated = min(int(last_event) * stride, wanted)
        model = headers.get(MODEL, "")
        return cls(
            model,
            parts,
            prompt,
            wanted,
            id_prefix,
            generated,
            resumed_at=generated,
        )

    def id_line(self, number: int) -> str:
        """Return the line with the id of an event; empty without ids."""
        if self.id_prefix == NO_IDS:
            return ""
        text = f"{self.id_prefix}{number:06d}" if self.id_prefix else str(number)
        return f"id: {text}\n"

    @property
    def shared_parts(self) -> frozenset[str]:
        """Names of the prompt parts that other requests may share."""
        return frozenset(name for name, _ in self.parts[:-1])

    @property
    def reserved(self) -> int:
        """Tokens that it reserves in the KV cache, including those still to prefill."""
        return self.prompt + self.generated


class PrefixCache:
    """Cache of prompt parts; evicts the least recently used parts."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._parts: OrderedDict[tuple[str, str], int] = OrderedDict()

    @property
    def rows(self) -> list[tuple[str, str, int]]:
        """Model, name and number of tokens of each cached part."""
        return [(*key, tokens) for key, tokens in self._parts.items()]

    def cached_prefix_length(self, job: Job) -> int:
        """Return how many leading parts of a prompt are cached."""
        count = 0
        for name, _ in job.parts:
            if (job.model, name) not in self._parts:
                break
            count += 1
        return count

    def fetchable(
        self, job: Job, remote_parts: Mapping[str, int]
    ) -> Iterator[tuple[str, int]]:
        """Yield the parts after the cached prefix that another replica has.

        Ends at the first part that the other replica lacks.

        Args:
            job: Generation whose prompt is meant.
            remote_parts: Number of tokens of each part that the other replica holds.
        """
        for name, _ in job.parts[self.cached_prefix_length(job) :]:
            if name not in remote_parts:
                return
            yield name, remote_parts[name]

    def store(self, model: str, parts: Iterator, reserved: int) -> None:
        """Cache parts, then evict until all fit beside ``reserved`` tokens.

        Args:
            model: Name of the model.
            parts: Name and number of tokens of each part.
            reserved: Tokens that running requests reserve.
        """
        for name, tokens in parts:
            self._parts[model, name] = tokens
            self._parts.move_to_end((model, name))
        while self._parts and sum(self._parts.values()) + reserved > self.capacity:
            self._parts.popitem(last=False)


class Batch:
    """Continuous batch of the running generations.

    Args:
        step_s: Duration of a step with one generation, in seconds.
        growth: Fraction of ``step_s`` that each further generation adds to a step.
        chunk: Maximum number of tokens that a step prefills, over all generations.
        capacity: Maximum number of tokens of generations and cached parts.
    """

    def __init__(self, step_s: float, growth: float, chunk: int, capacity: int) -> None:
        self._step_s, self._growth, self._chunk = step_s, growth, chunk
        self.cache = PrefixCache(capacity)
        self.jobs: list[Job] = []

    @property
    def reserved(self) -> int:
        """Tokens that running generations reserve; they cannot be evicted."""
        return sum(job.reserved for job in self.jobs)

    @property
    def step_s(self) -> float:
        """Duration of the next step in seconds."""
        return self._step_s * (1 + self._growth * max(0, len(self.jobs) - 1))

    def add(self, job: Job) -> None:
        """Add a generation; the tokens of its cached prefix need no prefill."""
        cached_tokens = sum(
            tokens for _, tokens in job.parts[: self.cache.cached_prefix_length(job)]
        )
        job.to_prefill = max(0, job.prompt - cached_tokens) + job.generated
        self.jobs.append(job)

    def discard(self, job: Job) -> None:
        """Remove a generation, complete or not."""
        if job in self.jobs:
            self.jobs.remove(job)

    def step(self) -> Iterator[Job]:
        """Run one step; yield the generations that produced a token or are complete."""
        budget = self._chunk
        for job in list(self.jobs):
            prefilled = min(budget, job.to_prefill)
            job.to_prefill -= prefilled
            budget -= prefilled
            if job.to_prefill == 0 and job in self.jobs:
                if prefilled or not job.generated:
                    self.cache.store(job.model, job.parts, self.reserved)
                job.generated = min(job.generated + 1, job.wanted)
                yield job
