"""Assignment of model engines to placers, the hosts that schedule them.

Load reports of other hosts are 50 to 250 ms old. In that time all hosts would see the
same engine idle and overload it, the more so the larger the fleet. Each engine
therefore has a placer: one host that queues and places the requests of all hosts for
it, and knows the load that it causes without delay. Agreement is not required: hosts
that disagree on placers for a while place less accurately, and a host that gets no
answer from a placer decides for itself.
"""

from collections.abc import Iterable, Sequence

from greengageflow.core.rendezvous import rank
from greengageflow.core.router_table import Address, Hello

HOSTS_PER_PLACER = 20
"""Hosts for each placer after the first one."""

SAME_START_WINDOW_MS = 10_000
"""Milliseconds between starts that count as simultaneous; allows for clock skew."""


def placers_among(rows: Iterable[Hello]) -> tuple[str, ...]:
    """Return the placers of a fleet, the same for all hosts with the same membership.

    They are the hosts that have run longest. A new placer has not measured the engines
    and does not know their prefix caches. With a ranking by name alone, a host could
    become a placer as soon as it joins.

    Args:
        rows: Live hosts that are not stopping.
    """
    ranked = sorted(rows, key=lambda row: (row.boot, rank(row.host)))
    return tuple(row.host for row in ranked[: 1 + len(ranked) // HOSTS_PER_PLACER])


def placer_of(endpoint: str, placers: Sequence[str]) -> str:
    """Return the placer of an endpoint by rendezvous hashing.

    When a placer joins or leaves, only its own endpoints are reassigned.
    """
    return max(placers, key=lambda host: rank(f"{endpoint} {host}"), default="")


class PlacerTable:
    """The placers as this host sees them, and which of them are in backoff.

    Args:
        host: This host.
        backoff_s: Backoff after an unanswered request, in seconds.
    """

    def __init__(self, host: str, backoff_s: float) -> None:
        self.placers: tuple[str, ...] = ()
        self.started_together = True
        self._host = host
        self._backoff_s = backoff_s
        self._addresses: dict[str, Address] = {}
        self._owners: dict[str, str] = {}
        self._backoff_until: dict[str, float] = {}
        self._silent_since: dict[str, float] = {}

    def update(self, rows: Iterable[Hello]) -> bool:
        """Take the live hosts; return whether the placers changed."""
        live_rows = list(rows)
        self._addresses = {row.host: row.address for row in live_rows}
        for times in (self._backoff_until, self._silent_since):
            for host in times.keys() - self._addresses.keys():
                del times[host]
        placers = placers_among(live_rows)
        boots = [row.boot for row in live_rows if row.host in placers]
        self.started_together = (
            max(boots, default=0) <= min(boots, default=0) + SAME_START_WINDOW_MS
        )
        changed = placers != self.placers
        if changed:
            self.placers = placers
            self._owners.clear()
        return changed

    def owner(self, endpoint: str) -> str:
        """Return the placer of an endpoint, or an empty string if there is none."""
        found = self._owners.get(endpoint)
        if found is None:
            found = self._owners[endpoint] = placer_of(endpoint, self.placers)
        return found

    def owned(self, endpoints: Iterable[str]) -> frozenset[str] | None:
        """Return the endpoints that this host places, or None if it is not a placer."""
        if self._host not in self.placers:
            return None
        listed = set(endpoints)
        self._owners = {e: o for e, o in self._owners.items() if e in listed}
        return frozenset(e for e in listed if self.owner(e) == self._host)

    def address(self, host: str) -> Address | None:
        """Return the address of a live host, or None."""
        return self._addresses.get(host)

    @property
    def is_alone(self) -> bool:
        """Whether no other host is live."""
        return not self._addresses.keys() - {self._host}

    def is_available(self, now: float, host: str) -> bool:
        """Return whether another host is live and not in backoff."""
        is_live = host != self._host and host in self._addresses
        return is_live and now >= self._backoff_until.get(host, 0.0)

    def on_timeout(self, now: float, host: str) -> bool:
        """Record a missing answer; return whether it is the first one in a row."""
        self._backoff_until[host] = now + self._backoff_s
        return self._silent_since.setdefault(host, now) == now

    def on_pass(self, now: float, host: str, seconds: float) -> None:
        """Record that a placer does not place for the given time."""
        self._backoff_until[host] = now + seconds

    def on_answer(self, now: float, host: str) -> float | None:
        """Record an answer; return the seconds of silence that it ends, or None."""
        since = self._silent_since.pop(host, None)
        return None if since is None else now - since
