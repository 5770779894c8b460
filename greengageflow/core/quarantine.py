"""Quarantine of poison requests, which crash the endpoints that run them.

Callers retry a poison request under a new id and at any host. Each retry that runs
takes down another endpoint with all its other requests. Requests are identified by a
fingerprint of what the endpoint receives. Many harmless requests are in flight at a
crash as well, so a single crash proves nothing: a request is quarantined after several
endpoints have crashed while running it, with no successful answer in between.

A part of a prompt may be poison as well, in requests that are otherwise all different.
The shared parts of each request therefore have fingerprints and records of their own.
Sound requests share most parts, so a part needs more evidence than a request.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from heapq import nsmallest

from greengageflow.core.fingerprint import Fingerprint, is_part

QUARANTINE_CRASHES = 2
QUARANTINE_S = 600.0
CLEARANCE_S = 10.0
"""Time for which a successful answer clears a request of later crashes, in seconds.

A caller may send the same short request continuously, so that copies of it are in
flight at most crashes.
"""
PART_CRASH_EVENTS = 3
"""Number of separate crash events after which a prompt part is quarantined."""
PART_CRASHES, PART_CRASHES_EVENTS = 4, 2
"""Number of crashes that quarantine a part already after so many events."""
EVENT_S = 0.1
"""Time within which crashes of several endpoints count as one event, in seconds.

Endpoints that fail together, such as those of a rack, prove nothing about the parts
that were in flight at all of them.
"""
PART_CLEARANCE_S = 2.5
"""Time for which an answer on a part clears it of later crashes, in seconds.

Counted from the answer's first event, which is reported a second later. It is short, as
a part may turn poison with a new software version.
"""
CRASH_CHECK_TIMEOUT_S = 1.0
"""Time until it is known whether an endpoint that cut requests crashed, in seconds."""
MAX_ANSWERED_REQUESTS = 8192
MAX_RECORDS = 1024
EVICTED_RECORDS = 128
"""Number of records that are evicted together, as finding the oldest ones is slow."""
MAX_CRASHES_PER_RECORD = 8
"""Maximum number of crashes in a record, of which the latest ones are kept."""


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """Crashes attributed to one request, as exchanged between hosts.

    Args:
        fingerprint: Fingerprint of the request.
        crashed: Starts (process incarnations) of endpoints that crashed while
            running it.
        cleared: Those of ``crashed`` that a later successful answer ruled out.
        age_s: Time since the last crash, in seconds.
        ages_s: Time since each of ``crashed``, in seconds; empty if not given.
    """

    fingerprint: Fingerprint
    crashed: tuple[str, ...]
    cleared: tuple[str, ...]
    age_s: float
    ages_s: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Message with crash records for other hosts."""

    records: tuple[CrashRecord, ...]


