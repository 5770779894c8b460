"""Event loop lag detection, in simulated time."""

from greengageflow.core.lateness import RECOVERY_S, Lateness

TICK_S = 0.05


def simulate(lateness, start, gaps):
    """Call the timer at these gaps; return the time and the reported changes."""
    now, changes = start, []
    for gap in gaps:
        now += gap
        if lateness.tick(now):
            changes.append(lateness.behind)
    return now, changes


def test_lag_and_recovery_are_each_reported_once():
    """An overloaded host must log that it is behind once, not at each tick.

    It logs that it caught up only after it has stayed on time.
    """
    lateness = Lateness(TICK_S)
    now, changes = simulate(lateness, 100.0, [TICK_S] * 20)
    assert not changes and lateness.worst_s < 1e-6
    now, changes = simulate(lateness, now, [0.6, 0.7, 0.15, TICK_S, 0.9])
    assert changes == [True]
    assert 0.8 < lateness.worst_s < 0.9
    now, changes = simulate(lateness, now, [TICK_S] * int(RECOVERY_S / TICK_S + 2))
    assert changes == [False]
    _, changes = simulate(lateness, now, [TICK_S] * 60)
    assert not changes and lateness.worst_s < 1e-6
