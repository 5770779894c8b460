"""Effects that the core requests from its environment.

The core performs no I/O: its methods take the current time and an input, and yield
effects, which ``router`` executes. A method that yields must be iterated to the end;
otherwise it does nothing.
"""

from dataclasses import dataclass
from typing import Any

from greengageflow.errors import ErrorKind, Ran


@dataclass(frozen=True, slots=True)
class Send:
    """Send ``message`` (one of ``messages``) to the router on host ``to``."""

    to: str
    message: Any


@dataclass(frozen=True, slots=True)
class Connect:
    """Set the address for messages to the router on ``host``.

    Args:
        host: Host name.
        ip: IP address for peer connections.
        port: TCP port for peer connections.
    """

    host: str
    ip: str
    port: int


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Discard queued messages to the router on ``host``, which is down."""

    host: str


@dataclass(frozen=True, slots=True)
class Start:
    """Send a waiting request to its endpoint now.

    Args:
        request: Id of the request.
        endpoint: Endpoint whose slot was granted.
        grant: Id of the grant.
    """

    request: str
    endpoint: str
    grant: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer a waiting request with an error.

    Args:
        request: Id of the request.
        kind: Error kind of the answer.
        message: What happened.
        retry_after_s: Seconds after which to retry; None for the default of ``kind``.
        ran: Whether the request ran; None for the default of ``kind``.
    """

    request: str
    kind: ErrorKind
    message: str
    retry_after_s: float | None = None
    ran: Ran | None = None


@dataclass(frozen=True, slots=True)
class AppendRecords:
    """Append ``records`` (JSON values) to ``stream`` of the log in one append."""

    stream: str
    records: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class ReadRecords:
    """Read ``stream`` of the log from ``from_offset``, without waiting."""

    stream: str
    from_offset: int


@dataclass(frozen=True, slots=True)
class MayRun:
    """Send the protected action ``request``, which is the first with its key."""

    request: str


@dataclass(frozen=True, slots=True)
class Replay:
    """Answer ``request`` with the recorded answer of an earlier attempt."""

    request: str
    status: int
    content_type: str
    body: bytes


Effect = (
    Send
    | Connect
    | Disconnect
    | Start
    | Refuse
    | AppendRecords
    | ReadRecords
    | MayRun
    | Replay
)
