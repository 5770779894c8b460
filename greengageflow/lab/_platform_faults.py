"""Faults and request records of the fake platform replica."""

from dataclasses import dataclass, field, replace
from hashlib import sha256
from time import monotonic
from typing import Any

from greengageflow.lab._platform_batch import Job
from greengageflow.lab.platform_http import Call
from greengageflow.net.timers import Subscription
from greengageflow.platform.names import DEADLINE_MS, LAST_EVENT_ID, REQUEST_ID, TENANT

CLOSE = "close"
RESET = "reset"
EXIT = "exit"
EARLY = "early"
AT_ONCE = "at_once"
LATE = "late"
REJECTION = "rejection"

FIRST = "first"
RESUMED = "resumed"

WAITING = "waiting"
RUNNING = "running"


@dataclass(frozen=True, slots=True)
class ReplicaFaults:
    """Faults of a replica; all off by default.

    Args:
        lose: Execute the request, then ``close`` or ``reset`` the connection without
            a response.
        cut_after: Send this many events of a stream, cut the next one and close. Any
            number closes a plain response after half of its body.
        exit_after: End the process after this many events of a stream, between two
            events.
        close_after: Close the connection in order after this many events of a stream
            and go on serving other requests; 0 closes it after the head.
        goes_on: The run of a stream that ``close_after`` has closed stays in reports.
        exit_after_close_s: End the process this many seconds after ``close_after`` has
            closed a stream.
        hang_after: Send this many events of a stream, then nothing.
        extra: Send a second response with a foreign request id, ``at_once`` or
            ``late``, or a late ``rejection`` without an id.
        extra_s: Delay of a late second response in seconds.
        unframed: Send a response without a length. ``close`` ends it by closing the
            connection, ``early`` closes it after half of the body, ``reset`` resets it
            there, and ``exit`` ends the process there. ``fail`` sets its status.
        report_delay_s: Delay of reports in seconds.
        padding: Number of spaces behind the body of a plain response.
        early: Respond as soon as the head has arrived, then read the body.
        hang: Start the request and never respond.
        fail: Respond with this status after executing the request, without a statement
            that it was not executed; 0 for none.
        grey: Respond with 500 to every ``grey``-th completed request; 0 for none.
        spoil: Send bytes that are not HTTP.
        refuse: Refuse connections.
        health: Status that the health check returns; 0 for the actual one.
        says_leaving: Announce in each response that the replica is leaving, although
            its entry in the store doesn't say so.
        backoff_s: Refuse requests and ask for a backoff of this many seconds.
        repeat: Send each refusal a second time when the next request arrives on its
            connection.
        shed: Refuse all but every ``shed``-th request; 0 for none.
        times: Number of requests to affect; negative for all.
        path: Affect only requests whose path starts with this.
        via: Affect only requests whose path contains this.
        runs: Affect only the ``first`` run of a stream or only ``resumed`` ones; empty
            for both.
    """

    lose: str = ""
    cut_after: int | None = None
    exit_after: int | None = None
    close_after: int | None = None
    goes_on: bool = False
    exit_after_close_s: float | None = None
    hang_after: int | None = None
    extra: str = ""
    extra_s: float = 0.5
    unframed: str = ""
    report_delay_s: float = 0.0
    padding: int = 0
    early: bool = False
    hang: bool = False
    fail: int = 0
    grey: int = 0
    spoil: bool = False
    refuse: bool = False
    health: int = 0
    says_leaving: bool = False
    backoff_s: float = 0.0
    repeat: bool = False
    shed: int = 0
    times: int = -1
    path: str = ""
    via: str = ""
    runs: str = ""

    def applies_to(self, call: Call) -> bool:
        """Whether the faults apply to a request."""
        path_matches = call.path.startswith(self.path) and self.via in call.path
        run = RESUMED if LAST_EVENT_ID in call.headers else FIRST
        return self.times != 0 and path_matches and self.runs in ("", run)

    def after_use(self) -> "ReplicaFaults":
        """Return the faults that are left after one request was affected."""
        return replace(self, times=self.times - 1) if self.times > 0 else self


@dataclass(slots=True, eq=False)
class Run:
    """Record of one request; times are monotonic seconds of the host.

    Args:
        outcome: ``waiting``, ``running``, ``done``, ``cancelled``, ``deadline``,
            ``cut``, ``crashed``, or the status of a refusal such as ``503`` (not
            executed).
        started: Start of execution; None if it was never executed.
        backoff_s: Backoff that its refusal asked for, in seconds.
    """

    call: Call
    arrived: float = field(default_factory=monotonic)
    started: float | None = None
    ended: float | None = None
    outcome: str = WAITING
    backoff_s: float = 0.0

    @property
    def id(self) -> str:
        """Id of the request; empty if it has none."""
        return self.call.headers.get(REQUEST_ID, "")

    @property
    def body_sha256(self) -> str:
        """SHA-256 digest of the body received so far."""
        return sha256(self.call.body).hexdigest()

    def end(self, outcome: str) -> None:
        """Record the outcome and the time; later calls have no effect."""
        if self.ended is None:
            self.outcome, self.ended = outcome, monotonic()

    @property
    def row(self) -> dict[str, Any]:
        """The record as the control call ``GET /runs`` returns it."""
        call = self.call
        header = call.headers.get
        return {
            "id": self.id,
            "method": call.method,
            "target": call.target,
            "headers": call.headers,
            "source": call.conn.ip,
            "tenant": header(TENANT),
            "deadline_ms": header(DEADLINE_MS),
            "last_event_id": header(LAST_EVENT_ID),
            "arrived": self.arrived,
            "begun": self.started,
            "ended": self.ended,
            "outcome": self.outcome,
            "backoff_s": self.backoff_s,
            "cancelled": self.outcome == "cancelled",
            "body_bytes": len(call.body),
            "body_sha256": self.body_sha256,
        }


@dataclass(slots=True, eq=False)
class Work:
    """An accepted request; ``events`` counts the stream events sent."""

    call: Call
    run: Run
    faults: ReplicaFaults
    seal: str
    job: Job | None = None
    events: int = 0
    head_sent: bool = False
    timers: list[Subscription] = field(default_factory=list)
