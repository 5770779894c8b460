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

FULL_MESH_LIMIT = 12


@dataclass(frozen=True, slots=True)
class Neighbours:
    """Ring neighbours of one router.

    Args:
        probed: Hosts that the router probes.
        adjacent: Hosts that it probes or that probe it.
    """

    probed: tuple[str, ...]
    adjacent: tuple[str, ...]


@lru_cache(maxsize=4096)
def _ring_hash(host: str) -> bytes:
    return blake2b(host.encode(), digest_size=8).digest()


def neighbours(hosts: Iterable[str], own_host: str) -> Neighbours:
    """Return the neighbours of ``own_host``; in a small fleet, all other hosts.

    Args:
        hosts: Live members, with or without ``own_host``.
        own_host: Host of this router.
    """
    ring = sorted({*hosts, own_host}, key=_ring_hash)
    size, position = len(ring), ring.index(own_host)
    if size <= FULL_MESH_LIMIT:
        others = tuple(host for host in ring if host != own_host)
        return Neighbours(others, others)
    steps = [1 << power for power in range((size - 1).bit_length())]
    probed = tuple(ring[(position + step) % size] for step in steps)
    probers = (ring[(position - step) % size] for step in steps)
    return Neighbours(probed, tuple(dict.fromkeys((*probed, *probers))))
