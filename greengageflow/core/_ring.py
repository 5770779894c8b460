"""Selects the members that a router probes; stable while the membership is.

Members are placed on a ring by the hash of their host names. Each one probes the
members 1, 2, 4, 8 … positions ahead. Every member is probed by as many members as it
probes, membership updates reach all members in a few hops, and connections stay open
at any fleet size.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b

WHOLE_LIMIT = 12


@dataclass(frozen=True, slots=True)
class Neighbours:
    """Ring neighbours of one router.

    Args:
        watched: Hosts that the router probes.
        near: Hosts that it probes or that probe it.
    """

    watched: tuple[str, ...]
    near: tuple[str, ...]


@lru_cache(maxsize=4096)
def _place(host: str) -> bytes:
    return blake2b(host.encode(), digest_size=8).digest()


def neighbours(hosts: Iterable[str], own_host: str) -> Neighbours:
    """Return the neighbours of ``own_host``; in a small fleet, all other hosts.

    Args:
        hosts: Live members, with or without ``own_host``.
        own_host: Host of this router.
    """
    ring = sorted({*hosts, own_host}, key=_place)
    size, place = len(ring), ring.index(own_host)
    if size <= WHOLE_LIMIT:
        others = tuple(host for host in ring if host != own_host)
        return Neighbours(others, others)
    steps = [1 << power for power in range((size - 1).bit_length())]
    watched = tuple(ring[(place + step) % size] for step in steps)
    watchers = (ring[(place - step) % size] for step in steps)
    return Neighbours(watched, tuple(dict.fromkeys((*watched, *watchers))))
