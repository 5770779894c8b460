"""Detects requests that crash endpoints, and quarantines them on all hosts."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from greengageflow.core.fingerprint import Fingerprint, RequestIdentity, is_part
from greengageflow.core.quarantine import CrashRecord, Quarantine
from greengageflow.net.connect_check import Address, ConnectResult
from greengageflow.net.timers import Timers

CHECK_DELAYS_S = (0.01, 0.1, 0.4)
"""Delays before each reachability check of an endpoint that cut a request, in seconds.

A process that ends may close its listener some time after its connections.
"""
RESEND_DELAY_S = 0.25
"""Delay before records are sent to all hosts once more in case of message loss, in
seconds."""
GOSSIP_INTERVAL_S = 1.0
GOSSIP_FANOUT = 2
"""Number of random hosts that get the records every ``GOSSIP_INTERVAL_S`` seconds.

Hosts that start, or that missed all other messages, learn the records within seconds,
whatever the number of hosts.
"""
RECENT_CHANGE_S = 10.0
NEW_CHANGE_S = 0.5
"""Age up to which a change is sent to all hosts at once, in seconds.

Older changes have been sent before; the periodic messages repeat them.
"""
MAX_SENT_RECORDS = 128
MAX_REPORTED_CRASH_AGE_S = 2.0
"""Age up to which another host's crash is passed to ``on_crashed``, in seconds.

