"""Follows one keyed topic of the platform's store."""

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

ANSWER_S = 1.0
LOST_S = 6.0
PAGE_LIMIT = 16 * 1_048_576
FIRST_RETRY_S = 0.15
LONGEST_RETRY_S = 1.0


class TopicListener(Protocol):
    """Takes what a topic holds."""

    def on_era(self, era: int) -> None:
        """Note that the store came back older; a snapshot of it follows."""

    def on_snapshot(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take the newest record of every key, in place of all that was known."""

    def on_records(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take records that were added."""

    def on_heard(self, at: float) -> None:
        """Note that all that was there at time ``at`` is known."""

    def on_lost(self, text: str) -> None:
        """Note that a read failed."""


class TopicFollower:
    """Reads the newest record of each key, then what is added, when asked to.

    When the store has forgotten what was asked for, or came back older, it begins
    anew. After a read that failed it waits, longer each time.

    Args:
        pool: Sends the calls.
        timers: Timer service.
        address: IP number and port of the store.
        topic: Its name.
        listener: Takes the records.
        clock: Returns the time for ``on_heard``, in seconds.

    Attributes:
        offset: Mark up to which the topic is known here.
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
        """The store's era that is known here."""
        return era_of(self.offset)

    def begin_anew(self) -> None:
        """Let the next read be one of all keys, since the store came back older."""
        self._known = False

    @property
    def is_known(self) -> bool:
        """Whether the topic was read, so that what others read can be taken over."""
        return self._known

    @property
    def idle(self) -> bool:
        """Whether a read may begin now."""
        return not self._asking and self._timers.now >= self._not_before

    def check(self) -> None:
        """Give up a read of which nothing was heard for far too long."""
        # The pool ends each call in time; should it ever not, this host would never
        # read again and refuse all keys for good.
        if self._asking and self._clock() - self.asked_at > LOST_S:
            self._exchange.cancel()
            self._again("no end of a call")

    def hasten(self) -> None:
        """Let the next read begin now, since another router got an answer.

        Once after each answer at most: the store may turn away this host alone.
        """
        if not self._known and not self._hastened:
            self._hastened = True
            self._not_before = float("-inf")

    def read(self, wait_s: float = 0.0) -> None:
        """Begin a read, which may wait ``wait_s`` seconds for a record."""
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
        """Take over what another router read up to ``end``.

        Returns:
            The records that are news here, or None when some before them are missing.
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
            # Kept connections that fell silent together would cost a second each.
            asked = replace(asked, retry_stale=False)
        self._exchange = self._pool.fetch(
            asked, lambda result: self._take(result, on_good), PAGE_LIMIT
        )

    def _take(
        self, result: Response | Failure, on_good: Callable[[Response], None]
    ) -> None:
        if isinstance(result, Failure):
            self._again(f"{result.kind}: {result.message}")
        elif era_of_response(result) < self.era:
            # It was on its way when the store came back: what it says is lost there.
            self._asking = False
        elif is_expired(result) or self._is_outdated(era_of_response(result)):
            self._known = False
            self.read()
        else:
            try:
                on_good(result)
            except StoreAnswerError as exc:
                self._again(str(exc))

    def _is_outdated(self, era: int) -> bool:
        """Whether the answer to a read is of a later era than the read."""
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
        era = era_of_response(response)
        if not self._pages:
            # Pages are no snapshot: what changed since the first one is read again.
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
        # Others may have told of some of them since the call went out.
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
