"""Faults and records of the platform replica's fake."""

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
AT_ONCE = "at_once"
LATE = "late"

WAITING = "waiting"
RUNNING = "running"


@dataclass(frozen=True, slots=True)
class ReplicaFaults:
    """Faults of a replica; all off by default.

    Args:
        lose: ``close`` or ``reset``: run, then end the connection unanswered.
        cut_after: Stream: tear the event after this many, then close; plain answer:
            any number closes it after half of its body.
        extra: ``at_once`` or ``late``: a second answer, of another request.
        extra_s: Seconds after which a late second answer comes.
        unframed: ``close``: an answer without length that ends with the connection;
            ``reset``: one that is reset after half of its body.
        early: Answer when the head has come, read the body on.
        hang: Run and never answer.
        grey: Every that many-th run ends with a 500; 0 for none.
        spoil: Send bytes that are no answer.
        refuse: Refuse connections.
        health: Status of the health check, whatever is true; 0: the true one.
        says_leaving: Say in each answer that it leaves, though the list does not.
        backoff_s: Turn each request away and ask for so many seconds of backoff.
        shed: Turn away all but every that many-th request; 0 for none.
        times: Requests to hit; negative for all.
        path: Only requests whose path begins so.
        via: Only requests whose path has this in it.
    """

    lose: str = ""
    cut_after: int | None = None
    extra: str = ""
    extra_s: float = 0.5
    unframed: str = ""
    early: bool = False
    hang: bool = False
    grey: int = 0
    spoil: bool = False
    refuse: bool = False
    health: int = 0
    says_leaving: bool = False
    backoff_s: float = 0.0
    shed: int = 0
    times: int = -1
    path: str = ""
    via: str = ""

    def concern(self, call: Call) -> bool:
        """Whether a request is hit."""
        here = call.path.startswith(self.path) and self.via in call.path
        return self.times != 0 and here

    def used(self) -> "ReplicaFaults":
        """Return the faults after one request was hit."""
        return replace(self, times=self.times - 1) if self.times > 0 else self


@dataclass(slots=True, eq=False)
class Run:
    """What became of one request; times are monotonic seconds of the machine.

    Args:
        outcome: ``waiting``, ``running``, ``done``, ``cancelled``, ``deadline``,
            or the status of a refusal (``503`` and such: never run), or ``crashed``.
        begun: When it began to run; None if it never did.
        backoff_s: Seconds of backoff that its refusal asked for.
    """

    call: Call
    arrived: float = field(default_factory=monotonic)
    begun: float | None = None
    ended: float | None = None
    outcome: str = WAITING
    backoff_s: float = 0.0

    @property
    def id(self) -> str:
        """Id of the request; empty without one."""
        return self.call.headers.get(REQUEST_ID, "")

    @property
    def body_sha256(self) -> str:
        """Digest of the body as far as it has come."""
        return sha256(self.call.body).hexdigest()

    def end(self, outcome: str) -> None:
        """Note the end; only the first one counts."""
        if self.ended is None:
            self.outcome, self.ended = outcome, monotonic()

    @property
    def row(self) -> dict[str, Any]:
        """The record as tests get it."""
        call = self.call
        header = call.headers.get
        return {
            "id": self.id,
            "method": call.method,
            "target": call.target,
            "headers": call.headers,
            "source": call.wire.ip,
            "tenant": header(TENANT),
            "deadline_ms": header(DEADLINE_MS),
            "last_event_id": header(LAST_EVENT_ID),
            "arrived": self.arrived,
            "begun": self.begun,
            "ended": self.ended,
            "outcome": self.outcome,
            "backoff_s": self.backoff_s,
            "cancelled": self.outcome == "cancelled",
            "body_bytes": len(call.body),
            "body_sha256": self.body_sha256,
        }


@dataclass(slots=True, eq=False)
class Work:
    """A request that was taken; ``events`` counts the stream events sent."""

    call: Call
    run: Run
    faults: ReplicaFaults
    seal: str
    job: Job | None = None
    events: int = 0
    head_sent: bool = False
    timers: list[Subscription] = field(default_factory=list)
