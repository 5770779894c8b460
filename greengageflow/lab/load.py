"""Load generator of the demo and the benches.

A single-threaded event loop sends the requests of a plan to several routers. Open-loop
load has Poisson arrivals, independent of outstanding requests. Closed-loop load keeps a
fixed number of requests outstanding.
"""

from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from heapq import heappop, heappush
from itertools import count
from math import inf
from random import Random
from selectors import DefaultSelector
from time import monotonic, time

from greengageflow.lab._load_conn import Address, Exchange, LoadConnection
from greengageflow.lab._load_jobs import Job, generate_jobs
from greengageflow.lab._load_result import result_of
from greengageflow.lab.load_plan import ChatLoad, Load, LoadPlan, Result, ServiceLoad


class LoadClient:
    """Runs a load plan.

    Example:
        >>> results = LoadClient(plan).run()
        >>> verify(results, executions).faults
        ()

    Args:
        plan: Load to send.
    """

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._selector = DefaultSelector()
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._idle: dict[Address, list[LoadConnection]] = defaultdict(list)
        self._open_count = 0
        self._deadlines: deque[tuple[float, LoadConnection, Exchange]] = deque()
        self._results: list[Result] = []
        self._started_at = monotonic()
        self._stopped_at = inf
        self._unix_offset_s = time() - monotonic()

    def run(
        self, events: Iterable[tuple[float, Callable[[], None]]] = ()
    ) -> list[Result]:
        """Send all requests and return their results in order of completion.

        Args:
            events: Other actions as (seconds from the start, call); a call blocks
                the loop while it runs.
        """
        self._started_at = monotonic()
        for delay_s, event in events:
            self._call_at(self._started_at + delay_s, event)
        for number, load in enumerate(self._plan.loads):
            self._schedule_load(
                load, Random(f"{self._plan.seed}/{number}/{load.account}")
            )
        while self._open_count or self._scheduled:
            self._run_once()
        for conns in self._idle.values():
            for conn in conns:
                conn.close()
        return self._results

    def stop(self) -> None:
        """Start no more requests; ``run`` returns after the last answer.

        Thread-safe.
        """
        self._stopped_at = monotonic()

    def _call_at(self, when: float, call: Callable[[], None]) -> None:
        heappush(self._scheduled, (when, next(self._order), call))

    def _run_once(self) -> None:
        for key, mask in self._selector.select(self._poll_timeout_s()):
            # An earlier callback of this iteration may have closed this socket.
            if key.fileobj.fileno() >= 0:
                key.data(mask)
        now = monotonic()
        while self._deadlines and self._deadlines[0][0] <= now:
            _, conn, exchange = self._deadlines.popleft()
            if conn.exchange is exchange:
                conn.close("timeout")
        while self._scheduled and self._scheduled[0][0] <= monotonic():
            heappop(self._scheduled)[2]()

    def _poll_timeout_s(self) -> float | None:
        while (
            self._deadlines
            and self._deadlines[0][1].exchange is not (self._deadlines[0][2])
        ):
            self._deadlines.popleft()
        due_times = [
            queue[0][0] for queue in (self._scheduled, self._deadlines) if queue
        ]
        return max(0.0, min(due_times) - monotonic()) if due_times else None

    def _stop_time(self, load: Load) -> float:
        stop_s = self._plan.duration_s if load.stop_s is None else load.stop_s
        planned = self._started_at + min(stop_s, self._plan.duration_s)
        return min(planned, self._stopped_at)

    def _schedule_load(self, load: ChatLoad | ServiceLoad, random: Random) -> None:
        jobs = generate_jobs(self._plan, load, random)
        start = self._started_at + load.start_s
        for _ in range(load.outstanding):
            self._call_at(start, partial(self._send_next, load, jobs, start))
        if load.rate_per_s > 0:
            # Arrivals use their own random generator, so that the order of answers
            # does not affect them.
            self._schedule_arrival(load, jobs, Random(random.getrandbits(64)), start)

    def _schedule_arrival(
        self, load: Load, jobs: Iterator[Job], random: Random, last: float
    ) -> None:
        due = last + random.expovariate(load.rate_per_s)
        if due < self._stop_time(load):
            self._call_at(due, partial(self._on_arrival, load, jobs, random, due))

    def _on_arrival(
        self, load: Load, jobs: Iterator[Job], random: Random, due: float
    ) -> None:
        if due < self._stop_time(load):
            self._send(next(jobs), due, lambda _result: None)
            self._schedule_arrival(load, jobs, random, due)

    def _send_next(self, load: Load, jobs: Iterator[Job], due: float) -> None:
        if due < self._stop_time(load):
            self._send(next(jobs), due, partial(self._on_answer, load, jobs))

    def _on_answer(self, load: Load, jobs: Iterator[Job], result: Result) -> None:
        pause_s = 0.0 if result.complete else self._plan.backoff_s
        due = monotonic() + pause_s
        self._call_at(due, partial(self._send_next, load, jobs, due))

    def _send(self, job: Job, due: float, on_result: Callable[[Result], None]) -> None:
        idle = [one for one in self._idle[job.router] if one.usable]
        conn = idle.pop() if idle else LoadConnection(self._selector, job.router)
        self._idle[job.router] = idle
        self._open_count += 1
        exchange = conn.send(job.call, partial(self._on_end, conn, job, due, on_result))
        # All requests have the same timeout, so they expire in the order of sending.
        self._deadlines.append((exchange.sent + self._plan.timeout_s, conn, exchange))

    def _on_end(
        self,
        conn: LoadConnection,
        job: Job,
        due: float,
        on_result: Callable[[Result], None],
        exchange: Exchange,
    ) -> None:
        self._open_count -= 1
        if conn.usable:
            self._idle[job.router].append(conn)
        result = result_of(job, exchange, due, self._unix_offset_s)
        self._results.append(result)
        on_result(result)
