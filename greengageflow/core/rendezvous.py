"""Rendezvous hashing: ranks of names that are the same on all hosts."""

from functools import lru_cache
from hashlib import blake2b


def uncached_rank(text: str) -> bytes:
    """Return the rank of a text that is not ranked again."""
    return blake2b(text.encode(), digest_size=8).digest()


@lru_cache(maxsize=4096)
def rank(text: str) -> bytes:
    """Return the rank of a text; the highest one wins."""
    return uncached_rank(text)
