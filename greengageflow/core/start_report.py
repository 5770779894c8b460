"""Messages between hosts about the start times that endpoints state."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartTimesReport:
    """Message to other hosts: an endpoint stated a start time that no entry has."""
