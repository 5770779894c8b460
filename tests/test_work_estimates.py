"""Work of requests, learned from finished requests alike."""

from math import inf, nan
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengageflow.core.log_histogram import BUCKET_RATIO, REFRESH_S
from greengageflow.core.work_estimates import (
    DECAY_S,
    MAX_ACCOUNT_CLASSES,
    MAX_CLASSES,
    MIN_SAMPLES,
    WorkEstimates,
    WorkKey,
)

CHAT = WorkKey("model", "chat", "a")


def observe_all(estimates, key, values, now=0.0):
    for value in values:
        estimates.observe(now, key, value)


def near(value):
    return pytest.approx(value, rel=BUCKET_RATIO - 1)


def test_no_estimate_without_samples():
    """The calling code must be able to behave as without estimates."""
    estimates = WorkEstimates()
    assert estimates.estimate(CHAT) is None
    assert estimates.estimate(CHAT, 5.0) is None
    assert estimates.remaining_s(0.0, CHAT, 1.0) is None
    assert estimates.ended_within(0.0, CHAT, 1.0, 1.0) is None
    observe_all(estimates, CHAT, [1.0] * (MIN_SAMPLES - 1))
    assert estimates.estimate(CHAT) is None
    assert len(estimates) == 3, "asking creates no classes"


def test_narrowest_class_with_enough_samples_is_used():
    estimates = WorkEstimates()
    observe_all(estimates, WorkKey("model", "tag", "b"), [0.1] * 200)
    observe_all(estimates, WorkKey("model", "chat", "b"), [3.0] * MIN_SAMPLES)
    observe_all(estimates, CHAT, [9.0] * (MIN_SAMPLES - 1))
    median = estimates.estimate(WorkKey("model", "other", "a")).median
    assert median == near(0.1), "the service's"
    assert estimates.estimate(CHAT).median == near(3.0), "the kind's"
    observe_all(estimates, CHAT, [9.0], now=REFRESH_S)
    observe_all(estimates, CHAT, [9.0], now=REFRESH_S)
    assert estimates.estimate(CHAT).median == near(9.0), "the account's"
    assert estimates.estimate(WorkKey("other", "chat", "a")) is None


def test_estimate_of_a_log_normal_distribution():
    """The quantiles are those seen for chat in the design page's observations."""
    random, estimates = Random(1), WorkEstimates()
    for number in range(3000):
        value = random.lognormvariate(-0.3, 0.69)
        estimates.observe(0.01 * number, CHAT, value)
    found = estimates.estimate(CHAT)
    assert (found.p10, found.median, found.p90) == (near(0.31), near(0.74), near(1.8))
    assert found.mean == pytest.approx(0.94, rel=0.1)


@given(st.lists(st.floats(0.001, 100_000.0), min_size=MIN_SAMPLES, max_size=60))
def test_quantiles_are_in_order(values):
    estimates = WorkEstimates()
    observe_all(estimates, CHAT, values)
    found = estimates.estimate(CHAT)
    assert found.p10 <= found.median <= found.p90
    assert min(values) / BUCKET_RATIO <= found.p10
    assert found.p90 <= max(values) * BUCKET_RATIO
    assert estimates.remaining_s(0.0, CHAT, 0.0) == found.mean


def test_samples_decay():
    estimates = WorkEstimates()
    observe_all(estimates, CHAT, [1.0] * 200)
    assert estimates.estimate(CHAT, DECAY_S).samples == pytest.approx(200 / 2.71828)
    observe_all(estimates, CHAT, [10.0] * 100, now=2 * DECAY_S)
    assert estimates.estimate(CHAT).median == near(10.0)
    assert estimates.estimate(CHAT, 5 * DECAY_S) is None
    assert estimates.estimate(CHAT, 1e12) is None


@pytest.mark.parametrize("value", [0.0, -1.0, -inf, inf, nan])
def test_bad_values_are_counted_and_ignored(value):
    estimates = WorkEstimates()
    estimates.observe(0.0, CHAT, value)
    assert (estimates.ignored, len(estimates)) == (1, 0)


