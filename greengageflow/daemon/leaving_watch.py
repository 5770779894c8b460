"""Handles signs that endpoints are leaving or have ended, and notifies peers."""

from collections.abc import Callable, Iterable
from typing import Protocol

from greengageflow.core.endpoint_list import EndpointList, ListedEndpoint
from greengageflow.core.leaving_report import LeavingEndpoint, LeavingReport
from greengageflow.net.timers import Timers

RESEND_DELAY_S = 0.25
"""Delay before a notice is sent to all hosts once more in case of message loss, in
seconds."""
GOSSIP_INTERVAL_S = 1.0
GOSSIP_FANOUT = 2
"""Number of random hosts that get the notices every ``GOSSIP_INTERVAL_S`` seconds."""
GOSSIP_DURATION_S = 60.0
"""Time for which a notice is repeated, in seconds.

This serves hosts that start while the endpoint list is unavailable.
"""


class LeavingSender(Protocol):
    """Sends notices to other hosts, with best effort."""

    def send_leaving(self, report: LeavingReport, max_hosts: int | None) -> None:
        """Send notices to ``max_hosts`` random hosts, or to all if it is None."""


class LeavingWatch:
    """Stops new work for endpoints that announce in an answer that they are leaving.

    Args:
        endpoints: Listed endpoints.
        timers: Timer service.
        sender: Sends notices to other hosts.
        on_leaving: Called with the id of a leaving endpoint and the notice's source,
            ``answer`` or ``peer``.
    """

    def __init__(
        self,
        endpoints: EndpointList,
        timers: Timers,
        sender: LeavingSender,
        on_leaving: Callable[[str, str], None],
    ) -> None:
        self._endpoints = endpoints
        self._timers = timers
        self._sender = sender
        self._on_leaving = on_leaving
        self._notices: dict[LeavingEndpoint, float] = {}

    def start(self) -> None:
        """Begin to send the notices to random hosts periodically."""
        self._timers.every(GOSSIP_INTERVAL_S, self._gossip)

    def on_answer(self, endpoint: ListedEndpoint) -> None:
        """Handle an answer in which an endpoint announced that it is leaving."""
        notice = LeavingEndpoint(endpoint.id, endpoint.born)
        if self._apply(notice, "answer"):
            self._send_all(notice)

    def _send_all(self, notice: LeavingEndpoint) -> None:
        report = LeavingReport((notice,))
        self._sender.send_leaving(report, None)
        self._timers.after(
            RESEND_DELAY_S, lambda: self._sender.send_leaving(report, None)
        )

    def receive(self, notices: Iterable[LeavingEndpoint]) -> None:
        """Apply notices from other hosts."""
        for notice in notices:
            self._apply(notice, "peer")

    def _apply(self, notice: LeavingEndpoint, source: str) -> bool:
        if not self._endpoints.mark_leaving(notice.endpoint, notice.born):
            return False
        self._notices[notice] = self._timers.now
        self._on_leaving(notice.endpoint, source)
        return True

    def _gossip(self) -> None:
        now = self._timers.now
        for notice, received_at in list(self._notices.items()):
            if now - received_at > GOSSIP_DURATION_S:
                del self._notices[notice]
        if self._notices:
            self._sender.send_leaving(
                LeavingReport(tuple(self._notices)), GOSSIP_FANOUT
            )
