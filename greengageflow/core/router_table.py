"""Membership table of routers by their heartbeats, and the relays of each zone."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

RELAYS_PER_ZONE = 2

Address = tuple[str, int]


@dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """Heartbeat of a router.

    Args:
        host: Host name.
        boot: Incarnation of the process; increases with each start.
        ip: IP address for reports.
        port: UDP port for reports.
        zone: Availability zone.
        stopping: True if the router accepts no more requests.
        peers: Addresses of some other routers that it knows.
    """

    host: str
    boot: int
    ip: str
    port: int
    zone: str
    stopping: bool = False
    peers: tuple[Address, ...] = ()

    @property
    def address(self) -> Address:
        """IP address and UDP port."""
        return self.ip, self.port


@dataclass(frozen=True, slots=True)
class _LiveView:
    """Cached view of the live routers, valid until a row changes or times out.

    Args:
        valid_until: Time at which the first router times out.
        timeout_s: Heartbeat timeout, in seconds.
        rows: Live routers by host name, including this one, in order of the names.
        relays: Relays of each zone, in order of precedence.
    """

    valid_until: float
    timeout_s: float
    rows: dict[str, Hello]
    relays: dict[str, list[Hello]]


class RouterTable:
    """Table of the other routers and the time of their last message.

    Args:
        own: Hello of this router.
    """

    def __init__(self, own: Hello) -> None:
        self._own = own
        self._rows: dict[str, tuple[Hello, float]] = {}
        self._view: _LiveView | None = None

    def put(self, now: float, hello: Hello) -> bool:
        """Record a hello; return whether it is the first of this router's process."""
        entry = self._rows.get(hello.host)
        if hello.host == self._own.host:
            return False
        if entry is None or hello.boot >= entry[0].boot:
            self._store(now, hello)
        return entry is None or hello.boot > entry[0].boot

    def touch(self, now: float, host: str, boot: int) -> None:
        """Refresh a router that is in the table, after another message from it."""
        entry = self._rows.get(host)
        if entry is not None and entry[0].boot == boot:
            self._store(now, entry[0])

    def _store(self, now: float, hello: Hello) -> None:
        self._rows[hello.host] = (hello, now)
        if self._view is not None:
            cached = self._view.rows.get(hello.host)
            if cached is hello:
                return
            if cached is None or _identity(cached) != _identity(hello):
                self._view = None

    def drop_silent(self, now: float, rows: Iterable[Hello], silent_s: float) -> None:
        """Remove ``rows`` if all of them have been silent for ``silent_s`` seconds.

        A router that is alive after all is added again by its next hello.
        """
        hosts = [row.host for row in rows if row.host in self._rows]
        if all(now - self._rows[host][1] > silent_s for host in hosts):
            for host in hosts:
                del self._rows[host]
                self._view = None

    def addresses(self, host: str) -> list[Address]:
        """Return the address of a router as a list, which is empty if it is unknown."""
        entry = self._rows.get(host)
        return [] if entry is None else [entry[0].address]

    def live(self, now: float, timeout_s: float) -> list[Hello]:
        """Return the other routers that were heard from in the last ``timeout_s`` s."""
        rows = self._live_view(now, timeout_s).rows
        return [row for row in rows.values() if row is not self._own]

    def count(self, now: float, timeout_s: float) -> int:
        """Return the number of live routers other than this one."""
        return len(self._live_view(now, timeout_s).rows) - 1

    def members(self, now: float, timeout_s: float) -> list[Hello]:
        """Return the live routers of the own zone with this one, sorted by host."""
        rows = self._live_view(now, timeout_s).rows.values()
        return [row for row in rows if row.zone == self._own.zone]

    def relays(self, now: float, timeout_s: float) -> dict[str, list[Hello]]:
        """Return the relays of each zone, in order of precedence."""
        return self._live_view(now, timeout_s).relays

    def _live_view(self, now: float, timeout_s: float) -> _LiveView:
        view = self._view
        if view is None or now > view.valid_until or timeout_s != view.timeout_s:
            view = self._view = self._build_view(now, timeout_s)
        return view

    def _build_view(self, now: float, timeout_s: float) -> _LiveView:
        valid_until = inf
        live = {self._own.host: self._own}
        for host, (hello, seen_at) in list(self._rows.items()):
            if now - seen_at <= timeout_s:
                live[host] = hello
                valid_until = min(valid_until, seen_at + timeout_s)
            elif now - seen_at > 4 * timeout_s:
                del self._rows[host]
        rows = {host: live[host] for host in sorted(live)}
        relays: dict[str, list[Hello]] = {}
        for row in rows.values():
            if not row.stopping:
                zone = relays.setdefault(row.zone, [])
                if len(zone) < RELAYS_PER_ZONE:
                    zone.append(row)
        return _LiveView(valid_until, timeout_s, rows, relays)


def _identity(hello: Hello) -> tuple[int, Address, str, bool]:
    return hello.boot, hello.address, hello.zone, hello.stopping
