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

REFUSED_STATUSES = (429, 503)
EXIT_MARGIN_S = 2.0


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

    def __init__(self, generator: "LoadGenerator", row: CallRow) -> None:
        self.row = row
        self._generator = generator

    def on_head(self, head: Head) -> None:
        self.row.status = head.status
        self.row.retry_after = float(head.header(RETRY_AFTER, "0"))

    def on_data(self, data: bytes) -> None:
        if self.row.first is None:
            self.row.first = self._generator.now

    def on_end(self) -> None:
        self.row.whole = True
        self._generator.on_attempt_end(self.row)

    def on_failure(self, failure: Failure) -> None:
        self._generator.on_attempt_end(self.row)


class LoadGenerator(BaseComponent):
    """Sends the planned requests and stops after the last deadline has passed."""

    def __init__(self, plan: CallPlan) -> None:
        super().__init__()
        EPoll().register(self)
        self.rows: list[CallRow] = []
        self._timers = Timers().register(self)
        self._pool = HttpPool(self._timers, max_idle=512).register(self)
        self._plan = plan
        self._random = Random(plan.seed)
        self._sequence = count()
        self._arrivals = plan.arrivals(Random(plan.seed))

    @property
    def now(self) -> float:
        """Seconds from the start of the plan."""
        return monotonic() - self._plan.start

    @handler("started", channel="*")
    def _on_started(self, *_args: object) -> None:
        self._schedule_next_arrival()
        longest_s = self._plan.seconds + self._plan.deadline_ms / 1000 + EXIT_MARGIN_S
        self._timers.after(longest_s - self.now, self.stop)

    def _schedule_next_arrival(self) -> None:
        due = next(self._arrivals, None)
        if due is not None:
            self._timers.after(due - self.now, lambda: self._on_arrival(due))

    def _on_arrival(self, due: float) -> None:
        self._send_request(due, again=False)
        self._schedule_next_arrival()

    def _send_request(self, due: float, *, again: bool) -> None:
        plan = self._plan
        number = next(self._sequence)
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

    def on_attempt_end(self, row: CallRow) -> None:
        """Record the end of an attempt and schedule one retry after a refusal."""
        row.ended = self.now
        if not self._plan.prompt:
            row.first = row.ended
        if row.status in REFUSED_STATUSES and not row.again:
            due = row.ended + row.retry_after
            if due < self._plan.seconds:
                self._timers.after(
                    row.retry_after, lambda: self._send_request(due, again=True)
                )


def main() -> None:
    """Read the plan file, send its requests and write the rows file."""
    plan_fields: dict[str, Any] = json.loads(Path(sys.argv[1]).read_text())
    plan_fields["addresses"] = [tuple(address) for address in plan_fields["addresses"]]
    generator = LoadGenerator(CallPlan(**plan_fields))
    generator.run()
    Path(sys.argv[2]).write_text(json.dumps([asdict(row) for row in generator.rows]))


if __name__ == "__main__":
    main()
