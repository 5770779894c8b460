"""Runs requests on endpoints and passes the answers to the callers."""

from typing import Protocol

from greengageflow.core.actions import MAX_STORED_BODY_BYTES
from greengageflow.daemon.request_context import RequestContext
from greengageflow.net.callers import ChatCall, ServiceCall
from greengageflow.net.engine_client import (
    Completed,
    EngineCall,
    EngineEnd,
    EngineRequest,
    Piece,
)
from greengageflow.net.http_pool import HttpPool
from greengageflow.net.reply import JSON_TYPE, STREAM_END
from greengageflow.net.service_client import ServiceEnd, ServiceRequest, call_service
from greengageflow.net.timers import Timers

RunEnd = EngineEnd | ServiceEnd
STREAM_TYPE = "text/event-stream"


class RunListener(Protocol):
    """Receives the events of a run."""

    def take_retry(self) -> bool:
        """Return whether a request may be retried; a retry is charged to the budget."""

    def on_progress(self, ctx: RequestContext, pieces: int) -> None:
        """Handle pieces that were passed on to the caller."""

    def on_run_end(self, ctx: RequestContext, end: RunEnd) -> None:
        """Handle the end of the run; called last."""


class _EngineAnswer:
    """Streams one engine's answer to the caller, with backpressure."""

    def __init__(self, ctx: RequestContext, listener: RunListener) -> None:
        self._ctx = ctx
        self._listener = listener

    def on_pieces(self, pieces: list[Piece]) -> None:
        """Pass pieces on, and pause the engine's answer when the caller is slow."""
        ctx = self._ctx
        reply = ctx.call.reply
        if not reply.streaming:
            reply.start_stream((("X-Request-Id", ctx.wire_id),))
        raw = b"".join(piece.raw for piece in pieces)
        reply.send_chunk(raw)
        ctx.pieces += len(pieces)
        if ctx.protected and len(ctx.streamed_body) <= MAX_STORED_BODY_BYTES:
            ctx.streamed_body += raw
        self._listener.on_progress(ctx, len(pieces))
        if reply.blocked:
            reply.on_drain = ctx.run.resume
            ctx.run.pause()

    def on_end(self, end: EngineEnd) -> None:
        """Report the end of the run."""
        self._listener.on_run_end(self._ctx, end)


class EndpointRuns:
    """Starts requests on their endpoints.

    Args:
        pool: Outbound connections.
        timers: Timer service.
        connect_timeout_s: Connect time-out, in seconds.
    """

    def __init__(
        self, pool: HttpPool, timers: Timers, *, connect_timeout_s: float = 1.0
    ) -> None:
        self._pool = pool
        self._timers = timers
        self._connect_timeout_s = connect_timeout_s

    def start(
        self, ctx: RequestContext, traceparent: str, listener: RunListener
    ) -> None:
        """Send the request of ``ctx`` to its endpoint."""
        match ctx.call:
            case ChatCall():
                self._start_chat(ctx, ctx.call, traceparent, listener)
            case ServiceCall():
                self._start_service(ctx, ctx.call, traceparent, listener)

    def _start_chat(
        self,
        ctx: RequestContext,
        call: ChatCall,
        traceparent: str,
        listener: RunListener,
    ) -> None:
        endpoint = ctx.endpoint
        ctx.streamed_body.clear()
        request = EngineRequest(
            endpoint.host,
            endpoint.port,
            ctx.wire_id,
            call.body,
            traceparent,
            call.idempotency_key,
            endpoint.resumes,
            connect_timeout_s=self._connect_timeout_s,
            not_after=_not_after(ctx),
            may_retry=listener.take_retry,
        )
        run = EngineCall(
            self._pool, self._timers, request, _EngineAnswer(ctx, listener)
        )
        ctx.run = run
        run.start()

    def _start_service(
        self,
        ctx: RequestContext,
        call: ServiceCall,
        traceparent: str,
        listener: RunListener,
    ) -> None:
        endpoint = ctx.endpoint
        request = ServiceRequest(
            endpoint.host,
            endpoint.port,
            call.method,
            call.target,
            ctx.wire_id,
            call.headers,
            call.body,
            traceparent,
            call.idempotency_key,
            protected=ctx.protected,
            connect_timeout_s=self._connect_timeout_s,
            not_after=_not_after(ctx),
            may_retry=listener.take_retry,
        )

        def on_end(end: ServiceEnd) -> None:
            listener.on_run_end(ctx, end)

        ctx.run = call_service(self._pool, request, on_end)

    @staticmethod
    def finish_answer(ctx: RequestContext, end: Completed) -> None:
        """Send the caller the end of a complete answer."""
        reply = ctx.call.reply
        if ctx.call.stream:
            reply.end_stream()
        else:
            headers = (("Content-Type", JSON_TYPE), ("X-Request-Id", ctx.wire_id))
            reply.raw(200, headers, end.body)

    @staticmethod
    def stored_answer(ctx: RequestContext, end: Completed) -> tuple[str, bytes]:
        """Return the content type and body to store for replays of the request."""
        if ctx.call.stream:
            return STREAM_TYPE, bytes(ctx.streamed_body) + STREAM_END
        return JSON_TYPE, end.body


def _not_after(ctx: RequestContext) -> float | None:
    # A process that is frozen while connecting may resume after the deadline, when its
    # caller has been answered; the pool checks this limit before the first byte.
    return ctx.deadline if ctx.protected else None
