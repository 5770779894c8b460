"""Continuous batching of the engine stand-in, without I/O."""

import json
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from hashlib import sha256
from math import log
from random import Random
from zlib import crc32

CHARS_PER_TOKEN = 4

_WORD_STEP = 2_654_435_761
_WORD_MASK = 0xFFFFFFFF


class State(StrEnum):
    """State of an execution."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class CompletionRequest:
    """Parameters of a completion request.

    Args:
        request_id: The router's ``X-Request-Id``.
        key: The ``Idempotency-Key``.
        account: The ``X-Account`` header.
        prompt: Text of all messages.
        tokens: Length of the completion.
        finish_reason: ``stop``, or ``length`` if ``max_tokens`` limits the length.
    """

    request_id: str
    key: str | None
    account: str | None
    prompt: str
    tokens: int
    finish_reason: str

    @property
    def prompt_tokens(self) -> int:
        """Approximate length of the prompt in tokens."""
        return max(1, len(self.prompt) // CHARS_PER_TOKEN)


@dataclass(slots=True, eq=False)
class Execution:
    """One execution of a completion request.

    Args:
        number: Order of arrival at this engine.
        engine: Name of the engine.
        work: Parameters of the request.
        ready_at: End of the prefill, in monotonic seconds; no piece comes earlier.
        started: Arrival time in Unix seconds.
        ended: End time in Unix seconds, or None.
        produced: Number of pieces so far; a piece is one token.
        resumed_from: Offsets from which it was resumed.
    """

    number: int
    engine: str
    request: CompletionRequest
    ready_at: float
    started: float
    ended: float | None = None
    state: State = State.WAITING
    produced: int = 0
    resumed_from: list[int] = field(default_factory=list)
    _text_seed: int = 0

    def __post_init__(self) -> None:
        name = f"{self.engine}/{self.request.request_id}/{self.number}"
        self._text_seed = crc32(name.encode())

    @property
    def is_open(self) -> bool:
        """Whether the execution is waiting or running."""
        return self.state in (State.WAITING, State.RUNNING)

    def piece(self, seq: int) -> str:
        """Return the text of one piece, which differs between executions."""
        digits = (self._text_seed + seq * _WORD_STEP) & _WORD_MASK
        # Non-ASCII and escaped characters reveal a relay that re-encodes the text.
        suffix = "é\n" if seq % 8 == 7 else " "
        return f"{digits:08x}{suffix}"

    @property
    def text(self) -> str:
        """Text generated so far."""
        return "".join(map(self.piece, range(self.produced)))

    @property
    def usage(self) -> dict[str, int]:
        """Token counts of the prompt and the completion."""
        return {
            "prompt_tokens": self.request.prompt_tokens,
            "completion_tokens": self.produced,
        }

    @property
    def wire(self) -> dict[str, object]:
        """The execution as ``GET /executions`` reports it."""
        return {
            "number": self.number,
            "engine": self.engine,
            "request_id": self.request.request_id,
            "key": self.request.key,
            "account": self.request.account,
            "prompt_sha256": sha256(self.request.prompt.encode()).hexdigest(),
            "pieces": self.produced,
            "tokens": self.request.tokens,
            "text": self.text,
            "state": self.state.value,
            "started": self.started,
            "ended": self.ended,
            "resumed_from": self.resumed_from,
        }


class Batch:
    """Running executions, which advance in common steps, and the waiting queue.

    Args:
        base_pace_s: Base duration of a step, in seconds.
        per_request_pace_s: Additional step duration per running execution, in seconds.
        limit: Maximum number of running executions; 0 for no limit.
    """

    def __init__(
        self, base_pace_s: float, per_request_pace_s: float, limit: int
    ) -> None:
        self._base_pace_s = base_pace_s
        self._per_request_pace_s = per_request_pace_s
        self._limit = limit
        self._running: list[Execution] = []
        self._waiting: deque[Execution] = deque()

    @property
    def running(self) -> int:
        """Number of executions in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of executions in the waiting queue."""
        return len(self._waiting)

    @property
    def pace_s(self) -> float:
        """Duration of the next step, in seconds."""
        return self._base_pace_s + self._per_request_pace_s * len(self._running)

    def add(self, execution: Execution) -> None:
        """Queue an execution; the queue is served in FIFO order."""
        self._waiting.append(execution)
        self._admit()

    def step(self, now: float, unix_now: float) -> Iterator[Execution]:
        """Generate one piece per running execution; yield those that advanced."""
        for execution in [
            candidate for candidate in self._running if candidate.ready_at <= now
        ]:
            execution.produced += 1
            if execution.produced >= execution.request.tokens:
                self._end(execution, State.DONE, unix_now)
            yield execution

    def cancel(self, execution: Execution, unix_now: float) -> bool:
        """Cancel an execution; return False if it had already ended."""
        if not execution.is_open:
            return False
        self._end(execution, State.CANCELLED, unix_now)
        return True

    def _admit(self) -> None:
        while self._waiting and (not self._limit or len(self._running) < self._limit):
            execution = self._waiting.popleft()
            execution.state = State.RUNNING
            self._running.append(execution)

    def _end(self, execution: Execution, state: State, unix_now: float) -> None:
        queue = self._waiting if execution.state is State.WAITING else self._running
        queue.remove(execution)
        execution.state = state
        execution.ended = unix_now
        self._admit()


def prompt_text(messages: object) -> str:
    """Return the text of a request's messages.

    Raises:
        TypeError: ``messages`` is not a list.
    """
    if not isinstance(messages, list):
        raise TypeError("messages must be a list")
    parts = (message.get("content") or "" for message in messages)
    return "\n".join(
        part if isinstance(part, str) else json.dumps(part) for part in parts
    )


@dataclass(frozen=True, slots=True)
class Lengths:
    """Lognormal completion lengths, determined by a seed and the request id.

    Args:
        seed: Seed of the engine.
        median: Median length in tokens.
        sigma: Standard deviation of the logarithm of the length.
    """

    seed: int
    median: float
    sigma: float

    def draw(self, body: dict, request_id: str) -> tuple[int, str]:
        """Return the number of tokens and the finish reason of a completion.

        The request's ``x_tokens`` sets the number; otherwise it is drawn at random and
        limited by ``max_tokens``.
        """
        if "x_tokens" in body:
            return max(1, int(body["x_tokens"])), "stop"
        random = Random(f"{self.seed}/{request_id}")
        length = random.lognormvariate(log(self.median), self.sigma)
        max_tokens = body.get("max_tokens")
        if max_tokens is not None and length > max_tokens:
            return max(1, int(max_tokens)), "length"
        return max(1, int(length)), "stop"
