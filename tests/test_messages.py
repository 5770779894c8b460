from contextlib import suppress

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from greengageflow.core.messages import Member, PeerId, Ping
from greengageflow.net import wire
from greengageflow.net.wire import MessageError, decode, encode

st.register_type_strategy(int, st.integers(-(2**63), 2**63 - 1))
# NaN is not equal to itself, so comparing it would not test the codec.
st.register_type_strategy(float, st.floats(allow_nan=False))


@settings(max_examples=200)
@given(st.data())
def test_every_message_round_trips(data):
    type_ = data.draw(st.sampled_from(list(wire.TYPES.values())))
    message = data.draw(st.from_type(type_))
    sender = PeerId("r1", 7)
    assert decode(encode(sender, message)) == (sender, message)


@settings(max_examples=200)
@given(st.binary(max_size=64))
def test_malformed_bytes_raise_only_message_error(data):
    with suppress(MessageError):
        decode(data)


def test_an_old_sender_may_leave_out_new_fields():
    data = msgpack.packb(["r1", 7, 20, 1, 2, 3])
    assert decode(data)[1] == Ping(1, 2, 3)


def test_updates_are_decoded_as_members():
    member = Member("r2", 1, 0, "alive", "127.0.0.2", 7000, "z1")
    _, ping = decode(encode(PeerId("r1", 7), Ping(1, 2, 3, (member,))))
    assert ping.updates == (member,)
