"""Stamps of messages: what an echo proves about the time of sending."""

from math import inf

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengageflow.core.tick_echo import NO_ECHO, TICK_MODULUS, TICKS_PER_S, TickEcho

A, B = ("127.0.0.1", 7000), ("127.0.0.2", 7000)
ROUNDING_S = 2 / TICKS_PER_S
DELAYS_S = st.floats(0, 100)
OFFSETS = st.integers(0, TICK_MODULUS - 1)


class Router:
    """One side of an exchange, with a clock of its own."""

    def __init__(self, world, skew_s, offset):
        self.world, self.skew_s = world, skew_s
        self.ticks = TickEcho(self.clock, offset)

    def clock(self):
        return self.world[0] + self.skew_s


@given(
    st.floats(0, 5e6),
    st.tuples(st.floats(0, 5e6), OFFSETS),
    st.tuples(st.floats(0, 5e6), OFFSETS),
    st.lists(st.tuples(DELAYS_S, DELAYS_S, DELAYS_S), min_size=1, max_size=5),
)
def test_no_echo_claims_a_later_time_than_that_of_sending(began, a, b, rounds):
    """Whatever the delays of both ways, the clocks and the wraps of the ticks."""
    world = [began]
    a, b = Router(world, *a), Router(world, *b)
    for to_b_s, held_s, to_a_s in rounds:
        tick, ticked_at = a.ticks.stamp(B).tick, a.clock()
        world[0] += to_b_s
        b.ticks.receive(A, tick)
        world[0] += held_s
        echo, sent_at = b.ticks.stamp(A).echo, a.clock()
        world[0] += to_a_s
        claimed = a.ticks.sent_after(echo)
        assert claimed <= sent_at + ROUNDING_S
        # No later than the delay of the way there makes it.
        assert echo == NO_ECHO or claimed >= ticked_at + held_s - ROUNDING_S


def test_late_and_repeated_ticks_only_make_the_claim_older():
    world = [50.0]
    a, b = Router(world, 0.0, 7), Router(world, 900.0, 8)
    early = a.ticks.stamp(B).tick
    world[0] = 53.0
    late = a.ticks.stamp(B).tick
    for tick in (early, late, early):
        b.ticks.receive(A, tick)
        assert a.ticks.sent_after(b.ticks.stamp(A).echo) <= 53.0 + ROUNDING_S


def test_without_a_tick_nothing_is_known():
    router = Router([5.0], 0.0, 3)
    assert router.ticks.stamp(B).echo == NO_ECHO
    assert router.ticks.sent_after(NO_ECHO) == -inf
    router.ticks.receive(B, 4)
    assert router.ticks.has_tick_of(B) and router.ticks.stamp(B).echo != NO_ECHO
    router.ticks.forget(B)
    assert not router.ticks.has_tick_of(B)
    assert router.ticks.stamp(B).echo == NO_ECHO


@pytest.mark.parametrize(("ahead", "is_fresh"), [(9, True), (20, False)])
def test_an_echo_ahead_of_the_clock_is_drift_or_no_echo_of_it(ahead, is_fresh):
    """Clocks differ in rate by less than a hold of seconds shows in ticks."""
    router = Router([1000.0], 0.0, 0)
    claimed = router.ticks.sent_after(router.ticks.tick + ahead)
    assert (claimed == 1000.0) is is_fresh
    assert is_fresh or claimed < 0
