"""When the list of endpoints counts as current."""

from heapq import heappop, heappush
from itertools import count

from greengageflow.daemon.current_list import TIMEOUT_S, CurrentList


class Clock:
    """Timers and a reader of the list, in simulated time."""

    def __init__(self):
        self.now, self._heap, self._order = 100.0, [], count()
        self.list_confirmed_at, self.reads = 99.9, []

    def read_list(self, since):
        self.reads.append(since)

    def after(self, delay_s, call):
        heappush(self._heap, (self.now + delay_s, next(self._order), call))

    def run(self, until):
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heappop(self._heap)
            call()
        self.now = until


def test_a_list_is_current_once_it_was_read_after_the_question():
    """Another host had read an entry that this one had not."""
    clock, done = Clock(), []
    CurrentList(clock, clock, lambda: clock.now).wait(done.append)
    clock.run(100.3)
    assert not done and set(clock.reads) == {100.0}
    clock.list_confirmed_at = 100.1
    clock.run(100.4)
    assert done == [True]


def test_a_list_that_is_not_read_again_is_not_current():
    clock, done = Clock(), []
    CurrentList(clock, clock, lambda: clock.now).wait(done.append)
    clock.run(100.0 + 2 * TIMEOUT_S)
    assert done == [False]
