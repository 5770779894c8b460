"""Shares between hosts which unproven starts of endpoints began streams."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import count
from typing import Protocol

from greengageflow.core.router_table import Address, Hello
from greengageflow.core.unproven_starts import (
    UnprovenStart,
    UnprovenStartQuery,
    UnprovenStartReport,
    UnprovenStartTable,
)
from greengageflow.core.version_affinity import KEEPERS, RETENTION_S, keepers_of
from greengageflow.net.timers import Timers

RETRY_S = 0.1
TIMEOUT_S = 0.25
REPEAT_INTERVAL_S = 5.0
"""Interval in which hosts that became keepers receive what the others know."""
RECORD_INTERVAL_S = RETENTION_S / 4
"""Time for which a start that was recorded need not be recorded again, in seconds."""

OnShared = Callable[[bool], None]


class StartSender(Protocol):
    """Sends messages to other hosts, with best effort."""

    def routers(self) -> list[Hello]:
        """Return the live hosts that are not stopping, including this one."""

    def send_to(
        self, to: Address, message: UnprovenStartQuery | UnprovenStartReport
    ) -> None:
        """Send one host a message."""


@dataclass(slots=True)
class _Exchange:
    service: str
    keepers: dict[str, Address]
    on_done: OnShared
    answered: set[str] = field(default_factory=set)

    @property
    def is_complete(self) -> bool:
        """Whether most keepers answered, so that two exchanges share one of them."""
        return not self.keepers or len(self.answered) > len(self.keepers) // 2


class UnprovenStarts:
    """Records unproven starts at the keepers of their service, and collects others'.

    Args:
        own: This host.
        timers: Timer service.
        sender: Sends messages to other hosts.
    """

    def __init__(self, own: Hello, timers: Timers, sender: StartSender) -> None:
        self._own = own
        self._timers = timers
        self._sender = sender
        self._table = UnprovenStartTable()
        self._recorded_at: dict[tuple[str, str], float] = {}
        self._numbers = count(1)
        self._exchanges: dict[int, _Exchange] = {}

    def start(self) -> None:
        """Start the periodic messages."""
        self._timers.every(REPEAT_INTERVAL_S, self.send_all)

    def starts(self, service: str, within_s: float) -> Iterable[str]:
        """Return the unproven starts of a service that began streams within a time."""
        found = self._table.starts(self._timers.now, service, within_s)
        return [row.start for row in found]

    def record(self, service: str, start: str, on_done: OnShared) -> None:
        """Record a start; call ``on_done`` with whether most keepers have it.

        Args:
            service: Service of the endpoint.
            start: Identifies its start, or ``UNKNOWN_START``.
            on_done: Called once, perhaps before this method returns.
        """
        now = self._timers.now
        self._table.add(now, service, [UnprovenStart(start, 0.0)])
        recorded_at = self._recorded_at.get((service, start), float("-inf"))
        if now - recorded_at < RECORD_INTERVAL_S:
            on_done(True)
            return

        def on_shared(shared: bool) -> None:
            if shared:
                self._set_recorded(service, start, now)
            on_done(shared)

        self.share(service, on_shared)

    def _set_recorded(self, service: str, start: str, now: float) -> None:
        outdated = now - RECORD_INTERVAL_S
        for key, recorded_at in list(self._recorded_at.items()):
            if recorded_at <= outdated:
                del self._recorded_at[key]
        self._recorded_at[service, start] = now

    def share(self, service: str, on_done: OnShared) -> None:
        """Exchange the unproven starts of a service with its keepers.

        Args:
            service: Name of the service.
            on_done: Called once with whether most keepers answered, perhaps before
                this method returns.
        """
        exchange = _Exchange(service, self._keepers(service), on_done)
        if exchange.is_complete:
            on_done(True)
            return
        number = next(self._numbers)
        self._exchanges[number] = exchange
        self._query(number, exchange)
        self._timers.after(RETRY_S, lambda: self._query_again(number))
        self._timers.after(TIMEOUT_S, lambda: self._end(number))

    def send_all(self) -> None:
        """Send the keepers of each service all that this host knows."""
        for service in self._table.services():
            exchange = _Exchange(service, self._keepers(service), lambda _done: None)
            self._query(next(self._numbers), exchange)

    def _keepers(self, service: str) -> dict[str, Address]:
        others = [row for row in self._sender.routers() if row.host != self._own.host]
        keepers = keepers_of(service, others, KEEPERS)
        return {row.host: row.address for row in keepers}

    def _query(self, number: int, exchange: _Exchange) -> None:
        starts = self._table.starts(self._timers.now, exchange.service)
        query = UnprovenStartQuery(
            self._own.ip, self._own.port, number, exchange.service, starts
        )
        for host, address in exchange.keepers.items():
            if host not in exchange.answered:
                self._sender.send_to(address, query)

    def _query_again(self, number: int) -> None:
        if number in self._exchanges:
            self._query(number, self._exchanges[number])

    def _end(self, number: int) -> None:
        exchange = self._exchanges.pop(number, None)
        if exchange is not None:
            exchange.on_done(exchange.is_complete)

    # Messages of other hosts.

    def receive_query(self, query: UnprovenStartQuery) -> None:
        """Add another host's starts, and answer with all that this host knows."""
        now = self._timers.now
        self._table.add(now, query.service, query.starts)
        starts = self._table.starts(now, query.service)
        report = UnprovenStartReport(
            self._own.host, query.number, query.service, starts
        )
        self._sender.send_to((query.ip, query.port), report)

    def receive_report(self, report: UnprovenStartReport) -> None:
        """Add a keeper's starts, and end the exchange if most keepers have answered."""
        self._table.add(self._timers.now, report.service, report.starts)
        exchange = self._exchanges.get(report.number)
        if exchange is None or report.host not in exchange.keepers:
            return
        exchange.answered.add(report.host)
        if exchange.is_complete:
            self._end(report.number)