@pytest.mark.parametrize(
    ("value", "low", "high"), [(1e-9, 0.001, 0.0012), (5e-324, 0.001, 0.0012)]
)
def test_values_below_the_range_count_as_small(value, low, high):
    estimates = WorkEstimates()
    observe_all(estimates, CHAT, [value] * MIN_SAMPLES)
    assert low <= estimates.estimate(CHAT).median <= high


def test_values_above_the_range_count_as_large():
    """One value of 1e300 made the mean useless."""
    estimates = WorkEstimates()
    observe_all(estimates, CHAT, [1e300] * MIN_SAMPLES)
    assert 80_000 < estimates.estimate(CHAT).mean < 130_000


def test_time_that_goes_backwards_is_harmless():
    estimates = WorkEstimates()
    for now in (1000.0, 999.0, 0.0, -5.0) * MIN_SAMPLES:
        estimates.observe(now, CHAT, 1.0)
        estimates.remaining_s(now, CHAT, 0.5)
        estimates.ended_within(now, CHAT, 0.5, 1.0)
    assert estimates.estimate(CHAT, 3.0).samples == pytest.approx(4 * MIN_SAMPLES)


def test_one_account_does_not_skew_the_classes_of_others():
    """A flood of unusual work of one account must not change what others expect."""
    estimates = WorkEstimates()
    observe_all(estimates, WorkKey("model", "chat", "flood"), [500.0] * 2000)
    for account in "abcd":
        observe_all(estimates, WorkKey("model", "chat", account), [1.0] * 15)
    newcomer = WorkKey("model", "chat", "new")
    assert estimates.estimate(newcomer).median == near(1.0)
    assert estimates.estimate(newcomer._replace(kind="new")).median == near(1.0)
    assert estimates.ended_within(0.0, newcomer, 0.0, 5.0) >= 0.75 - 1e-9
    own = estimates.estimate(WorkKey("model", "chat", "flood"))
    assert own.median == near(500.0), "its own class shows it"


def test_new_names_do_not_evict_wide_classes():
    """An account that changes its name for each request must not fill the table."""
    estimates = WorkEstimates()
    for kind in range(50):
        observe_all(estimates, WorkKey("model", f"k{kind}", "a"), [2.0] * MIN_SAMPLES)
    for number in range(2 * MAX_CLASSES):
        estimates.observe(0.0, WorkKey("model", "k0", f"new{number}"), 2.0)
    assert len(estimates) == MAX_ACCOUNT_CLASSES + 51
    for kind in range(50):
        assert estimates.estimate(WorkKey("model", f"k{kind}", "b")) is not None


def test_classes_are_bounded():
    estimates = WorkEstimates()
    for number in range(2 * MAX_CLASSES):
        estimates.observe(0.0, WorkKey("model", f"k{number}", f"a{number}"), 1.0)
        assert len(estimates) <= MAX_CLASSES
    assert len(estimates) == MAX_CLASSES


def test_class_in_use_is_not_evicted():
    """Evicted in the order of creation, the oldest accounts lost their samples."""
    estimates = WorkEstimates()
    for number in range(2 * MAX_CLASSES):
        estimates.observe(0.0, CHAT, 5.0)
        for _ in range(4):
            estimates.observe(0.0, CHAT._replace(account=f"new{number}"), 1.0)
        other = WorkKey(f"s{number}", f"k{number}", "b")
        estimates.observe(0.0, other, 1.0)
    assert estimates.estimate(CHAT).median == near(5.0), "the account's"
    wide = estimates.estimate(CHAT._replace(account="c"))
    assert wide.samples == pytest.approx(10 * MAX_CLASSES), "the kind's"


def test_remaining_time_of_running_requests():
    """A request that has outlasted the short ones is expected to be a long one."""
    estimates = WorkEstimates()
    observe_all(estimates, CHAT, [0.2] * 50 + [4.0] * 50)
    assert estimates.remaining_s(0.0, CHAT, 0.0) == near(2.1)
    assert estimates.remaining_s(0.0, CHAT, 1.0) == near(3.0)
    assert estimates.ended_within(0.0, CHAT, 0.0, 0.3) == pytest.approx(0.5)
    assert estimates.ended_within(0.0, CHAT, 1.0, 0.3) == pytest.approx(0.0)
    assert estimates.ended_within(0.0, CHAT, 1.0, 4.0) == pytest.approx(1.0)
