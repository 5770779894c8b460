"""Limits of callers' connections and the interfaces that a connection uses."""

from dataclasses import dataclass
from typing import Any, Protocol

from greengageflow.errors import ErrorKind, RouterError
from greengageflow.net.calls import CallerRequest


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a caller's connection.

    Args:
        body_bytes: Maximum size of a request body, in bytes.
        header_bytes: Maximum size of request line and headers, in bytes.
        header_s: Maximum seconds from a request's first byte to the end of its
            headers.
        body_s: Maximum seconds from the end of the headers to the last byte.
        keep_alive_s: Maximum idle seconds between requests; 0 closes each connection
            after its current answer.
        write_s: Maximum seconds during which the caller reads nothing of its answer.
        linger_s: Maximum seconds to wait for the caller's close after ours.
        high_water_bytes: Unsent bytes above which a stream should pause.
        low_water_bytes: Unsent bytes at which a paused stream resumes.
        pipelined_bytes: Maximum bytes buffered of pipelined requests during an answer.
        close_after_answer: Close after each answer, with ``Connection: close``.
    """

    body_bytes: int = 1_048_576
    header_bytes: int = 16_384
    header_s: float = 10.0
    body_s: float = 10.0
    keep_alive_s: float = 75.0
    write_s: float = 30.0
    linger_s: float = 2.0
    high_water_bytes: int = 262_144
    low_water_bytes: int = 65_536
    pipelined_bytes: int = 65_536
    close_after_answer: bool = False


class BodyBudget:
    """Limits the total size of bodies that are held at the same time.

    Args:
        limit: Maximum bytes at once.
    """

    def __init__(self, limit: int) -> None:
        self.used = 0
        self._limit = limit

    def reserve(self, size: int) -> None:
        """Reserve ``size`` bytes.

        Raises:
            RouterError: The budget is exhausted.
        """
        if self.used + size > self._limit:
            raise RouterError(ErrorKind.QUEUE_FULL, "too many large bodies at once")
        self.used += size

    def release(self, size: int) -> None:
        """Release ``size`` bytes."""
        self.used -= size


class Link(Protocol):
    """Socket operations that a connection needs."""

    def send(self, data: bytes) -> None:
        """Send ``data``, or queue it."""

    def finish(self) -> None:
        """Close after all queued data is sent."""

    def drop(self) -> None:
        """Close immediately."""

    def set_reset_on_close(self, enabled: bool) -> None:
        """Set whether any close resets the connection, except after ``finish``."""

    def set_reading(self, enabled: bool) -> None:
        """Resume or pause reading from the socket."""


class Handler(Protocol):
    """Handles the calls of a connection."""

    def on_call(self, call: Any) -> None:
        """Handle a call."""

    def on_caller_disconnect(self, call: Any) -> None:
        """Handle the disconnect of a caller whose call is unanswered."""


class CallInterface(Protocol):
    """The callers' API: its paths and methods, and the calls in its requests."""

    def allowed_methods(self, path: str) -> frozenset[str]:
        """Return the methods allowed for ``path``; empty for an unknown path."""

    def check_target(self, method: str, path: str) -> None:
        """Reject an unsupported path or method before the body is read.

        Raises:
            RouterError: The path is unknown, or the method not allowed for it.
        """

    def parse_call(self, request: CallerRequest, reply: Any) -> Any:
        """Parse a request into a call.

        Raises:
            RouterError: The request is not valid; the message names the field.
        """

    def retry_after(self, seconds: float) -> str:
        """Return the ``Retry-After`` header value for a delay in seconds."""


class RequestGate(Protocol):
    """Decides which requests an overloaded host rejects unread."""

    @property
    def may_shed(self) -> bool:
        """Whether requests may currently be rejected."""

    @property
    def retry_after_s(self) -> float:
        """Retry delay of rejected callers, in seconds."""

    def should_shed(self, data: bytes) -> bool:
        """Return whether to reject a request that begins with ``data``."""


class AdmitAllGate:
    """Admits every request."""

    may_shed = False
    retry_after_s = 0.0

    def should_shed(self, _data: bytes) -> bool:
        """Return False: the request is read."""
        return False
