"""Prefix cache of the engine stand-in and its cache events."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import sha256
from random import Random

from greengageflow.lab._engine_batch import CHARS_PER_TOKEN

BLOCK_CHARS = 256
STORED = "stored"
EVICTED = "evicted"


class PrefixCache:
    """LRU cache of prompt blocks.

    The name of a prefix is the first 16 hexadecimal digits of the SHA-256 of the
    prompt's first k blocks of ``BLOCK_CHARS`` characters.

    Args:
        limit: Capacity in blocks.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[str, None] = OrderedDict()

    @staticmethod
    def prefix_names(prompt: str) -> Iterator[str]:
        """Yield the names of a prompt's prefixes, shortest first."""
        digest = sha256()
        for end in range(BLOCK_CHARS, len(prompt) + 1, BLOCK_CHARS):
            digest.update(prompt[end - BLOCK_CHARS : end].encode())
            yield digest.hexdigest()[:16]

    def cached_tokens(self, prompt: str) -> int:
        """Return the number of leading prompt tokens that are cached."""
        count = 0
        for name in self.prefix_names(prompt):
            if name not in self._blocks:
                break
            count += 1
        return count * BLOCK_CHARS // CHARS_PER_TOKEN

    def store(self, prompt: str) -> Iterator[tuple[str, str]]:
        """Cache a prompt's blocks; yield (operation, prefix) for each change."""
        for name in self.prefix_names(prompt):
            if name not in self._blocks:
                yield STORED, name
            self._blocks[name] = None
            self._blocks.move_to_end(name)
        while len(self._blocks) > self._capacity:
            name, _ = self._blocks.popitem(last=False)
            yield EVICTED, name


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of the prefix cache, visible to readers from ``visible_at`` on."""

    seq: int
    op: str
    prefix: str
    visible_at: float


class CacheEvents:
    """Published cache events: delayed, and some of them lost.

    Args:
        lag_s: Delay in seconds.
        loss: Fraction of the events that is lost, 0 to 1.
        seed: Seed for the choice of lost events.
    """

    def __init__(self, lag_s: float, loss: float, seed: int) -> None:
        self._lag_s = lag_s
        self._loss = loss
        self._random = Random(seed)
        self._events: list[CacheEvent] = []
        self._next_seq = 0

    def add(self, changes: Iterator[tuple[str, str]], now: float) -> None:
        """Publish cache changes; a lost event leaves a gap in ``seq``."""
        for op, prefix in changes:
            if self._random.random() >= self._loss:
                event = CacheEvent(self._next_seq, op, prefix, now + self._lag_s)
                self._events.append(event)
            self._next_seq += 1

    def since(self, start: int, now: float) -> Iterator[dict[str, object]]:
        """Yield the visible events from a sequence number on."""
        for event in self._events:
            if event.seq >= start and event.visible_at <= now:
                yield {"seq": event.seq, "op": event.op, "prefix": event.prefix}
