"""Delay of endpoint removals after an outage of the platform's store."""

REMOVAL_HOLD_S = 2.2
"""Time for which removals are held after the store is back, in seconds.

Live endpoints register again within two seconds.
"""

MIN_OUTAGE_S = 1.0
"""Minimum length of a store outage after which removals are held, in seconds."""


class OutageHold:
    """Decides for how long removals are held after the platform's store is back.

    The entries of live endpoints expire during an outage. Applying these removals
    immediately would leave the fleet without endpoints until they register again. The
    time counts from when any host first saw the store back, not from this host's next
    read of the list: that may come much later, for a removal unrelated to the outage.
    """

    def __init__(self) -> None:
        self._failed_at: float | None = None
        self._hold_until = float("-inf")

    @property
    def is_pending(self) -> bool:
        """Whether the store failed and no host is known to have reached it since."""
        return self._failed_at is not None

    def on_restore(self, now: float) -> None:
        """Record that the store was restored without its latest writes.

        The missing entries may belong to endpoints that registered shortly before.
        """
        self._hold_until = now + REMOVAL_HOLD_S
        self._failed_at = None

    def on_failure(self, now: float) -> None:
        """Record that the store did not answer this host."""
        if self._failed_at is None:
            self._failed_at = now

    def on_answer(self, now: float, answered_at: float) -> None:
        """Record that the store answered a host at the time ``answered_at``.

        This may be any host, not only the own one.
        """
        if self._failed_at is None or answered_at <= self._failed_at:
            return
        if now - self._failed_at > MIN_OUTAGE_S:
            self._hold_until = now + REMOVAL_HOLD_S
        self._failed_at = None

    def remaining_s(self, now: float) -> float:
        """Return how long a removal that is read now is held, in seconds."""
        return max(0.0, self._hold_until - now)
