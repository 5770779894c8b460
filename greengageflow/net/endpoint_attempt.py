"""One sending of a request to one endpoint."""

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.net.endpoint_answer import AnswerNote
from greengageflow.net.event_frames import EventFrames, Frame, FrameTooLarge
from greengageflow.net.http_messages import Failure, FailureKind, Head, HttpRequest
from greengageflow.net.http_pool import Exchange, HttpPool

WHOLE_LIMIT = 8 * 1_048_576


class AttemptListener(Protocol):
    """Hears of an attempt; ``on_answer``, ``on_end`` or ``on_failure`` comes last."""

    def on_head(self, attempt: "EndpointAttempt") -> None:
        """Take note of an answer that begins."""

    def on_events(self, attempt: "EndpointAttempt", frames: list[Frame]) -> None:
        """Take events of a successful stream."""

    def on_answer(self, attempt: "EndpointAttempt", body: bytes) -> None:
        """Take a whole answer that is no stream."""

    def on_end(self, attempt: "EndpointAttempt") -> None:
        """Note that a stream ended in order."""

    def on_failure(self, attempt: "EndpointAttempt", failure: Failure) -> None:
        """Note that the answer is not whole and nothing more comes."""


class EndpointAttempt:
    """A receiver of ``HttpPool`` that judges the answer of one endpoint.

    Args:
        pool: Sends the request.
        request: What to send.
        endpoint: Where it goes.
        judge: Returns what an answer's head says of this request.
        stream: A success is a stream of events.
        listener: Hears of it.
    """

    def __init__(
        self,
        pool: HttpPool,
        request: HttpRequest,
        endpoint: ListedEndpoint,
        judge: Callable[[Head], AnswerNote],
        *,
        stream: bool,
        listener: AttemptListener,
    ) -> None:
        self.endpoint = endpoint
        self.head: Head | None = None
        self.note: AnswerNote | None = None
        self.events = 0
        self._pool = pool
        self._judge = judge
        self._stream = stream
        self._listener = listener
        self._frames: EventFrames | None = None
        self._body = bytearray()
        self._exchange: Exchange | None = None
        self._request = replace(
            request, accepts=lambda head: judge(head).own, until_close=True
        )

    def start(self) -> None:
        """Send the request."""
        self._exchange = self._pool.open(self._request, self)

    def cancel(self) -> None:
        """End the endpoint's work by closing the connection."""
        if self._exchange is not None:
            self._exchange.cancel()

    def pause(self) -> None:
        """Stop reading until ``resume``."""
        if self._exchange is not None:
            self._exchange.pause()

    def resume(self) -> None:
        """Read again."""
        if self._exchange is not None:
            self._exchange.resume()

    # Receiver of the pool.

    def on_head(self, head: Head) -> None:
        """Take status and headers."""
        self.head = head
        self.note = self._judge(head)
        if self._stream and self.note.good:
            self._frames = EventFrames()
        self._listener.on_head(self)

    def on_data(self, data: bytes) -> None:
        """Take bytes of the body."""
        if self._frames is None:
            self._body += data
            if len(self._body) > WHOLE_LIMIT:
                self._break("answer too large")
            return
        try:
            frames = list(self._frames.feed(data))
        except FrameTooLarge as exc:
            self._break(str(exc))
            return
        if frames:
            self.events += len(frames)
            self._listener.on_events(self, frames)

    def _break(self, message: str) -> None:
        self.cancel()
        self._listener.on_failure(self, Failure(FailureKind.BROKEN, True, message))

    def on_end(self) -> None:
        """Note that the answer is whole."""
        if self._frames is None:
            self._listener.on_answer(self, bytes(self._body))
        elif self._frames.torn:
            failure = Failure(FailureKind.CUT, True, "ended within an event")
            self._listener.on_failure(self, failure)
        else:
            self._listener.on_end(self)

    def on_failure(self, failure: Failure) -> None:
        """Note that no more of the answer will come."""
        self._listener.on_failure(self, failure)
