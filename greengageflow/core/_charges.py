"""Charges for an owner's recent grants, not yet included in the fleet totals."""

from collections import deque
from dataclasses import dataclass


@dataclass(slots=True)
class Charge:
    """The charge of one grant.

    Args:
        granted_at: Time of the grant.
        account: Client account.
        tokens: Charged tokens; 0 once the charge is cancelled.
    """

    granted_at: float
    account: str
    tokens: float


class PendingCharges:
    """Sums charges per account until the fleet totals include them.

    The totals lag. Without these charges, every owner would grant all its free slots
    to the same account until the next totals arrive.
    """

    def __init__(self) -> None:
        self._charges: dict[str, deque[Charge]] = {}
        self._sums: dict[str, float] = {}

    def add(self, now: float, account: str, tokens: float) -> Charge:
        """Charge a grant."""
        charge = Charge(now, account, tokens)
        self._charges.setdefault(account, deque()).append(charge)
        self._sums[account] = self._sums.get(account, 0.0) + tokens
        return charge

    def pending(self, account: str, included_until: float) -> float:
        """Return the tokens charged to an account.

        Args:
            account: Client account.
            included_until: Time up to which the totals include charges; those are
                dropped.
        """
        charges = self._charges.get(account, ())
        while charges and charges[0].granted_at <= included_until:
            self.cancel(charges.popleft())
        return self._sums.get(account, 0.0)

    def cancel(self, charge: Charge) -> None:
        """Remove a charge from its account's sum."""
        remaining = self._sums.get(charge.account, 0.0) - charge.tokens
        charge.tokens = 0.0
        self._sums[charge.account] = max(0.0, remaining)
