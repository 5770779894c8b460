"""Prefix-cache affinity: which endpoint last served a prompt prefix."""

from collections import OrderedDict
from collections.abc import Mapping
from hashlib import blake2b
from typing import Any

PREFIX_CHARS = 512
MAX_PREFIXES = 2048


class PrefixMap:
    """LRU map from prompt prefixes to the endpoint that served them last.

    An entry is only a hint: the engine may have evicted the prefix from its cache.

    Args:
        capacity: Maximum number of prefixes.
    """

    def __init__(self, capacity: int = MAX_PREFIXES) -> None:
        self._capacity = capacity
        self._endpoints: OrderedDict[bytes, str] = OrderedDict()

    def endpoint(self, prefix: bytes) -> str:
        """Return the endpoint that last served ``prefix``, or an empty string."""
        return self._endpoints.get(prefix, "")

    def record(self, prefix: bytes, endpoint: str) -> None:
        """Record that a prompt with ``prefix`` was sent to ``endpoint``."""
        self._endpoints[prefix] = endpoint
        self._endpoints.move_to_end(prefix)
        if len(self._endpoints) > self._capacity:
            self._endpoints.popitem(last=False)


def prefix_of(model: str, body: Mapping[str, Any]) -> bytes:
    """Return a digest of the model and the beginning of the prompt."""
    digest = blake2b(model.encode(), digest_size=8)
    remaining = PREFIX_CHARS
    for message in body["messages"]:
        text = message["content"][:remaining]
        digest.update(text.encode())
        remaining -= len(text)
        if remaining <= 0:
            break
    return digest.digest()