@dataclass(slots=True)
class _CrashState:
    """Crashes of one request or part; ``crashed`` has the time of each."""

    last_crash_at: float
    crashed: dict[str, float] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)
    changed_at: float = 0.0

    @property
    def uncleared(self) -> set[str]:
        """Crashes that were not ruled out by a successful answer."""
        return self.crashed.keys() - self.cleared

    def events(self) -> int:
        """Return the number of separate events among the uncleared crashes."""
        events, ends_at = 0, float("-inf")
        for crashed_at in sorted(self.crashed[start] for start in self.uncleared):
            if crashed_at > ends_at:
                events, ends_at = events + 1, crashed_at + EVENT_S
        return events

    def to_record(self, now: float, fingerprint: Fingerprint) -> CrashRecord:
        """Return the record in the form sent to other hosts."""
        return CrashRecord(
            fingerprint,
            tuple(self.crashed),
            tuple(sorted(self.cleared)),
            max(0.0, now - self.last_crash_at),
            tuple(max(0.0, now - at) for at in self.crashed.values()),
        )

    def merge(self, crashed: Mapping[str, float], cleared: Iterable[str]) -> bool:
        """Merge crashes; return whether any crash or clearance was new."""
        before = set(self.crashed), self.cleared
        for endpoint, crashed_at in crashed.items():
            if endpoint not in self.crashed:
                self.crashed[endpoint] = crashed_at
                self.last_crash_at = max(self.last_crash_at, crashed_at)
        while len(self.crashed) > MAX_CRASHES_PER_RECORD:
            del self.crashed[min(self.crashed, key=self.crashed.__getitem__)]
        self.cleared = self.crashed.keys() & {*self.cleared, *cleared}
        return (set(self.crashed), self.cleared) != before


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
        self._cut_at: dict[str, float] = {}
        self._answered_at: OrderedDict[Fingerprint, float] = OrderedDict()
        self._evicted_until = float("-inf")

    def __bool__(self) -> bool:
        """Return whether there is any crash record or suspect."""
        return bool(self._records or self._suspects)

    def remaining_s(
        self,
        now: float,
        fingerprint: Fingerprint,
        parts: tuple[Fingerprint, ...] = (),
    ) -> float:
        """Return how long a request stays quarantined, in seconds; 0 if it is not.

        After a confirmed crash, a cut connection counts as another crash until it is
        known whether that endpoint crashed; otherwise the request would run again in
        the meantime. Cut connections alone do not count, as connections are reset for
        many reasons.

        Args:
            now: The time.
            fingerprint: Fingerprint of the request.
            parts: Fingerprints of its shared prompt parts.
        """
        if parts and self._records:
            held_s = self._parts_remaining_s(now, parts)
            if held_s:
                return held_s
        record = self._records.get(fingerprint)
        if record is None or not record.uncleared:
            return 0.0
        if self._has_enough_crashes(fingerprint, record):
            return max(0.0, record.last_crash_at + self._hold_s - now)
        is_suspect = self._with_suspects(fingerprint, record) >= self._crashes
        return CRASH_CHECK_TIMEOUT_S if is_suspect else 0.0

    def _with_suspects(self, fingerprint: Fingerprint, record: _CrashState) -> int:
        return len(record.uncleared) + sum(
            fingerprint in requests for requests in self._suspects.values()
        )

    def _parts_remaining_s(self, now: float, parts: tuple[Fingerprint, ...]) -> float:
        held = [part for part in parts if self._is_quarantined(now, part)]
        if not held:
            return 0.0
        # Parts that always came with the poison one have the same crashes. A request
        # with such a part is admitted without the other, so that it can be cleared.
        others = [
            self._records[part].uncleared
            for part in self.quarantined(now)
            if is_part(part) and part not in parts
        ]
        for part in held:
            record = self._records[part]
            if not any(record.uncleared <= other for other in others):
                return record.last_crash_at + self._hold_s - now
        return 0.0

    def quarantined(self, now: float) -> list[Fingerprint]:
        """Return the fingerprints of the quarantined requests."""
        return [key for key in self._records if self._is_quarantined(now, key)]

    def _is_quarantined(self, now: float, fingerprint: Fingerprint) -> bool:
        record = self._records.get(fingerprint)
        if record is None or now - record.last_crash_at >= self._hold_s:
            return False
        return self._has_enough_crashes(fingerprint, record)

    def _has_enough_crashes(
        self, fingerprint: Fingerprint, record: _CrashState
    ) -> bool:
        crashes = len(record.uncleared)
        if not is_part(fingerprint):
            return crashes >= self._crashes
        if crashes < PART_CRASH_EVENTS:
            return False
        events = record.events()
        return events >= PART_CRASH_EVENTS or (
            events >= PART_CRASHES_EVENTS and crashes >= PART_CRASHES
        )

    # Observations on this host.

    def add_suspect(self, now: float, endpoint: str, fingerprint: Fingerprint) -> None:
        """Record that a request was cut off while it ran at a start of an endpoint."""
        answered_at = self._answered_at.get(fingerprint)
        clearance_s = PART_CLEARANCE_S if is_part(fingerprint) else CLEARANCE_S
        if answered_at is None or now - answered_at > clearance_s:
            self._suspects.setdefault(endpoint, set()).add(fingerprint)
            self._cut_at.setdefault(endpoint, now)

    def on_alive(self, endpoint: str) -> None:
        """Record that an endpoint that cut off requests did not crash."""
        self._suspects.pop(endpoint, None)
        self._cut_at.pop(endpoint, None)

    def on_crash(self, now: float, endpoint: str) -> frozenset[Fingerprint]:
        """Record that an endpoint crashed; return the requests that it cut off."""
        requests = frozenset(self._suspects.pop(endpoint, ()))
        crashed_at = self._cut_at.pop(endpoint, now)
        for fingerprint in requests:
            self._add_crashes(now, fingerprint, {endpoint: crashed_at}, ())
        return requests

    def on_success(
        self, now: float, fingerprint: Fingerprint, began_at: float | None = None
    ) -> bool:
        """Record a successful answer; return whether it ruled out earlier crashes.

        Args:
            now: The time.
            fingerprint: Fingerprint of the request, or of a part of its prompt.
            began_at: Time of the answer's first event. The answer rules out only the
                crashes before it, as a part may turn poison while answers go on; None
                for all crashes.
        """
        began_at = now if began_at is None else began_at
        began_at = max(began_at, self._answered_at.get(fingerprint, began_at))
        self._answered_at[fingerprint] = began_at
        self._answered_at.move_to_end(fingerprint)
        if len(self._answered_at) > MAX_ANSWERED_REQUESTS:
            self._answered_at.popitem(last=False)
        record = self._records.get(fingerprint)
        if record is None:
            return False
        ruled_out = {e for e in record.uncleared if record.crashed[e] <= began_at}
        if not ruled_out:
            return False
        record.cleared.update(ruled_out)
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
        if record.age_s >= self._hold_s or self._was_evicted(now, record):
            return False
        was_quarantined = self._is_quarantined(now, record.fingerprint)
        ages_s = record.ages_s or (record.age_s,) * len(record.crashed)
        crashed = {
            start: now - age_s
            for start, age_s in zip(record.crashed, ages_s, strict=False)
        }
        self._add_crashes(now, record.fingerprint, crashed, record.cleared)
        return not was_quarantined and self._is_quarantined(now, record.fingerprint)

    def _was_evicted(self, now: float, record: CrashRecord) -> bool:
        """Return whether a record is one that was evicted as too old.

        Otherwise hosts whose tables are full would evict records that others go on
        sending, and add them again, without end. Repeated crashes are evidence that
        must not be missed.
        """
        return (
            record.fingerprint not in self._records
            and now - record.age_s <= self._evicted_until
            and len(set(record.crashed) - set(record.cleared)) < self._crashes
        )

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
        crashed: Mapping[str, float],
        cleared: Iterable[str],
    ) -> None:
        record = self._records.get(fingerprint)
        if record is None:
            if len(self._records) >= MAX_RECORDS:
                self._make_room(now)
            last_crash_at = max(crashed.values(), default=now)
            record = self._records[fingerprint] = _CrashState(last_crash_at)
        if is_part(fingerprint):
            answered_at = self._answered_at.get(fingerprint, float("-inf"))
            ruled_out = (start for start, at in crashed.items() if at < answered_at)
            cleared = {*cleared, *ruled_out}
        if record.merge(crashed, cleared):
            record.changed_at = now

    def _drop_expired(self, now: float) -> None:
        for fingerprint, record in list(self._records.items()):
            if now - record.last_crash_at >= self._hold_s:
                del self._records[fingerprint]

    def _make_room(self, now: float) -> None:
        """Drop expired records and, if too many are left, the oldest ones."""
        self._drop_expired(now)
        if len(self._records) < MAX_RECORDS:
            return
        oldest = nsmallest(
            EVICTED_RECORDS,
            self._records,
            key=lambda key: (
                self._is_quarantined(now, key),
                self._records[key].last_crash_at,
            ),
        )
        for fingerprint in oldest:
            if not self._is_quarantined(now, fingerprint):
                evicted_at = self._records[fingerprint].last_crash_at
                self._evicted_until = max(self._evicted_until, evicted_at)
            del self._records[fingerprint]
