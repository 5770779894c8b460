"""One chat request to a model engine, streamed or whole.

An answer is complete only when its end was seen: for a stream a finish reason and
then ``[DONE]``, for a whole answer one JSON object with the request's own id.
"""

import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from time import monotonic
from typing import Any, Protocol

from greengageflow.errors import Ran
from greengageflow.net._pieces import (
    Piece,
    PieceCheck,
    StreamBroken,
    Usage,
    parse_usage,
)
from greengageflow.net._sse import EventStream, EventTooLarge
from greengageflow.net.endings import Completed, Cut, EngineEnd, Refused, Unreachable
from greengageflow.net.http_messages import retry_after_s, says_leaving
from greengageflow.net.http_pool import (
    Exchange,
    Failure,
    FailureKind,
    Head,
    HttpPool,
    HttpRequest,
    Response,
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
WHOLE_LIMIT = 8 * 1_048_576
REFUSAL_LIMIT = 16_384
RESUME_DELAY_S = 0.05

BUSY_STATUSES = frozenset({429, 503})
NOT_RUN_STATUSES = frozenset({400, 401, 403, 404, 405, 413, 415, 422, 429, 431, 503})
"""Statuses by which an engine says that it did not begin the request. 409 is left
out: an engine may mean that it has run the same key before."""


class EngineListener(Protocol):
    """Gets the pieces of a streamed answer, then exactly one end."""

    def on_pieces(self, pieces: list[Piece]) -> None:
        """Take the pieces that one read brought, in order."""

    def on_end(self, end: EngineEnd) -> None:
        """Note how the request ended; last call."""


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """What to send to which engine.

    Args:
        ip: IP number of the engine.
        port: TCP port of the engine.
        request_id: Id that every piece of the answer must carry.
        body: JSON object of the caller; its ``stream`` decides the form.
        traceparent: W3C trace context, or empty.
        idempotency_key: Passed on when set; the request is then sent at most once.
        resumes: True when the engine can resume a cut stream.
        connect_timeout_s: Longest time for connecting, in seconds.
        idle_timeout_s: Longest time without a byte, in seconds.
        resume_tries: Most resumptions in a row that bring no new piece.
        not_after: Monotonic time after which it must not be sent, or None.
        may_send_again: Asked before it is sent again on a new connection.
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
    may_send_again: Callable[[], bool] | None = None

    @property
    def stream(self) -> bool:
        """True when the answer is streamed."""
        return self.body.get("stream") is True


class EngineCall:
    """One request to an engine; a receiver of ``HttpPool``.

    Args:
        pool: Sends the request.
        timers: Timer service, for the wait before resuming.
        request: What to send.
        listener: Gets pieces and the end.

    Attributes:
        leaving: The engine said in an answer that it leaves.
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
        self._check = PieceCheck(request.request_id)
        self._events = EventStream()
        self._exchange: Exchange | None = None
        self._wait: Subscription | None = None
        self._started_at = monotonic()
        self._head: Head | None = None
        self._refusal = bytearray()
        self._fruitless = 0
        self._paused = False
        self._ended = False

    @property
    def pieces(self) -> int:
        """Pieces received so far."""
        return self._check.expected

    @property
    def dropped(self) -> int:
        """Pieces left out: of other requests, or seen before."""
        return self._check.foreign + self._check.repeated

    @property
    def seconds(self) -> float:
        """Time since the call was started."""
        return monotonic() - self._started_at

    def start(self) -> None:
        """Send the request."""
        if self.request.stream:
            self._open()
        else:
            request = self._http_request()
            self._exchange = self._pool.fetch(request, self._on_whole, WHOLE_LIMIT)

    def pause(self) -> None:
        """Stop taking pieces until ``resume``."""
        if self._ended:
            return
        self._paused = True
        if self._exchange is not None:
            self._exchange.pause()

    def resume(self) -> None:
        """Take pieces again."""
        self._paused = False
        if self._exchange is not None:
            self._exchange.resume()

    def cancel(self) -> None:
        """Give the request up; the listener hears nothing more."""
        if self._ended:
            return
        self._ended = True
        self._stop()
        # An engine that keeps a cut stream for a resumption would work on.
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
        if self._wait is not None:
            self._wait.cancel()
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
            yield "X-Resume-From", str(self._check.expected)

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
            may_send_again=request.may_send_again,
            not_after=None if self.resumed else request.not_after,
        )

    def _open(self) -> None:
        self._wait = None
        self._head = None
        self._events = EventStream()
        self._exchange = self._pool.open(self._http_request(), self)
        if self._paused:
            self._exchange.pause()

    # Whole answers.

    def _on_whole(self, outcome: Response | Failure) -> None:
        if isinstance(outcome, Response):
            self.leaving = says_leaving(outcome)
        match outcome:
            case Failure(sent=False, message=message):
                self._end(Unreachable(message))
            case Failure(message=message):
                self._end(Cut(message, lost=outcome.lost))
            case Response(status=200, body=body):
                self._end(self._whole(body))
            case Response(status=status, body=body):
                retry_after = outcome.header("retry-after")
                self._end(self._refused(status, body, retry_after))

    def _whole(self, body: bytes) -> EngineEnd:
        try:
            document = json.loads(body)
        except ValueError:
            return Cut("the answer is not whole JSON")
        match document:
            case {"id": self.request.request_id, "choices": [_, *_]}:
                return Completed(parse_usage(document.get("usage")), self.seconds, body)
            case {"id": self.request.request_id}:
                return Cut("the answer has no choices")
        return Cut("the answer belongs to another request")

    def _refused(self, status: int, body: bytes, retry_after: str) -> EngineEnd:
        text = body[:200].decode("utf-8", "replace")
        message = f"engine answered {status}: {text}"
        if self._check.expected:
            return Cut(message, Ran.YES)
        if self.resumed or status not in NOT_RUN_STATUSES:
            return Cut(message)
        return Refused(status, message, retry_after_s(retry_after) or None)

    # Streamed answers: methods of ``http_pool.Receiver``.

    def on_head(self, head: Head) -> None:
        """Take status and headers."""
        self._head = head
        self.leaving = self.leaving or says_leaving(head)

    def on_data(self, data: bytes) -> None:
        """Check the pieces in ``data`` and pass them on together."""
        if self._head.status != 200:
            self._refusal += data[: REFUSAL_LIMIT - len(self._refusal)]
            return
        problem = None
        pieces = []
        try:
            for piece in self._check.pieces(self._events.feed(data)):
                pieces.append(piece)
        except (StreamBroken, EventTooLarge) as exc:
            problem = str(exc)
        if pieces:
            self._pass_on(pieces)
        if problem is not None:
            self._cut(problem)
        elif self._check.done:
            self._finish()

    def _pass_on(self, pieces: list[Piece]) -> None:
        if self.first_piece_s is None:
            self.first_piece_s = self.seconds
        self._fruitless = 0
        self._listener.on_pieces(pieces)

    def _finish(self) -> None:
        if self._check.finished:
            # Read on to the end of the HTTP answer, so that the connection can be
            # used again, also when the caller is slow.
            self._exchange.resume()
            self._end(Completed(self._check.usage, self.seconds))
        else:
            self._check.done = False
            self._cut("the end mark came before the last piece")

    def on_end(self) -> None:
        """Note that the HTTP answer is whole, which a stream may not be."""
        status = self._head.status
        if status == 200:
            self._cut("the stream ended before its end mark")
        elif self.resumed and status in BUSY_STATUSES:
            self._cut(f"engine answered {status} to a resumption")
        else:
            retry_after = self._head.header("retry-after")
            self._end(self._refused(status, bytes(self._refusal), retry_after))

    def on_failure(self, failure: Failure) -> None:
        """Resume a cut stream, or report how far it came."""
        if not failure.sent and not self.resumed:
            self._end(Unreachable(failure.message))
        else:
            no_way = failure.kind in (FailureKind.CUT, FailureKind.CONNECT)
            self._cut(failure.message, lost=no_way)

    # Resuming.

    def _cut(self, message: str, *, lost: bool = False) -> None:
        if self._ended:
            return
        self._stop()
        if self.request.resumes and self._fruitless < self.request.resume_tries:
            delay_s = RESUME_DELAY_S * 2**self._fruitless
            self._fruitless += 1
            self.resumed += 1
            self._wait = self._timers.after(delay_s, self._open)
        else:
            ran = Ran.YES if self._check.expected else Ran.UNKNOWN
            self._end(Cut(message, ran, lost))
