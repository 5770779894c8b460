"""Starts of endpoints that began streams before their software version was known.

Which version began a stream may be unknown to the host at which its caller resumes it.
The versions that were listed show it only if no stream began at a start that was not
listed. Hosts therefore record such starts at a few others, the keepers of the service,
before a caller receives the first event of a stream from there.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from greengageflow.core.version_affinity import RETENTION_S

UNKNOWN_START = ""
"""Stands for a start that no list identifies, so its version stays unknown."""
MAX_STARTS = 64
"""Maximum number of starts of one service that are distinguished."""


@dataclass(frozen=True, slots=True)
class UnprovenStart:
    """A start of unknown version that began a stream.

    Args:
        start: Identifies the start, as ``ListedEndpoint.start``; ``UNKNOWN_START`` if
            the endpoint did not state it.
        age_s: Time since a stream last began there, in seconds.
    """

    start: str
    age_s: float


@dataclass(frozen=True, slots=True)
class UnprovenStartQuery:
    """Message that reports the unproven starts of a service and asks for others.

    Args:
        ip: IP address for the answer.
        port: UDP port for the answer.
        number: Number of the query, which the answer has too.
        service: Service of the endpoints.
        starts: Starts that the sender knows.
    """

    ip: str
    port: int
    number: int
    service: str
    starts: tuple[UnprovenStart, ...]


@dataclass(frozen=True, slots=True)
class UnprovenStartReport:
    """Message that answers a query.

    Args:
        host: Host that answers.
        number: Number of the query.
        service: Service of the endpoints.
        starts: All starts that the host knows, those of the query included.
    """

    host: str
    number: int
    service: str
    starts: tuple[UnprovenStart, ...]


class UnprovenStartTable:
    """Unproven starts by service, with the time at which a stream last began there."""

    def __init__(self) -> None:
        self._began_at: dict[str, dict[str, float]] = {}

    def add(self, now: float, service: str, starts: Iterable[UnprovenStart]) -> None:
        """Add starts of a service."""
        began_at = self._began_at.setdefault(service, {})
        for row in starts:
            _put(began_at, row.start, now - row.age_s)
        for start, at in list(began_at.items()):
            if now - at >= RETENTION_S:
                del began_at[start]
        while len(began_at) > MAX_STARTS:
            oldest = min(began_at.keys() - {UNKNOWN_START}, key=began_at.__getitem__)
            _put(began_at, UNKNOWN_START, began_at.pop(oldest))
        if not began_at:
            del self._began_at[service]

    def starts(
        self, now: float, service: str, within_s: float = RETENTION_S
    ) -> tuple[UnprovenStart, ...]:
        """Return the starts at which streams of a service began within a time."""
        began_at = self._began_at.get(service, {})
        return tuple(
            UnprovenStart(start, now - at)
            for start, at in began_at.items()
            if now - at < within_s
        )

    def services(self) -> tuple[str, ...]:
        """Return the services with unproven starts."""
        return tuple(self._began_at)


def _put(began_at: dict[str, float], start: str, at: float) -> None:
    began_at[start] = max(at, began_at.get(start, at))
