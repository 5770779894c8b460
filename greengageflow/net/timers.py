"""The timer service that every part of a process subscribes to."""

from collections.abc import Callable, Iterator
from heapq import heappop, heappush
from itertools import count
from time import monotonic

from circuits import BaseComponent, handler
from loguru import logger

from greengageflow.events import Event, log

EARLY_PART = 0.1
"""Part of its interval by which a repeated call may come early.

Most turns of an idle router's loop are repeated calls. Those that nearly coincide
share a turn from then on.
"""


class Subscription:
    """One timer; call ``cancel`` to end it."""

    __slots__ = ("call", "early_s", "interval_s", "live")

    def __init__(self, call: Callable[[], None], interval_s: float | None) -> None:
        self.call = call
        self.interval_s = interval_s
        self.early_s = EARLY_PART * (interval_s or 0.0)
        self.live = True

    def cancel(self) -> None:
        """Stop calling the subscriber."""
        self.live = False


class Timers(BaseComponent):
    """Calls subscribers when their time has come, on the circuits loop.

    Example:
        >>> timers = Timers().register(app)
        >>> timers.every(1.0, send_heartbeat)
        >>> timers.after(0.2, give_up).cancel()
    """

    channel = "timers"

    def __init__(self) -> None:
        super().__init__()
        self._heap: list[tuple[float, int, Subscription]] = []
        self._order = count()

    @property
    def now(self) -> float:
        """Monotonic time in seconds, the clock of all parts."""
        return monotonic()

    def after(self, delay_s: float, call: Callable[[], None]) -> Subscription:
        """Call once after ``delay_s`` seconds."""
        return self._push(delay_s, Subscription(call, None))

    def every(self, interval_s: float, call: Callable[[], None]) -> Subscription:
        """Call about every ``interval_s`` seconds, first after one interval."""
        return self._push(interval_s, Subscription(call, interval_s))

    def _push(self, delay_s: float, sub: Subscription) -> Subscription:
        heappush(self._heap, (monotonic() + delay_s, next(self._order), sub))
        return sub

    def _due(self, now: float) -> Iterator[Subscription]:
        while self._heap and self._heap[0][0] - self._heap[0][2].early_s <= now:
            _, _, sub = heappop(self._heap)
            if sub.live:
                yield sub

    def _call(self, sub: Subscription) -> None:
        # One subscriber's fault must not take the others' turn: a request that
        # cannot be ended would hold up the deadlines of all.
        try:
            sub.call()
        except Exception as exc:
            log(Event.INTERNAL, error=repr(exc))
            logger.opt(exception=exc).error("subscriber failed")

    @handler("generate_events", channel="*", priority=1)
    def _on_generate_events(self, event) -> None:
        for sub in list(self._due(monotonic())):
            self._call(sub)
            if sub.interval_s is not None and sub.live:
                self._push(sub.interval_s, sub)
        # What subscribers fired waits in the queue; the poller would sleep on it.
        if len(self.root):
            event.reduce_time_left(0)
        if self._heap:
            event.reduce_time_left(max(0.0, self._heap[0][0] - monotonic()))
