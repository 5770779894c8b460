"""Quarantine of poison requests, which crash the endpoints that run them.

Callers retry a poison request under a new id and at any host. Each retry that runs
takes down another endpoint with all its other requests. Requests are identified by a
fingerprint of what the endpoint receives. Many harmless requests are in flight at a
crash as well, so a single crash proves nothing: a request is quarantined after several
endpoints have crashed while running it, with no successful answer in between.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from hashlib import blake2b

QUARANTINE_CRASHES = 2
QUARANTINE_S = 600.0
CLEARANCE_S = 10.0
"""Time for which a successful answer clears a request of later crashes, in seconds.

A caller may send the same short request continuously, so that copies of it are in
flight at most crashes.
"""
CRASH_CHECK_TIMEOUT_S = 1.0
"""Time until it is known whether an endpoint that cut requests crashed, in seconds."""
MAX_ANSWERED_REQUESTS = 4096
MAX_RECORDS = 1024
MAX_CRASHES_PER_RECORD = 8
"""Maximum number of crashes in a record; more would not change the decision."""
FINGERPRINT_BYTES = 12

Fingerprint = bytes


def fingerprint_of(*parts: bytes) -> Fingerprint:
    """Return the hash that identifies a request regardless of its id."""
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def short_digest(fingerprint: Fingerprint) -> str:
    """Return the abbreviated fingerprint used in log lines."""
    return fingerprint[:4].hex()


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """Crashes attributed to one request, as exchanged between hosts.

    Args:
        fingerprint: Fingerprint of the request.
        crashed: Starts (process incarnations) of endpoints that crashed while
            running it.
        cleared: Those of ``crashed`` that a later successful answer ruled out.
        age_s: Time since the last crash that is not ruled out, in seconds.
    """

    fingerprint: Fingerprint
    crashed: tuple[str, ...]
    cleared: tuple[str, ...]
    age_s: float


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Message with crash records for other hosts."""

    records: tuple[CrashRecord, ...]


@dataclass(slots=True)
class _CrashState:
    last_crash_at: float
    crashed: dict[str, None] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)
    changed_at: float = 0.0

    @property
    def uncleared(self) -> int:
        """Number of crashes that were not ruled out by a successful answer."""
        return len(self.crashed.keys() - self.cleared)

    def to_record(self, now: float, fingerprint: Fingerprint) -> CrashRecord:
        """Return the record in the form sent to other hosts."""
        return CrashRecord(
            fingerprint,
            tuple(self.crashed),
            tuple(sorted(self.cleared)),
            max(0.0, now - self.last_crash_at),
        )

    def merge(
        self, crashed_at: float, crashed: Iterable[str], cleared: Iterable[str]
    ) -> bool:
        """Merge crashes; return whether any crash or clearance was new."""
        before = len(self.crashed), len(self.cleared)
        for endpoint in crashed:
            if (
                endpoint not in self.crashed
                and len(self.crashed) < MAX_CRASHES_PER_RECORD
            ):
                self.crashed[endpoint] = None
                self.last_crash_at = max(self.last_crash_at, crashed_at)
        self.cleared.update(
            endpoint for endpoint in cleared if endpoint in self.crashed
        )
        return (len(self.crashed), len(self.cleared)) != before


