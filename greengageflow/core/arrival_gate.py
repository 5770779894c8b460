"""Which requests a host turns away unread when it works behind what arrives."""

from math import exp

ROUND_S = 0.03
"""Seconds of a round in which all requests are read."""

LATE_S = 0.08
"""Average round, in seconds, from which the host counts as late."""

LEAST = 1.0
"""Requests of each account that are read however late the host is."""

FADE_S = 1.0
FORGET = 0.05
LOOK_S = 0.05

RETRY_S = 0.5
"""When who was turned away should come back; the host may be on time by then."""


class ArrivalGate:
    """Keeps a host on time by turning away what one account sends beyond its part.

    To read a request and to decide on it costs several times what turning it away
    does. A host that is sent more than it can read gets later and later, for all
    accounts alike, until callers leave before they are read. So a host that is late
    reads no more of an account that has had its even part of what was read lately.
    """

    def __init__(self) -> None:
        self._read: dict[str, float] = {}
        self._faded_at = 0.0
        self._part = LEAST
        self._part_at = float("-inf")

    def admits(
        self, now: float, account: str, *, present_s: float, average_s: float
    ) -> bool:
        """Return whether a request is read; if so it counts for its account.

        Args:
            now: Present time.
            account: Whose it is, as far as its first bytes tell.
            present_s: Seconds for which the loop's present round has gone on.
            average_s: Seconds that rounds took lately.
        """
        self._fade(now)
        read = self._read.get(account, 0.0)
        if present_s > ROUND_S and average_s > LATE_S and read >= self._even_part(now):
            return False
        self._read[account] = read + 1.0
        return True

    def _fade(self, now: float) -> None:
        since_s = now - self._faded_at
        if since_s < LOOK_S:
            return
        self._faded_at = now
        kept = exp(-since_s / FADE_S)
        faded = ((account, read * kept) for account, read in self._read.items())
        self._read = {account: read for account, read in faded if read > FORGET}

    def _even_part(self, now: float) -> float:
        if now - self._part_at >= LOOK_S:
            self._part_at = now
            part = sum(self._read.values()) / max(1, len(self._read))
            self._part = max(LEAST, part)
        return self._part
