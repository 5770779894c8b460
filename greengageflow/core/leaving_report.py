"""Messages between hosts about endpoints that are leaving."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeavingEndpoint:
    """An endpoint's announcement, in an answer, that it is leaving.

    Args:
        endpoint: Endpoint id.
        born: Its start time, in Unix milliseconds; 0 if not given.
    """

    endpoint: str
    born: int


@dataclass(frozen=True, slots=True)
class LeavingReport:
    """A message to other hosts with the announcements of endpoints."""

    endpoints: tuple[LeavingEndpoint, ...]
