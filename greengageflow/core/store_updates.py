"""What a router that reads the platform's store passes on to its zone.

Each router could read for itself once it hears of a change, but those calls grow with
routers times changes, and the store limits and charges calls. So the reader sends the
records themselves; only a router that missed some of them reads.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import IntEnum

from greengageflow.core.keyed_record import KeyedRecord

REPEAT_S = 1.0
"""Seconds for which a record is retransmitted with later ones, as messages get lost."""

REPEAT_BYTES = 8_000
"""Bytes of records retransmitted at most; a router that lacks others reads them."""

RECORD_BYTES = 64
"""Bytes that a record takes up in a message beside its key and value."""


class StoreTopic(IntEnum):
    """What the records are about."""

    CONFIG = 1
    ENDPOINTS = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreUpdate:
    """All records of a topic that changed something between two offsets.

    Args:
        topic: What they are about.
        since: A router that has read up to here, or further, misses nothing.
        end: What it has read up to with this message.
        records: In the order of the log.
    """

    topic: StoreTopic
    since: int
    end: int
    records: tuple[KeyedRecord, ...]


@dataclass(frozen=True, slots=True)
class _SentRecord:
    at: float
    since: int
    record: KeyedRecord


class UpdatePublisher:
    """Makes messages of the records that one router read.

    Args:
        topic: What the records are about.
        most: Bytes of records in one message, where it holds several.
    """

    def __init__(self, topic: StoreTopic, most: int) -> None:
        self._topic = topic
        self._most = most
        self._mark = 0
        self._sent: deque[_SentRecord] = deque()

    def begin(self, end: int) -> None:
        """Note that all is known up to ``end``, without the records before it."""
        self._sent.clear()
        self._mark = end

    def publish(
        self, now: float, records: Iterable[KeyedRecord], end: int
    ) -> Iterator[StoreUpdate]:
        """Yield messages with records that were just read, and those sent lately.

        Args:
            now: The time.
            records: Those that changed something.
            end: The offset up to which all is known now.
        """
        self._drop_old(now)
        mark = self._mark
        for record in records:
            # From the last change on: what was read since then changed nothing, and
            # routers that read less of it miss nothing.
            self._sent.append(_SentRecord(now, self._mark, record))
            self._mark = record.offset + 1
        if self._mark != mark:
            yield from self._messages(max(end, self._mark))

    def _drop_old(self, now: float) -> None:
        size = sum(_size(one.record) for one in self._sent)
        while self._sent and (size > REPEAT_BYTES or now - self._sent[0].at > REPEAT_S):
            size -= _size(self._sent.popleft().record)

    def _messages(self, end: int) -> Iterator[StoreUpdate]:
        part: list[_SentRecord] = []
        size = 0
        for one in self._sent:
            size += _size(one.record)
            if part and size > self._most:
                yield self._message(part, one.since)
                part, size = [], _size(one.record)
            part.append(one)
        yield self._message(part, end)

    def _message(self, part: list[_SentRecord], end: int) -> StoreUpdate:
        records = tuple(one.record for one in part)
        return StoreUpdate(
            topic=self._topic, since=part[0].since, end=end, records=records
        )


def _size(record: KeyedRecord) -> int:
    return RECORD_BYTES + len(record.key) + len(record.value or b"")
