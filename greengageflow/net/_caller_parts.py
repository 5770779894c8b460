"""Bounds of callers' connections, and what a connection needs around it."""

from dataclasses import dataclass
from typing import Any, Protocol

from greengageflow.errors import ErrorKind, RouterError
from greengageflow.net.calls import CallerRequest


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of a caller's connection.

    Args:
        body: Largest request body, in bytes.
        headers: Largest request line with headers, in bytes.
        request_s: Longest time from a request's first byte to the end of its head.
        body_s: Longest time from there to its last byte.
        keep_alive_s: Longest time between requests; 0 ends each connection with
            the answer under way.
        write_s: Longest time in which the caller reads nothing of its answer.
        linger_s: Longest wait for the caller's close after ours.
        high_water: Unsent bytes from which a stream should pause.
        low_water: Unsent bytes below which it goes on.
        ahead: Most bytes read of requests behind the one being answered.
        last_answer: Each answer ends its connection, and says so.
    """

    body: int = 1_048_576
    headers: int = 16_384
    request_s: float = 10.0
    body_s: float = 10.0
    keep_alive_s: float = 75.0
    write_s: float = 30.0
    linger_s: float = 2.0
    high_water: int = 262_144
    low_water: int = 65_536
    ahead: int = 65_536
    last_answer: bool = False


class BodyBudget:
    """Bounds the bodies under way on all connections together.

    Args:
        limit: Most bytes at once.
    """

    def __init__(self, limit: int) -> None:
        self.used = 0
        self._limit = limit

    def take(self, size: int) -> None:
        """Count ``size`` more bytes.

        Raises:
            RouterError: There is no room now.
        """
        if self.used + size > self._limit:
            raise RouterError(ErrorKind.QUEUE_FULL, "too many large bodies at once")
        self.used += size

    def give(self, size: int) -> None:
        """Count ``size`` bytes less."""
        self.used -= size


class Link(Protocol):
    """The socket below a connection."""

    def send(self, data: bytes) -> None:
        """Send or queue ``data``."""

    def finish(self) -> None:
        """Close once everything queued was sent."""

    def drop(self) -> None:
        """Close at once."""

    def read_on(self, wanted: bool) -> None:
        """Read from the socket, or leave what arrives there."""


class Handler(Protocol):
    """What the connection asks of the program."""

    def on_call(self, call: Any) -> None:
        """Take a call."""

    def on_gone(self, call: Any) -> None:
        """Note that the caller of an unanswered call is gone."""


class CallInterface(Protocol):
    """How callers speak: which requests there are, and the calls in them."""

    def allowed_methods(self, path: str) -> frozenset[str]:
        """Return the methods that ``path`` takes; none for an unknown path."""

    def check_target(self, method: str, path: str) -> None:
        """Refuse a path or method that cannot be answered, before the body is read.

        Raises:
            RouterError: Unknown path, or a method that the path does not take.
        """

    def parse_call(self, request: CallerRequest, reply: Any) -> Any:
        """Return the call in a request.

        Raises:
            RouterError: The request is not valid; the message names the field.
        """

    def retry_after(self, seconds: float) -> str:
        """Return the header's value for a time to come back."""


class RequestGate(Protocol):
    """Says which requests a host that is late does not read."""

    @property
    def is_closing(self) -> bool:
        """Whether some may be turned away now."""

    def turns_away(self, data: bytes) -> bool:
        """Return whether a request that begins with ``data`` is not read."""


class OpenGate:
    """Turns nothing away."""

    is_closing = False

    def turns_away(self, _data: bytes) -> bool:
        """Return False."""
        return False
