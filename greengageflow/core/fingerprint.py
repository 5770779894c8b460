"""Fingerprints of requests, and of parts of their prompts, regardless of their ids."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b

FINGERPRINT_BYTES = 12
MAX_PARTS = 64
"""Maximum number of prompt parts of a request that are considered."""
_PART_BIT = 0x80
"""Bit of the first byte that is set in the fingerprints of parts only."""

Fingerprint = bytes


def fingerprint_of(*parts: bytes) -> Fingerprint:
    """Return the hash that identifies a request regardless of its id."""
    digest = _digest(parts)
    return bytes((digest[0] & ~_PART_BIT,)) + digest[1:]


@lru_cache(maxsize=4096)
def part_fingerprint(part: str) -> Fingerprint:
    """Return the hash that identifies a prompt part, whatever request holds it."""
    digest = _digest((part.encode(),))
    return bytes((digest[0] | _PART_BIT,)) + digest[1:]


def is_part(fingerprint: Fingerprint) -> bool:
    """Whether a fingerprint identifies a prompt part and not a request."""
    return bool(fingerprint[0] & _PART_BIT)


def _digest(parts: Iterable[bytes]) -> bytes:
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def short_digest(fingerprint: Fingerprint) -> str:
    """Return the abbreviated fingerprint used in log lines."""
    return fingerprint[:4].hex()


@dataclass(frozen=True, slots=True)
class RequestIdentity:
    """Fingerprints under which the crashes of a request are recorded.

    Args:
        request: Fingerprint of the request.
        parts: Fingerprints of the prompt parts that it may share with other requests.
    """

    request: Fingerprint
    parts: tuple[Fingerprint, ...] = ()

    def __iter__(self) -> Iterator[Fingerprint]:
        """Yield all fingerprints."""
        yield self.request
        yield from self.parts


def part_fingerprints(parts: Iterable[str]) -> tuple[Fingerprint, ...]:
    """Return the fingerprints of the shared parts of a prompt, each once."""
    found = dict.fromkeys(map(part_fingerprint, parts))
    return tuple(found)[:MAX_PARTS]
