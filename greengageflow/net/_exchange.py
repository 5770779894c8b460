"""In-flight requests of ``http_pool``."""

from collections.abc import Callable
from time import monotonic

from greengageflow.net._http_conn import Connection
from greengageflow.net._http_parse import Framing, Head
from greengageflow.net.http_messages import (
    Failure,
    FailureKind,
    HttpRequest,
    Receiver,
    Response,
)


class Exchange:
    """One in-flight request with its response.

    Args:
        request: Request to send.
        receiver: Receives the response as it arrives.
        on_pause_changed: Called after ``paused`` changed, to stop or restart reading.
        on_cancel: Called to close the connection.

    Attributes:
        at_last_data: During ``on_data``, whether the response is complete with this
            data; ``on_end`` follows at once.
        check: The exchange that verifies the connection for this one, or None.
        was_check_closed: Whether the server closed the connection of a check that it
            had passed.
        is_check: True if this exchange verifies its connection for another one.
        freed_conn: For a check, its connection once it can carry another request.
        framing: What delimited the body of a response that has ended, else None.
    """

    def __init__(
        self,
        request: HttpRequest,
        receiver: Receiver,
        *,
        on_pause_changed: Callable[["Exchange"], None],
        on_cancel: Callable[["Exchange"], None],
    ) -> None:
        self.request = request
        self.receiver: Receiver | None = receiver
        self.conn: Connection | None = None
        self.paused = False
        self.active = True
        self.at_last_data = False
        self.framing: Framing | None = None
        self.sent_on_earlier_connection = False
        self.check: Exchange | None = None
        self.was_check_closed = False
        self.is_check = False
        self.freed_conn: Connection | None = None
        self.last_progress_at = monotonic()
        self._on_pause_changed = on_pause_changed
        self._on_cancel = on_cancel

    @property
    def timeout_s(self) -> float:
        """Timeout without progress that applies now, in seconds."""
        if self.conn is not None and self.conn.connected:
            return self.request.idle_timeout_s
        return self.request.connect_timeout_s

    @property
    def verified_start(self) -> str:
        """Start of the endpoint that the connection is proven to lead to, or empty."""
        verdict = self.conn.verdict if self.conn is not None else None
        return verdict.verified_start if verdict is not None else ""

    @property
    def past_send_deadline(self) -> bool:
        """Whether ``not_after`` has passed without a byte having been sent."""
        # A process frozen while connecting may continue after the send deadline.
        limit = self.request.not_after
        unsent = self.conn is None or not self.conn.sent_any
        return limit is not None and unsent and monotonic() >= limit

    def pause(self) -> None:
        """Stop reading, so that TCP flow control holds the sender back."""
        if self.active and not self.paused:
            self.paused = True
            self._on_pause_changed(self)

    def resume(self) -> None:
        """Continue reading after ``pause``."""
        if self.active and self.paused:
            self.paused = False
            self.last_progress_at = monotonic()
            self._on_pause_changed(self)

    def cancel(self) -> None:
        """Close the connection; the receiver is not called any more."""
        if self.active:
            self.active = False
            self._on_cancel(self)


class Collector:
    """Receiver that buffers a complete response.

    Args:
        on_done: Called with the response or the failure.
        limit: Maximum body size in bytes; a larger body is a failure.

    Attributes:
        exchange: Exchange to cancel if the body is too large; set by the code that
            opens it.
    """

    exchange: Exchange | None = None

    def __init__(
        self, on_done: Callable[[Response | Failure], None], limit: int
    ) -> None:
        self._on_done = on_done
        self._limit = limit
        self._head = Head(0, ())
        self._body = bytearray()

    def on_head(self, head: Head) -> None:
        """Handle status and headers."""
        self._head = head

    def on_data(self, data: bytes) -> None:
        """Handle part of the body."""
        self._body += data
        if len(self._body) > self._limit and self.exchange is not None:
            self.exchange.cancel()
            message = f"response larger than {self._limit} bytes"
            self._finish(Failure(FailureKind.BROKEN, True, message))

    def on_end(self) -> None:
        """Pass on the complete response."""
        head = self._head
        self._finish(Response(head.status, head.headers, bytes(self._body)))

    def on_failure(self, failure: Failure) -> None:
        """Pass on the failure."""
        self._finish(failure)

    def _finish(self, result: Response | Failure) -> None:
        # The exchange and this receiver refer to each other. Without this, both would
        # stay in memory with the body until a garbage collection.
        if self.exchange is not None:
            self.exchange.receiver = None
        self._body = bytearray()
        self._on_done(result)
