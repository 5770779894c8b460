"""One attempt to send a request to an endpoint."""

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.errors import RouterError
from greengageflow.net._caller_parts import BodyBudget
from greengageflow.net._http_parse import Framing
from greengageflow.net.endpoint_response import ResponseInfo
from greengageflow.net.event_frames import EventFrames, Frame, InvalidEvents
from greengageflow.net.http_messages import Failure, FailureKind, Head, HttpRequest
from greengageflow.net.http_pool import Exchange, HttpPool

MAX_RESPONSE_BYTES = 8 * 1_048_576
UNRESERVED_RESPONSE_BYTES = 65_536
"""Bytes of each response that need no reservation, so that small ones never fail."""
MAX_RESERVED_BYTES = 4 * MAX_RESPONSE_BYTES
"""Bytes beyond these of all responses together that a host buffers."""


class AttemptListener(Protocol):
    """Callbacks of an attempt.

    The last call is exactly one ``on_answer``, ``on_end`` or ``on_failure``.
    """

    def on_head(self, attempt: "EndpointAttempt") -> None:
        """Handle the start of a response."""

    def on_events(self, attempt: "EndpointAttempt", frames: list[Frame]) -> None:
        """Handle events of a successful stream."""

    def on_answer(self, attempt: "EndpointAttempt", body: bytes) -> None:
        """Handle a complete response that is not streamed."""

    def on_end(self, attempt: "EndpointAttempt") -> None:
        """Handle the regular end of a stream."""

    def on_failure(self, attempt: "EndpointAttempt", failure: Failure) -> None:
        """Handle a failure; the response is incomplete or missing."""


class EndpointAttempt:
    """Sends a request to one endpoint; a receiver of ``HttpPool``.

    Args:
        pool: Sends the request.
        request: Request to send.
        endpoint: Endpoint to send it to.
        evaluate: Evaluates a response head with respect to this request.
        stream: True if a successful response is a stream of events.
        resumes_after: Id of the event after which that stream is to go on, or None.
        listener: Notified of the response.
        budget: Limits the buffered bytes of all responses that are not streamed; None
            for a budget of its own.

    Attributes:
        events: Number of events received.
        at_last_events: During ``on_events``, whether the stream is complete with these
            events; ``on_end`` follows at once.
        verified_start: Start of the endpoint that the response is proven to come from,
            or empty.
        framing: What delimited the body of a response that has ended, else None.
    """

    def __init__(
        self,
        pool: HttpPool,
        request: HttpRequest,
        endpoint: ListedEndpoint,
        evaluate: Callable[[Head], ResponseInfo],
        *,
        stream: bool,
        resumes_after: int | None = None,
        listener: AttemptListener,
        budget: BodyBudget | None = None,
    ) -> None:
        self.endpoint = endpoint
        self.head: Head | None = None
        self.response_info: ResponseInfo | None = None
        self.events = 0
        self.at_last_events = False
        self.verified_start = ""
        self.framing: Framing | None = None
        self._pool = pool
        self._evaluate = evaluate
        self._stream = stream
        self._resumes_after = resumes_after
        self._listener = listener
        self._budget = budget or BodyBudget(MAX_RESERVED_BYTES)
        self._reserved_bytes = 0
        self._frames: EventFrames | None = None
        self._body = bytearray()
        self._exchange: Exchange | None = None
        self._request = request

    @property
    def is_end_proven(self) -> bool:
        """Whether the framing of the response shows that it is complete."""
        return self.framing is not Framing.CLOSE

    @property
    def until_close(self) -> bool:
        """Whether the end of the connection delimits the body of the response."""
        return self.head is not None and self.head.framing is Framing.CLOSE

    @property
    def needs_end_check(self) -> bool:
        """Whether the endpoint must be asked if the response is complete.

        Until ``cancel``, the memory of its body stays reserved.
        """
        return not (self.is_end_proven or self.response_info.not_run)

    def start(self) -> None:
        """Send the request."""
        request = replace(self._request, accepts=self._accepts, until_close=True)
        self._exchange = self._pool.open(request, self)

    def cancel(self) -> None:
        """Cancel the request by closing the connection, and release its memory."""
        exchange = self._detach_exchange()
        self._release_memory()
        if exchange is not None:
            exchange.cancel()

    def _detach_exchange(self) -> Exchange | None:
        # The exchange refers to this attempt. Without this, both would stay in memory
        # with the request until a garbage collection.
        exchange, self._exchange = self._exchange, None
        return exchange

    def _release_memory(self) -> None:
        self._budget.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def pause(self) -> None:
        """Stop reading until ``resume``."""
        if self._exchange is not None:
            self._exchange.pause()

    def resume(self) -> None:
        """Continue reading after ``pause``."""
        if self._exchange is not None:
            self._exchange.resume()

    def _accepts(self, head: Head) -> bool:
        """Evaluate a head; return whether it belongs to this request."""
        self.response_info = self._evaluate(head)
        return self.response_info.belongs_to_request

    @property
    def is_start_proven(self) -> bool:
        """Whether the response comes from the listed start of the endpoint.

        Where the list states no start times, each start has an id of its own, which the
        request names.
        """
        return not self.endpoint.born or self.verified_start == self.endpoint.start

    # Methods of ``http_pool.Receiver``.

    def on_head(self, head: Head) -> None:
        """Handle status and headers."""
        self.head = head
        self.verified_start = self._exchange.verified_start
        if self._stream and self.response_info.is_forwardable:
            self._frames = EventFrames(self._resumes_after)
        self._listener.on_head(self)

    def on_data(self, data: bytes) -> None:
        """Handle part of the body."""
        if self._frames is None:
            self._body += data
            if len(self._body) > MAX_RESPONSE_BYTES:
                self._fail("response too large")
            elif not self._reserve():
                self._fail("too many large responses at once")
            return
        try:
            frames = list(self._frames.feed(data))
        except InvalidEvents as exc:
            self._fail(str(exc))
            return
        if frames:
            self.events += len(frames)
            is_whole = not self._frames.has_unfinished_event
            self.at_last_events = self._exchange.at_last_data and is_whole
            self._listener.on_events(self, frames)

    def _reserve(self) -> bool:
        more = len(self._body) - UNRESERVED_RESPONSE_BYTES - self._reserved_bytes
        if more <= 0:
            return True
        try:
            self._budget.reserve(more)
        except RouterError:
            return False
        self._reserved_bytes += more
        return True

    def _fail(self, message: str) -> None:
        self.cancel()
        self._listener.on_failure(self, Failure(FailureKind.BROKEN, True, message))

    def on_end(self) -> None:
        """Handle the end of the response."""
        self.framing = self._exchange.framing
        self._detach_exchange()
        if not self.needs_end_check:
            self._release_memory()
        if self._frames is None:
            body, self._body = bytes(self._body), bytearray()
            self._listener.on_answer(self, body)
        elif self._frames.has_unfinished_event:
            self._on_cut("stream ended in the middle of an event")
        elif self._frames.ends_too_early:
            self._on_cut("stream ended before the event to go on after")
        else:
            self._listener.on_end(self)

    def _on_cut(self, message: str) -> None:
        self._listener.on_failure(self, Failure(FailureKind.CUT, True, message))

    def on_failure(self, failure: Failure) -> None:
        """Handle a failure; the response is incomplete or missing."""
        self._detach_exchange()
        self._release_memory()
        self._listener.on_failure(self, failure)
