"""Handles endpoints' notices that they are leaving, and forwards them to peers."""

from collections.abc import Callable, Iterable
from typing import Protocol

from greengageflow.core.endpoint_list import EndpointList, ListedEndpoint
from greengageflow.core.leaving_report import LeavingEndpoint, LeavingReport
from greengageflow.net.timers import Timers

AGAIN_S = 0.25
"""Delay before a sign is sent to all hosts once more in case of message loss, in
seconds."""
REPEAT_S = 1.0
REPEAT_TO = 2
"""Number of random hosts that get the signs every ``REPEAT_S`` seconds."""
REPEAT_FOR_S = 60.0
"""Time for which a sign is repeated, in seconds.

This serves hosts that start while the endpoint list is unavailable.
"""


class LeavingSender(Protocol):
    """Sends signs to other hosts, with best effort."""

    def send_leaving(self, report: LeavingReport, most: int | None) -> None:
        """Send signs to ``most`` random hosts, or to all if it is None."""


class LeavingWatch:
    """Stops new work for endpoints that announce in an answer that they are leaving.

    Args:
        endpoints: Listed endpoints.
        timers: Timer service.
        sender: Sends signs to other hosts.
        on_left: Called with the id of a leaving endpoint and the source of the sign,
            ``answer`` or ``peer``.
    """

    def __init__(
        self,
        endpoints: EndpointList,
        timers: Timers,
        sender: LeavingSender,
        on_left: Callable[[str, str], None],
    ) -> None:
        self._endpoints = endpoints
        self._timers = timers
        self._sender = sender
        self._on_left = on_left
        self._signs: dict[LeavingEndpoint, float] = {}

    def start(self) -> None:
        """Begin to send the signs to random hosts periodically."""
        self._timers.every(REPEAT_S, self._repeat)

    def on_answer(self, endpoint: ListedEndpoint) -> None:
        """Handle an answer in which an endpoint announced that it is leaving."""
        sign = LeavingEndpoint(endpoint.id, endpoint.born)
        if self._take(sign, "answer"):
            report = LeavingReport((sign,))
            self._sender.send_leaving(report, None)
            self._timers.after(AGAIN_S, lambda: self._sender.send_leaving(report, None))

    def receive(self, signs: Iterable[LeavingEndpoint]) -> None:
        """Apply signs from other hosts."""
        for sign in signs:
            self._take(sign, "peer")

    def _take(self, sign: LeavingEndpoint, source: str) -> bool:
        if not self._endpoints.mark_leaving(sign.endpoint, sign.born):
            return False
        self._signs[sign] = self._timers.now
        self._on_left(sign.endpoint, source)
        return True

    def _repeat(self) -> None:
        now = self._timers.now
        for sign, at in list(self._signs.items()):
            if now - at > REPEAT_FOR_S:
                del self._signs[sign]
        if self._signs:
            self._sender.send_leaving(LeavingReport(tuple(self._signs)), REPEAT_TO)
