"""Tests of the incremental updates that a reader of the store publishes."""

from greengageflow.core.keyed_record import KeyedRecord
from greengageflow.core.store_updates import (
    MAX_RETRANSMIT_BYTES,
    RETRANSMIT_S,
    StoreTopic,
    UpdatePublisher,
)

MOST = 24_000


def records(first, count):
    return [KeyedRecord(f"e{n}", b"x" * 150, n) for n in range(first, first + count)]


def size(messages):
    return sum(len(one.value) for news in messages for one in news.records)


def test_few_records_are_told_again_with_later_ones():
    """A router that lost a message gets its records from the next one."""
    publisher = UpdatePublisher(StoreTopic.ENDPOINTS, MOST)
    list(publisher.publish(0.0, records(0, 1), 1))
    (news,) = publisher.publish(0.5 * RETRANSMIT_S, records(1, 1), 2)
    assert [one.offset for one in news.records] == [0, 1]
    assert news.since == 0
    (news,) = publisher.publish(1.2 * RETRANSMIT_S, records(2, 1), 3)
    assert [one.offset for one in news.records] == [1, 2]
    assert news.since == 1


def test_what_many_endpoints_that_come_at_once_cost_is_bounded():
    """A thousand endpoints of a fleet register within a second or two.

    The retransmitted part of each message grew with their number, so that relays sent
    megabytes per second.
    """
    publisher = UpdatePublisher(StoreTopic.ENDPOINTS, MOST)
    told = []
    for turn in range(20):
        new = records(150 * turn, 150)
        told += publisher.publish(0.1 * turn, new, 150 * (turn + 1))
    once = 20 * 150 * 150
    assert once <= size(told) <= once + 20 * MAX_RETRANSMIT_BYTES
    known = 0
    for news in told:
        assert news.since <= known, "updates must not have gaps when no message is lost"
        known = news.end
    assert known == 3000
