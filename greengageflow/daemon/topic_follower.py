"""Reads a keyed topic of the platform's store incrementally."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Protocol

from greengageflow.core.keyed_record import KeyedRecord
from greengageflow.core.store_marks import era_of, mark_of, offset_of
from greengageflow.net.http_messages import Failure, Response
from greengageflow.net.http_pool import Exchange, HttpPool
from greengageflow.net.timers import Timers
from greengageflow.platform.store import (
    StoreAnswerError,
    era_of_response,
    is_expired,
    newest_call,
    parse_newest,
    parse_read,
    read_call,
    request,
)

CALL_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 6.0
MAX_PAGE_BYTES = 16 * 1_048_576
MIN_BACKOFF_S = 0.15
MAX_BACKOFF_S = 1.0


class TopicListener(Protocol):
    """Gets the records of a topic."""

    def on_era(self, era: int) -> None:
        """Handle a restore of the store from a copy; a snapshot follows."""

    def on_snapshot(self, records: tuple[KeyedRecord, ...]) -> None:
        """Replace all earlier records by the newest record of every key."""

    def on_records(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply records that were appended."""

    def on_confirmed(self, at: float) -> None:
        """Handle a confirmation: all records written before ``at`` are applied."""

    def on_read_failed(self, text: str) -> None:
        """Handle a failed read; ``text`` is the reason."""


