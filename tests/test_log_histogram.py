"""Decaying histograms: accuracy of quantiles and of the rest of running values."""

from math import exp, inf, log
from random import Random
from statistics import NormalDist

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengageflow.core.log_histogram import (
    BUCKET_RATIO,
    BUCKETS,
    MAX_GROWTH_TIME_CONSTANTS,
    MAX_VALUE,
    MIN_VALUE,
    REFRESH_S,
    TAIL_FRACTION,
    LogHistogram,
    bucket_of,
)

DECAY_S = 30.0
VALUES = st.floats(MIN_VALUE, MAX_VALUE)
SAMPLES = st.lists(VALUES, min_size=1, max_size=60)


def distribution_of(values, now=0.0):
    histogram = LogHistogram(now, DECAY_S, 1)
    for value in values:
        histogram.add(now, bucket_of(value))
    return histogram.distribution(now)


@given(st.floats(min_value=0.0, exclude_min=True, allow_infinity=False))
def test_every_positive_value_has_a_bucket(value):
    """An index outside the list raised, or counted a small value as a large one."""
    assert 0 <= bucket_of(value) < BUCKETS


def test_buckets_cover_the_stated_range():
    assert BUCKET_RATIO <= 1.25
    assert MIN_VALUE * BUCKET_RATIO**BUCKETS >= MAX_VALUE
    assert bucket_of(MIN_VALUE) == 0
    assert bucket_of(MAX_VALUE) == BUCKETS - 1
    assert bucket_of(MAX_VALUE / BUCKET_RATIO**2) < BUCKETS - 1


@given(SAMPLES, st.floats(0.01, 1.0))
def test_quantiles_are_off_by_at_most_a_bucket(values, fraction):
    """A quantile must lie in the bucket that holds that fraction of the samples."""
    found = distribution_of(values).quantile(fraction)
    below = sum(value * BUCKET_RATIO < found * (1 - 1e-9) for value in values)
    up_to = sum(value <= found * BUCKET_RATIO * (1 + 1e-9) for value in values)
    assert below <= fraction * len(values) + 1e-6
    assert up_to >= fraction * len(values) - 1e-6


@given(SAMPLES)
def test_mean_is_off_by_at_most_a_bucket(values):
    mean = sum(values) / len(values)
    found = distribution_of(values)
    assert mean / BUCKET_RATIO <= found.mean <= mean * BUCKET_RATIO
    assert found.samples == pytest.approx(len(values))


def test_quantiles_are_interpolated_within_a_bucket():
    found = distribution_of([1.0] * 100)
    assert found.quantile(0.1) < found.quantile(0.5) < found.quantile(0.9)


@given(SAMPLES, st.floats(0.0, MAX_VALUE), st.floats(0.0, 100.0), st.floats(0.0, 100.0))
def test_probability_of_an_end_grows_with_the_time(values, age, more, longer):
    found = distribution_of(values)
    first, second = (found.ended_within(age, s) for s in (more, more + longer))
    assert 0.0 <= first <= second + 1e-9 <= 1.0 + 1e-9


@given(SAMPLES, st.floats(0.0, 2 * MAX_VALUE))
def test_remaining_time_is_finite_and_not_negative(values, age):
    """Older requests than any sample must not give an error, zero or infinity."""
    found = distribution_of(values)
    assert 0.0 <= found.remaining(age) < inf
    assert found.remaining(0.0) == found.mean


def test_remaining_matches_the_sampled_distribution():
    """Compares with a log-normal distribution at ages up to its 94th percentile."""
    random, normal = Random(1), NormalDist(0.0, 0.7)
    values = [random.lognormvariate(0.0, 0.7) for _ in range(20_000)]
    found = distribution_of(values)
    for age in (0.0005, 0.3, 1.0, 2.0, 3.0):
        above = 1 - normal.cdf(log(age))
        mean_above = exp(0.7**2 / 2) * (1 - normal.cdf(log(age) - 0.7**2)) / above
        assert found.remaining(age) == pytest.approx(mean_above - age, rel=0.05)
        ended = (normal.cdf(log(age + 0.5)) - normal.cdf(log(age))) / above
        assert found.ended_within(age, 0.5) == pytest.approx(ended, abs=0.03)


