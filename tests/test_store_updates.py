"""Tests of the incremental updates that a reader of the store publishes."""

from greengageflow.core.keyed_record import KeyedRecord
from greengageflow.core.store_updates import (
    MAX_RETRANSMIT_BYTES,
    RETRANSMIT_S,
    StoreTopic,
    UpdatePublisher,
)

MAX_UPDATE_BYTES = 24_000


def records(first, count):
    return [KeyedRecord(f"e{n}", b"x" * 150, n) for n in range(first, first + count)]


def size(messages):
    return sum(len(row.value) for update in messages for row in update.records)


def test_recent_records_are_retransmitted():
    """A router that lost a message gets its records from the next one."""
    publisher = UpdatePublisher(StoreTopic.ENDPOINTS, MAX_UPDATE_BYTES)
    list(publisher.publish(0.0, records(0, 1), 1))
    (update,) = publisher.publish(0.5 * RETRANSMIT_S, records(1, 1), 2)
    assert [row.offset for row in update.records] == [0, 1]
    assert update.since == 0
    (update,) = publisher.publish(1.2 * RETRANSMIT_S, records(2, 1), 3)
    assert [row.offset for row in update.records] == [1, 2]
    assert update.since == 1


def test_retransmission_is_bounded_when_many_endpoints_register():
    """A thousand endpoints of a fleet register within a second or two.

    The retransmitted part of each message grew with their number, so that relays sent
    megabytes per second.
    """
    publisher = UpdatePublisher(StoreTopic.ENDPOINTS, MAX_UPDATE_BYTES)
    updates = []
    for turn in range(20):
        new = records(150 * turn, 150)
        updates += publisher.publish(0.1 * turn, new, 150 * (turn + 1))
    once = 20 * 150 * 150
    assert once <= size(updates) <= once + 20 * MAX_RETRANSMIT_BYTES
    read_end = 0
    for update in updates:
        assert update.since <= read_end, (
            "updates must not have gaps when no message is lost"
        )
        read_end = update.end
    assert read_end == 3000
