"""Model of an engine's prefix cache, derived from the requests sent to it."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator

from greengageflow.core.forward_request import PromptPart


class CacheMirror:
    """LRU model of the prompt parts in one engine's memory.

    An engine evicts the least recently used parts when its memory is full, and its
    eviction events arrive late and with gaps. A host that sends an engine all its
    requests knows the order and lengths of its parts as well. Assuming a fixed
    retention time instead caused parts to be expected after their eviction and read
    again (time too long), or copied although they were still cached (too short).

    Args:
        capacity: Tokens that fit into the engine's memory.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._part_tokens: OrderedDict[str, int] = OrderedDict()
        self._used_tokens = 0

    def __len__(self) -> int:
        """Return the number of cached parts."""
        return len(self._part_tokens)

    def touch(self, parts: Iterable[PromptPart]) -> Iterator[str]:
        """Mark parts as used now, and yield the ids of the parts that are evicted."""
        for part in parts:
            self._used_tokens += part.tokens - self._part_tokens.get(part.id, 0)
            self._part_tokens[part.id] = part.tokens
            self._part_tokens.move_to_end(part.id)
        while self._used_tokens > self._capacity and len(self._part_tokens) > 1:
            name, tokens = self._part_tokens.popitem(last=False)
            self._used_tokens -= tokens
            yield name
