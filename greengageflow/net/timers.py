"""Timer service of a process."""

from collections.abc import Callable, Iterator
from heapq import heappop, heappush
from itertools import count
from time import monotonic

from circuits import BaseComponent, handler

from greengageflow.events import Event, log, log_exception

EARLY_FRACTION = 0.1
"""Fraction of its interval by which a periodic call may be early.

Most iterations of an idle router's event loop serve periodic calls. Calls that nearly
coincide share an iteration from then on.
"""


def _do_nothing() -> None:
    """Stand in for the subscriber of a cancelled timer."""


class Subscription:
    """A timer; ``cancel`` stops it."""

    __slots__ = ("callback", "early_s", "interval_s", "is_active")

    def __init__(self, callback: Callable[[], None], interval_s: float | None) -> None:
        self.callback = callback
        self.interval_s = interval_s
        self.early_s = EARLY_FRACTION * (interval_s or 0.0)
        self.is_active = True

    def cancel(self) -> None:
        """Stop calling the subscriber."""
        self.is_active = False
        # The timer stays queued until its time. A request's deadline would otherwise
        # keep the request with its body in memory for seconds after its end.
        self.callback = _do_nothing


class Timers(BaseComponent):
    """Calls subscribers on the ``circuits`` event loop when their timers expire.

    Example:
        >>> timers = Timers().register(app)
        >>> timers.every(1.0, send_heartbeat)
        >>> timers.after(0.2, give_up).cancel()
    """

    channel = "timers"

    def __init__(self) -> None:
        super().__init__()
        self._heap: list[tuple[float, int, Subscription]] = []
        self._sequence = count()

    @property
    def now(self) -> float:
        """Monotonic time in seconds."""
        return monotonic()

    def after(self, delay_s: float, callback: Callable[[], None]) -> Subscription:
        """Call once after ``delay_s`` seconds."""
        return self._schedule(delay_s, Subscription(callback, None))

    def every(self, interval_s: float, callback: Callable[[], None]) -> Subscription:
        """Call about every ``interval_s`` seconds, first after one interval."""
        return self._schedule(interval_s, Subscription(callback, interval_s))

    def _schedule(self, delay_s: float, sub: Subscription) -> Subscription:
        heappush(self._heap, (monotonic() + delay_s, next(self._sequence), sub))
        return sub

    def _pop_due(self, now: float) -> Iterator[Subscription]:
        while self._heap and self._heap[0][0] - self._heap[0][2].early_s <= now:
            _, _, sub = heappop(self._heap)
            if sub.is_active:
                yield sub

    def _call(self, sub: Subscription) -> None:
        # An exception in one subscriber must not keep others from being called:
        # one failing request would delay the deadlines of all others.
        try:
            sub.callback()
        except Exception as exc:
            log(Event.INTERNAL, error=repr(exc))
            log_exception(exc, "timer subscriber raised an exception")

    @handler("generate_events", channel="*", priority=1)
    def _on_generate_events(self, event) -> None:
        for sub in list(self._pop_due(monotonic())):
            self._call(sub)
            if sub.interval_s is not None and sub.is_active:
                self._schedule(sub.interval_s, sub)
        # Do not let the poller sleep while events of subscribers are queued.
        if len(self.root):
            event.reduce_time_left(0)
        if self._heap:
            event.reduce_time_left(max(0.0, self._heap[0][0] - monotonic()))
