"""Which hosts decide for the whole fleet what a model engine is sent.

Sums of what other hosts told are 50 to 250 ms old. While one is on its way, all hosts
see the same engine idle and send to it, the more hosts the more. So each engine has a
placer: one host that queues and places the requests of all for it, and knows at once
what it sent. Nothing hangs on agreement: hosts that see placers differently for a while
cost accuracy, and one that gets no word from a placer decides for itself.
"""

from collections.abc import Iterable, Sequence
from functools import lru_cache
from hashlib import blake2b

from greengageflow.core.router_table import Address, Hello

HOSTS_A_PLACER = 20
TOGETHER_MS = 10_000
"""Milliseconds between starts that count as one, by clocks that differ."""


@lru_cache(maxsize=4096)
def _rank(text: str) -> bytes:
    return blake2b(text.encode(), digest_size=8).digest()


def placers_among(rows: Iterable[Hello]) -> tuple[str, ...]:
    """Return the placers of a fleet, the same on each host that knows the same hosts.

    They are those that have run longest. A placer that begins knows neither what
    engines can do nor what they keep; by name alone, a host that joins may become one
    at once.

    Args:
        rows: Live hosts that are not stopping.
    """
    ranked = sorted(rows, key=lambda row: (row.boot, _rank(row.host)))
    return tuple(row.host for row in ranked[: 1 + len(ranked) // HOSTS_A_PLACER])


def placer_of(endpoint: str, placers: Sequence[str]) -> str:
    """Return the placer of an endpoint.

    It is the one with the highest hash of both, so that a placer that comes or goes
    moves no other endpoints than its own.
    """
    return max(placers, key=lambda host: _rank(f"{endpoint} {host}"), default="")


class PlacerTable:
    """The placers that this host knows, and which of them are left alone.

    Args:
        host: This host.
        mute_s: Time for which a placer that did not answer is left alone, in seconds.
    """

    def __init__(self, host: str, mute_s: float) -> None:
        self.placers: tuple[str, ...] = ()
        self.began_together = True
        self._host = host
        self._mute_s = mute_s
        self._addresses: dict[str, Address] = {}
        self._owners: dict[str, str] = {}
        self._mute: dict[str, float] = {}
        self._silent_since: dict[str, float] = {}

    def update(self, rows: Iterable[Hello]) -> bool:
        """Take over who lives; True when the placers have changed."""
        known_rows = list(rows)
        self._addresses = {row.host: row.address for row in known_rows}
        for known in (self._mute, self._silent_since):
            for host in known.keys() - self._addresses.keys():
                del known[host]
        placers = placers_among(known_rows)
        boots = [row.boot for row in known_rows if row.host in placers]
        self.began_together = (
            max(boots, default=0) <= min(boots, default=0) + TOGETHER_MS
        )
        changed = placers != self.placers
        if changed:
            self.placers = placers
            self._owners.clear()
        return changed

    def owner(self, endpoint: str) -> str:
        """Return the placer of an endpoint, empty when there is none."""
        found = self._owners.get(endpoint)
        if found is None:
            found = self._owners[endpoint] = placer_of(endpoint, self.placers)
        return found

    def owned(self, endpoints: Iterable[str]) -> frozenset[str] | None:
        """Return the endpoints that this host places; None when it is no placer."""
        if self._host not in self.placers:
            return None
        known = set(endpoints)
        self._owners = {e: o for e, o in self._owners.items() if e in known}
        return frozenset(e for e in known if self.owner(e) == self._host)

    def address(self, host: str) -> Address | None:
        """Return where a live host takes messages, or None."""
        return self._addresses.get(host)

    @property
    def is_alone(self) -> bool:
        """Whether no other host is known."""
        return not self._addresses.keys() - {self._host}

    def answers(self, now: float, host: str) -> bool:
        """Whether another host lives and may be asked."""
        known = host != self._host and host in self._addresses
        return known and now >= self._mute.get(host, 0.0)

    def on_silence(self, now: float, host: str) -> bool:
        """Note that a placer did not answer; True when it did before."""
        self._mute[host] = now + self._mute_s
        return self._silent_since.setdefault(host, now) == now

    def on_pass(self, now: float, host: str, seconds: float) -> None:
        """Note that a placer does not place now."""
        self._mute[host] = now + seconds

    def on_heard(self, now: float, host: str) -> float | None:
        """Note an answer; return for how long the placer was silent, if it was."""
        since = self._silent_since.pop(host, None)
        return None if since is None else now - since
