"""Dispatches messages to the core components and executes the effects they return."""

from collections import deque
from collections.abc import Callable, Iterable
from random import Random
from time import monotonic
from typing import Any, Protocol

from greengageflow.core.action_entry import ActionEntry
from greengageflow.core.action_writer import ActionWriter
from greengageflow.core.catalog import FleetConfig
from greengageflow.core.collector import Collector
from greengageflow.core.effects import (
    AppendRecords,
    Connect,
    Disconnect,
    Effect,
    MayRun,
    ReadRecords,
    Refuse,
    Replay,
    Send,
    Start,
)
from greengageflow.core.entry import EntryQueue
from greengageflow.core.leaving import LeavingEndpoints
from greengageflow.core.log_records import AppendResult, ReadResult
from greengageflow.core.membership import Membership
from greengageflow.core.messages import (
    Ack,
    ConfigRequest,
    ConfigState,
    Demand,
    FleetTotals,
    Grant,
    GrantReturned,
    GrantTaken,
    IntentRequest,
    IntentVerdict,
    LeavingNotice,
    OrderNotice,
    OutcomeReport,
    OutcomeStored,
    PeerId,
    Ping,
    PingRequest,
    ShareReport,
    View,
    ViewRequest,
    WorkCall,
    ZoneTotals,
)
from greengageflow.core.owner import EndpointOwner
from greengageflow.core.placement import FleetView, LiveMember
from greengageflow.core.quarantine import CrashRecord, CrashReport
from greengageflow.core.roster import Roster
from greengageflow.core.shares import ServiceLedger, share_interval_s
from greengageflow.net.log_client import LogClient
from greengageflow.net.peers import PeerLink
from greengageflow.net.timers import Subscription, Timers

OWNER_TICK_S = 0.05
ACTION_TICK_S = 0.1
MEMBERSHIP_SETTLE_S = 2.0
"""Time for a membership change to propagate to all routers."""


class RequestHandler(Protocol):
    """Handles the core's decisions about requests."""

    def on_start(self, start: Start) -> None:
        """Send a request to its endpoint."""

    def on_refuse(self, refuse: Refuse) -> None:
        """Refuse a request."""

    def on_may_run(self, request: str) -> None:
        """Proceed with a protected action whose intent was accepted."""

    def on_replay(self, replay: Replay) -> None:
        """Answer a repeated action with the recorded response."""


