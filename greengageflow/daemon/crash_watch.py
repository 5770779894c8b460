"""Finds requests that crash endpoints, and holds them back at all hosts."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from greengageflow.core.quarantine import CrashRecord, Fingerprint, Quarantine
from greengageflow.net.connect_check import Address, ConnectResult
from greengageflow.net.timers import Timers

CHECKS_S = (0.01, 0.1, 0.4)
"""Seconds to wait before each look for an endpoint that cut a request.

A process that ends may close its listener a while after its connections.
"""
AGAIN_S = 0.25
"""Seconds after which all hosts get the records once more, against lost messages."""
REPEAT_S = 1.0
REPEAT_TO = 2
"""Hosts drawn at random that get the records each ``REPEAT_S``; a host that starts and
one that missed all else know them within seconds, at any number of hosts."""
CHANGED_S = 10.0
MOST_SENT = 128


@dataclass(frozen=True, slots=True)
class EndpointStart:
    """One start of an endpoint.

    Args:
        id: Names the endpoint.
        start: Names this start of it.
        service: Service that it belongs to.
        address: IP number and port.
    """

    id: str
    start: str
    service: str
    address: Address


class Reachability(Protocol):
    """Tells whether a process listens at an address."""

    def check(self, address: Address, on_done: Callable[[ConnectResult], None]) -> None:
        """Call ``on_done`` once with the outcome."""


class CrashReportSender(Protocol):
    """Carries records to other hosts, at best effort."""

    def send_crashes(self, records: tuple[CrashRecord, ...], most: int | None) -> None:
        """Send records to ``most`` hosts drawn at random; None for all."""


class CrashNotes(Protocol):
    """Writes down what is found out."""

    def crashed(
        self, endpoint: EndpointStart, requests: frozenset[Fingerprint]
    ) -> None:
        """Note a crash and the requests that may have caused it."""

    def held(self, fingerprint: Fingerprint, source: str, for_s: float) -> None:
        """Note that a request is held back; ``source`` is ``crash`` or ``peer``."""

    def cleared(self, fingerprint: Fingerprint) -> None:
        """Note that a good answer has cleared a request."""


class CrashWatch:
    """Decides whether endpoints that cut requests crashed, and tells other hosts.

    A request that is cut says little: connections are reset for many reasons. If
    connections are refused right after it, the process has ended.

    Args:
        quarantine: Keeps what is known.
        timers: Timer service.
        reachability: Looks for endpoints.
        sender: Tells other hosts.
        notes: Logs and counts.
        on_quarantined: Takes requests that are held back from now on.
        on_decided: Takes requests of which this host found out that they are held back,
            or are no more.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        timers: Timers,
        reachability: Reachability,
        sender: CrashReportSender,
        notes: CrashNotes,
        on_quarantined: Callable[[frozenset[Fingerprint]], None],
        on_decided: Callable[[Fingerprint], None] = lambda _fingerprint: None,
    ) -> None:
        self._quarantine = quarantine
        self._timers = timers
        self._reachability = reachability
        self._sender = sender
        self._notes = notes
        self._on_quarantined = on_quarantined
        self._on_decided = on_decided
        self._checking: set[str] = set()

    def start(self) -> None:
        """Begin to repeat to other hosts what is known."""
        self._timers.every(REPEAT_S, self._repeat)

    def on_cut(self, endpoint: EndpointStart, fingerprint: Fingerprint) -> None:
        """Note that an endpoint cut a request that it may have begun to run."""
        start = endpoint.start
        self._quarantine.add_suspect(self._timers.now, start, fingerprint)
        if start not in self._checking:
            self._checking.add(start)
            self._check_after(CHECKS_S, endpoint)

    def _check_after(self, waits_s: tuple[float, ...], endpoint: EndpointStart) -> None:
        def check() -> None:
            self._reachability.check(endpoint.address, done)

        def done(result: ConnectResult) -> None:
            if result is not ConnectResult.REFUSED and waits_s[1:]:
                self._check_after(waits_s[1:], endpoint)
            else:
                self._settle(endpoint, result)

        self._timers.after(waits_s[0], check)

    def _settle(self, endpoint: EndpointStart, result: ConnectResult) -> None:
        self._checking.discard(endpoint.start)
        if result not in (ConnectResult.REFUSED, ConnectResult.CLOSED):
            self._quarantine.on_alive(endpoint.start)
            return
        now = self._timers.now
        before = set(self._quarantine.quarantined(now))
        suspects = self._quarantine.on_crash(now, endpoint.start)
        self._notes.crashed(endpoint, suspects)
        held = set(self._quarantine.quarantined(now)) - before
        self._log_quarantined(held, "crash")
        self._send_all()
        for fingerprint in held:
            self._on_decided(fingerprint)

    def on_good_answer(self, fingerprint: Fingerprint) -> None:
        """Note a good answer to a request."""
        now = self._timers.now
        was_held = self._quarantine.record(now, fingerprint) is not None
        if self._quarantine.on_success(now, fingerprint):
            self._notes.cleared(fingerprint)
            self._send_all()
            if was_held:
                self._on_decided(fingerprint)

    def receive(self, records: Iterable[CrashRecord]) -> None:
        """Take over what another host knows."""
        held = self._quarantine.receive(self._timers.now, records)
        self._log_quarantined(held, "peer")

    def _log_quarantined(self, held: Iterable[Fingerprint], source: str) -> None:
        found = frozenset(held)
        for fingerprint in found:
            left_s = self._quarantine.remaining_s(self._timers.now, fingerprint)
            self._notes.held(fingerprint, source, left_s)
        if found:
            self._on_quarantined(found)

    def _send_all(self) -> None:
        self._send(None)
        self._timers.after(AGAIN_S, lambda: self._send(None))

    def _repeat(self) -> None:
        if self._quarantine:
            self._send(REPEAT_TO)

    def _send(self, most: int | None) -> None:
        now = self._timers.now
        records = tuple(self._quarantine.records(now, CHANGED_S, MOST_SENT))
        if records:
            self._sender.send_crashes(records, most)
