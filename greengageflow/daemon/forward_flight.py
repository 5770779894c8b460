"""A forwarded request from its arrival to its answer."""

from dataclasses import dataclass, field
from enum import Enum, auto

from greengageflow.core.endpoint_choice import Choice
from greengageflow.core.forward_request import ForwardRequest
from greengageflow.core.quarantine import Fingerprint
from greengageflow.core.routes import RetryPolicy, Route
from greengageflow.net.endpoint_attempt import EndpointAttempt
from greengageflow.net.reply import Reply
from greengageflow.net.timers import Subscription


class Phase(Enum):
    """Where a request stands."""

    QUEUED = auto()
    SENT = auto()
    STREAMING = auto()


@dataclass(slots=True, eq=False)
class ForwardFlight:
    """What is known of one request.

    Args:
        id: Its id in this process.
        call_key: Identity of the call that it answers.
        req: The request.
        reply: Takes the answer.
        route: Its route.
        account: Client account of its key, or empty.
        service: Service that runs it.
        arrived: Time at which it came.
        deadline: Time by which it gets its final answer.
        fingerprint: Tells it from other requests when it comes again.

    Attributes:
        choice: Where it was sent last, or None.
        may_have_arrived: An endpoint may have got it, whether it ran it or not.
        stale_retry_at: Endpoint that got it again since a kept connection had ended.
        run_began_at: Time of the first event of the endpoint that has it now, or None.
    """

    id: str
    call_key: int
    req: ForwardRequest
    reply: Reply
    route: Route
    account: str
    service: str
    arrived: float
    deadline: float
    fingerprint: Fingerprint
    phase: Phase = Phase.QUEUED
    attempt: EndpointAttempt | None = None
    choice: Choice | None = None
    may_have_arrived: bool = False
    stale_retry_at: str = ""
    runs: int = 0
    sendings: int = 0
    may_have_run: bool = False
    avoid: set[str] = field(default_factory=set)
    pieces: int = 0
    predicted_s: float = 0.0
    first_sent_at: float = 0.0
    first_event_at: float | None = None
    run_began_at: float | None = None
    last_event: int | None = None
    moved_at: float = 0.0
    longest_pause_s: float = 0.0
    timer: Subscription | None = None

    @property
    def repeatable(self) -> bool:
        """Whether another endpoint may run it although one may have."""
        return self.route.retry_policy is not RetryPolicy.ONCE

    @property
    def runs_left(self) -> bool:
        """Whether one more endpoint may run it."""
        return self.runs < self.route.attempts
