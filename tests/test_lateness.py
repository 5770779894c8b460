"""When a host counts as behind, in simulated time."""

from greengageflow.core.lateness import CALM_FOR_S, Lateness

TICK_S = 0.05


def play(lateness, start, gaps):
    """Call at these gaps; return the time and the changes that were told."""
    now, changes = start, []
    for gap in gaps:
        now += gap
        if lateness.tick(now):
            changes.append(lateness.behind)
    return now, changes


def test_a_late_loop_is_told_once_and_once_more_when_it_is_on_time():
    """A host works seconds behind what callers send. Its lines must say so once, not
    at each tick, and that it caught up only when it stays on time."""
    lateness = Lateness(TICK_S)
    now, changes = play(lateness, 100.0, [TICK_S] * 20)
    assert not changes and lateness.worst_s < 1e-6
    now, changes = play(lateness, now, [0.6, 0.7, 0.15, TICK_S, 0.9])
    assert changes == [True]
    assert 0.8 < lateness.worst_s < 0.9
    now, changes = play(lateness, now, [TICK_S] * int(CALM_FOR_S / TICK_S + 2))
    assert changes == [False]
    _, changes = play(lateness, now, [TICK_S] * 60)
    assert not changes and lateness.worst_s < 1e-6
