"""Applies evacuations of zones, and forwards them to peers."""

from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from greengageflow.core.evacuation import (
    EvacuationRecord,
    EvacuationReport,
    Evacuations,
)
from greengageflow.net.timers import Timers

RESEND_DELAY_S = 0.25
"""Delay before a change is sent to all hosts once more in case of message loss, in
seconds."""
GOSSIP_INTERVAL_S = 1.0
GOSSIP_FANOUT = 2
"""Number of random hosts that get the records every ``GOSSIP_INTERVAL_S`` seconds.

It serves hosts that start, or that missed all other messages.
"""

GOSSIP_DURATION_S = 60.0
"""Time for which the release of a zone is repeated, in seconds."""


class EvacuationSender(Protocol):
    """Sends records to other hosts, with best effort."""

    def send_evacuations(self, report: EvacuationReport, max_hosts: int | None) -> None:
        """Send records to ``max_hosts`` random hosts, or to all if it is None."""


class EvacuationWatch:
    """Keeps the evacuated zones as read from the store and received from peers.

    Args:
        timers: Timer service.
        sender: Sends records to other hosts.
        on_change: Called with all evacuated zones, and with those released just now.
    """

    def __init__(
        self,
        timers: Timers,
        sender: EvacuationSender,
        on_change: Callable[[frozenset[str], frozenset[str]], None],
    ) -> None:
        self._timers = timers
        self._sender = sender
        self._on_change = on_change
        self._evacuations = Evacuations()
        self._zones: frozenset[str] = frozenset()
        self._changed_at = float("-inf")

    @property
    def zones(self) -> frozenset[str]:
        """Zones that are evacuated."""
        return self._zones

    def start(self) -> None:
        """Begin to send the records to random hosts periodically."""
        self._timers.every(GOSSIP_INTERVAL_S, self._on_interval)

    def receive(self, records: Iterable[EvacuationRecord]) -> None:
        """Apply records of another host."""
        self._publish(self._evacuations.apply(records))

    def on_records(self, records: Iterable[EvacuationRecord]) -> None:
        """Apply records that this host read from the store."""
        if self._publish(self._evacuations.apply(records)):
            self._send_to_all()

    def on_snapshot(
        self, marks: Mapping[str, int], mark: int, *, restored: bool
    ) -> None:
        """Apply a snapshot; arguments as for ``Evacuations.apply_snapshot``."""
        now = self._timers.now
        if self._publish(
            self._evacuations.apply_snapshot(now, marks, mark, restored=restored)
        ):
            self._send_to_all()

    def _publish(self, released: frozenset[str]) -> bool:
        zones = self._evacuations.zones
        if zones == self._zones:
            return False
        self._zones = zones
        self._changed_at = self._timers.now
        self._on_change(zones, released)
        return True

    def _on_interval(self) -> None:
        now = self._timers.now
        self._publish(self._evacuations.release_due(now))
        if self._zones or now - self._changed_at < GOSSIP_DURATION_S:
            self._send(GOSSIP_FANOUT)

    def _send_to_all(self) -> None:
        self._send(None)
        self._timers.after(RESEND_DELAY_S, lambda: self._send(None))

    def _send(self, max_hosts: int | None) -> None:
        records = self._evacuations.records
        if records:
            self._sender.send_evacuations(EvacuationReport(records), max_hosts)
