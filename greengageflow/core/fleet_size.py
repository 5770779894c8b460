"""How many hosts share what all may do together."""

KEPT_S = 3600.0


class FleetSize:
    """The largest number of hosts that was known lately.

    A host that wakes from a freeze or is cut off hears nobody, while the others go on.

    Args:
        least: Hosts that are known from the start.
        kept_s: Seconds after which a number that was not reached again is forgotten.
    """

    def __init__(self, least: int = 1, kept_s: float = KEPT_S) -> None:
        self._least = least
        self._kept_s = kept_s
        self._largest = least
        self._at = float("-inf")

    @property
    def hosts(self) -> int:
        """Hosts that may live."""
        return self._largest

    def note(self, now: float, hosts: int) -> None:
        """Take note of how many hosts are heard now, this one with them."""
        if hosts >= self._largest or now - self._at > self._kept_s:
            self._largest = max(hosts, self._least)
            self._at = now
