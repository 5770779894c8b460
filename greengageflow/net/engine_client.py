"""Client for one chat request to a model engine, streamed or not.

A response is complete only once its end was received: for a stream, a finish reason
followed by ``[DONE]``; otherwise one JSON object with the id of the request.
"""

import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from time import monotonic
from typing import Any, Protocol

from greengageflow.errors import Ran
from greengageflow.net._pieces import (
    InvalidStream,
    Piece,
    PieceFilter,
    RunRestarted,
    Usage,
    parse_usage,
)
from greengageflow.net._sse import EventStream, EventTooLarge
from greengageflow.net.http_messages import announces_shutdown, retry_after_s
from greengageflow.net.http_pool import (
    Exchange,
    Failure,
    FailureKind,
    Head,
    HttpPool,
    HttpRequest,
    Response,
)
from greengageflow.net.request_outcomes import (
    Completed,
    Cut,
    EngineEnd,
    Refused,
    Unreachable,
)
from greengageflow.net.timers import Subscription, Timers

__all__ = [
    "Completed",
    "Cut",
    "EngineCall",
    "EngineEnd",
    "EngineListener",
    "EngineRequest",
    "Piece",
    "Refused",
    "Unreachable",
    "Usage",
]

CHAT_PATH = "/v1/chat/completions"
CANCEL_PATH = "/cancel"
RELEASE_HEADER = "x-engine-release"
MAX_RESPONSE_BYTES = 8 * 1_048_576
MAX_ERROR_BODY_BYTES = 16_384
RESUME_BACKOFF_S = 0.05

BUSY_STATUSES = frozenset({429, 503})
NOT_RUN_STATUSES = frozenset({400, 401, 403, 404, 405, 413, 415, 422, 429, 431, 503})
"""Statuses that mean the engine did not run the request. 409 is not one of them: it may
mean that the engine has already run a request with the same idempotency key."""


class EngineListener(Protocol):
    """Callbacks of an ``EngineCall``.

    ``on_pieces`` is called for a streamed response only; the last call is exactly one
    ``on_end``.
    """

    def on_pieces(self, pieces: list[Piece]) -> None:
        """Handle the pieces received by one read, in order."""

    def on_end(self, end: EngineEnd) -> None:
        """Handle the outcome of the request; the last call."""


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """A chat request and the engine to send it to.

    Args:
        ip: IP address of the engine.
        port: TCP port of the engine.
        request_id: Id that every piece of the response must carry.
        body: JSON object of the caller; its ``stream`` selects a streamed response.
        traceparent: W3C trace context, or empty.
        idempotency_key: Forwarded if set; the request is then sent at most once.
        resumes: True if the engine can resume an interrupted stream.
        connect_timeout_s: Connect timeout, in seconds.
        idle_timeout_s: Maximum time without progress, in seconds.
        resume_tries: Maximum number of consecutive resumptions without a new piece.
        not_after: Monotonic time after which it must not be sent, in seconds, or
            None.
        may_retry: Called before a retry on a new connection to allow it.
    """

    ip: str
    port: int
    request_id: str
    body: dict[str, Any]
    traceparent: str = ""
    idempotency_key: str = ""
    resumes: bool = False
    connect_timeout_s: float = 2.0
    idle_timeout_s: float = 30.0
    resume_tries: int = 3
    not_after: float | None = None
    may_retry: Callable[[], bool] | None = None

    @property
    def stream(self) -> bool:
        """True if the response is streamed."""
        return self.body.get("stream") is True