def test_older_than_all_samples_is_not_about_to_end():
    """A request that has outlasted all samples was taken for one that ends now."""
    found = distribution_of([1.0] * 50)
    assert found.remaining(40.0) == pytest.approx(TAIL_FRACTION * 40.0)
    assert found.ended_within(40.0, 1.0) < 0.1
    assert found.remaining(-1.0) == found.mean, "time that went backwards"


def test_less_than_one_sample_does_not_predict_the_rest():
    """One long request, nearly forgotten, made all slow ones seem as long."""
    histogram = LogHistogram(0.0, DECAY_S, 1)
    histogram.add(0.0, bucket_of(30.0))
    for _ in range(50):
        histogram.add(DECAY_S, bucket_of(1.0))
    found = histogram.distribution(DECAY_S)
    assert found.remaining(5.0) == pytest.approx(TAIL_FRACTION * 5.0)
    assert 0.1 < found.ended_within(5.0, 1.0) < 0.9


@given(st.lists(st.tuples(st.floats(0.0, 400.0), VALUES), min_size=1, max_size=30))
def test_decay_equals_direct_sums(steps):
    """Samples must decay alike when the weights are scaled back between them."""
    histogram, now, samples = LogHistogram(0.0, DECAY_S, 0.5), 0.0, []
    for gap_s, value in steps:
        now += gap_s
        histogram.add(now, bucket_of(value))
        samples.append((now, value))
    weights = [exp((at - now) / DECAY_S) for at, _ in samples]
    found = histogram.distribution(now)
    assert found.samples == pytest.approx(sum(weights))
    mean = sum(w * v for w, (_, v) in zip(weights, samples, strict=True)) / sum(weights)
    assert mean / BUCKET_RATIO <= found.mean <= mean * BUCKET_RATIO


@pytest.mark.parametrize("gap_s", [30.0, 1e4, 1e9])
def test_long_idle_time_leaves_no_samples(gap_s):
    """The exponential of a long time overflowed."""
    histogram = LogHistogram(0.0, DECAY_S, 5)
    for _ in range(10):
        histogram.add(0.0, bucket_of(1.0))
    assert histogram.distribution(gap_s) is None
    for _ in range(10):
        histogram.add(gap_s, bucket_of(50.0))
    median = histogram.distribution(gap_s + REFRESH_S).quantile(0.5)
    assert 50 / BUCKET_RATIO <= median <= 50 * BUCKET_RATIO


def test_samples_do_not_decay_while_time_goes_backwards():
    histogram = LogHistogram(100.0, DECAY_S, 5)
    for now in (100.0, 90.0, 50.0, 99.0, 0.0):
        histogram.add(now, bucket_of(1.0))
    assert histogram.distribution(20.0).samples == pytest.approx(5)
    histogram.add(10.0, bucket_of(1.0))
    assert histogram.distribution(10.0).samples == pytest.approx(6), "stale cache"


def test_distribution_is_cached_for_a_bounded_time():
    """Computing it for each of 120 running requests would take milliseconds."""
    histogram = LogHistogram(0.0, DECAY_S, 1)
    histogram.add(0.0, bucket_of(1.0))
    first = histogram.distribution(0.0)
    histogram.add(0.1, bucket_of(1.0))
    assert histogram.distribution(0.9 * REFRESH_S) is first
    assert histogram.distribution(REFRESH_S).samples > 1.9


def test_weights_stay_bounded_over_days():
    """Growing weights must be scaled back before they overflow."""
    histogram, step_s = LogHistogram(0.0, DECAY_S, 1), DECAY_S / 10
    for number in range(int(40 * MAX_GROWTH_TIME_CONSTANTS)):
        weight = histogram.add(number * step_s, bucket_of(1.0))
        assert weight <= exp(MAX_GROWTH_TIME_CONSTANTS) * 1.01
    found = histogram.distribution(number * step_s)
    assert found.samples == pytest.approx(1 / (1 - exp(-0.1)), rel=1e-6)
