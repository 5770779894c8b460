"""Which hosts decide for the whole fleet what a model engine is sent.

Sums of what other hosts told are 50 to 250 ms old. While one is on its way, all hosts
see the same engine idle and send to it, the more hosts the more. So each engine has a
placer: one host that queues and places the requests of all for it, and knows at once
what it sent. Nothing hangs on agreement: hosts that see placers differently for a while
cost accuracy, and one that gets no word from a placer decides for itself.
"""

from collections.abc import Iterable, Sequence
from hashlib import blake2b

HOSTS_A_PLACER = 20


def _rank(text: str) -> bytes:
    return blake2b(text.encode(), digest_size=8).digest()


def placers_among(hosts: Iterable[str]) -> tuple[str, ...]:
    """Return the placers of a fleet, the same on each host that knows the same hosts.

    Args:
        hosts: Live hosts that are not stopping.
    """
    ranked = sorted(hosts, key=_rank)
    return tuple(ranked[: 1 + len(ranked) // HOSTS_A_PLACER])


def placer_of(endpoint: str, placers: Sequence[str]) -> str:
    """Return the placer of an endpoint.

    It is the one with the highest hash of both, so that a placer that comes or goes
    moves no other endpoints than its own.
    """
    return max(placers, key=lambda host: _rank(f"{endpoint} {host}"), default="")
