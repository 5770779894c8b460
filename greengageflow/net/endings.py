"""How a request to an endpoint ended."""

from dataclasses import dataclass

from greengageflow.errors import Ran
from greengageflow.net._pieces import Usage


@dataclass(frozen=True, slots=True)
class Completed:
    """The whole answer was received.

    Args:
        usage: Tokens; None when the engine named none.
        seconds: Time from sending to the end.
        body: The answer when it was not streamed, else empty.
    """

    usage: Usage | None
    seconds: float
    body: bytes = b""

    ran = Ran.YES


@dataclass(frozen=True, slots=True)
class Refused:
    """The engine answered that it does not run the request.

    Args:
        status: HTTP status code.
        message: What the engine said, shortened.
        retry_after_s: When to come back in seconds, if the engine said so.
    """

    status: int
    message: str
    retry_after_s: float | None = None

    ran = Ran.NO


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No byte of the request left."""

    message: str

    ran = Ran.NO


@dataclass(frozen=True, slots=True)
class Cut:
    """The answer ended early and could not be resumed.

    Args:
        message: What happened.
        ran: ``YES`` once a piece was received, else ``UNKNOWN``.
        lost: The connection ended, or there was none to go on with.
    """

    message: str
    ran: Ran = Ran.UNKNOWN
    lost: bool = False


EngineEnd = Completed | Refused | Unreachable | Cut
