"""What an engine's memory keeps, followed from what it was sent."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator

from greengageflow.core.forward_request import PromptPart


class KeptMirror:
    """The prompt parts in one engine's memory, the least recently used ones first.

    An engine lets go of the parts that were not used for longest when its memory is
    full, and its events on that come late and with gaps. A host that sends it all its
    work knows the order and the lengths as well. Taken to be kept for a fixed time
    instead, parts were looked for where they no longer were and read again (too long a
    time), or moved though they were still there (too short a one).

    Args:
        capacity: Tokens that fit into its memory.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._tokens: OrderedDict[str, int] = OrderedDict()
        self._used = 0

    def __len__(self) -> int:
        """Return how many parts are kept."""
        return len(self._tokens)

    def touch(self, parts: Iterable[PromptPart]) -> Iterator[str]:
        """Note parts that are used now, and yield the ids of those that yield."""
        for part in parts:
            self._used += part.tokens - self._tokens.get(part.id, 0)
            self._tokens[part.id] = part.tokens
            self._tokens.move_to_end(part.id)
        while self._used > self._capacity and len(self._tokens) > 1:
            name, tokens = self._tokens.popitem(last=False)
            self._used -= tokens
            yield name