class EngineCall:
    """One request to an engine; a receiver of ``HttpPool``.

    Args:
        pool: Sends the request.
        timers: Timer service, for the backoff before a resumption.
        request: Request to send.
        listener: Notified of pieces and the outcome.

    Attributes:
        first_piece_s: Time from the start to the first piece in seconds, or None.
        resumed: Number of resumptions.
        leaving: True if the engine announced in a response that it is shutting down.
    """

    def __init__(
        self,
        pool: HttpPool,
        timers: Timers,
        request: EngineRequest,
        listener: EngineListener,
    ) -> None:
        self.request = request
        self.first_piece_s: float | None = None
        self.resumed = 0
        self.leaving = False
        self._pool = pool
        self._timers = timers
        self._listener = listener
        self._filter = PieceFilter(request.request_id)
        self._events = EventStream()
        self._exchange: Exchange | None = None
        self._resume_timer: Subscription | None = None
        self._started_at = monotonic()
        self._head: Head | None = None
        self._release = ""
        self._error_body = bytearray()
        self._resumes_without_progress = 0
        self._paused = False
        self._ended = False

    @property
    def pieces(self) -> int:
        """Number of valid pieces received so far."""
        return self._filter.next_seq

    @property
    def dropped(self) -> int:
        """Number of dropped pieces: of other requests, or duplicates."""
        return self._filter.foreign + self._filter.duplicates

    @property
    def was_sent_before(self) -> bool:
        """Whether it was sent on a kept connection that ended without a response.

        The engine may have run it then, whatever it responded to the retry.
        """
        exchange = self._exchange
        return exchange is not None and exchange.sent_on_earlier_connection

    @property
    def seconds(self) -> float:
        """Seconds since the call was created."""
        return monotonic() - self._started_at

    def start(self) -> None:
        """Send the request."""
        if self.request.stream:
            self._open()
        else:
            request = self._http_request()
            self._exchange = self._pool.fetch(
                request, self._on_response, MAX_RESPONSE_BYTES
            )

    def pause(self) -> None:
        """Stop reading until ``resume``."""
        if self._ended:
            return
        self._paused = True
        if self._exchange is not None:
            self._exchange.pause()

    def resume(self) -> None:
        """Continue reading after ``pause``."""
        self._paused = False
        if self._exchange is not None:
            self._exchange.resume()

    def cancel(self) -> None:
        """Cancel the request; the listener is not called any more."""
        if self._ended:
            return
        self._ended = True
        self._stop()
        # An engine that holds an interrupted stream for resumption would keep
        # generating, so it needs an explicit cancel.
        body = json.dumps({"id": self.request.request_id}).encode()
        request = HttpRequest(
            "POST",
            self.request.ip,
            self.request.port,
            CANCEL_PATH,
            (("Content-Type", "application/json"),),
            body,
            idle_timeout_s=self.request.connect_timeout_s,
        )
        self._pool.fetch(request, lambda _outcome: None)

    def _stop(self) -> None:
        if self._resume_timer is not None:
            self._resume_timer.cancel()
        if self._exchange is not None:
            self._exchange.cancel()

    def _end(self, end: EngineEnd) -> None:
        if not self._ended:
            self._ended = True
            self._listener.on_end(end)

    # Sending.

    def _headers(self) -> Iterator[tuple[str, str]]:
        yield "Content-Type", "application/json"
        yield "X-Request-Id", self.request.request_id
        if self.request.traceparent:
            yield "traceparent", self.request.traceparent
        if self.request.idempotency_key:
            yield "Idempotency-Key", self.request.idempotency_key
        if self.resumed:
            yield "X-Resume-From", str(self._filter.next_seq)

    def _http_request(self) -> HttpRequest:
        request = self.request
        return HttpRequest(
            "POST",
            request.ip,
            request.port,
            CHAT_PATH,
            tuple(self._headers()),
            json.dumps(request.body).encode(),
            request.connect_timeout_s,
            request.idle_timeout_s,
            retry_stale=not request.idempotency_key and not self.resumed,
            keeps_rejected=False,
            may_retry=request.may_retry,
            not_after=None if self.resumed else request.not_after,
        )

    def _open(self) -> None:
        self._resume_timer = None
        self._head = None
        self._events = EventStream()
        if self.resumed:
            self._filter.on_resume()
        self._exchange = self._pool.open(self._http_request(), self)
        if self._paused:
            self._exchange.pause()

    # Responses that are not streamed.

    def _on_response(self, outcome: Response | Failure) -> None:
        if isinstance(outcome, Response):
            self.leaving = announces_shutdown(outcome)
        match outcome:
            case Failure(sent=False, message=message):
                self._end(Unreachable(message))
            case Failure(message=message):
                self._end(Cut(message, connection_lost=outcome.connection_lost))
            case Response(status=200, body=body):
                self._end(self._parse_response(body))
            case Response(status=status, body=body):
                retry_after = outcome.header("retry-after")
                self._end(self._rejection(status, body, retry_after))

    def _parse_response(self, body: bytes) -> EngineEnd:
        try:
            document = json.loads(body)
        except (ValueError, RecursionError):
            return Cut("response is not valid JSON")
        match document:
            case {"id": self.request.request_id, "choices": [_, *_]}:
                return Completed(parse_usage(document.get("usage")), self.seconds, body)
            case {"id": self.request.request_id}:
                return Cut("response has no choices")
        return Cut("response belongs to another request")

    def _rejection(self, status: int, body: bytes, retry_after: str) -> EngineEnd:
        text = body[:200].decode("utf-8", "replace")
        message = f"engine responded {status}: {text}"
        if self._filter.next_seq:
            return Cut(message, Ran.YES)
        if self.resumed or status not in NOT_RUN_STATUSES:
            return Cut(message)
        return Refused(status, message, retry_after_s(retry_after) or None)

    # Streamed responses: methods of ``http_pool.Receiver``.

    def on_head(self, head: Head) -> None:
        """Handle status and headers."""
        self._head = head
        self.leaving = self.leaving or announces_shutdown(head)
        if head.status == 200:
            self._check_release(head.header(RELEASE_HEADER))

    def _check_release(self, release: str) -> None:
        # An engine that was upgraded behind its address would continue a stream whose
        # first pieces another release wrote.
        if not self.pieces:
            self._release = release
        elif release != self._release:
            self._stop()
            text = f"engine resumed with release {release!r}, not {self._release!r}"
            self._end(Cut(text, Ran.YES))

    def on_data(self, data: bytes) -> None:
        """Validate the pieces in ``data`` and pass them on in one call."""
        if self._ended:
            return
        if self._head.status != 200:
            self._error_body += data[: MAX_ERROR_BODY_BYTES - len(self._error_body)]
            return
        error = None
        pieces = []
        try:
            for piece in self._filter.pieces(self._events.feed(data)):
                pieces.append(piece)
        except (InvalidStream, EventTooLarge) as exc:
            error = str(exc)
        except RunRestarted as exc:
            # An engine that restarted runs the request again, with another text.
            self._stop()
            self._end(Cut(str(exc), Ran.YES))
            return
        if pieces:
            self._pass_on(pieces)
        if error is not None:
            self._resume_or_fail(error)
        elif self._filter.done:
            self._finish()

    def _pass_on(self, pieces: list[Piece]) -> None:
        if self.first_piece_s is None:
            self.first_piece_s = self.seconds
        self._resumes_without_progress = 0
        self._listener.on_pieces(pieces)

    def _finish(self) -> None:
        if self._filter.finished:
            # Read to the end of the HTTP response, even if a slow caller has paused
            # the call, so that the connection can be reused.
            self._exchange.resume()
            self._end(Completed(self._filter.usage, self.seconds))
        else:
            self._filter.done = False
            self._resume_or_fail("end marker received before the last piece")

    def on_end(self) -> None:
        """Handle the end of the HTTP response.

        A stream may end here before its end marker and is then incomplete.
        """
        if self._ended:
            return
        status = self._head.status
        if status == 200:
            self._resume_or_fail("stream ended before its end marker")
        elif self.resumed and status in BUSY_STATUSES:
            self._resume_or_fail(f"engine responded {status} to a resumption")
        else:
            retry_after = self._head.header("retry-after")
            self._end(self._rejection(status, bytes(self._error_body), retry_after))

    def on_failure(self, failure: Failure) -> None:
        """Resume an interrupted stream, or report the failure."""
        if not failure.sent and not self.resumed:
            self._end(Unreachable(failure.message))
        else:
            connection_lost = failure.kind in (FailureKind.CUT, FailureKind.CONNECT)
            self._resume_or_fail(failure.message, connection_lost=connection_lost)

    # Resuming.

    def _resume_or_fail(self, message: str, *, connection_lost: bool = False) -> None:
        if self._ended:
            return
        self._stop()
        if (
            self.request.resumes
            and self._resumes_without_progress < self.request.resume_tries
        ):
            delay_s = RESUME_BACKOFF_S * 2**self._resumes_without_progress
            self._resumes_without_progress += 1
            self.resumed += 1
            self._resume_timer = self._timers.after(delay_s, self._open)
        else:
            ran = Ran.YES if self._filter.next_seq else Ran.UNKNOWN
            self._end(Cut(message, ran, connection_lost))
