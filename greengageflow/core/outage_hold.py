"""How long a removal from the list may be no more than a lapsed entry."""

HELD_S = 2.2
"""Seconds after the store's return; live endpoints are listed again within two."""

OUTAGE_S = 1.0
"""Seconds for which the store must be away before entries are held."""


class OutageHold:
    """Holds removals for a while after the platform's store has returned.

    Entries lapse while the store is away. Taken at once, their removal would leave the
    fleet without endpoints until they are listed again. The time counts from the
    store's return, as far as anybody saw it, and not from this host's next read of the
    list: that may come much later, because of a removal that is none of the outage.
    """

    def __init__(self) -> None:
        self._lost_at: float | None = None
        self._until = float("-inf")

    @property
    def waits(self) -> bool:
        """Whether the store's return has not been seen yet."""
        return self._lost_at is not None

    def on_restore(self, now: float) -> None:
        """Note that the store came back without what was written last.

        Entries that it lacks may be those of endpoints that were listed a moment ago.
        """
        self._until = now + HELD_S
        self._lost_at = None

    def lost(self, now: float) -> None:
        """Note that the store did not answer this host."""
        if self._lost_at is None:
            self._lost_at = now

    def answered(self, now: float, at: float) -> None:
        """Note that the store answered this host or another one at time ``at``."""
        if self._lost_at is None or at <= self._lost_at:
            return
        if now - self._lost_at > OUTAGE_S:
            self._until = now + HELD_S
        self._lost_at = None

    def left_s(self, now: float) -> float:
        """Return the seconds for which a removal that is read now is held."""
        return max(0.0, self._until - now)
