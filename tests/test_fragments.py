"""Fragmentation of messages between routers that exceed one datagram."""

from hypothesis import given
from hypothesis import strategies as st

from greengageflow.net._fragments import (
    MAX_DATAGRAM_BYTES,
    MAX_INCOMPLETE_MESSAGES,
    Reassembler,
    split,
)

SENDERS = [("127.0.0.1", 1), ("127.0.0.2", 1)]


def long_message(seed, size=3 * MAX_DATAGRAM_BYTES):
    return bytes([seed]) * size + b"end"


@given(
    st.randoms(use_true_random=False),
    st.sampled_from([0, 9, MAX_DATAGRAM_BYTES, MAX_DATAGRAM_BYTES + 1]),
)
def test_messages_are_reassembled_in_any_order(random, size):
    """Fragments of different messages must not be joined into one message."""
    messages = {sender: long_message(at, size) for at, sender in enumerate(SENDERS)}
    rows = [(s, d) for s, data in messages.items() for d in split(7, data)]
    assert all(len(data) <= MAX_DATAGRAM_BYTES for _, data in rows)
    random.shuffle(rows)
    reassembler = Reassembler()
    joined = [(s, reassembler.take(s, data)) for s, data in rows]
    assert dict(row for row in joined if row[1] is not None) == messages


def test_lost_fragments_do_not_accumulate():
    reassembler = Reassembler()
    for number in range(10 * MAX_INCOMPLETE_MESSAGES):
        first, *_ = split(number, long_message(1))
        assert reassembler.take(SENDERS[0], first) is None
    assert len(reassembler._incomplete) <= MAX_INCOMPLETE_MESSAGES
    rows = [reassembler.take(SENDERS[0], d) for d in split(1000, long_message(2))]
    assert rows[-1] == long_message(2)


@given(st.binary(max_size=40))
def test_invalid_fragments_give_no_message(data):
    """Invalid data from any sender must not raise in the event loop of the router."""
    assert Reassembler().take(SENDERS[0], b"\xc1" + data) in (None, data[8:])
