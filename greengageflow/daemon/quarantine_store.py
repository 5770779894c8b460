"""Persists quarantined requests in the platform's store.

Hosts normally learn of them from each other. If all hosts lose power at the same time
this knowledge is lost, and each of the requests would crash endpoints again.
"""

import json
from collections.abc import Callable, Iterable
from time import time

from greengageflow.core.keyed_record import KeyedRecord
from greengageflow.core.quarantine import (
    FINGERPRINT_BYTES,
    CrashRecord,
    Fingerprint,
    Quarantine,
)
from greengageflow.daemon.shared_topic import SharedTopic
from greengageflow.net.http_messages import Failure, Response
from greengageflow.net.http_pool import HttpPool
from greengageflow.net.timers import Timers
from greengageflow.platform.names import QUARANTINE_TOPIC
from greengageflow.platform.store import StoreAnswerError, parse_newest

FIRST_LOOK_S = 1.0
LOOK_EVERY_S = 2.0
MOST_DROPPED = 8
"""Maximum number of expired records that a host deletes after it has read them."""
_DROPPED = b""

Address = tuple[str, int]


class QuarantineStore:
    """Writes the quarantine decisions of this host, and reads those of others once.

    Args:
        pool: Sends the calls.
        timers: Timer service.
        store: IP number and port of the store.
        quarantine: Crash records of this host.
        is_reader: Returns whether this host is one of the store's few readers.
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
        on_read: Callable[[Iterable[CrashRecord]], None],
    ) -> None:
        self._topic = SharedTopic(pool, store, QUARANTINE_TOPIC)
        self._timers = timers
        self._quarantine = quarantine
        self._is_reader = is_reader
        self._on_read = on_read
        self._is_read = False
        self._unwritten: dict[Fingerprint, None] = {}
        self._pages: list[KeyedRecord] = []

    @property
    def calls(self) -> int:
        """Number of calls to the store."""
        return self._topic.calls

    def start(self) -> None:
        """Begin to poll."""
        self._timers.after(FIRST_LOOK_S, self._look)

    def update(self, fingerprint: Fingerprint) -> None:
        """Write a request's quarantine state, with retries until the store has it."""
        self._unwritten[fingerprint] = None
        self._write(fingerprint)

    def put_again(self) -> None:
        """Write all quarantined requests again, if this host is a reader."""
        if self._is_reader():
            held = self._quarantine.quarantined(self._timers.now)
            self._unwritten.update(dict.fromkeys(held))

    def _look(self) -> None:
        for fingerprint in list(self._unwritten):
            self._write(fingerprint)
        if not self._is_read and self._is_reader():
            self._pages = []
            self._topic.newest("", self._on_newest)
        self._timers.after(LOOK_EVERY_S, self._look)

    def _write(self, fingerprint: Fingerprint) -> None:
        def done(result: Response | Failure) -> None:
            if isinstance(result, Response) and result.status == 200:
                self._unwritten.pop(fingerprint, None)

        record = self._quarantine.record(self._timers.now, fingerprint)
        value = _DROPPED if record is None else _value(record)
        self._topic.put(fingerprint.hex(), value, done)

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
        self._is_read = True
        records = [one for one in map(_record, self._pages) if one is not None]
        self._pages = []
        self._on_read(records)
        now = self._timers.now
        held = set(self._quarantine.quarantined(now))
        over = [one.fingerprint for one in records if one.fingerprint not in held]
        for fingerprint in over[:MOST_DROPPED]:
            self.update(fingerprint)


def _value(record: CrashRecord) -> bytes:
    doc = {
        "crashed": record.crashed,
        "cleared": record.cleared,
        "at_ms": int(1000 * (time() - record.age_s)),
    }
    return json.dumps(doc).encode()


def _record(row: KeyedRecord) -> CrashRecord | None:
    """Return a decoded record, or None if it is invalid."""
    try:
        fingerprint = bytes.fromhex(row.key)
        doc = json.loads(row.value or b"")
        crashed, cleared = map(_names, (doc["crashed"], doc["cleared"]))
        age_s = max(0.0, time() - doc["at_ms"] / 1000)
    except (ValueError, TypeError, LookupError, OverflowError, RecursionError):
        return None
    if len(fingerprint) != FINGERPRINT_BYTES:
        return None
    return CrashRecord(fingerprint, crashed, cleared, age_s)


def _names(values: Iterable[object]) -> tuple[str, ...]:
    names = tuple(values)
    if not all(isinstance(name, str) for name in names):
        raise ValueError(f"not all names are strings: {names!r}")
    return names