class Control:
    """Runs the core components of one router and connects them to I/O.

    Args:
        own: Host and boot time of this router process.
        link: Transport for messages to other routers.
        timers: Timer service.
        log_client: Client of the platform's log.
        membership: Membership protocol state.
        roster: Router hosts among which slots are divided.
        on_config_message: Called with the sending host and a ``ConfigRequest`` or
            ``ConfigState``.
        on_newer_revision: Called with a host and the revision it has in force.
        on_order_notice: Called with each ``OrderNotice``.
        on_crash_report: Called with each ``CrashReport``.
        sharing: See ``RouterSettings``.
    """

    def __init__(
        self,
        own: PeerId,
        link: PeerLink,
        timers: Timers,
        log_client: LogClient,
        membership: Membership,
        roster: Roster,
        *,
        on_config_message: Callable[[str, Any], None],
        on_newer_revision: Callable[[str, int], None],
        on_order_notice: Callable[[OrderNotice], None] = lambda _notice: None,
        on_crash_report: Callable[[CrashReport], None] = lambda _report: None,
        sharing: str = "owned",
    ) -> None:
        self.own = own
        self.ledger = ServiceLedger(own, local_only=sharing == "local")
        self.leaving = LeavingEndpoints(own)
        self.entry = EntryQueue(own, self.ledger, is_leaving=self.leaving.is_leaving)
        self.owner = EndpointOwner(own, self.ledger, settle_s=MEMBERSHIP_SETTLE_S)
        self.collector = Collector(own, self.ledger)
        self.writer = ActionWriter()
        self.actions = ActionEntry(own, self._writer_of, self._is_holder_live)
        self.membership = membership
        self.roster = roster
        self.requests: RequestHandler | None = None
        self.view = FleetView(
            own,
            {own.host: LiveMember(own.boot)},
            frozenset(),
            split=sharing != "owned",
        )
        self._link = link
        self._timers = timers
        self._log = log_client
        self._on_config_message = on_config_message
        self._on_newer_revision = on_newer_revision
        self._on_order_notice = on_order_notice
        self._on_crash_report = on_crash_report
        self._random = Random(own.host)
        self._loopback_messages: deque[Any] = deque()
        self._delivering_loopback = False
        self._view_confirmed = True
        self._last_view_key: tuple[int, frozenset[str]] | None = None
        self._entry_timer: Subscription | None = None
        self._next_entry_tick_at = float("inf")
        self._share_timer: Subscription | None = None
        self._share_interval_s = 0.0
        self._policy_share_interval_s: float | None = None

    def start(self) -> None:
        """Start the periodic timers."""
        self._timers.every(self.membership.tick_s, self._on_membership_tick)
        self._timers.every(OWNER_TICK_S, self._on_owner_tick)
        self._timers.every(ACTION_TICK_S, self._on_action_tick)
        self._on_membership_tick()

    def on_config(self, cfg: FleetConfig) -> None:
        """Apply a configuration."""
        now = monotonic()
        self.membership.revision = cfg.revision
        self.ledger.on_config(cfg)
        self.leaving.on_config(cfg)
        self.run(self.entry.on_config(now, cfg))
        # An endpoint that is removed and added again with its old generation has no
        # leaving mark in the owner. The generations restore it before grants are sent.
        self.run(self.owner.on_config(now, cfg, self.leaving.left_generations))
        self._policy_share_interval_s = cfg.policy.share_interval_s
        self._update_share_interval()

    def _update_share_interval(self) -> None:
        """Set the share report interval from the policy and the fleet size."""
        if self._policy_share_interval_s is None:
            return
        interval_s = share_interval_s(
            self._policy_share_interval_s, len(self.view.live)
        )
        if interval_s == self._share_interval_s:
            return
        self._share_interval_s = interval_s
        self.collector.set_interval(interval_s)
        if self._share_timer is not None:
            self._share_timer.cancel()
        self._share_timer = self._timers.every(interval_s, self._on_share_tick)

    # Messages and effects.

    def receive(self, sender: PeerId, message: Any) -> None:
        """Dispatch a message from any router, including this one."""
        now = monotonic()
        # Messages buffered during a process pause may be read before the next tick.
        self.membership.detect_pause(now)
        self._update_view_confirmation(now)
        match message:
            case Demand() | GrantTaken() | GrantReturned():
                self.run(self.owner.receive(now, sender, message))
            case Grant() | WorkCall():
                self.run(self.entry.receive(now, sender, message))
            case ShareReport() | ZoneTotals():
                self.collector.receive(now, sender, message)
            case LeavingNotice(endpoint=endpoint, generation=generation):
                self.leaving.receive(message)
                self.owner.mark_leaving(endpoint, generation)
            case FleetTotals():
                self.ledger.on_totals(now, sender, message)
            case Ping() | Ack() | PingRequest() | ViewRequest() | View():
                self.run(self.membership.receive(now, sender, message))
                self._after_membership_update()
            case ConfigRequest() | ConfigState():
                self._on_config_message(sender.host, message)
            case OrderNotice():
                self._on_order_notice(message)
            case CrashReport():
                self._on_crash_report(message)
            case IntentRequest() | OutcomeReport():
                self.run(self.writer.receive(now, sender, message))
            case IntentVerdict():
                self.run(self.actions.on_verdict(now, sender, message))
            case OutcomeStored():
                self.actions.on_stored(message)

    def run(self, effects: Iterable[Effect]) -> None:
        """Execute effects, then deliver the messages this router sent to itself."""
        # Collect all effects first: executing one may call the same core component
        # again, which must not happen while its generator is still updating state.
        for effect in tuple(effects):
            self._execute(effect)
        if self._delivering_loopback:
            return
        self._delivering_loopback = True
        try:
            while self._loopback_messages:
                self.receive(self.own, self._loopback_messages.popleft())
        finally:
            self._delivering_loopback = False
        self._schedule_entry_tick()

    def _execute(self, effect: Effect) -> None:
        match effect:
            case Send(to, message) if to == self.own.host:
                self._loopback_messages.append(message)
            case Send(to, message):
                self._link.send(to, message)
            case Start():
                self.requests.on_start(effect)
            case Refuse():
                self.requests.on_refuse(effect)
            case MayRun(request):
                self.requests.on_may_run(request)
            case Replay():
                self.requests.on_replay(effect)
            case AppendRecords(stream, records):
                self._log.append(stream, records, self._append_callback(stream))
            case ReadRecords(stream, from_offset):
                self._log.read(stream, from_offset, 0.0, self._read_callback(stream))
            case Connect(host, ip, port):
                self._link.set_address(host, ip, port)
            case Disconnect(host):
                self._link.disconnect(host)

    def _append_callback(self, stream: str) -> Callable[[AppendResult], None]:
        def on_result(result: AppendResult) -> None:
            self.run(self.writer.on_append(monotonic(), stream, result))

        return on_result

    def _read_callback(self, stream: str) -> Callable[[ReadResult], None]:
        def on_result(result: ReadResult) -> None:
            self.run(self.writer.on_read(monotonic(), stream, result))

        return on_result

    def send(self, host: str, message: Any) -> None:
        """Send a message to a host, which may be this one."""
        self.run((Send(host, message),))

    def send_crashes(
        self, records: tuple[CrashRecord, ...], max_receivers: int | None
    ) -> None:
        """Send crash records to other routers.

        Args:
            records: Records of requests that crashed endpoints.
            max_receivers: Maximum number of receivers, chosen at random; None for all.
        """
        hosts = sorted(self.view.live.keys() - {self.own.host})
        if max_receivers is not None:
            hosts = self._random.sample(hosts, min(max_receivers, len(hosts)))
        self.run([Send(host, CrashReport(records)) for host in hosts])

    def mark_endpoint_leaving(self, endpoint: str) -> bool:
        """Mark an endpoint as leaving; return whether it was not marked before."""
        if self.leaving.is_leaving(endpoint):
            return False
        self.run(self.leaving.record(endpoint))
        if not self.leaving.is_leaving(endpoint):
            return False
        self.owner.mark_leaving(endpoint, self.leaving.left_generations[endpoint])
        return True

    # Protected actions.

    def _writer_of(self, stream: str) -> str:
        return self.view.owner_of(stream) or self.own.host

    def _is_holder_live(self, holder: str) -> bool:
        host, _, boot = holder.rpartition(":")
        return self.view.is_live(PeerId(host, int(boot)))

    # Periodic work.

    def _on_membership_tick(self) -> None:
        self.run(self.membership.on_tick(monotonic()))
        self._after_membership_update()

    def _after_membership_update(self) -> None:
        newer_host = self.membership.newer_revision_host()
        if newer_host is not None:
            self._on_newer_revision(newer_host, self.membership.revision + 1)
        self.refresh_view()
        self._update_view_confirmation(monotonic())

    def _update_view_confirmation(self, now: float) -> None:
        """Notify components when a pause puts the view in doubt or it is confirmed."""
        confirmed = self.membership.confirmed
        if confirmed == self._view_confirmed:
            return
        self._view_confirmed = confirmed
        if confirmed:
            maybe_replaced = self.membership.long_pause
            self.run(self.owner.on_view_confirmed(now, maybe_replaced=maybe_replaced))
            self.run(self.entry.on_view_confirmed(now, maybe_replaced=maybe_replaced))
        else:
            self.owner.on_pause()
            self.entry.on_pause()

    def refresh_view(self) -> None:
        """Notify components if the members or the roster have changed."""
        members = self.membership.members
        self.roster.on_members(members.keys())
        roster = frozenset(self.roster.hosts)
        view_key = self.membership.view_version, roster
        if view_key == self._last_view_key:
            return
        self._last_view_key = view_key
        live = {
            host: LiveMember(member.peer.boot, member.zone, member.stopping)
            for host, member in members.items()
        }
        if self.own.host not in live:
            return
        now = monotonic()
        self.view = view = self.view.updated(live, roster)
        self.run(self.leaving.on_view(view))
        self._update_share_interval()
        self.collector.on_view(now, view)
        self.run(self.entry.on_view(now, view))
        self.run(self.owner.on_view(now, view))

    def _on_owner_tick(self) -> None:
        self.run(self.owner.on_tick(monotonic()))

    def _on_action_tick(self) -> None:
        now = monotonic()
        self.run(self.actions.on_tick(now))
        self.run(self.writer.on_tick(now))

    def _on_share_tick(self) -> None:
        self.run(self.ledger.report(self.view))
        self.run(self.collector.report(monotonic()))

    def _schedule_entry_tick(self) -> None:
        now = monotonic()
        due = self.entry.next_tick(now)
        if due >= self._next_entry_tick_at:
            return
        if self._entry_timer is not None:
            self._entry_timer.cancel()
        self._next_entry_tick_at = due
        self._entry_timer = self._timers.after(due - now, self._on_entry_tick)

    def _on_entry_tick(self) -> None:
        self._next_entry_tick_at = float("inf")
        self._entry_timer = None
        self.run(self.entry.on_tick(monotonic()))
