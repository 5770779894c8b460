"""Shares between hosts that endpoints state start times which their entries lack."""

from collections.abc import Callable, Iterable
from typing import Protocol

from greengageflow.core.endpoint_list import EndpointList, ListChange
from greengageflow.core.start_report import StartTimesReport
from greengageflow.net.timers import Timers

GOSSIP_INTERVAL_S = 1.0
GOSSIP_FANOUT = 2
"""Number of random hosts that get the report every ``GOSSIP_INTERVAL_S`` seconds."""


class StartTimesSender(Protocol):
    """Sends reports to other hosts, with best effort."""

    def send_start_times(self, report: StartTimesReport, max_peers: int | None) -> None:
        """Send a report to ``max_peers`` random hosts, or to all if it is None."""


class StartTimesWatch:
    """Reports to other hosts that endpoints state start times in their answers.

    Hosts that got no such answer would take the entries of these endpoints for ones
    that name a start. Where an entry of the service has a start time, all hosts know
    from the list.

    Args:
        endpoints: Listed endpoints.
        timers: Timer service.
        sender: Sends reports to other hosts.
        on_changes: Called with the changes of the list.
    """

    def __init__(
        self,
        endpoints: EndpointList,
        timers: Timers,
        sender: StartTimesSender,
        on_changes: Callable[[Iterable[ListChange]], None],
    ) -> None:
        self._endpoints = endpoints
        self._timers = timers
        self._sender = sender
        self._on_changes = on_changes

    def start(self) -> None:
        """Begin to send reports to random hosts periodically, while they are needed."""
        self._timers.every(GOSSIP_INTERVAL_S, lambda: self._send(GOSSIP_FANOUT))

    def on_answer(self, service: str) -> None:
        """Handle an answer that states a start time."""
        if service not in self._endpoints.stating:
            self._on_changes(self._endpoints.on_start_stated(service))
            self._send(None)

    def receive(self, report: StartTimesReport) -> None:
        """Handle a report of another host."""
        for service in report.services:
            self._on_changes(self._endpoints.on_start_stated(service))

    def _send(self, max_peers: int | None) -> None:
        services = self._endpoints.stating - self._endpoints.listing
        if services:
            report = StartTimesReport(tuple(sorted(services)))
            self._sender.send_start_times(report, max_peers)