class TopicFollower:
    """Reads a snapshot of a topic first, then appended records, on request.

    It reads a new snapshot when the store no longer has the requested records or was
    restored from a copy. After failed reads it backs off exponentially.

    Args:
        pool: Sends the calls.
        timers: Timer service.
        address: IP number and port of the store.
        topic: Name of the topic.
        listener: Gets the records.
        clock: Returns the time for ``on_confirmed``, in seconds.

    Attributes:
        calls: Number of calls to the store.
        last_call_at: Time of the last call, by ``clock``.
        offset: Mark of the first record that has not been applied.
    """

    def __init__(
        self,
        pool: HttpPool,
        timers: Timers,
        address: tuple[str, int],
        topic: str,
        listener: TopicListener,
        *,
        clock: Callable[[], float],
    ) -> None:
        self.calls = 0
        self.last_call_at = float("-inf")
        self.offset = 0
        self._pool = pool
        self._timers = timers
        self._address = address
        self._topic = topic
        self._listener = listener
        self._clock = clock
        self._is_reading = False
        self._read_from = 0
        self._exchange: Exchange | None = None
        self._has_snapshot = False
        self._snapshot_records: list[KeyedRecord] = []
        self._snapshot_mark = 0
        self._snapshot_began_at = float("-inf")
        self._next_read_at = float("-inf")
        self._backoff_s = MIN_BACKOFF_S
        self._backoff_skipped = False
        self._snapshot_era = 0

    @property
    def era(self) -> int:
        """Era of the store in which records were last applied."""
        return era_of(self.offset)

    def require_snapshot(self) -> None:
        """Make the next read a snapshot, since the store was restored from a copy."""
        self._has_snapshot = False

    @property
    def has_snapshot(self) -> bool:
        """Whether a snapshot was read, so that peers' updates can be applied."""
        return self._has_snapshot

    @property
    def can_read(self) -> bool:
        """Whether a read may begin: none is in progress and no backoff applies."""
        return not self._is_reading and self._timers.now >= self._next_read_at

    def cancel_overdue_read(self) -> None:
        """Cancel a read that has far exceeded its timeout."""
        # The pool times out each call. If it ever failed to, this host would never read
        # again and would reject all keys for good.
        if self._is_reading and self._clock() - self.last_call_at > READ_TIMEOUT_S:
            self._exchange.cancel()
            self._on_failure("call ended neither with an answer nor with a timeout")

    def skip_backoff(self) -> None:
        """Skip the backoff of the first snapshot, since another router got an answer.

        At most once per successful read: the store may be refusing this host alone.
        """
        if not self._has_snapshot and not self._backoff_skipped:
            self._backoff_skipped = True
            self._next_read_at = float("-inf")

    def read(self, wait_s: float = 0.0) -> None:
        """Begin a read; the store may wait up to ``wait_s`` seconds for a record."""
        self._is_reading = True
        self._read_from = self.offset
        if self._has_snapshot:
            call = read_call(self._topic, offset_of(self.offset), wait_s)
            self._call(call, wait_s, self._on_read)
        else:
            self._snapshot_records = []
            self._call(newest_call(self._topic, ""), 0.0, self._on_newest)

    def accept(
        self, since: int, end: int, records: Iterable[KeyedRecord]
    ) -> tuple[KeyedRecord, ...] | None:
        """Advance over records that cover the marks from ``since`` to ``end``.

        Returns:
            The records not applied before, or None if some before them are missing.
        """
        if not self._has_snapshot or since > self.offset:
            return None
        unapplied = tuple(record for record in records if record.offset >= self.offset)
        self.offset = max(self.offset, end)
        return unapplied

    def _call(
        self,
        call: tuple[str, str],
        wait_s: float,
        on_response: Callable[[Response], None],
    ) -> None:
        self.calls += 1
        self.last_call_at = self._clock()
        outgoing = request(self._address, *call, b"", wait_s + CALL_TIMEOUT_S)
        self._exchange = self._pool.fetch(
            outgoing,
            lambda result: self._on_result(result, on_response),
            MAX_PAGE_BYTES,
        )

    def _on_result(
        self, result: Response | Failure, on_response: Callable[[Response], None]
    ) -> None:
        if isinstance(result, Failure):
            self._on_failure(f"{result.kind}: {result.message}")
        elif era_of_response(result) < self.era:
            # Sent before the store was restored; the store has lost these records.
            self._is_reading = False
        elif is_expired(result) or self._is_outdated(era_of_response(result)):
            self._has_snapshot = False
            self.read()
        else:
            try:
                on_response(result)
            except StoreAnswerError as exc:
                self._on_failure(str(exc))

    def _is_outdated(self, era: int) -> bool:
        """Return whether the era changed between the read and its answer."""
        if self._has_snapshot:
            return era > era_of(self._read_from)
        return bool(self._snapshot_records) and era != self._snapshot_era

    def _on_failure(self, text: str) -> None:
        self._is_reading = False
        self._next_read_at = self._timers.now + self._backoff_s
        self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)
        self._listener.on_read_failed(text)

    def _on_newest(self, response: Response) -> None:
        batch = parse_newest(response)
        era = era_of_response(response)
        if not self._snapshot_records:
            # Pages are not atomic, so the records since the first are read again.
            self._snapshot_mark, self._snapshot_era = mark_of(era, batch.end), era
            self._snapshot_began_at = self.last_call_at
        self._snapshot_records.extend(_with_marks(batch.records, era))
        if batch.after:
            self._call(newest_call(self._topic, batch.after), 0.0, self._on_newest)
            return
        self._has_snapshot = True
        before, self.offset = self.offset, self._snapshot_mark
        if before and era > era_of(before):
            self._listener.on_era(era)
        records, self._snapshot_records = tuple(self._snapshot_records), []
        self._listener.on_snapshot(records)
        self._on_success(self._snapshot_began_at)

    def _on_read(self, response: Response) -> None:
        batch = parse_read(response, offset_of(self._read_from))
        era = era_of(self._read_from)
        # Peers' updates may have covered some of them since the call.
        end = mark_of(era, batch.end)
        records = self.accept(self._read_from, end, _with_marks(batch.records, era))
        if records:
            self._listener.on_records(records)
        if batch.is_complete:
            self._on_success(self.last_call_at)
        else:
            self.read()

    def _on_success(self, confirmed_at: float) -> None:
        self._is_reading = False
        self._backoff_s = MIN_BACKOFF_S
        self._backoff_skipped = False
        self._listener.on_confirmed(confirmed_at)


def _with_marks(records: Iterable[KeyedRecord], era: int) -> tuple[KeyedRecord, ...]:
    return tuple(replace(r, offset=mark_of(era, r.offset)) for r in records)
