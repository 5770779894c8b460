"""Batch and prompt cache of the platform engine's fake, without I/O.

Left out: preemption, pins, holds, moves and backups.
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

STAGE = {"stage": "prefill_decode"}
NOTHING_MORE = (
    STAGE
    | {"busy": False}
    | dict.fromkeys(("sequence", "handles", "pinned", "held", "next"), 0)
)


@dataclass(slots=True, eq=False)
class Job:
    """One generation.

    Args:
        model: Name of the model.
        parts: Name and tokens of each part of the prompt, in order.
        prompt: Tokens of the prompt.
        wanted: Tokens to make, with those made elsewhere.
        made: Tokens made; above 0 from the start where a stream goes on.
        to_read: Tokens to prefill before the next one is made.
    """

    model: str
    parts: tuple[tuple[str, int], ...]
    prompt: int
    wanted: int
    made: int = 0
    to_read: int = 0

    @classmethod
    def of(cls, headers: Mapping[str, str], stride: int) -> "Job | None":
        """Return the job of a request, None without a token count.

        Raises:
            ValueError: The headers make no sense.
        """
        if TOKEN_COUNT not in headers:
            return None
        prompt, wanted = map(int, headers[TOKEN_COUNT].split(","))
        entries = filter(None, headers.get(PROMPT_PREFIX, "").split(","))
        pairs = (entry.split(":") for entry in entries)
        parts = tuple((name, int(tokens)) for name, tokens in pairs)
        made = int(headers.get(LAST_EVENT_ID, 0)) * stride
        return cls(headers.get(MODEL, ""), parts, prompt, wanted, min(made, wanted))

    @property
    def held(self) -> int:
        """Tokens that it holds in memory, with those still to be read."""
        return self.prompt + self.made


class PartCache:
    """Prompt parts in limited memory; the least recently used go first."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._parts: OrderedDict[tuple[str, str], int] = OrderedDict()

    @property
    def rows(self) -> list[tuple[str, str, int]]:
        """Model, name and tokens of each part kept."""
        return [(*key, tokens) for key, tokens in self._parts.items()]

    def kept(self, job: Job) -> int:
        """Return how many leading parts of a prompt are kept."""
        count = 0
        for name, _ in job.parts:
            if (job.model, name) not in self._parts:
                break
            count += 1
        return count

    def fetched(self, job: Job, found: Mapping[str, int]) -> Iterator[tuple[str, int]]:
        """Yield the parts after the kept ones that another has, up to a gap."""
        for name, _ in job.parts[self.kept(job) :]:
            if name not in found:
                return
            yield name, found[name]

    def keep(self, model: str, parts: Iterator, used: int) -> None:
        """Keep parts beside ``used`` tokens of running requests."""
        for name, tokens in parts:
            self._parts[model, name] = tokens
            self._parts.move_to_end((model, name))
        while self._parts and sum(self._parts.values()) + used > self.capacity:
            self._parts.popitem(last=False)


class Batch:
    """The running generations.

    Args:
        step_s: Seconds of one step of a batch of one.
        growth: Part by which each further request lengthens a step.
        chunk: Tokens that one step prefills, over all requests.
        capacity: Tokens that running requests and kept parts may hold.
    """

    def __init__(self, step_s: float, growth: float, chunk: int, capacity: int) -> None:
        self._step_s, self._growth, self._chunk = step_s, growth, chunk
        self.cache = PartCache(capacity)
        self.jobs: list[Job] = []

    @property
    def used(self) -> int:
        """Tokens that cannot yield."""
        return sum(job.held for job in self.jobs)

    @property
    def step_s(self) -> float:
        """Seconds that the next step takes."""
        return self._step_s * (1 + self._growth * max(0, len(self.jobs) - 1))

    def add(self, job: Job) -> None:
        """Let a generation run."""
        kept = sum(tokens for _, tokens in job.parts[: self.cache.kept(job)])
        job.to_read = max(0, job.prompt - kept) + job.made
        self.jobs.append(job)

    def drop(self, job: Job) -> None:
        """End a generation, done or not."""
        if job in self.jobs:
            self.jobs.remove(job)

    def step(self) -> Iterator[Job]:
        """Advance all; yield those that made a token."""
        budget = self._chunk
        for job in list(self.jobs):
            read = min(budget, job.to_read)
            job.to_read -= read
            budget -= read
            if job.to_read == 0 and job in self.jobs:
                if read or not job.made:
                    self.cache.keep(job.model, job.parts, self.used)
                job.made += 1
                yield job
