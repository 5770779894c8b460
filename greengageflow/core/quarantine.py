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
class _Record:
    at: float
    crashed: dict[str, None] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)
    changed_at: float = 0.0

    @property
    def against(self) -> int:
        """Number of crashes that were not ruled out by a successful answer."""
        return len(self.crashed.keys() - self.cleared)

    def to_record(self, now: float, fingerprint: Fingerprint) -> CrashRecord:
        """Return the record in the form sent to other hosts."""
        return CrashRecord(
            fingerprint,
            tuple(self.crashed),
            tuple(sorted(self.cleared)),
            max(0.0, now - self.at),
        )

    def take(self, at: float, crashed: Iterable[str], cleared: Iterable[str]) -> bool:
        """Merge crashes; return whether any crash or clearance was new."""
        before = len(self.crashed), len(self.cleared)
        for endpoint in crashed:
            if (
                endpoint not in self.crashed
                and len(self.crashed) < MAX_CRASHES_PER_RECORD
            ):
                self.crashed[endpoint] = None
                self.at = max(self.at, at)
        self.cleared.update(one for one in cleared if one in self.crashed)
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
        self._records: dict[Fingerprint, _Record] = {}
        self._suspects: dict[str, set[Fingerprint]] = {}
        self._good: OrderedDict[Fingerprint, float] = OrderedDict()

    def __bool__(self) -> bool:
        """Return whether there is any crash record or suspect."""
        return bool(self._records or self._suspects)

    def left_s(self, now: float, fingerprint: Fingerprint) -> float:
        """Return how long a request stays quarantined, in seconds; 0 if it is not.

        After a confirmed crash, a cut connection counts as another crash until it is
        known whether that endpoint crashed; otherwise the request would run again in
        the meantime. Cut connections alone do not count, as connections are reset for
        many reasons.
        """
        record = self._records.get(fingerprint)
        against = record.against if record else 0
        if against >= self._crashes:
            return max(0.0, record.at + self._hold_s - now)
        if not against:
            return 0.0
        against += sum(fingerprint in found for found in self._suspects.values())
        return CRASH_CHECK_TIMEOUT_S if against >= self._crashes else 0.0

    def held(self, now: float) -> list[Fingerprint]:
        """Return the fingerprints of the quarantined requests."""
        return [one for one in self._records if self._is_held(now, one)]

    def _is_held(self, now: float, fingerprint: Fingerprint) -> bool:
        record = self._records.get(fingerprint)
        if record is None or record.against < self._crashes:
            return False
        return now - record.at < self._hold_s

    # Observations on this host.

    def suspect(self, now: float, endpoint: str, fingerprint: Fingerprint) -> None:
        """Record that a request was cut off while it ran at a start of an endpoint."""
        good_at = self._good.get(fingerprint)
        if good_at is None or now - good_at > CLEARANCE_S:
            self._suspects.setdefault(endpoint, set()).add(fingerprint)

    def alive(self, endpoint: str) -> None:
        """Record that an endpoint that cut off requests did not crash."""
        self._suspects.pop(endpoint, None)

    def crashed(self, now: float, endpoint: str) -> frozenset[Fingerprint]:
        """Record that an endpoint crashed; return the requests that it cut off."""
        found = frozenset(self._suspects.pop(endpoint, ()))
        for fingerprint in found:
            self._take(now, fingerprint, now, (endpoint,), ())
        return found

    def answered(self, now: float, fingerprint: Fingerprint) -> bool:
        """Record a successful answer; return whether it ruled out earlier crashes."""
        self._good[fingerprint] = now
        self._good.move_to_end(fingerprint)
        if len(self._good) > MAX_ANSWERED_REQUESTS:
            self._good.popitem(last=False)
        record = self._records.get(fingerprint)
        if record is None or not record.against:
            return False
        record.cleared.update(record.crashed)
        record.changed_at = now
        return True

    # Exchange with other hosts.

    def receive(
        self, now: float, records: Iterable[CrashRecord]
    ) -> tuple[Fingerprint, ...]:
        """Merge another host's records; return the newly quarantined requests."""
        return tuple(one.fingerprint for one in records if self._merge(now, one))

    def _merge(self, now: float, one: CrashRecord) -> bool:
        if one.age_s >= self._hold_s:
            return False
        was_held = self._is_held(now, one.fingerprint)
        at = now - one.age_s
        self._take(now, one.fingerprint, at, one.crashed, one.cleared)
        return not was_held and self._is_held(now, one.fingerprint)

    def records(self, now: float, changed_s: float, most: int) -> Iterator[CrashRecord]:
        """Yield the records to send to other hosts, most recently changed first.

        Args:
            now: Current time.
            changed_s: Records of requests that are not quarantined are included only
                if they changed within this time, in seconds.
            most: Maximum number of records.
        """
        self._drop_old(now)
        rows = [
            (record.changed_at, fingerprint, record)
            for fingerprint, record in self._records.items()
            if now - record.changed_at <= changed_s or self._is_held(now, fingerprint)
        ]
        rows.sort(key=lambda row: -row[0])
        for _, fingerprint, record in rows[:most]:
            yield record.to_record(now, fingerprint)

    def record(self, now: float, fingerprint: Fingerprint) -> CrashRecord | None:
        """Return the record of a quarantined request, or None."""
        if not self._is_held(now, fingerprint):
            return None
        return self._records[fingerprint].to_record(now, fingerprint)

    def _take(
        self,
        now: float,
        fingerprint: Fingerprint,
        at: float,
        crashed: Iterable[str],
        cleared: Iterable[str],
    ) -> None:
        record = self._records.get(fingerprint)
        if record is None:
            self._drop_old(now)
            record = self._records[fingerprint] = _Record(at)
        if record.take(at, crashed, cleared):
            record.changed_at = now

    def _drop_old(self, now: float) -> None:
        for fingerprint, record in list(self._records.items()):
            if now - record.at >= self._hold_s:
                del self._records[fingerprint]
        while len(self._records) >= MAX_RECORDS:
            least = min(
                self._records,
                key=lambda one: (self._is_held(now, one), self._records[one].at),
            )
            del self._records[least]
