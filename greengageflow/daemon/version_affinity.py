"""Shares between hosts which software version began a stream."""

from collections.abc import Callable, Iterable, Iterator
from typing import Protocol

from greengageflow.core.router_table import Address, Hello
from greengageflow.core.version_affinity import (
    KEEPERS,
    StreamVersion,
    StreamVersionQuery,
    StreamVersionReport,
    StreamVersionTable,
    keepers_of,
)
from greengageflow.net.timers import Timers

SEND_DELAY_S = 0.02
"""Delay in which streams for the same keeper are collected, in seconds."""
QUERY_RETRY_S = 0.1
QUERY_TIMEOUT_S = 0.25
QUERIED_ON_RETRY = 8
"""Number of hosts that are asked again.

It exceeds the number of keepers, since hosts that started or ended since the stream
began change which hosts are its keepers.
"""
MAX_STREAMS_PER_MESSAGE = 64
MAX_REQUEST_ID_LENGTH = 128

OnFound = Callable[[StreamVersion | None], None]


class VersionSender(Protocol):
    """Sends messages to other hosts, with best effort."""

    def routers(self) -> list[Hello]:
        """Return the live hosts that are not stopping, including this one."""

    def send_to(
        self, to: Address, message: StreamVersionReport | StreamVersionQuery
    ) -> None:
        """Send one host a message."""


class VersionAffinity:
    """Reports the versions of streams that begin here, and looks up those of others.

    Args:
        own: This host.
        timers: Timer service.
        sender: Sends messages to other hosts.
    """

    def __init__(self, own: Hello, timers: Timers, sender: VersionSender) -> None:
        self._own = own
        self._timers = timers
        self._sender = sender
        self._table = StreamVersionTable()
        self._unsent: list[StreamVersion] = []
        self._lookups: dict[str, list[OnFound]] = {}

    def on_begun(self, stream: StreamVersion) -> None:
        """Record a stream that an endpoint of a known version began here."""
        if not 0 < len(stream.request) <= MAX_REQUEST_ID_LENGTH:
            return
        self._table.add(self._timers.now, stream)
        if not self._unsent:
            self._timers.after(SEND_DELAY_S, self._send_unsent)
        self._unsent.append(stream)

    def on_versions_unproven(self, service: str) -> None:
        """Record that the versions of a service's streams so far are not proven."""
        self._table.mark_unproven(service)

    def on_stop(self) -> None:
        """Hand what this host keeps to the keepers that there are without it."""
        self._report(self._table.streams(self._timers.now))

    def find(self, request: str, on_found: OnFound) -> None:
        """Call ``on_found`` with the version that began a stream, or None if unknown.

        Args:
            request: Id of the request that began the stream.
            on_found: Called once, perhaps before this method returns.
        """
        found = self._table.get(self._timers.now, request)
        if found is not None or not 0 < len(request) <= MAX_REQUEST_ID_LENGTH:
            on_found(found)
            return
        waiting = self._lookups.setdefault(request, [])
        waiting.append(on_found)
        if len(waiting) == 1:
            self._query(request, KEEPERS)
            self._timers.after(QUERY_RETRY_S, lambda: self._query_again(request))
            self._timers.after(QUERY_TIMEOUT_S, lambda: self._on_timeout(request))

    def _query_again(self, request: str) -> None:
        if request in self._lookups:
            self._query(request, QUERIED_ON_RETRY)

    def _on_timeout(self, request: str) -> None:
        for on_found in self._lookups.pop(request, ()):
            on_found(None)

    def _query(self, request: str, count: int) -> None:
        query = StreamVersionQuery(self._own.ip, self._own.port, request)
        for host in keepers_of(request, self._others(), count):
            self._sender.send_to(host.address, query)

    def _others(self) -> list[Hello]:
        return [row for row in self._sender.routers() if row.host != self._own.host]

    def _send_unsent(self) -> None:
        unsent, self._unsent = self._unsent, []
        self._report(unsent)

    def _report(self, streams: Iterable[StreamVersion]) -> None:
        others = self._others()
        by_keeper: dict[Address, list[StreamVersion]] = {}
        for stream in streams:
            for host in keepers_of(stream.request, others, KEEPERS):
                by_keeper.setdefault(host.address, []).append(stream)
        for address, rows in by_keeper.items():
            for part in _parts(rows, MAX_STREAMS_PER_MESSAGE):
                self._sender.send_to(address, StreamVersionReport(tuple(part)))

    # Messages of other hosts.

    def receive_report(self, report: StreamVersionReport) -> None:
        """Keep the versions of streams, and resume those that wait for one."""
        now = self._timers.now
        for stream in report.streams:
            self._table.add(now, stream)
            for on_found in self._lookups.pop(stream.request, ()):
                on_found(stream)

    def receive_query(self, query: StreamVersionQuery) -> None:
        """Answer with the version of a stream if this host knows it."""
        found = self._table.get(self._timers.now, query.request)
        if found is not None:
            answer = StreamVersionReport((found,))
            self._sender.send_to((query.ip, query.port), answer)


def _parts(rows: list[StreamVersion], max_length: int) -> Iterator[list[StreamVersion]]:
    for start in range(0, len(rows), max_length):
        yield rows[start : start + max_length]
