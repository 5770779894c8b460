"""Entries of the platform's host list."""

from dataclasses import dataclass
from enum import StrEnum


class HostKind(StrEnum):
    """What runs on a host."""

    ROUTER = "router"
    ENDPOINT = "endpoint"


class HostState(StrEnum):
    """State of a host in the host list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One entry of the host list.

    Args:
        host: Host name; for an endpoint its name in the configuration.
        kind: What runs on the host.
        state: Whether the host is live or leaving.
        ip: IP address.
        port: TCP port; for a router that of its peer listener.
        zone: Availability zone.
    """

    host: str
    kind: HostKind
    state: HostState
    ip: str
    port: int
    zone: str
