"""Offsets to the virtual service of accounts: idle credit and debt limits.

Each account has two counters that shift its virtual service. ``raised`` lifts an
account that becomes backlogged to the level of the other backlogged accounts, so
that idle time earns no credit. ``forgiven`` lowers an account that is far above the
others, for instance after a partition heals, so that it does not starve until the
others have caught up. Both counters only grow and are merged by maximum, so
collectors in several zones may raise the same account concurrently.
"""

from collections import deque
from statistics import median

from greengageflow.core.messages import AccountService
from greengageflow.core.shares import ServiceLedger, level_of

_RATE_SAMPLES = 9


class Offsets:
    """Computes both offsets of accounts from the fleet totals.

    Args:
        ledger: Ledger with the fleet totals.
        max_debt_s: Maximum debt of a backlogged account, in seconds of its share.
        min_debt_tokens: Debt in tokens per unit of weight that is never forgiven.
        confirm_s: Seconds for which a condition must hold before an offset changes.
            A collector that has just taken over may have incomplete totals, and an
            offset is never reverted.
    """

    def __init__(
        self,
        ledger: ServiceLedger,
        *,
        max_debt_s: float = 10.0,
        min_debt_tokens: float = 10_000.0,
        confirm_s: float = 8.0,
    ) -> None:
        self._ledger = ledger
        self._max_debt_s = max_debt_s
        self._min_debt_tokens = min_debt_tokens
        self._confirm_s = confirm_s
        # Uses the median, because the fleet's sum jumps when a partition heals.
        self._rates: deque[float] = deque(maxlen=_RATE_SAMPLES)
        self._last_sample: tuple[float, float] | None = None
        self._ready_at: float | None = None
        self._over_limit_since: dict[str, float] = {}

    def sample_rate(self, now: float) -> None:
        """Sample how fast the level of backlogged accounts rises."""
        totals = self._ledger.totals.values()
        if totals and self._ready_at is None:
            self._ready_at = now + self._confirm_s
        served = sum(row.served for row in totals)
        weights = sum(self._ledger.weight(r.account) for r in totals if r.waiting)
        if self._last_sample and self._last_sample[0] < now and weights:
            then, before = self._last_sample
            self._rates.append((served - before) / (now - then) / weights)
        self._last_sample = (now, served)

    @property
    def max_debt(self) -> float:
        """Maximum distance of a backlogged account above the floor."""
        rate = median(self._rates) if self._rates else 0.0
        return max(self._min_debt_tokens, self._max_debt_s * rate)

    def increments(self, now: float, row: AccountService) -> tuple[float, float]:
        """Return the increments of ``raised`` and ``forgiven`` of an account.

        Args:
            now: Current time.
            row: The account's totals with its current offsets.
        """
        account = row.account
        weight = self._ledger.weight(account)
        above = level_of(row, weight) - self._ledger.floor
        excess = above - self.max_debt
        if not row.waiting or excess <= 0:
            self._over_limit_since.pop(account, None)
        if not row.waiting or self._ready_at is None or now < self._ready_at:
            return 0.0, 0.0
        before = self._ledger.totals.get(account)
        if above < 0 and not (before and before.waiting):
            return -above * weight, 0.0
        if (
            excess <= 0
            or now < self._over_limit_since.setdefault(account, now) + self._confirm_s
        ):
            return 0.0, 0.0
        return 0.0, excess * weight
