"""Messages between hosts about the start times that endpoints state."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartTimesReport:
    """Message to other hosts: endpoints stated start times that no entry has.

    Args:
        services: Services of the endpoints.
    """

    services: tuple[str, ...]
