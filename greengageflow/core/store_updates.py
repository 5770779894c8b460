"""Incremental updates that a reader of the platform's store sends to its zone.

If each router read the store after every change, the calls would grow with routers
times changes, and the store limits and bills calls. The reader therefore sends the
changed records themselves; only a router that missed some of them reads the store.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import IntEnum

from greengageflow.core.keyed_record import KeyedRecord

RETRANSMIT_S = 1.0
"""Time for which a record is retransmitted with later ones, in seconds.

Messages can get lost.
"""

MAX_RETRANSMIT_BYTES = 8_000
"""Maximum total size of the records that are retransmitted.

A router that missed other records reads the store.
"""

RECORD_OVERHEAD_BYTES = 64
"""Overhead of a record in a message beyond its key and value, in bytes."""


class StoreTopic(IntEnum):
    """Topic of the records in an update."""

    CONFIG = 1
    ENDPOINTS = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreUpdate:
    """All effective records of a topic in a range of offsets.

    Args:
        topic: Topic of the records.
        since: Start of the range. The update is complete for a router that has read
            up to this offset or further.
        end: Offset up to which a router has read after applying the update.
        records: The records in log order.
    """

    topic: StoreTopic
    since: int
    end: int
    records: tuple[KeyedRecord, ...]


@dataclass(frozen=True, slots=True)
class _SentRecord:
    sent_at: float
    since: int
    record: KeyedRecord


class UpdatePublisher:
    """Builds update messages from the records that a reader has read.

    Args:
        topic: Topic of the records.
        limit: Maximum size of the records in a message, in bytes. A single larger
            record still gets a message of its own.
    """

    def __init__(self, topic: StoreTopic, limit: int) -> None:
        self._topic = topic
        self._limit = limit
        self._end = 0
        self._sent: deque[_SentRecord] = deque()

    def reset(self, end: int) -> None:
        """Start at ``end``, without the records before it."""
        self._sent.clear()
        self._end = end

    def publish(
        self, now: float, records: Iterable[KeyedRecord], end: int
    ) -> Iterator[StoreUpdate]:
        """Yield messages with new records and those due for retransmission.

        Args:
            now: Current time.
            records: New records that changed something, in log order.
            end: Offset up to which the topic has been read.
        """
        self._drop_expired(now)
        previous_end = self._end
        for record in records:
            # The range starts at the last change. Records since then changed nothing,
            # so a router that has not read all of them still misses nothing.
            self._sent.append(_SentRecord(now, self._end, record))
            self._end = record.offset + 1
        if self._end != previous_end:
            yield from self._messages(max(end, self._end))

    def _drop_expired(self, now: float) -> None:
        size = sum(_size(sent.record) for sent in self._sent)
        while self._sent and (
            size > MAX_RETRANSMIT_BYTES or now - self._sent[0].sent_at > RETRANSMIT_S
        ):
            size -= _size(self._sent.popleft().record)

    def _messages(self, end: int) -> Iterator[StoreUpdate]:
        batch: list[_SentRecord] = []
        size = 0
        for sent in self._sent:
            size += _size(sent.record)
            if batch and size > self._limit:
                yield self._message(batch, sent.since)
                batch, size = [], _size(sent.record)
            batch.append(sent)
        yield self._message(batch, end)

    def _message(self, batch: list[_SentRecord], end: int) -> StoreUpdate:
        records = tuple(sent.record for sent in batch)
        return StoreUpdate(
            topic=self._topic, since=batch[0].since, end=end, records=records
        )


def _size(record: KeyedRecord) -> int:
    return RECORD_OVERHEAD_BYTES + len(record.key) + len(record.value or b"")
