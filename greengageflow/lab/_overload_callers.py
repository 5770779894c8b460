"""Load generator of the overload experiment: ``… PLAN_FILE ROWS_FILE``.

This is an open-loop generator: requests arrive by a Poisson process, independent of
earlier answers. Latencies are measured from the time a request was due, so a slow
generator process doesn't hide queueing time.
"""

import json
import sys
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from itertools import count
from pathlib import Path
from random import Random
from time import monotonic
from typing import Any

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

from greengageflow.net.http_messages import Failure, HttpRequest
from greengageflow.net.http_pool import Head, HttpPool
from greengageflow.net.timers import Timers
from greengageflow.platform.names import (
    CREDENTIAL,
    DEADLINE_MS,
    MODEL,
    PROMPT_PREFIX,
    REQUEST_ID,
    RETRY_AFTER,
    TOKEN_COUNT,
)

REFUSED = (429, 503)
LINGER_S = 2.0


@dataclass(frozen=True, slots=True)
class CallPlan:
    """Settings of the load generator.

    Args:
        addresses: Routers, used round-robin.
        keys: API keys of the client accounts, one chosen at random per request.
        path: Request path.
        host: Value of the ``Host`` header.
        deadline_ms: Deadline sent with each request, in milliseconds.
        prompt: Prompt tokens per request; 0 for a plain request.
        wanted: Tokens to generate per request.
        phases: Length in seconds and requests per second of consecutive phases.
        start: Monotonic time of the first phase.
        seed: Seed of the random number generators.
    """

    addresses: list[tuple[str, int]]
    keys: list[str]
    path: str
    host: str
    deadline_ms: int
    prompt: int
    wanted: int
    phases: list[tuple[float, float]]
    start: float
    seed: int = 1

    def arrivals(self, random: Random) -> Iterator[float]:
        """Yield arrival times of requests, in seconds from the start."""
        begin = 0.0
        for seconds, rate in self.phases:
            now = begin + random.expovariate(rate)
            while now < begin + seconds:
                yield now
                now += random.expovariate(rate)
            begin += seconds

    @property
    def seconds(self) -> float:
        """Total length of all phases."""
        return sum(seconds for seconds, _ in self.phases)


@dataclass(slots=True)
class CallRow:
    """Result of one attempt; times are in seconds from the start of the plan.

    Args:
        id: Request id.
        again: The attempt is a retry after a refusal.
        due: Scheduled send time.
        sent: Actual send time.
        status: HTTP status of the answer; 0 if there was none.
        first: Time of the first event of a stream, or of the end of a plain answer.
        ended: Time at which the attempt ended.
        whole: The answer was received completely.
        retry_after: Value of ``Retry-After``, in seconds.
    """

    id: str
    again: bool
    due: float
    sent: float
    status: int = 0
    first: float | None = None
    ended: float | None = None
    whole: bool = False
    retry_after: float = 0.0


class _Attempt:
    """Receives the answer to one attempt."""

    def __init__(self, callers: "Callers", row: CallRow) -> None:
        self.row = row
        self._callers = callers

    def on_head(self, head: Head) -> None:
        self.row.status = head.status
        self.row.retry_after = float(head.header(RETRY_AFTER, "0"))

    def on_data(self, data: bytes) -> None:
        if self.row.first is None:
            self.row.first = self._callers.now

    def on_end(self) -> None:
        self.row.whole = True
        self._callers.ended(self.row)

    def on_failure(self, failure: Failure) -> None:
        self._callers.ended(self.row)


class Callers(BaseComponent):
    """Sends the planned requests and stops after the last deadline has passed."""

    def __init__(self, plan: CallPlan) -> None:
        super().__init__()
        EPoll().register(self)
        self.rows: list[CallRow] = []
        self._timers = Timers().register(self)
        self._pool = HttpPool(self._timers, max_idle=512).register(self)
        self._plan = plan
        self._random = Random(plan.seed)
        self._numbers = count()
        self._due = plan.arrivals(Random(plan.seed))

    @property
    def now(self) -> float:
        """Seconds from the start of the plan."""
        return monotonic() - self._plan.start

    @handler("started", channel="*")
    def _on_started(self, *_args: object) -> None:
        self._next()
        longest_s = self._plan.seconds + self._plan.deadline_ms / 1000 + LINGER_S
        self._timers.after(longest_s - self.now, self.stop)

    def _next(self) -> None:
        due = next(self._due, None)
        if due is not None:
            self._timers.after(due - self.now, lambda: self._arrive(due))

    def _arrive(self, due: float) -> None:
        self._ask(due, again=False)
        self._next()

    def _ask(self, due: float, *, again: bool) -> None:
        plan = self._plan
        number = next(self._numbers)
        row = CallRow(f"{plan.seed:08x}{number:08x}", again, due, self.now)
        self.rows.append(row)
        ip, port = plan.addresses[number % len(plan.addresses)]
        headers = {
            "Host": plan.host,
            REQUEST_ID: row.id,
            DEADLINE_MS: str(plan.deadline_ms),
            CREDENTIAL: self._random.choice(plan.keys),
        }
        if plan.prompt:
            headers |= {
                MODEL: "m",
                TOKEN_COUNT: f"{plan.prompt},{plan.wanted}",
                PROMPT_PREFIX: f"{row.id}:{plan.prompt}",
            }
        request = HttpRequest(
            "POST",
            ip,
            port,
            plan.path,
            headers=tuple(headers.items()),
            body=b"x" * 200,
            idle_timeout_s=plan.deadline_ms / 1000,
        )
        self._pool.open(request, _Attempt(self, row))

    def ended(self, row: CallRow) -> None:
        """Record the end of an attempt and schedule one retry after a refusal."""
        row.ended = self.now
        if not self._plan.prompt:
            row.first = row.ended
        if row.status in REFUSED and not row.again:
            due = row.ended + row.retry_after
            if due < self._plan.seconds:
                self._timers.after(row.retry_after, lambda: self._ask(due, again=True))


def main() -> None:
    """Read the plan file, send its requests and write the rows file."""
    given: dict[str, Any] = json.loads(Path(sys.argv[1]).read_text())
    given["addresses"] = [tuple(one) for one in given["addresses"]]
    callers = Callers(CallPlan(**given))
    callers.run()
    Path(sys.argv[2]).write_text(json.dumps([asdict(row) for row in callers.rows]))


if __name__ == "__main__":
    main()
