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

WATCH_S = 1.0
GAUGES_S = 5.0


@dataclass(frozen=True, slots=True)
class _Traffic:
    """Cumulative counters since start; metrics report the differences."""

    bytes_in: int = 0
    bytes_out: int = 0
    messages_in: int = 0
    messages_out: int = 0
    appends: int = 0
    failures: int = 0
    grants: int = 0
    lapsed: int = 0


class Observer:
    """Observes one router for events and metrics.

    Args:
        control: Control of the core components.
        link: Transport for messages to other routers.
        log_client: Client of the platform's log.
        metrics: Receiver of gauges and counters.
        host_list: Returns the reader of the platform's host list, or None if unused.
        quarantined: Returns the number of quarantined requests.
    """

    def __init__(
        self,
        control: Control,
        link: PeerLink,
        log_client: LogClient,
        metrics: Metrics,
        *,
        host_list: Callable[[], HostList | None],
        quarantined: Callable[[], int],
    ) -> None:
        self._control = control
        self._link = link
        self._log = log_client
        self._metrics = metrics
        self._host_list = host_list
        self._quarantined = quarantined
        self._members: dict[str, tuple[int, bool]] = {}
        self._suspects: frozenset[str] = frozenset()
        self._usage: dict[str, EndpointUsage] = {}
        self._list_down_since: float | None = None
        self._sent = _Traffic()

    def start(self, timers: Timers) -> None:
        """Start the periodic timers."""
        timers.every(WATCH_S, lambda: self.watch(timers.now))
        timers.every(GAUGES_S, lambda: self.send(timers.now))

    # Events.

    def watch(self, now: float) -> None:
        """Log an event for each change since the last call."""
        self._watch_members()
        self._watch_endpoints(now)
        self._watch_host_list(now)

    def _watch_members(self) -> None:
        live = {
            host: (member.boot, member.stopping)
            for host, member in self._control.view.live.items()
        }
        for host, (boot, stopping) in live.items():
            known = self._members.get(host)
            if known is None or known[0] != boot:
                log(Event.MEMBER_JOINED, host=host, boot=boot)
            elif stopping and not known[1]:
                log(Event.MEMBER_STOPPING, host=host)
        for host in self._members.keys() - live.keys():
            log(Event.MEMBER_DEAD, host=host)
        suspects = self._control.membership.suspects
        for host in suspects - self._suspects:
            log(Event.MEMBER_SUSPECT, host=host)
        self._members, self._suspects = live, suspects

    def _watch_endpoints(self, now: float) -> None:
        usage = {one.endpoint: one for one in self._control.owner.usage(now)}
        for name, one in usage.items():
            before = self._usage.get(name)
            if before is None:
                continue
            if one.resting and not before.resting:
                error = "failed several times in a row"
                seconds = max(0.0, one.rest_until - now)
                log(Event.ENDPOINT_RESTED, endpoint=name, seconds=seconds, error=error)
            elif before.resting and not one.resting:
                log(Event.ENDPOINT_BACK, endpoint=name)
            elif one.allowed != before.allowed and not one.resting:
                log(
                    Event.SLOTS_CHANGED,
                    endpoint=name,
                    slots=one.allowed,
                    before=before.allowed,
                )
        self._usage = usage

    def _watch_host_list(self, now: float) -> None:
        reader = self._host_list()
        if reader is None:
            return
        if reader.failures and self._list_down_since is None:
            self._list_down_since = now
            log(Event.HOST_LIST_OUTAGE, error=f"{reader.failures} failed reads")
        elif not reader.failures and self._list_down_since is not None:
            log(Event.HOST_LIST_BACK, seconds=now - self._list_down_since)
            self._list_down_since = None

    # Gauges and counters.

    def send(self, now: float) -> None:
        """Send gauges, and counter increments since the last call."""
        control, metrics = self._control, self._metrics
        usage = list(control.owner.usage(now))
        metrics.gauge(Metric.WAITING, control.entry.waiting)
        metrics.gauge(Metric.RUNNING, control.entry.running)
        metrics.gauge(Metric.SERVICE_GAP, self.service_gap)
        metrics.gauge(Metric.SLOTS_USED, sum(one.used for one in usage))
        metrics.gauge(
            Metric.SLOTS_FREE, sum(max(0, one.allowed - one.used) for one in usage)
        )
        metrics.gauge(Metric.CONFIG_REVISION, control.membership.revision)
        stopping = sum(member.stopping for member in control.view.live.values())
        metrics.gauge(Metric.MEMBERS, len(control.view.live) - stopping, "live")
        metrics.gauge(Metric.MEMBERS, stopping, "stopping")
        metrics.gauge(Metric.QUARANTINED, self._quarantined())
        self._send_traffic()

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

    def _send_traffic(self) -> None:
        counters, owner = self._link.counters, self._control.owner
        total = _Traffic(
            counters.bytes_in,
            counters.bytes_out,
            counters.messages_in,
            counters.messages_out,
            self._log.appends,
            self._log.failures,
            owner.granted,
            owner.retransmitted,
        )
        sent, self._sent = self._sent, total
        count = self._metrics.count
        count(Metric.CONTROL_BYTES, total.bytes_in - sent.bytes_in, "in")
        count(Metric.CONTROL_BYTES, total.bytes_out - sent.bytes_out, "out")
        count(Metric.CONTROL_MESSAGES, total.messages_in - sent.messages_in, "in")
        count(Metric.CONTROL_MESSAGES, total.messages_out - sent.messages_out, "out")
        count(Metric.LOG_APPENDS, total.appends - sent.appends)
        count(Metric.LOG_FAILURES, total.failures - sent.failures)
        count(Metric.GRANTS, total.grants - sent.grants)
        count(Metric.GRANTS_LAPSED, total.lapsed - sent.lapsed)
