"""Slot limit and circuit breaker of an endpoint."""

from greengageflow.core.limits import SlotLimit


def test_concurrent_failures_start_one_rest():
    """One engine fault causes a rest of one second, not of fifteen.

    Eight concurrent requests fail together. If each counted, every failure after the
    third would double the rest.
    """
    limit = SlotLimit(8, failures=3, rest_s=1.0)
    for number in range(8):
        limit.observe(10.0 + number / 1000, 0.0, 5.0, True)
    assert limit.allowed(10.5) == 0
    assert limit.allowed(11.1) == 1
    limit.observe(11.2, 0.0, 0.1, True)
    assert limit.allowed(13.0) == 0
    assert limit.allowed(13.3) == 1
