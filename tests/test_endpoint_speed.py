"""Speed of endpoints, learned from the times of their requests."""

from math import inf, nan, sqrt
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengageflow.core.endpoint_speed import (
    IDLE_AFTER_S,
    IDLE_DECAY_S,
    MAX_SAMPLE_FACTOR,
    MAX_SLOWNESS,
    MIN_SLOWNESS,
    EndpointSpeed,
)

SECONDS = st.floats(min_value=0.0, exclude_min=True, allow_infinity=False)


def observe_all(speed, ratios, start=0.0, step_s=0.1):
    """Observe requests with these ratios; return the slowness after each."""
    found = []
    for number, ratio in enumerate(ratios):
        speed.observe(start + step_s * number, 0.7 * ratio, 0.7)
        found.append(speed.slowness)
    return found


def first_beyond(values, limit):
    """Return how many samples it takes until the slowness has passed ``limit``."""
    above = limit > 1
    passed = [value > limit if above else value < limit for value in values]
    return passed.index(True) + 1


def test_an_endpoint_like_the_others_is_neutral():
    speed = EndpointSpeed()
    assert speed.slowness == 1.0
    assert observe_all(speed, [1.0] * 50)[-1] == 1.0


@pytest.mark.parametrize("factor", [2.0, 0.5])
def test_change_by_two_is_detected_after_five_to_ten_requests(factor):
    """Half of the change, as a factor, must show after 5 requests, not after 4."""
    slowness = observe_all(EndpointSpeed(), [factor] * 10)
    assert first_beyond(slowness, sqrt(factor)) == 5
    assert slowness[9] / factor == pytest.approx(1.0, abs=0.2)


def test_recovery_is_detected_as_fast_as_slowdown():
    speed = EndpointSpeed()
    observe_all(speed, [2.0] * 60)
    back = observe_all(speed, [1.0] * 10, start=6.0)
    assert [value < sqrt(2) for value in back].index(True) == 4


@pytest.mark.parametrize("factor", [2.0, 0.5])
def test_change_is_detected_in_noise(factor):
    """Requests differ from what is expected by a factor of 1.6 either way."""
    random, counts = Random(1), []
    for _ in range(200):
        speed = EndpointSpeed()
        observe_all(speed, [random.lognormvariate(0.0, 0.5) for _ in range(30)])
        ratios = [factor * random.lognormvariate(0.0, 0.5) for _ in range(60)]
        counts.append(first_beyond(observe_all(speed, ratios, 3.0), sqrt(factor)))
    counts.sort()
    assert 4 <= counts[100] <= 6
    assert counts[180] <= 10


@given(st.lists(st.tuples(SECONDS, SECONDS), max_size=40), SECONDS, SECONDS)
def test_one_outlier_changes_little_and_bounds_hold(samples, actual_s, expected_s):
    speed = EndpointSpeed()
    for sample in samples:
        speed.observe(0.0, *sample)
    before = speed.slowness
    speed.observe(0.0, actual_s, expected_s)
    change = speed.slowness / before
    assert 1 / MAX_SAMPLE_FACTOR - 1e-9 <= change <= MAX_SAMPLE_FACTOR + 1e-9
    assert MIN_SLOWNESS - 1e-9 <= speed.slowness <= MAX_SLOWNESS + 1e-9


@pytest.mark.parametrize(("usual", "outlier"), [(1e-6, 1e6), (1e6, 1e-6)])
def test_outlier_at_the_other_bound_changes_little(usual, outlier):
    speed = EndpointSpeed()
    before = observe_all(speed, [usual] * 200)[-1]
    after = observe_all(speed, [outlier], start=20.0)[-1]
    change = max(after / before, before / after)
    assert change == pytest.approx(MAX_SAMPLE_FACTOR)


@pytest.mark.parametrize(("ratio", "bound"), [(1e6, MAX_SLOWNESS), (1e-6, 0.2)])
def test_slowness_is_bounded(ratio, bound):
    """After a stall, a bounded slowness recovers within some requests."""
    speed = EndpointSpeed()
    assert observe_all(speed, [ratio] * 200)[-1] == pytest.approx(bound)
    assert observe_all(speed, [1.0] * 20, 20.0)[-1] == pytest.approx(1.0, abs=0.1)


@pytest.mark.parametrize("bad", [0.0, -1.0, inf, -inf, nan])
def test_bad_samples_are_counted_and_ignored(bad):
    speed = EndpointSpeed()
    speed.observe(0.0, bad, 1.0)
    speed.observe(0.0, 1.0, bad)
    assert (speed.slowness, speed.ignored) == (1.0, 2)


def test_later_start_begins_anew():
    """A slow endpoint that was replaced under its id is not slow any more."""
    speed = EndpointSpeed(born=1000)
    observe_all(speed, [3.0] * 20)
    slow = speed.slowness
    assert not speed.restart(1000)
    assert not speed.restart(999), "a late message about an earlier start"
    assert speed.slowness == slow
    assert speed.restart(1001)
    assert speed.slowness == speed.slowness_at(1e6) == 1.0
    assert observe_all(speed, [1.0] * 3)[-1] == 1.0


def test_slow_endpoint_without_requests_is_tried_again():
    """An endpoint that was avoided as slow could never show that it had recovered."""
    speed = EndpointSpeed()
    observe_all(speed, [4.0] * 60)
    at = 5.9
    assert speed.slowness_at(at + IDLE_AFTER_S) == speed.slowness
    later = at + IDLE_AFTER_S + 3 * IDLE_DECAY_S
    assert speed.slowness_at(later) < 1.1
    speed.observe(later, 1.0, 1.0)
    assert speed.slowness < 1.1, "the forgotten slowness must not come back"


def test_time_that_goes_backwards_is_harmless():
    speed = EndpointSpeed()
    for now in (1000.0, 0.0, -50.0, 500.0, 499.0):
        speed.observe(now, 2.0, 1.0)
    assert 1.4 < speed.slowness < 1.5
    assert speed.slowness_at(-1e9) == pytest.approx(speed.slowness)
