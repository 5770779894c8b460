"""Logs state changes of a router and exports its state as metrics."""

from collections.abc import Callable
from dataclasses import dataclass

from greengageflow.core.owner import EndpointUsage
from greengageflow.daemon.control import Control
from greengageflow.events import Event, log
from greengageflow.metrics import Metric, Metrics
from greengageflow.net.host_list import HostList
from greengageflow.net.log_client import LogClient
from greengageflow.net.peers import PeerLink
from greengageflow.net.timers import Timers

EVENT_INTERVAL_S = 1.0
METRICS_INTERVAL_S = 5.0


@dataclass(frozen=True, slots=True)
class _CounterTotals:
    """Cumulative counters since start; metrics report the differences."""

    bytes_in: int = 0
    bytes_out: int = 0
    messages_in: int = 0
    messages_out: int = 0
    appends: int = 0
    failures: int = 0
    grants: int = 0
    retransmissions: int = 0


class Observer:
    """Observes one router for events and metrics.

    Args:
        control: Control of the core components.
        link: Transport for messages to other routers.
        log_client: Client of the platform's log.
        metrics: Receiver of gauges and counters.
        host_list: Returns the reader of the platform's host list, or None if unused.
        quarantined_count: Returns the number of quarantined requests.
    """

    def __init__(
        self,
        control: Control,
        link: PeerLink,
        log_client: LogClient,
        metrics: Metrics,
        *,
        host_list: Callable[[], HostList | None],
        quarantined_count: Callable[[], int],
    ) -> None:
        self._control = control
        self._link = link
        self._log = log_client
        self._metrics = metrics
        self._host_list = host_list
        self._quarantined_count = quarantined_count
        self._previous_members: dict[str, tuple[int, bool]] = {}
        self._previous_suspects: frozenset[str] = frozenset()
        self._previous_usage: dict[str, EndpointUsage] = {}
        self._host_list_down_since: float | None = None
        self._reported_totals = _CounterTotals()

    def start(self, timers: Timers) -> None:
        """Start the periodic timers."""
        timers.every(EVENT_INTERVAL_S, lambda: self.log_changes(timers.now))
        timers.every(METRICS_INTERVAL_S, lambda: self.send_metrics(timers.now))

    # Events.

    def log_changes(self, now: float) -> None:
        """Log an event for each change since the last call."""
        self._log_member_changes()
        self._log_endpoint_changes(now)
        self._log_host_list_changes(now)

    def _log_member_changes(self) -> None:
        live = {
            host: (member.boot, member.stopping)
            for host, member in self._control.view.live.items()
        }
        for host, (boot, stopping) in live.items():
            previous = self._previous_members.get(host)
            if previous is None or previous[0] != boot:
                log(Event.MEMBER_JOINED, host=host, boot=boot)
            elif stopping and not previous[1]:
                log(Event.MEMBER_STOPPING, host=host)
        for host in self._previous_members.keys() - live.keys():
            log(Event.MEMBER_DEAD, host=host)
        suspects = self._control.membership.suspects
        for host in suspects - self._previous_suspects:
            log(Event.MEMBER_SUSPECT, host=host)
        self._previous_members, self._previous_suspects = live, suspects

    def _log_endpoint_changes(self, now: float) -> None:
        usage = {
            current.endpoint: current for current in self._control.owner.usage(now)
        }
        for name, current in usage.items():
            previous = self._previous_usage.get(name)
            if previous is None:
                continue
            if current.resting and not previous.resting:
                error = "failed several times in a row"
                seconds = max(0.0, current.rest_until - now)
                log(Event.ENDPOINT_RESTED, endpoint=name, seconds=seconds, error=error)
            elif previous.resting and not current.resting:
                log(Event.ENDPOINT_BACK, endpoint=name)
            elif current.allowed != previous.allowed and not current.resting:
                log(
                    Event.SLOTS_CHANGED,
                    endpoint=name,
                    slots=current.allowed,
                    before=previous.allowed,
                )
        self._previous_usage = usage

    def _log_host_list_changes(self, now: float) -> None:
        reader = self._host_list()
        if reader is None:
            return
        if reader.failures and self._host_list_down_since is None:
            self._host_list_down_since = now
            log(Event.HOST_LIST_OUTAGE, error=f"{reader.failures} failed reads")
        elif not reader.failures and self._host_list_down_since is not None:
            log(Event.HOST_LIST_BACK, seconds=now - self._host_list_down_since)
            self._host_list_down_since = None

    # Gauges and counters.

    def send_metrics(self, now: float) -> None:
        """Send gauges, and counter increments since the last call."""
        control, metrics = self._control, self._metrics
        usage = list(control.owner.usage(now))
        metrics.gauge(Metric.WAITING, control.entry.waiting)
        metrics.gauge(Metric.RUNNING, control.entry.running)
        metrics.gauge(Metric.SERVICE_GAP, self.service_gap)
        metrics.gauge(Metric.SLOTS_USED, sum(item.used for item in usage))
        metrics.gauge(
            Metric.SLOTS_FREE,
            sum(max(0, item.allowed - item.used) for item in usage),
        )
        metrics.gauge(Metric.CONFIG_REVISION, control.membership.revision)
        stopping = sum(member.stopping for member in control.view.live.values())
        metrics.gauge(Metric.MEMBERS, len(control.view.live) - stopping, "live")
        metrics.gauge(Metric.MEMBERS, stopping, "stopping")
        metrics.gauge(Metric.QUARANTINED, self._quarantined_count())
        self._send_counters()

    @property
    def service_gap(self) -> float:
        """Largest difference in weighted service of backlogged accounts, in tokens."""
        ledger = self._control.ledger
        levels = [
            ledger.level(account)
            for account, row in ledger.totals.items()
            if row.waiting
        ]
        return max(levels) - min(levels) if levels else 0.0

    def _send_counters(self) -> None:
        counters, owner = self._link.counters, self._control.owner
        total = _CounterTotals(
            counters.bytes_in,
            counters.bytes_out,
            counters.messages_in,
            counters.messages_out,
            self._log.appends,
            self._log.failures,
            owner.granted,
            owner.retransmitted,
        )
        reported, self._reported_totals = self._reported_totals, total
        count = self._metrics.count
        count(Metric.CONTROL_BYTES, total.bytes_in - reported.bytes_in, "in")
        count(Metric.CONTROL_BYTES, total.bytes_out - reported.bytes_out, "out")
        count(Metric.CONTROL_MESSAGES, total.messages_in - reported.messages_in, "in")
        count(
            Metric.CONTROL_MESSAGES, total.messages_out - reported.messages_out, "out"
        )
        count(Metric.LOG_APPENDS, total.appends - reported.appends)
        count(Metric.LOG_FAILURES, total.failures - reported.failures)
        count(Metric.GRANTS, total.grants - reported.grants)
        count(Metric.GRANTS_LAPSED, total.retransmissions - reported.retransmissions)
