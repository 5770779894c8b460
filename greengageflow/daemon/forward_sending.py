"""Time-outs, connection reuse and event deduplication of forwarded requests."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from math import inf

from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.routes import RetryPolicy
from greengageflow.daemon.forward_context import ForwardContext, Phase
from greengageflow.net.event_frames import Frame
from greengageflow.net.http_messages import Failure, HttpRequest, Verification
from greengageflow.platform.reports import StartVerifications

MIN_ATTEMPT_S = 0.05
"""Minimum time before the deadline that allows another attempt, in seconds."""
CONNECT_TIMEOUT_S = 0.4
"""Connect time-out, in seconds."""
REUSE_MAX_IDLE_S = 1.0
"""Maximum idle time of a connection reused for a run-once request, in seconds."""
VERIFICATION_TIMEOUT_S = 1.0
"""Time without progress after which an endpoint's start counts as unverifiable, in
seconds."""
STALL_TIMEOUT_S = 1.5
"""Time without an event after which a stream counts as stalled, in seconds."""
CONFIRMATION_TIMEOUT_S = 1.5
"""Time that another endpoint has to send events after a stream's end, in seconds.

Callers give a stream up that pauses for longer than about two seconds.
"""


OnOtherStart = Callable[[ListedEndpoint], None]


def with_limits(
    request: HttpRequest,
    ctx: ForwardContext,
    now: float,
    verification: Verification | None,
) -> HttpRequest:
    """Return a request with the time-outs and connection reuse allowed for it."""
    reuse_s = inf if ctx.repeatable else REUSE_MAX_IDLE_S
    return replace(
        request,
        verification=verification,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        idle_timeout_s=max(MIN_ATTEMPT_S, ctx.deadline - now),
        retry_stale=False,
        reuse_s=0.0 if ctx.stale_retry_endpoint else reuse_s,
        first_sent_at=ctx.first_sent_at,
    )


def start_check(
    ctx: ForwardContext,
    verifications: StartVerifications,
    on_other_start: OnOtherStart,
    *,
    now: float,
    states_starts: bool,
    is_engine: bool,
) -> Verification | None:
    """Return what verifies the endpoint's start, for a stream that may be resumed.

    Its version is known by the start that began it, and it goes on only at a start that
    is verified. Where no endpoint states a start time, each start has an id of its own,
    which the request names.
    """
    if not states_starts or ctx.route.retry_policy is not RetryPolicy.RESUME:
        return None
    return verifications.verification(
        ctx.choice.endpoint,
        on_other_start,
        now=now,
        is_engine=is_engine,
        required=ctx.phase is Phase.STREAMING or ctx.resumes_stream,
        timeout_s=VERIFICATION_TIMEOUT_S,
    )


def with_stale_retry(ctx: ForwardContext, failure: Failure) -> Failure:
    """Return a failure that counts as sent if a stale retry sent the request before."""
    sent_before = ctx.stale_retry_endpoint == ctx.attempt.endpoint.id
    return replace(failure, sent=failure.sent or sent_before)


def new_events(ctx: ForwardContext, frames: Iterable[Frame]) -> Iterable[bytes]:
    """Yield the events that the caller has not received; update the position."""
    for frame in frames:
        if frame.event_id is not None:
            if ctx.last_event is not None and frame.event_id <= ctx.last_event:
                continue
            ctx.last_event = frame.event_id
            ctx.is_position_known = True
        elif frame.is_event:
            ctx.is_position_known = False
        ctx.pieces += 1
        yield frame.raw


def is_confirmation_overdue(ctx: ForwardContext, now: float) -> bool:
    """Whether an endpoint asked for events after a stream's end has not answered."""
    if ctx.unconfirmed_end is None or ctx.end_check is not None:
        return False
    return now - ctx.last_progress_at > CONFIRMATION_TIMEOUT_S


def is_stalled(ctx: ForwardContext, now: float) -> bool:
    """Whether a stream that may be resumed elsewhere is stalled.

    An engine whose host is lost resets no connections: its streams would stall until
    their deadline, and the callers would disconnect.
    """
    if ctx.route.retry_policy is not RetryPolicy.RESUME or ctx.attempt is None:
        return False
    if ctx.end_check is not None or ctx.unconfirmed_end is not None:
        return False
    if ctx.runs + 1 >= ctx.route.attempts or ctx.reply.blocked:
        return False
    return now - ctx.last_progress_at > STALL_TIMEOUT_S
