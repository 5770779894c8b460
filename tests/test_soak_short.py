"""A short soak of one seed, on real processes."""

from greengageflow.lab.soak import run_soak

SEED = 8


def test_short_soak_has_no_breaches():
    """Callers send requests through three routers during link and process faults.

    Every recorded answer, run and refusal must meet the soak guarantees.
    """
    result = run_soak(SEED, 3.0)
    assert result.plan
    assert not result.breaches, (result.summary, *result.breaches[:5])
