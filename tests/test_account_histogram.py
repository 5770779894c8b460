"""Histograms in which no account outweighs the others."""

import pytest
from hypothesis import assume, given
from hypothesis import strategies as st

from greengageflow.core.account_histogram import (
    TRACKED_ACCOUNTS,
    AccountHistogram,
    account_limit,
)
from greengageflow.core.log_histogram import BUCKET_RATIO, MIN_VALUE

DECAY_S = 30.0
MIN_SAMPLES = 20
MAX_FRACTION = 0.25
ACCOUNTS = 40


def histogram_of(blocks, now=0.0):
    """Return a histogram of blocks ``(account, samples)``; account n has bucket n."""
    histogram = AccountHistogram(now, DECAY_S, MIN_SAMPLES, MAX_FRACTION)
    for account, samples in blocks:
        for _ in range(samples):
            histogram.add_for(now, f"a{account}", account)
    return histogram


def fractions(distribution):
    """Return the fraction of each account."""
    bounds = [MIN_VALUE * BUCKET_RATIO**n for n in range(ACCOUNTS + 1)]
    below = [distribution.ended_within(0.0, bound) for bound in bounds]
    return [high - low for low, high in zip(below, below[1:], strict=False)]


@given(st.lists(st.floats(0.0, 1000.0), max_size=9))
def test_limit_is_the_fraction_of_the_limited_sum(weights):
    """Compares with the definition, by bisection."""
    weights.sort(reverse=True)
    total = sum(weights)
    limit = account_limit(weights, total, MAX_FRACTION)
    low, high = 0.0, total
    for _ in range(100):
        middle = (low + high) / 2
        if middle <= MAX_FRACTION * sum(min(middle, weight) for weight in weights):
            low = middle
        else:
            high = middle
    assert limit == pytest.approx(low, rel=1e-6, abs=1e-6 * max(1.0, total))


@given(
    st.lists(
        st.tuples(
            st.integers(0, ACCOUNTS - 1), st.sampled_from([1, 2, 5, 20, 100, 500])
        ),
        min_size=4,
        max_size=60,
    )
)
def test_no_account_exceeds_its_fraction(blocks):
    """An account must not set the estimates of all, in whatever order samples come.

    Covers accounts that were evicted from the tracked ones and came back. The needed
    samples are 1.6 times those without evictions, since what these miss is a bound.
    """
    samples = [sum(n for a, n in blocks if a == account) for account in range(ACCOUNTS)]
    assume(sum(min(n, 8) for n in samples) >= 32)
    found = histogram_of(blocks).distribution(0.0)
    assert max(fractions(found)) <= MAX_FRACTION + 1e-9


def test_flood_of_one_account_after_others():
    """With weights fixed when a sample came, earlier floods kept their weight."""
    for blocks in (
        [(5, 5000), (0, 10), (1, 10), (2, 10)],
        [(0, 10), (1, 10), (2, 10), (5, 5000)],
    ):
        found = fractions(histogram_of(blocks).distribution(0.0))
        assert found[5] == pytest.approx(MAX_FRACTION)
        assert found[0] == found[1] == pytest.approx(MAX_FRACTION)


def test_four_equal_accounts_are_not_limited_to_nothing():
    """With weights fixed when a sample came, four accounts at the limit added none."""
    histogram = AccountHistogram(0.0, DECAY_S, MIN_SAMPLES, MAX_FRACTION)
    for number in range(4000):
        histogram.add_for(0.05 * number, f"a{number % 4}", number % 4)
    found = histogram.distribution(200.0)
    assert found.samples > 500
    assert fractions(found)[:4] == pytest.approx([0.25] * 4, abs=0.01)


@pytest.mark.parametrize("blocks", [[(0, 90)], [(0, 60), (1, 20), (2, 10)]])
def test_up_to_three_accounts_are_not_limited(blocks):
    found = fractions(histogram_of(blocks).distribution(0.0))
    assert found[0] == pytest.approx(blocks[0][1] / 90)


def test_a_fourth_account_with_one_sample_does_not_disable_the_class():
    """Limited to the one sample, the class had too few samples for an estimate."""
    found = histogram_of([(0, 100), (1, 100), (2, 100), (3, 1)]).distribution(0.0)
    assert found.samples == pytest.approx(301)


def test_many_light_accounts_are_not_limited():
    """Evicted entries overstate accounts, which must not reduce the weight of all."""
    blocks = [(number % ACCOUNTS, 1) for number in range(50 * ACCOUNTS)]
    found = histogram_of(blocks).distribution(0.0)
    assert found.samples == pytest.approx(len(blocks))


def test_heavy_account_among_new_names():
    """Names that appear once must not hide a heavy account from the limit."""
    histogram = AccountHistogram(0.0, DECAY_S, MIN_SAMPLES, MAX_FRACTION)
    for number in range(3000):
        histogram.add_for(0.0, f"new{number}", 0)
        histogram.add_for(0.0, "heavy", 9)
        histogram.add_for(0.0, "heavy", 9)
    assert len(histogram._parts) == TRACKED_ACCOUNTS
    assert fractions(histogram.distribution(0.0))[9] <= MAX_FRACTION + 1e-9


def test_heavy_account_that_loses_its_entry_again_and_again():
    """Its samples must count although it has an entry for one sample at a time."""
    histogram = histogram_of([(n, 50) for n in range(TRACKED_ACCOUNTS - 1)])
    for number in range(600):
        histogram.add_for(0.0, "heavy", 30)
        histogram.add_for(0.0, f"new{number}", 31)
    assert fractions(histogram.distribution(0.0))[30] <= MAX_FRACTION + 1e-9
    for _ in range(5000):
        histogram.add_for(1.0, "heavy", 30)
    assert fractions(histogram.distribution(1.0))[30] <= MAX_FRACTION + 1e-9


def test_limit_survives_scaling_of_weights():
    """The samples of tracked accounts must be scaled with those of all."""
    histogram = histogram_of([(5, 5000), (0, 10), (1, 10), (2, 10)])
    later = 25 * DECAY_S
    for account, samples in [(5, 500), (0, 10), (1, 10), (2, 10)]:
        for _ in range(samples):
            histogram.add_for(later, f"a{account}", account)
    found = histogram.distribution(later)
    assert found.samples == pytest.approx(40)
    assert fractions(found)[5] == pytest.approx(MAX_FRACTION)
