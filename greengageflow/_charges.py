"""Charges of an owner's own grants that the fleet's totals do not show yet."""

from collections import deque
from dataclasses import dataclass


@dataclass(slots=True)
class Charge:
    """The charge of one grant.

    Args:
        at: Time of the grant.
        account: Client account.
        tokens: Tokens charged.
    """

    at: float
    account: str
    tokens: float


class Charges:
    """Sums charges per account until the totals show them.

    The totals lag. Without these charges every owner would give all its free slots
    to the same account until the next totals come.
    """

    def __init__(self) -> None:
        self._order: deque[Charge] = deque()
        self._sums: dict[str, float] = {}

    def add(self, now: float, account: str, tokens: float) -> Charge:
        """Charge a grant."""
        charge = Charge(now, account, tokens)
        self._order.append(charge)
        self._sums[account] = self.of(account) + tokens
        return charge

    def of(self, account: str) -> float:
        """Return the tokens charged to an account."""
        return self._sums.get(account, 0.0)

    def cancel(self, charge: Charge) -> None:
        """Take a charge back, since the grant was not used."""
        left = self.of(charge.account) - charge.tokens
        charge.tokens = 0.0
        self._sums[charge.account] = max(0.0, left)

    def drop(self, before: float) -> None:
        """Forget the charges of grants made before ``before``."""
        while self._order and self._order[0].at <= before:
            self.cancel(self._order.popleft())
