"""Estimate of the number of hosts that share fleet-wide limits."""

RETENTION_S = 3600.0
"""Seconds for which the largest number of hosts is kept."""


class FleetSize:
    """The largest number of live hosts seen lately.

    The present number is not safe to divide by: a host that resumes after a freeze or
    is partitioned sees no other, while the others still use their shares.

    Args:
        least: Lower bound, used from the start.
        kept_s: Seconds after which a maximum that was not reached again expires.
    """

    def __init__(self, least: int = 1, kept_s: float = RETENTION_S) -> None:
        self._least = least
        self._kept_s = kept_s
        self._largest = least
        self._at = float("-inf")

    @property
    def hosts(self) -> int:
        """Hosts that may be alive."""
        return self._largest

    def note(self, now: float, hosts: int) -> None:
        """Record the number of hosts that are live now, including this one."""
        if hosts >= self._largest or now - self._at > self._kept_s:
            self._largest = max(hosts, self._least)
            self._at = now
