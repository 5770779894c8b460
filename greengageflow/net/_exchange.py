"""One outbound request and its answer under way, as ``http_pool`` hands it out."""

from collections.abc import Callable
from time import monotonic

from greengageflow.net._http_conn import Connection
from greengageflow.net._http_parse import Head
from greengageflow.net.http_messages import (
    Failure,
    FailureKind,
    HttpRequest,
    Receiver,
    Response,
)


class Exchange:
    """One request and its answer under way.

    Args:
        request: What is sent.
        receiver: Gets the answer as it arrives.
        on_paused: Called when reading is to stop or go on.
        on_cancel: Called to close the connection.
    """

    def __init__(
        self,
        request: HttpRequest,
        receiver: Receiver,
        *,
        on_paused: Callable[["Exchange"], None],
        on_cancel: Callable[["Exchange"], None],
    ) -> None:
        self.request = request
        self.receiver = receiver
        self.conn: Connection | None = None
        self.paused = False
        self.live = True
        self.sent_before = False
        self.moved_at = monotonic()
        self._on_paused = on_paused
        self._on_cancel = on_cancel

    @property
    def limit_s(self) -> float:
        """Seconds without progress after which the exchange fails."""
        if self.conn is not None and self.conn.connected:
            return self.request.idle_timeout_s
        return self.request.connect_timeout_s

    @property
    def too_late(self) -> bool:
        """Whether the first byte has not left and must not leave any more."""
        # A process that was frozen while it connected wakes in the middle of it.
        limit = self.request.not_after
        unsent = self.conn is not None and not self.conn.sent_any
        return limit is not None and unsent and monotonic() >= limit

    def pause(self) -> None:
        """Stop reading, so that the sender comes to wait."""
        if self.live and not self.paused:
            self.paused = True
            self._on_paused(self)

    def resume(self) -> None:
        """Read again after ``pause``."""
        if self.live and self.paused:
            self.paused = False
            self.moved_at = monotonic()
            self._on_paused(self)

    def cancel(self) -> None:
        """Close the connection; the receiver hears nothing more."""
        if self.live:
            self.live = False
            self._on_cancel(self)


class Collector:
    """Receiver that gathers a whole answer.

    Args:
        on_done: Gets the answer, or why there is none.
        limit: Most bytes of the body; more is a failure.

    Attributes:
        exchange: Cancelled when the body is too large; set by whoever opens it.
    """

    def __init__(
        self, on_done: Callable[[Response | Failure], None], limit: int
    ) -> None:
        self.exchange: Exchange | None = None
        self._on_done = on_done
        self._limit = limit
        self._head = Head(0, ())
        self._body = bytearray()

    def on_head(self, head: Head) -> None:
        """Take status and headers."""
        self._head = head

    def on_data(self, data: bytes) -> None:
        """Take a part of the body."""
        self._body += data
        if len(self._body) > self._limit and self.exchange is not None:
            self.exchange.cancel()
            message = f"answer larger than {self._limit} bytes"
            self._on_done(Failure(FailureKind.BROKEN, True, message))

    def on_end(self) -> None:
        """Hand over the whole answer."""
        head = self._head
        self._on_done(Response(head.status, head.headers, bytes(self._body)))

    def on_failure(self, failure: Failure) -> None:
        """Hand over why there is no answer."""
        self._on_done(failure)
