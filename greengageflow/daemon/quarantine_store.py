"""Persists quarantined requests in the platform's store.

Hosts normally learn of them from each other. If all hosts lose power at the same time
this knowledge is lost, and each of the requests would crash endpoints again.
"""

import json
from collections.abc import Callable, Iterable
from math import isfinite
from time import time

from greengageflow.core.fingerprint import FINGERPRINT_BYTES, Fingerprint
from greengageflow.core.keyed_record import KeyedRecord
from greengageflow.core.quarantine import (
    CrashRecord,
    Quarantine,
)
from greengageflow.daemon.shared_topic import SharedTopic
from greengageflow.net.http_messages import Failure, Response
from greengageflow.net.http_pool import HttpPool
from greengageflow.net.timers import Timers
from greengageflow.platform.names import QUARANTINE_TOPIC
from greengageflow.platform.store import StoreAnswerError, parse_newest

FIRST_POLL_DELAY_S = 1.0
POLL_INTERVAL_S = 2.0
MAX_TOMBSTONES = 8
"""Maximum number of expired records that a host deletes after it has read them."""
_TOMBSTONE = b""

Address = tuple[str, int]


class QuarantineStore:
    """Writes the quarantine decisions of this host, and reads those of others.

    They are read once after the start, and periodically while this host is cut off from
    others, whose messages it does not receive.

    Args:
        pool: Sends the calls.
        timers: Timer service.
        store: IP number and port of the store.
        quarantine: Crash records of this host.
        is_reader: Returns whether this host is one of the store's few readers.
        is_partitioned: Returns whether this host is cut off from others.
        on_read: Called with the records that were read.
    """

    def __init__(
        self,
        pool: HttpPool,
        timers: Timers,
        store: Address,
        quarantine: Quarantine,
        *,
        is_reader: Callable[[], bool],
        is_partitioned: Callable[[], bool],
        on_read: Callable[[Iterable[CrashRecord]], None],
    ) -> None:
        self._topic = SharedTopic(pool, store, QUARANTINE_TOPIC)
        self._timers = timers
        self._quarantine = quarantine
        self._is_reader = is_reader
        self._is_partitioned = is_partitioned
        self._on_read = on_read
        self._was_read = False
        self._pending_writes: dict[Fingerprint, None] = {}
        self._pages: list[KeyedRecord] = []

    @property
    def calls(self) -> int:
        """Number of calls to the store."""
        return self._topic.calls

    def start(self) -> None:
        """Begin to poll."""
        self._timers.after(FIRST_POLL_DELAY_S, self._poll)

    def update(self, fingerprint: Fingerprint) -> None:
        """Write a request's quarantine state, with retries until the store has it."""
        self._pending_writes[fingerprint] = None
        self._write(fingerprint)

    def rewrite(self) -> None:
        """Write all quarantined requests again, if this host is a reader."""
        if self._is_reader():
            held = self._quarantine.quarantined(self._timers.now)
            self._pending_writes.update(dict.fromkeys(held))

    def _poll(self) -> None:
        for fingerprint in list(self._pending_writes):
            self._write(fingerprint)
        is_due = not self._was_read or self._is_partitioned()
        if is_due and self._is_reader():
            self._pages = []
            self._topic.newest("", self._on_newest)
        self._timers.after(POLL_INTERVAL_S, self._poll)

    def _write(self, fingerprint: Fingerprint) -> None:
        def on_done(result: Response | Failure) -> None:
            if isinstance(result, Response) and result.status == 200:
                self._pending_writes.pop(fingerprint, None)

        record = self._quarantine.record(self._timers.now, fingerprint)
        value = _TOMBSTONE if record is None else _encode_record(record)
        self._topic.put(fingerprint.hex(), value, on_done)

    def _on_newest(self, result: Response | Failure) -> None:
        if isinstance(result, Failure):
            return
        try:
            batch = parse_newest(result)
        except StoreAnswerError:
            return
        self._pages.extend(batch.records)
        if batch.after:
            self._topic.newest(batch.after, self._on_newest)
            return
        self._was_read = True
        records = [r for r in map(_decode_record, self._pages) if r is not None]
        self._pages = []
        self._on_read(records)
        now = self._timers.now
        held = set(self._quarantine.quarantined(now))
        expired = [r.fingerprint for r in records if r.fingerprint not in held]
        for fingerprint in expired[:MAX_TOMBSTONES]:
            self.update(fingerprint)


def _encode_record(record: CrashRecord) -> bytes:
    doc = {
        "crashed": record.crashed,
        "cleared": record.cleared,
        "at_ms": int(1000 * (time() - record.age_s)),
        "ages_ms": [round(1000 * (age_s - record.age_s)) for age_s in record.ages_s],
    }
    return json.dumps(doc).encode()


def _decode_record(row: KeyedRecord) -> CrashRecord | None:
    """Return a decoded record, or None if it is invalid."""
    try:
        fingerprint = bytes.fromhex(row.key)
        doc = json.loads(row.value or b"")
        crashed, cleared = map(_parse_names, (doc["crashed"], doc["cleared"]))
        age_s = max(0.0, time() - doc["at_ms"] / 1000)
        ages_s = _parse_ages(doc.get("ages_ms") or (), len(crashed), age_s)
    except (ValueError, TypeError, LookupError, OverflowError, RecursionError):
        return None
    if len(fingerprint) != FINGERPRINT_BYTES:
        return None
    return CrashRecord(fingerprint, crashed, cleared, age_s, ages_s)


def _parse_ages(
    before_last_ms: Iterable[float], count: int, age_s: float
) -> tuple[float, ...]:
    ages_s = tuple(age_s + max(0.0, float(ms)) / 1000 for ms in before_last_ms)
    if len(ages_s) not in (0, count) or not all(map(isfinite, ages_s)):
        raise ValueError(f"invalid ages: {ages_s!r}")
    return ages_s


def _parse_names(values: Iterable[object]) -> tuple[str, ...]:
    names = tuple(values)
    if not all(isinstance(name, str) for name in names):
        raise ValueError(f"not all names are strings: {names!r}")
    return names
