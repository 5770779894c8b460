"""Sheds requests before they are parsed while the event loop is overloaded."""

from collections.abc import Callable

from greengageflow.core.arrival_gate import ArrivalGate, shed_limits
from greengageflow.core.loop_load import LoopLoad
from greengageflow.core.routes import Routing
from greengageflow.errors import ErrorKind
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.net.decision_log import DecisionLog
from greengageflow.net.metrics_page import MetricsPage, PageMetric
from greengageflow.net.timers import Timers

LOG_INTERVAL_S = 1.0


class LoadShedder:
    """Admission control on the first bytes of each request.

    Args:
        load: Duration of the event loop's iterations.
        timers: Timer service.
        log: Gets one summary line per second while requests are shed.
        page: Counts shed requests.
        account_of: Returns the client account of a request, from its first bytes. All
            unknown keys count as one account; if each were an account of its own, a
            caller could get priority by making up keys.

    Attributes:
        on_shed: Called with the account of each request that is shed.
    """

    def __init__(
        self,
        load: LoopLoad,
        timers: Timers,
        log: DecisionLog,
        page: MetricsPage,
        account_of: Callable[[bytes], str],
    ) -> None:
        self._load = load
        self._timers = timers
        self._log = log
        self._page = page
        self._account_of = account_of
        self.on_shed: Callable[[str], None] = lambda _account: None
        self._gate = ArrivalGate()
        self._shed_accounts: set[str] = set()
        self._shed_requests = 0

    @property
    def may_shed(self) -> bool:
        """Whether the event loop is so slow that requests may be shed."""
        return self._load.average_s(self._timers.now) > self._gate.limits.overload_s

    @property
    def retry_after_s(self) -> float:
        """Retry delay of shed callers, in seconds."""
        return self._gate.limits.retry_after_s

    def on_routing(self, routing: Routing) -> None:
        """Apply a new configuration."""
        self._gate.limits = shed_limits(routing)

    def should_shed(self, data: bytes) -> bool:
        """Return whether to shed a request whose first bytes are ``data``."""
        now = self._timers.now
        account = self._account_of(data)
        present_s, average_s = self._load.present_s(now), self._load.average_s(now)
        if self._gate.admits(now, account, present_s=present_s, average_s=average_s):
            return False
        self._page.count(PageMetric.REQUESTS, "refused")
        self._page.count(PageMetric.REFUSALS, ErrorKind.HOST_BUSY.value)
        if not self._shed_requests:
            self._timers.after(LOG_INTERVAL_S, self._log_shed_requests)
        self._shed_requests += 1
        self._shed_accounts.add(account)
        self.on_shed(account)
        return True

    def _log_shed_requests(self) -> None:
        round_ms = round(1000 * self._load.average_s(self._timers.now))
        self._log.write(
            DecisionEvent.TURNED_AWAY,
            requests=self._shed_requests,
            accounts=len(self._shed_accounts),
            round_ms=round_ms,
        )
        self._shed_requests = 0
        self._shed_accounts.clear()