class Quarantine:
    """Decides which requests are quarantined from the crashes that all hosts saw.

    Args:
        crashes: Number of endpoint crashes after which a request is quarantined.
        hold_s: Duration of the quarantine from the last crash, in seconds.
    """

    def __init__(
        self, *, crashes: int = QUARANTINE_CRASHES, hold_s: float = QUARANTINE_S
    ) -> None:
        self._crashes = crashes
        self._hold_s = hold_s
        self._records: dict[Fingerprint, _CrashState] = {}
        self._suspects: dict[str, set[Fingerprint]] = {}
        self._answered_at: OrderedDict[Fingerprint, float] = OrderedDict()

    def __bool__(self) -> bool:
        """Return whether there is any crash record or suspect."""
        return bool(self._records or self._suspects)

    def remaining_s(self, now: float, fingerprint: Fingerprint) -> float:
        """Return how long a request stays quarantined, in seconds; 0 if it is not.

        After a confirmed crash, a cut connection counts as another crash until it is
        known whether that endpoint crashed; otherwise the request would run again in
        the meantime. Cut connections alone do not count, as connections are reset for
        many reasons.
        """
        record = self._records.get(fingerprint)
        uncleared = record.uncleared if record else 0
        if uncleared >= self._crashes:
            return max(0.0, record.last_crash_at + self._hold_s - now)
        if not uncleared:
            return 0.0
        uncleared += sum(
            fingerprint in requests for requests in self._suspects.values()
        )
        return CRASH_CHECK_TIMEOUT_S if uncleared >= self._crashes else 0.0

    def quarantined(self, now: float) -> list[Fingerprint]:
        """Return the fingerprints of the quarantined requests."""
        return [key for key in self._records if self._is_quarantined(now, key)]

    def _is_quarantined(self, now: float, fingerprint: Fingerprint) -> bool:
        record = self._records.get(fingerprint)
        if record is None or record.uncleared < self._crashes:
            return False
        return now - record.last_crash_at < self._hold_s

    # Observations on this host.

    def add_suspect(self, now: float, endpoint: str, fingerprint: Fingerprint) -> None:
        """Record that a request was cut off while it ran at a start of an endpoint."""
        answered_at = self._answered_at.get(fingerprint)
        if answered_at is None or now - answered_at > CLEARANCE_S:
            self._suspects.setdefault(endpoint, set()).add(fingerprint)

    def on_alive(self, endpoint: str) -> None:
        """Record that an endpoint that cut off requests did not crash."""
        self._suspects.pop(endpoint, None)

    def on_crash(self, now: float, endpoint: str) -> frozenset[Fingerprint]:
        """Record that an endpoint crashed; return the requests that it cut off."""
        requests = frozenset(self._suspects.pop(endpoint, ()))
        for fingerprint in requests:
            self._add_crashes(now, fingerprint, now, (endpoint,), ())
        return requests

    def on_success(self, now: float, fingerprint: Fingerprint) -> bool:
        """Record a successful answer; return whether it ruled out earlier crashes."""
        self._answered_at[fingerprint] = now
        self._answered_at.move_to_end(fingerprint)
        if len(self._answered_at) > MAX_ANSWERED_REQUESTS:
            self._answered_at.popitem(last=False)
        record = self._records.get(fingerprint)
        if record is None or not record.uncleared:
            return False
        record.cleared.update(record.crashed)
        record.changed_at = now
        return True

    # Exchange with other hosts.

    def receive(
        self, now: float, records: Iterable[CrashRecord]
    ) -> tuple[Fingerprint, ...]:
        """Merge another host's records; return the newly quarantined requests."""
        return tuple(
            record.fingerprint for record in records if self._merge(now, record)
        )

    def _merge(self, now: float, record: CrashRecord) -> bool:
        if record.age_s >= self._hold_s:
            return False
        was_quarantined = self._is_quarantined(now, record.fingerprint)
        crashed_at = now - record.age_s
        self._add_crashes(
            now, record.fingerprint, crashed_at, record.crashed, record.cleared
        )
        return not was_quarantined and self._is_quarantined(now, record.fingerprint)

    def records(
        self, now: float, changed_s: float, limit: int
    ) -> Iterator[CrashRecord]:
        """Yield the records to send to other hosts, most recently changed first.

        Args:
            now: Current time.
            changed_s: Records of requests that are not quarantined are included only
                if they changed within this time, in seconds.
            limit: Maximum number of records.
        """
        self._drop_expired(now)
        rows = [
            (record.changed_at, fingerprint, record)
            for fingerprint, record in self._records.items()
            if now - record.changed_at <= changed_s
            or self._is_quarantined(now, fingerprint)
        ]
        rows.sort(key=lambda row: -row[0])
        for _, fingerprint, record in rows[:limit]:
            yield record.to_record(now, fingerprint)

    def record(self, now: float, fingerprint: Fingerprint) -> CrashRecord | None:
        """Return the record of a quarantined request, or None."""
        if not self._is_quarantined(now, fingerprint):
            return None
        return self._records[fingerprint].to_record(now, fingerprint)

    def _add_crashes(
        self,
        now: float,
        fingerprint: Fingerprint,
        crashed_at: float,
        crashed: Iterable[str],
        cleared: Iterable[str],
    ) -> None:
        record = self._records.get(fingerprint)
        if record is None:
            self._drop_expired(now)
            record = self._records[fingerprint] = _CrashState(crashed_at)
        if record.merge(crashed_at, crashed, cleared):
            record.changed_at = now

    def _drop_expired(self, now: float) -> None:
        for fingerprint, record in list(self._records.items()):
            if now - record.last_crash_at >= self._hold_s:
                del self._records[fingerprint]
        while len(self._records) >= MAX_RECORDS:
            evicted = min(
                self._records,
                key=lambda key: (
                    self._is_quarantined(now, key),
                    self._records[key].last_crash_at,
                ),
            )
            del self._records[evicted]