An older one is no evidence: the endpoint may run again since.
"""


@dataclass(frozen=True, slots=True)
class EndpointStart:
    """One start of an endpoint.

    Args:
        id: Id of the endpoint.
        start: Id of this start of it.
        service: Service that the endpoint belongs to.
        address: IP number and port.
    """

    id: str
    start: str
    service: str
    address: Address


class Reachability(Protocol):
    """Checks whether a process listens at an address."""

    def check(self, address: Address, on_done: Callable[[ConnectResult], None]) -> None:
        """Call ``on_done`` once with the outcome."""


class CrashReportSender(Protocol):
    """Sends crash records to other hosts, with best effort."""

    def send_crashes(
        self, records: tuple[CrashRecord, ...], max_hosts: int | None
    ) -> None:
        """Send records to ``max_hosts`` random hosts, or to all if it is None."""


class CrashRecorder(Protocol):
    """Logs and counts crashes and quarantined requests."""

    def record_crash(
        self, endpoint: EndpointStart, requests: frozenset[Fingerprint]
    ) -> None:
        """Record a crash and the requests that may have caused it."""

    def record_quarantine(
        self, fingerprint: Fingerprint, source: str, for_s: float
    ) -> None:
        """Record that a request is quarantined; ``source`` is ``crash`` or ``peer``."""

    def record_clearance(self, fingerprint: Fingerprint) -> None:
        """Record that a successful answer has cleared a request."""


class CrashWatch:
    """Detects whether endpoints that cut requests crashed, and notifies other hosts.

    A cut request alone is no evidence, since connections are reset for many reasons. If
    the endpoint refuses connections right afterwards, its process has ended.

    Args:
        quarantine: Keeps the crash records.
        timers: Timer service.
        reachability: Checks endpoints.
        sender: Sends records to other hosts.
        recorder: Logs and counts.
        on_quarantined: Called with newly quarantined requests.
        on_quarantine_change: Called with each request that this host itself found to be
            quarantined, or to be quarantined no more.
        on_crashed: Called with the id of the start of an endpoint that has crashed, as
            seen by this host or another one.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        timers: Timers,
        reachability: Reachability,
        sender: CrashReportSender,
        recorder: CrashRecorder,
        on_quarantined: Callable[[frozenset[Fingerprint]], None],
        on_quarantine_change: Callable[[Fingerprint], None] = lambda _fingerprint: None,
        on_crashed: Callable[[str], None] = lambda _start: None,
    ) -> None:
        self._quarantine = quarantine
        self._timers = timers
        self._reachability = reachability
        self._sender = sender
        self._recorder = recorder
        self._on_quarantined = on_quarantined
        self._on_quarantine_change = on_quarantine_change
        self._on_crashed = on_crashed
        self._checking: set[str] = set()
        self._crashed_at: dict[str, float] = {}

    def start(self) -> None:
        """Begin to send the records to random hosts periodically."""
        self._timers.every(GOSSIP_INTERVAL_S, self._gossip)

    def on_cut(self, endpoint: EndpointStart, identity: RequestIdentity) -> None:
        """Handle a request that was cut after the endpoint may have started it."""
        start = endpoint.start
        for fingerprint in identity:
            self._quarantine.add_suspect(self._timers.now, start, fingerprint)
        if start not in self._checking:
            self._checking.add(start)
            self._check_after(CHECK_DELAYS_S, endpoint)

    def _check_after(
        self, delays_s: tuple[float, ...], endpoint: EndpointStart
    ) -> None:
        def check() -> None:
            self._reachability.check(endpoint.address, on_reach)

        def on_reach(result: ConnectResult) -> None:
            if result is not ConnectResult.REFUSED and delays_s[1:]:
                self._check_after(delays_s[1:], endpoint)
            else:
                self._on_checked(endpoint, result)

        self._timers.after(delays_s[0], check)

    def _on_checked(self, endpoint: EndpointStart, result: ConnectResult) -> None:
        self._checking.discard(endpoint.start)
        if result not in (ConnectResult.REFUSED, ConnectResult.CLOSED):
            self._quarantine.on_alive(endpoint.start)
            return
        now = self._timers.now
        before = set(self._quarantine.quarantined(now))
        suspects = self._quarantine.on_crash(now, endpoint.start)
        self._recorder.record_crash(endpoint, suspects)
        self._crashed_at[endpoint.start] = now
        self._on_crashed(endpoint.start)
        fingerprints = set(self._quarantine.quarantined(now)) - before
        self._report_quarantined(fingerprints, "crash")
        self._send_all()
        for fingerprint in fingerprints:
            self._on_quarantine_change(fingerprint)

    def on_successful_answer(
        self, identity: RequestIdentity, began_at: float | None = None
    ) -> None:
        """Handle a successful answer to a request.

        Args:
            identity: Fingerprints of the request.
            began_at: Time of the answer's first event, or None if it is not a stream.
        """
        self._clear(identity.request, None)
        self.on_sound_run(identity, began_at)

    def on_sound_run(self, identity: RequestIdentity, began_at: float | None) -> None:
        """Handle an answer that goes on for so long that no part of it is poison."""
        for part in identity.parts:
            self._clear(part, began_at)

    def _clear(self, fingerprint: Fingerprint, began_at: float | None) -> None:
        now = self._timers.now
        was_quarantined = self._quarantine.record(now, fingerprint) is not None
        if not self._quarantine.on_success(now, fingerprint, began_at):
            return
        # Many parts are in flight at each crash and cleared soon after. The periodic
        # messages are enough for those that were not quarantined.
        if was_quarantined or not is_part(fingerprint):
            self._recorder.record_clearance(fingerprint)
            self._send_all()
        if was_quarantined:
            self._on_quarantine_change(fingerprint)

    def receive(self, records: Iterable[CrashRecord]) -> None:
        """Merge the records of another host."""
        received = tuple(records)
        self._report_crashes(received)
        fingerprints = self._quarantine.receive(self._timers.now, received)
        self._report_quarantined(fingerprints, "peer")

    def _report_crashes(self, records: tuple[CrashRecord, ...]) -> None:
        now = self._timers.now
        # The records are repeated; each of them has several crashes.
        self._crashed_at = {
            start: at
            for start, at in self._crashed_at.items()
            if now - at <= 2 * MAX_REPORTED_CRASH_AGE_S
        }
        for record in records:
            for start, age_s in zip(record.crashed, record.ages_s, strict=False):
                if age_s <= MAX_REPORTED_CRASH_AGE_S and start not in self._crashed_at:
                    self._crashed_at[start] = now - age_s
                    self._on_crashed(start)

    def _report_quarantined(
        self, fingerprints: Iterable[Fingerprint], source: str
    ) -> None:
        found = frozenset(fingerprints)
        for fingerprint in found:
            left_s = self._quarantine.remaining_s(self._timers.now, fingerprint)
            self._recorder.record_quarantine(fingerprint, source, left_s)
        if found:
            self._on_quarantined(found)

    def _send_all(self) -> None:
        self._send(None, NEW_CHANGE_S)
        self._timers.after(RESEND_DELAY_S, lambda: self._send(None, NEW_CHANGE_S))

    def _gossip(self) -> None:
        if self._quarantine:
            self._send(GOSSIP_FANOUT, RECENT_CHANGE_S)

    def _send(self, max_hosts: int | None, changed_s: float) -> None:
        now = self._timers.now
        records = tuple(self._quarantine.records(now, changed_s, MAX_SENT_RECORDS))
        # Earlier versions understand the records of requests only.
        of_parts = tuple(record for record in records if is_part(record.fingerprint))
        of_requests = tuple(r for r in records if not is_part(r.fingerprint))
        for part in filter(None, (of_requests, of_parts)):
            self._sender.send_crashes(part, max_hosts)
