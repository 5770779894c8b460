"""Outcomes of a request to an endpoint."""

from dataclasses import dataclass

from greengageflow.errors import Ran
from greengageflow.net._pieces import Usage


@dataclass(frozen=True, slots=True)
class Completed:
    """The complete response was received.

    Args:
        usage: Token counts; None if the engine reported none.
        seconds: Time from sending to the end, in seconds.
        body: Body of the response; empty if it was streamed.
    """

    usage: Usage | None
    seconds: float
    body: bytes = b""

    ran = Ran.YES


@dataclass(frozen=True, slots=True)
class Refused:
    """The engine rejected the request without running it.

    Args:
        status: HTTP status code.
        message: Error of the engine, shortened.
        retry_after_s: Delay before a retry in seconds, if the engine gave one.
    """

    status: int
    message: str
    retry_after_s: float | None = None

    ran = Ran.NO


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No byte of the request was sent."""

    message: str

    ran = Ran.NO


@dataclass(frozen=True, slots=True)
class Cut:
    """The response was truncated or invalid and could not be resumed.

    Args:
        message: Description of the failure.
        ran: ``YES`` if a piece was received, else ``UNKNOWN``.
        connection_lost: True if the connection was lost or could not be restored.
    """

    message: str
    ran: Ran = Ran.UNKNOWN
    connection_lost: bool = False


EngineEnd = Completed | Refused | Unreachable | Cut
