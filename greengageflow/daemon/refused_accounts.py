"""Logs what accounts with many rejected requests got at this host, once a second."""

from dataclasses import dataclass
from heapq import nlargest
from math import isfinite

from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.net.decision_log import DecisionLog
from greengageflow.net.timers import Timers

LOG_INTERVAL_S = 1.0
MIN_REJECTIONS = 10
"""Rejected requests of an account in a second from which it gets a line."""
MAX_ACCOUNTS = 4
"""Accounts that get a line in a second."""


@dataclass(slots=True)
class _Counts:
    service: str = ""
    sent: int = 0
    work: float = 0.0
    rejected: int = 0
    unread: int = 0

    @property
    def rejections(self) -> int:
        return self.rejected + self.unread


class RefusedAccounts:
    """Counts requests by account; lines of single requests may be left out.

    Args:
        timers: Timer service.
        log: Gets the lines.
        dispatcher: Knows the accounts' usage and limits.

    Attributes:
        totals_at: Time of the last fleet totals.
    """

    def __init__(
        self, timers: Timers, log: DecisionLog, dispatcher: ServiceDispatcher
    ) -> None:
        self.totals_at = 0.0
        self._timers = timers
        self._log = log
        self._dispatcher = dispatcher
        self._counts: dict[str, _Counts] = {}

    def on_sent(self, account: str, work: float) -> None:
        """Count a request that is sent to an endpoint, and its work."""
        counts = self._of(account)
        counts.sent += 1
        counts.work += work

    def on_rejected(self, account: str, service: str) -> None:
        """Count a rejected request."""
        counts = self._of(account)
        counts.service = service
        counts.rejected += 1

    def on_unread(self, account: str) -> None:
        """Count a request that is rejected unread."""
        self._of(account).unread += 1

    def _of(self, account: str) -> _Counts:
        if not self._counts:
            self._timers.after(LOG_INTERVAL_S, self._write)
        return self._counts.setdefault(account, _Counts())

    def _write(self) -> None:
        counts_by_account, self._counts = self._counts, {}
        rows = nlargest(
            MAX_ACCOUNTS, counts_by_account.items(), key=lambda row: row[1].rejections
        )
        age_ms = round(1000 * (self._timers.now - self.totals_at))
        for account, counts in rows:
            if counts.rejections < MIN_REJECTIONS:
                continue
            usage = self._dispatcher.recent_usage(counts.service, account)
            limit = self._dispatcher.usage_limit(counts.service, account)
            self._log.write(
                DecisionEvent.ACCOUNT_REFUSED,
                account=account,
                sent=counts.sent,
                work=round(counts.work),
                rejected=counts.rejected,
                unread=counts.unread,
                level=round(usage),
                limit=round(limit) if isfinite(limit) else -1,
                report_age_ms=age_ms,
            )
