"""Time limit for trusting account keys without contact to the platform's store."""


class KeyTrust:
    """Decides whether the local configuration may still be used to check account keys.

    A host that is partitioned from the store would accept a key after its revocation.
    The operators' bound counts from the moment at which the store acknowledges the
    revocation. So keys are trusted for that bound, less a margin for queued requests,
    after the last time at which the configuration was known to be the latest.

    Args:
        bound_s: Seconds after which a revoked key must be refused.
        margin_s: Part of the bound that is reserved for queued requests, in seconds.
    """

    def __init__(self, bound_s: float, margin_s: float = 0.6) -> None:
        self._limit_s = bound_s - min(margin_s, 0.2 * bound_s)
        self._confirmed_at = float("-inf")

    def confirm(self, at: float) -> None:
        """Record that the local configuration was the latest at time ``at``."""
        self._confirmed_at = max(self._confirmed_at, at)

    def age_s(self, now: float) -> float:
        """Return the seconds since the configuration was known to be the latest."""
        return now - self._confirmed_at

    def is_trusted(self, now: float) -> bool:
        """Whether keys are trusted at ``now``."""
        return self.age_s(now) < self._limit_s
