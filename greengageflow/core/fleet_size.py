"""Estimate of the number of hosts that share fleet-wide limits."""

RETENTION_S = 3600.0
"""Seconds for which the largest number of hosts is kept."""


class FleetSize:
    """The largest number of live hosts seen lately.

    The present number is not safe to divide by: a host that resumes after a freeze or
    is partitioned sees no other, while the others still use their shares.

    Args:
        min_hosts: Lower bound, used from the start.
        retention_s: Seconds after which a maximum that was not reached again expires.
    """

    def __init__(self, min_hosts: int = 1, retention_s: float = RETENTION_S) -> None:
        self._min_hosts = min_hosts
        self._retention_s = retention_s
        self._largest = min_hosts
        self._reached_at = float("-inf")

    @property
    def hosts(self) -> int:
        """Hosts that may be alive."""
        return self._largest

    def observe(self, now: float, hosts: int) -> None:
        """Record the number of hosts that are live now, including this one."""
        if hosts >= self._largest or now - self._reached_at > self._retention_s:
            self._largest = max(hosts, self._min_hosts)
            self._reached_at = now
