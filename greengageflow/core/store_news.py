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
"""Seconds for which a record is told again with later ones, against a lost message."""

REPEAT_BYTES = 8_000
"""Bytes of records told again at most; a router that lacks others reads them."""

RECORD_BYTES = 64
"""Bytes that a record takes up in a message beside its key and value."""


class StoreTopic(IntEnum):
    """What the records are about."""

    CONFIG = 1
    ENDPOINTS = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreNews:
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
class _Told:
    at: float
    since: int
    record: KeyedRecord


class NewsTeller:
    """Makes messages of the records that one router read.

    Args:
        topic: What the records are about.
        most: Bytes of records in one message, where it holds several.
    """

    def __init__(self, topic: StoreTopic, most: int) -> None:
        self._topic = topic
        self._most = most
        self._mark = 0
        self._told: deque[_Told] = deque()

    def begin(self, end: int) -> None:
        """Note that all is known up to ``end``, without the records before it."""
        self._told.clear()
        self._mark = end

    def tell(
        self, now: float, records: Iterable[KeyedRecord], end: int
    ) -> Iterator[StoreNews]:
        """Yield messages with records that were just read, and those told lately.

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
            self._told.append(_Told(now, self._mark, record))
            self._mark = record.offset + 1
        if self._mark != mark:
            yield from self._messages(max(end, self._mark))

    def _drop_old(self, now: float) -> None:
        size = sum(_size(one.record) for one in self._told)
        while self._told and (size > REPEAT_BYTES or now - self._told[0].at > REPEAT_S):
            size -= _size(self._told.popleft().record)

    def _messages(self, end: int) -> Iterator[StoreNews]:
        part: list[_Told] = []
        size = 0
        for one in self._told:
            size += _size(one.record)
            if part and size > self._most:
                yield self._message(part, one.since)
                part, size = [], _size(one.record)
            part.append(one)
        yield self._message(part, end)

    def _message(self, part: list[_Told], end: int) -> StoreNews:
        records = tuple(one.record for one in part)
        return StoreNews(
            topic=self._topic, since=part[0].since, end=end, records=records
        )


def _size(record: KeyedRecord) -> int:
    return RECORD_BYTES + len(record.key) + len(record.value or b"")
