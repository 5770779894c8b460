"""Runs requests on endpoints and passes the answers to the callers."""

from typing import Protocol

from greengageflow.core.actions import MAX_STORED_BODY_BYTES
from greengageflow.daemon.flight import Flight
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

    def on_progress(self, flight: Flight, pieces: int) -> None:
        """Handle pieces that were passed on to the caller."""

    def on_run_end(self, flight: Flight, end: RunEnd) -> None:
        """Handle the end of the run; called last."""


class _EngineAnswer:
    """Streams one engine's answer to the caller, with backpressure."""

    def __init__(self, flight: Flight, listener: RunListener) -> None:
        self._flight = flight
        self._listener = listener

    def on_pieces(self, pieces: list[Piece]) -> None:
        """Pass pieces on, and pause the engine's answer when the caller is slow."""
        flight = self._flight
        reply = flight.call.reply
        if not reply.streaming:
            reply.start_stream((("X-Request-Id", flight.wire_id),))
        raw = b"".join(piece.raw for piece in pieces)
        reply.piece(raw)
        flight.pieces += len(pieces)
        if flight.protected and len(flight.streamed_body) <= MAX_STORED_BODY_BYTES:
            flight.streamed_body += raw
        self._listener.on_progress(flight, len(pieces))
        if reply.blocked:
            reply.on_drain = flight.run.resume
            flight.run.pause()

    def on_end(self, end: EngineEnd) -> None:
        """Report the end of the run."""
        self._listener.on_run_end(self._flight, end)


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

    def start(self, flight: Flight, traceparent: str, listener: RunListener) -> None:
        """Send the request of ``flight`` to its endpoint."""
        match flight.call:
            case ChatCall():
                self._start_chat(flight, flight.call, traceparent, listener)
            case ServiceCall():
                self._start_service(flight, flight.call, traceparent, listener)

    def _start_chat(
        self,
        flight: Flight,
        call: ChatCall,
        traceparent: str,
        listener: RunListener,
    ) -> None:
        endpoint = flight.endpoint
        flight.streamed_body.clear()
        request = EngineRequest(
            endpoint.host,
            endpoint.port,
            flight.wire_id,
            call.body,
            traceparent,
            call.idempotency_key,
            endpoint.resumes,
            connect_timeout_s=self._connect_timeout_s,
            not_after=_not_after(flight),
            may_send_again=listener.take_retry,
        )
        run = EngineCall(
            self._pool, self._timers, request, _EngineAnswer(flight, listener)
        )
        flight.run = run
        run.start()

    def _start_service(
        self,
        flight: Flight,
        call: ServiceCall,
        traceparent: str,
        listener: RunListener,
    ) -> None:
        endpoint = flight.endpoint
        request = ServiceRequest(
            endpoint.host,
            endpoint.port,
            call.method,
            call.target,
            flight.wire_id,
            call.headers,
            call.body,
            traceparent,
            call.idempotency_key,
            protected=flight.protected,
            connect_timeout_s=self._connect_timeout_s,
            not_after=_not_after(flight),
            may_send_again=listener.take_retry,
        )

        def on_end(end: ServiceEnd) -> None:
            listener.on_run_end(flight, end)

        flight.run = call_service(self._pool, request, on_end)

    @staticmethod
    def finish_answer(flight: Flight, end: Completed) -> None:
        """Send the caller the end of a complete answer."""
        reply = flight.call.reply
        if flight.call.stream:
            reply.end_stream()
        else:
            headers = (("Content-Type", JSON_TYPE), ("X-Request-Id", flight.wire_id))
            reply.raw(200, headers, end.body)

    @staticmethod
    def stored_answer(flight: Flight, end: Completed) -> tuple[str, bytes]:
        """Return the content type and body to store for replays of the request."""
        if flight.call.stream:
            return STREAM_TYPE, bytes(flight.streamed_body) + STREAM_END
        return JSON_TYPE, end.body


def _not_after(flight: Flight) -> float | None:
    # A process that is frozen while connecting may resume after the deadline, when its
    # caller has been answered; the pool checks this limit before the first byte.
    return flight.deadline if flight.protected else None
