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
    era_of_answer,
    is_forgotten,
    newest_call,
    parse_newest,
    parse_read,
    read_call,
    request,
)

ANSWER_S = 1.0
LOST_S = 6.0
PAGE_LIMIT = 16 * 1_048_576
FIRST_RETRY_S = 0.15
LONGEST_RETRY_S = 1.0


class TopicListener(Protocol):
    """Gets the records of a topic."""

    def on_era(self, era: int) -> None:
        """Handle a restore of the store from a copy; a snapshot follows."""

    def on_snapshot(self, records: tuple[KeyedRecord, ...]) -> None:
        """Replace all earlier records by the newest record of every key."""

    def on_records(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply records that were appended."""

    def on_heard(self, at: float) -> None:
        """Handle a confirmation: all records written before ``at`` are applied."""

    def on_lost(self, text: str) -> None:
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
        clock: Returns the time for ``on_heard``, in seconds.

    Attributes:
        calls: Number of calls to the store.
        asked_at: Time of the last call, by ``clock``.
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
        self.asked_at = float("-inf")
        self.offset = 0
        self._pool = pool
        self._timers = timers
        self._address = address
        self._topic = topic
        self._listener = listener
        self._clock = clock
        self._asking = False
        self._asked_from = 0
        self._exchange: Exchange | None = None
        self._known = False
        self._pages: list[KeyedRecord] = []
        self._first_end = 0
        self._not_before = float("-inf")
        self._retry_s = FIRST_RETRY_S
        self._hastened = False
        self._pages_era = 0

    @property
    def era(self) -> int:
        """Era of the store in which records were last applied."""
        return era_of(self.offset)

    def begin_anew(self) -> None:
        """Make the next read a snapshot, since the store was restored from a copy."""
        self._known = False

    @property
    def is_known(self) -> bool:
        """Whether a snapshot was read, so that peers' updates can be applied."""
        return self._known

    @property
    def idle(self) -> bool:
        """Whether a read may begin: none is in progress and no backoff applies."""
        return not self._asking and self._timers.now >= self._not_before

    def check(self) -> None:
        """Cancel a read that has far exceeded its timeout."""
        # The pool times out each call. If it ever failed to, this host would never read
        # again and would reject all keys for good.
        if self._asking and self._clock() - self.asked_at > LOST_S:
            self._exchange.cancel()
            self._again("call ended neither with an answer nor with a timeout")

    def hasten(self) -> None:
        """Skip the backoff of the first snapshot, since another router got an answer.

        At most once per successful read: the store may be refusing this host alone.
        """
        if not self._known and not self._hastened:
            self._hastened = True
            self._not_before = float("-inf")

    def read(self, wait_s: float = 0.0) -> None:
        """Begin a read; the store may wait up to ``wait_s`` seconds for a record."""
        self._asking = True
        self._asked_from = self.offset
        if self._known:
            call = read_call(self._topic, offset_of(self.offset), wait_s)
            self._ask(call, wait_s, self._on_read)
        else:
            self._pages = []
            self._ask(newest_call(self._topic, ""), 0.0, self._on_newest)

    def take(
        self, since: int, end: int, records: Iterable[KeyedRecord]
    ) -> tuple[KeyedRecord, ...] | None:
        """Advance over records that cover the marks from ``since`` to ``end``.

        Returns:
            The records not applied before, or None if some before them are missing.
        """
        if not self._known or since > self.offset:
            return None
        fresh = tuple(record for record in records if record.offset >= self.offset)
        self.offset = max(self.offset, end)
        return fresh

    def _ask(
        self,
        call: tuple[str, str],
        wait_s: float,
        on_good: Callable[[Response], None],
    ) -> None:
        self.calls += 1
        self.asked_at = self._clock()
        asked = request(self._address, *call, b"", wait_s + ANSWER_S)
        if self._retry_s > FIRST_RETRY_S:
            # If all pooled connections are dead, each retry would cost one second.
            asked = replace(asked, retry_stale=False)
        self._exchange = self._pool.fetch(
            asked, lambda result: self._take(result, on_good), PAGE_LIMIT
        )

    def _take(
        self, result: Response | Failure, on_good: Callable[[Response], None]
    ) -> None:
        if isinstance(result, Failure):
            self._again(f"{result.kind}: {result.message}")
        elif era_of_answer(result) < self.era:
            # Sent before the store was restored; the store has lost these records.
            self._asking = False
        elif is_forgotten(result) or self._is_outdated(era_of_answer(result)):
            self._known = False
            self.read()
        else:
            try:
                on_good(result)
            except StoreAnswerError as exc:
                self._again(str(exc))

    def _is_outdated(self, era: int) -> bool:
        """Return whether the era changed between the read and its answer."""
        if self._known:
            return era > era_of(self._asked_from)
        return bool(self._pages) and era != self._pages_era

    def _again(self, text: str) -> None:
        self._asking = False
        self._not_before = self._timers.now + self._retry_s
        self._retry_s = min(LONGEST_RETRY_S, 2 * self._retry_s)
        self._listener.on_lost(text)

    def _on_newest(self, response: Response) -> None:
        batch = parse_newest(response)
        era = era_of_answer(response)
        if not self._pages:
            # Pages are not atomic, so the records since the first are read again.
            self._first_end, self._pages_era = mark_of(era, batch.end), era
        self._pages.extend(_marked(batch.records, era))
        if batch.after:
            self._ask(newest_call(self._topic, batch.after), 0.0, self._on_newest)
            return
        self._known = True
        before, self.offset = self.offset, self._first_end
        if before and era > era_of(before):
            self._listener.on_era(era)
        records, self._pages = tuple(self._pages), []
        self._listener.on_snapshot(records)
        self._heard()

    def _on_read(self, response: Response) -> None:
        batch = parse_read(response, offset_of(self._asked_from))
        era = era_of(self._asked_from)
        # Peers' updates may have covered some of them since the call.
        end = mark_of(era, batch.end)
        records = self.take(self._asked_from, end, _marked(batch.records, era))
        if records:
            self._listener.on_records(records)
        self._heard()

    def _heard(self) -> None:
        self._asking = False
        self._retry_s = FIRST_RETRY_S
        self._hastened = False
        self._listener.on_heard(self.asked_at)


def _marked(records: Iterable[KeyedRecord], era: int) -> tuple[KeyedRecord, ...]:
    return tuple(replace(one, offset=mark_of(era, one.offset)) for one in records)
