"""State of a forwarded request from its arrival to its answer."""

from dataclasses import dataclass, field
from enum import Enum, StrEnum, auto

from greengageflow.core.endpoint_choice import Choice
from greengageflow.core.fingerprint import RequestIdentity
from greengageflow.core.forward_request import ForwardRequest
from greengageflow.core.routes import RetryPolicy, Route
from greengageflow.daemon.end_check import EndCheck
from greengageflow.net.endpoint_attempt import EndpointAttempt
from greengageflow.net.forward_calls import ForwardCall
from greengageflow.net.reply import Reply
from greengageflow.net.timers import Subscription


class Phase(Enum):
    """Stage of a request."""

    QUEUED = auto()
    SENT = auto()
    STREAMING = auto()


class EndProof(StrEnum):
    """What shows that an answer is complete."""

    FRAMING = "framing"
    """Its length, or its last chunk."""
    CONFIRMED = "confirmed"
    """Another endpoint that was asked for more events had none."""
    NONE = "none"
    """Nothing: it ended with its connection, and its endpoint is alive."""


@dataclass(frozen=True, slots=True)
class UnconfirmedEnd:
    """Unproven end of a stream whose endpoint is alive.

    Args:
        attempt: Attempt that ended so.
        run_began_at: Time of its first event, or None.
        ended_at: Time of the end.
    """

    attempt: EndpointAttempt
    run_began_at: float | None
    ended_at: float


@dataclass(slots=True, eq=False)
class ForwardContext:
    """State of one forwarded request in flight.

    Args:
        id: Id in this process.
        call: The call; as long as it is referenced, its ``id()`` is not reused.
        req: The request.
        reply: Receives the answer.
        route: Route that matched the request.
        account: Client account of the request's key, or empty.
        service: Service that runs the request.
        arrived_at: Time of arrival.
        deadline: Time by which the final answer is due.
        identity: Identifies the request when its caller sends it again, and its parts.
        allowed_zones: Zones whose endpoints may run the request, or None for all.

    Attributes:
        choice: Endpoint choice of the latest attempt, or None.
        may_have_arrived: True if an endpoint may have received the request, even if it
            did not run it.
        version: Software version that began the stream, or ``UNPROVEN_VERSION``; empty
            before its first event.
        stale_retry_endpoint: Endpoint at which the request was retried because a kept
            connection had ended, or empty.
        restarted: Endpoints at whose address another start answered this request.
        run_began_at: Time of the first event of the current attempt, or None.
        last_events: Last events of a complete stream, which its end is sent with.
        last_event: Id of the last event that the caller received, or None.
        is_position_known: False if the caller received an event without a numeric id
            after ``last_event``, so that the stream can't be resumed.
        end_check: Check of the endpoint whose answer has just ended, or None.
        unconfirmed_end: End of the stream at a live endpoint, while another one
            is asked for events after it or the endpoint is checked again, or None. Its
            run is not counted in ``runs`` yet.
        end_proof: What shows that the answer is complete, once it has ended.
        run_is_sound: The current attempt has run for so long that it crashed nothing.
    """

    id: str
    call: ForwardCall
    req: ForwardRequest
    reply: Reply
    route: Route
    account: str
    service: str
    arrived_at: float
    deadline: float
    identity: RequestIdentity
    allowed_zones: frozenset[str] | None = None
    phase: Phase = Phase.QUEUED
    attempt: EndpointAttempt | None = None
    choice: Choice | None = None
    may_have_arrived: bool = False
    version: str = ""
    stale_retry_endpoint: str = ""
    runs: int = 0
    attempt_count: int = 0
    may_have_run: bool = False
    avoid: set[str] = field(default_factory=set)
    restarted: set[str] = field(default_factory=set)
    pieces: int = 0
    predicted_wait_s: float = 0.0
    first_sent_at: float = 0.0
    first_event_at: float | None = None
    run_began_at: float | None = None
    run_is_sound: bool = False
    last_event: int | None = None
    is_position_known: bool = True
    last_events: bytes = b""
    last_progress_at: float = 0.0
    longest_pause_s: float = 0.0
    timer: Subscription | None = None
    end_check: EndCheck | None = None
    unconfirmed_end: UnconfirmedEnd | None = None
    end_proof: EndProof = EndProof.FRAMING

    @property
    def repeatable(self) -> bool:
        """Whether the request may run again after an endpoint may have run it."""
        return self.route.retry_policy is not RetryPolicy.ONCE

    @property
    def resumes_stream(self) -> bool:
        """Whether the caller takes up a stream that another request began."""
        is_resumable = self.route.retry_policy is RetryPolicy.RESUME
        return is_resumable and self.req.last_event is not None

    @property
    def stream_request(self) -> str:
        """Id of the request that began the stream which this one takes up."""
        return self.req.resumes or self.req.id

    @property
    def position(self) -> tuple[int | None, bool]:
        """Id of the last event that the caller received, and whether it is known."""
        return self.last_event, self.is_position_known

    @property
    def has_runs_left(self) -> bool:
        """Whether the route allows one more run."""
        runs = self.runs + (self.unconfirmed_end is not None)
        return runs < self.route.attempts
