"""How a forwarded request is sent, and what of its answer is new to the caller."""

from collections.abc import Iterable
from dataclasses import replace
from math import inf

from greengageflow.core.routes import RetryPolicy
from greengageflow.daemon.forward_flight import ForwardFlight
from greengageflow.net.event_frames import Frame
from greengageflow.net.http_messages import Failure, HttpRequest

LAST_MOMENT_S = 0.05
CONNECT_S = 0.4
REUSE_S = 1.0
STALL_S = 1.5


def bounded(request: HttpRequest, flight: ForwardFlight, now: float) -> HttpRequest:
    """Return a request with the times and connections that its flight allows."""
    reuse_s = inf if flight.repeatable else REUSE_S
    return replace(
        request,
        connect_timeout_s=CONNECT_S,
        idle_timeout_s=max(LAST_MOMENT_S, flight.deadline - now),
        retry_stale=False,
        reuse_s=0.0 if flight.stale_retry_at else reuse_s,
    )


def with_earlier(flight: ForwardFlight, failure: Failure) -> Failure:
    """Return a failure that counts what the endpoint got on a kept connection."""
    again = flight.stale_retry_at == flight.attempt.endpoint.id
    return replace(failure, sent=failure.sent or again)


def fresh(flight: ForwardFlight, frames: Iterable[Frame]) -> Iterable[bytes]:
    """Yield events that the caller has not got, and note the last one's number."""
    for frame in frames:
        if frame.event_id is not None:
            if flight.last_event is not None and frame.event_id <= flight.last_event:
                continue
            flight.last_event = frame.event_id
        flight.pieces += 1
        yield frame.raw


def stalls(flight: ForwardFlight, now: float) -> bool:
    """Whether a stream that may go on elsewhere stands still.

    An engine that went dark resets nothing: its streams would stand still up to their
    deadline, and the caller would leave.
    """
    if flight.route.retry_policy is not RetryPolicy.RESUME or flight.attempt is None:
        return False
    if flight.runs + 1 >= flight.route.attempts or flight.reply.blocked:
        return False
    return now - flight.moved_at > STALL_S
