"""Takes endpoints' own signs that they leave, and tells other hosts."""

from collections.abc import Callable, Iterable
from typing import Protocol

from greengageflow.core.endpoint_list import EndpointList, ListedEndpoint
from greengageflow.core.leaving_report import LeavingEndpoint, LeavingReport
from greengageflow.net.timers import Timers

AGAIN_S = 0.25
"""Seconds after which all hosts get a sign once more, against lost messages."""
REPEAT_S = 1.0
REPEAT_TO = 2
"""Hosts drawn at random that get the signs each ``REPEAT_S``."""
REPEAT_FOR_S = 60.0
"""Seconds for which a sign is repeated: for hosts that start while the list is away."""


class LeavingSender(Protocol):
    """Carries signs to other hosts, at best effort."""

    def send_leaving(self, report: LeavingReport, most: int | None) -> None:
        """Send signs to ``most`` hosts drawn at random; None for all."""


class LeavingWatch:
    """Stops new work for endpoints that say in an answer that they leave.

    Args:
        endpoints: Listed endpoints.
        timers: Timer service.
        sender: Tells other hosts.
        on_left: Takes the id of an endpoint and who said it: ``answer`` or ``peer``.
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
        """Begin to repeat to other hosts what is known."""
        self._timers.every(REPEAT_S, self._repeat)

    def on_answer(self, endpoint: ListedEndpoint) -> None:
        """Note that an endpoint said in an answer that it leaves."""
        sign = LeavingEndpoint(endpoint.id, endpoint.born)
        if self._take(sign, "answer"):
            report = LeavingReport((sign,))
            self._sender.send_leaving(report, None)
            self._timers.after(AGAIN_S, lambda: self._sender.send_leaving(report, None))

    def receive(self, signs: Iterable[LeavingEndpoint]) -> None:
        """Take what other hosts were told by endpoints."""
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
