"""The timer service in simulated time."""

from types import SimpleNamespace
from weakref import ref

import pytest

from greengageflow.net import timers as timers_module
from greengageflow.net.timers import Timers


class Loop:
    """Simulated event loop that sleeps until the next timer."""

    def __init__(self, monkeypatch):
        self.now = 100.0
        self.iterations = 0
        monkeypatch.setattr(timers_module, "monotonic", lambda: self.now)
        self.timers = Timers()

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            event = SimpleNamespace(left=end - self.now)
            event.reduce_time_left = lambda s, e=event: setattr(
                e, "left", min(e.left, s)
            )
            self.timers._on_generate_events(event)
            self.iterations += 1
            self.now += max(event.left, 1e-6)


@pytest.fixture
def loop(monkeypatch):
    return Loop(monkeypatch)


def test_periodic_calls_that_nearly_coincide_share_an_iteration(loop):
    """An idle host of a large fleet spends most CPU time on event loop iterations."""
    calls = []
    for offset, interval_s in ((0.0, 0.05), (0.003, 0.05), (0.004, 0.1), (0.011, 0.2)):
        loop.now = 100.0 + offset
        name = (offset, interval_s)
        loop.timers.every(interval_s, lambda name=name: calls.append((name, loop.now)))
    loop.iterations = 0
    loop.run(10)
    assert loop.iterations <= 10 / 0.05 * 1.2
    for name in {name for name, _ in calls}:
        times = [at for called_name, at in calls if called_name == name]
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        assert min(gaps) >= 0.89 * name[1] and max(gaps) <= 1.01 * name[1]


def test_one_shot_calls_are_never_early(loop):
    """Deadlines and retries must not come before their time."""
    at = []
    loop.timers.every(0.05, lambda: None)
    loop.timers.after(0.0521, lambda: at.append(loop.now))
    loop.run(1)
    assert len(at) == 1 and at[0] >= 100.0521


def test_a_cancelled_timer_keeps_nothing_alive(loop):
    """Each request has a timer for its deadline, seconds after its end. Cancelled ones
    kept the requests with their bodies in memory until then."""

    class Request:
        def on_deadline(self):
            raise AssertionError("cancelled")

    request = Request()
    is_alive = ref(request)
    sub = loop.timers.after(15.0, request.on_deadline)
    del request
    assert is_alive()
    sub.cancel()
    assert not is_alive()
    loop.run(20)


def test_a_timer_cancelled_by_one_of_the_same_time_is_not_called(loop):
    """An answer given by one timer must not be followed by the timeout of the same
    request that is due in the same iteration."""
    calls = []
    loop.timers.after(1.0, lambda: second.cancel())
    second = loop.timers.after(1.0, lambda: calls.append("second"))
    loop.run(2)
    assert not calls
