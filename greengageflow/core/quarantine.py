"""Requests that crash the endpoints that run them, and are held back for it.

A poison request comes again under a new id, at any host; without this each repeat takes
one more endpoint down, with all that runs there. Requests are told apart by a
fingerprint of what the endpoint gets. At a crash many sound requests are in flight as
well, so that a single one proves nothing: a request is quarantined after several
endpoints have crashed under it with no good answer in between.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from hashlib import blake2b

CRASHES = 2
HOLD_S = 600.0
GOOD_S = 10.0
"""Seconds for which a good answer clears a request of crashes that follow.

Callers of one account may send the same short request all the time: some are in flight
at most crashes.
"""
UNDECIDED_S = 1.0
"""Seconds within which it is known whether an endpoint that cut requests crashed."""
MOST_GOOD = 4096
MOST_RECORDS = 1024
MOST_ENDPOINTS = 8
"""Crashes that a record keeps; more prove nothing further."""
FINGERPRINT_BYTES = 12

Fingerprint = bytes


def fingerprint_of(*parts: bytes) -> Fingerprint:
    """Return what tells a request from others, whatever its id."""
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def short_digest(fingerprint: Fingerprint) -> str:
    """Return a fingerprint as log lines show it."""
    return fingerprint[:4].hex()


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """What hosts send each other about one request.

    Args:
        fingerprint: The request.
        crashed: Starts of endpoints that crashed while it ran there.
        cleared: Those of them that a good answer has cleared it of.
        age_s: Seconds since the last crash of which it is not cleared.
    """

    fingerprint: Fingerprint
    crashed: tuple[str, ...]
    cleared: tuple[str, ...]
    age_s: float


@dataclass(frozen=True, slots=True)
class CrashReport:
    """A message between hosts."""

    records: tuple[CrashRecord, ...]


@dataclass(slots=True)
class _Record:
    at: float
    crashed: dict[str, None] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)
    changed_at: float = 0.0

    @property
    def against(self) -> int:
        """Crashes that speak against the request."""
        return len(self.crashed.keys() - self.cleared)

    def to_record(self, now: float, fingerprint: Fingerprint) -> CrashRecord:
        """Return what is sent to other hosts."""
        return CrashRecord(
            fingerprint,
            tuple(self.crashed),
            tuple(sorted(self.cleared)),
            max(0.0, now - self.at),
        )

    def take(self, at: float, crashed: Iterable[str], cleared: Iterable[str]) -> bool:
        """Add crashes; True when one was not known."""
        before = len(self.crashed), len(self.cleared)
        for endpoint in crashed:
            if endpoint not in self.crashed and len(self.crashed) < MOST_ENDPOINTS:
                self.crashed[endpoint] = None
                self.at = max(self.at, at)
        self.cleared.update(one for one in cleared if one in self.crashed)
        return (len(self.crashed), len(self.cleared)) != before


class Quarantine:
    """Which requests are held back, by what this host and others saw.

    Args:
        crashes: Endpoints that must have crashed under a request.
        hold_s: Seconds from the last crash for which it is held back.
    """

    def __init__(self, *, crashes: int = CRASHES, hold_s: float = HOLD_S) -> None:
        self._crashes = crashes
        self._hold_s = hold_s
        self._records: dict[Fingerprint, _Record] = {}
        self._suspects: dict[str, set[Fingerprint]] = {}
        self._good: OrderedDict[Fingerprint, float] = OrderedDict()

    def __bool__(self) -> bool:
        """Return whether anything is known of any request."""
        return bool(self._records or self._suspects)

    def left_s(self, now: float, fingerprint: Fingerprint) -> float:
        """Return for how long a request is held back, in seconds; 0 for not at all.

        Beside a crash that is known a cut counts as one until it is known what became
        of the endpoint: the request would run again meanwhile. Cuts alone do not, as
        connections are reset for many reasons.
        """
        record = self._records.get(fingerprint)
        against = record.against if record else 0
        if against >= self._crashes:
            return max(0.0, record.at + self._hold_s - now)
        if not against:
            return 0.0
        against += sum(fingerprint in found for found in self._suspects.values())
        return UNDECIDED_S if against >= self._crashes else 0.0

    def held(self, now: float) -> list[Fingerprint]:
        """Return the requests that are held back."""
        return [one for one in self._records if self._is_held(now, one)]

    def _is_held(self, now: float, fingerprint: Fingerprint) -> bool:
        record = self._records.get(fingerprint)
        if record is None or record.against < self._crashes:
            return False
        return now - record.at < self._hold_s

    # Observations of this host.

    def suspect(self, now: float, endpoint: str, fingerprint: Fingerprint) -> None:
        """Note a request that was cut while it ran at a start of an endpoint."""
        good_at = self._good.get(fingerprint)
        if good_at is None or now - good_at > GOOD_S:
            self._suspects.setdefault(endpoint, set()).add(fingerprint)

    def alive(self, endpoint: str) -> None:
        """Note that an endpoint that cut requests did not crash."""
        self._suspects.pop(endpoint, None)

    def crashed(self, now: float, endpoint: str) -> frozenset[Fingerprint]:
        """Note that an endpoint that cut requests crashed; return these requests."""
        found = frozenset(self._suspects.pop(endpoint, ()))
        for fingerprint in found:
            self._take(now, fingerprint, now, (endpoint,), ())
        return found

    def answered(self, now: float, fingerprint: Fingerprint) -> bool:
        """Note a good answer to a request; True when it clears it of crashes."""
        self._good[fingerprint] = now
        self._good.move_to_end(fingerprint)
        if len(self._good) > MOST_GOOD:
            self._good.popitem(last=False)
        record = self._records.get(fingerprint)
        if record is None or not record.against:
            return False
        record.cleared.update(record.crashed)
        record.changed_at = now
        return True

    # Reports of other hosts.

    def receive(
        self, now: float, records: Iterable[CrashRecord]
    ) -> tuple[Fingerprint, ...]:
        """Merge records of another host; return the newly quarantined requests."""
        return tuple(one.fingerprint for one in records if self._merge(now, one))

    def _merge(self, now: float, one: CrashRecord) -> bool:
        if one.age_s >= self._hold_s:
            return False
        was_held = self._is_held(now, one.fingerprint)
        at = now - one.age_s
        self._take(now, one.fingerprint, at, one.crashed, one.cleared)
        return not was_held and self._is_held(now, one.fingerprint)

    def records(self, now: float, changed_s: float, most: int) -> Iterator[CrashRecord]:
        """Yield the records for other hosts, the newest first.

        Args:
            now: The time.
            changed_s: Requests that are not held back count if what is known of them
                changed in that many seconds.
            most: Most records.
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
        """Return what is known of a request that is held back, else None."""
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
        while len(self._records) >= MOST_RECORDS:
            least = min(
                self._records,
                key=lambda one: (self._is_held(now, one), self._records[one].at),
            )
            del self._records[least]
