"""``greengage-gateway``: router daemon of one host on the users' platform."""

import gc
import sys
from collections.abc import Iterable, Mapping
from dataclasses import replace
from functools import cached_property
from signal import SIGHUP, signal
from time import CLOCK_BOOTTIME, clock_gettime, time
from typing import TYPE_CHECKING

from circuits import handler

from greengageflow.core.endpoint_list import EndpointList, ListChange, ListedEndpoint
from greengageflow.core.endpoint_load import LoadShare
from greengageflow.core.evacuation import EvacuationReport
from greengageflow.core.fleet_retry_budget import FleetRetryBudget
from greengageflow.core.fleet_sums import FleetTotals
from greengageflow.core.leaving_report import LeavingReport
from greengageflow.core.peer_report import PeerReport
from greengageflow.core.place_messages import PlacementMessage
from greengageflow.core.quarantine import CrashReport, Quarantine
from greengageflow.core.router_table import Hello
from greengageflow.core.routes import Routing
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.core.slot_forecast import ForecastOutcome
from greengageflow.core.start_report import StartTimesReport
from greengageflow.core.store_duty import StoreRole, read_interval_s
from greengageflow.core.store_updates import StoreUpdate
from greengageflow.core.trust import KeyTrust
from greengageflow.core.unproven_starts import (
    UnprovenStartQuery,
    UnprovenStartReport,
)
from greengageflow.core.version_affinity import (
    StreamVersionQuery,
    StreamVersionReport,
    VersionHistory,
)
from greengageflow.daemon.cached_parts import CachedPartsLoader
from greengageflow.daemon.crash_recorders import GatewayCrashRecorder
from greengageflow.daemon.crash_watch import CrashWatch
from greengageflow.daemon.current_list import CurrentList
from greengageflow.daemon.evacuation_watch import EvacuationWatch
from greengageflow.daemon.exchange_listener import Placements
from greengageflow.daemon.fleet_exchange import FleetExchange
from greengageflow.daemon.forward_admission import ForwardAdmission
from greengageflow.daemon.forward_telemetry import ForwardTelemetry
from greengageflow.daemon.forwarder import Forwarder
from greengageflow.daemon.gateway_pages import GatewayPages
from greengageflow.daemon.gateway_settings import (
    GatewaySettings,
    load_gateway_settings,
    settings_path,
)
from greengageflow.daemon.host_watch import HostWatch
from greengageflow.daemon.key_watch import KeyWatch
from greengageflow.daemon.leaving_watch import LeavingWatch
from greengageflow.daemon.load_shedder import LoadShedder
from greengageflow.daemon.placement import Placement
from greengageflow.daemon.program import Program
from greengageflow.daemon.quarantine_store import QuarantineStore
from greengageflow.daemon.refused_accounts import RefusedAccounts
from greengageflow.daemon.router_registry import RouterRegistry
from greengageflow.daemon.start_times_watch import StartTimesWatch
from greengageflow.daemon.store_view import StoreView
from greengageflow.daemon.stream_versions import StreamVersions
from greengageflow.daemon.unproven_starts import UnprovenStarts
from greengageflow.daemon.version_affinity import VersionAffinity
from greengageflow.errors import ErrorKind, RouterError
from greengageflow.events import Event as LogEvent
from greengageflow.events import log, setup_logging
from greengageflow.net.callers import CallerServer
from greengageflow.net.connect_check import ConnectCheck
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.net.decision_log import FLUSH_INTERVAL_S, DecisionLog
from greengageflow.net.forward_calls import PlacementCall
from greengageflow.net.gossip_link import GossipLink
from greengageflow.net.http_pool import HttpPool
from greengageflow.net.metrics_page import MetricsPage, PageMetric
from greengageflow.platform.interfaces import CallerInterface, ReadyInterface
from greengageflow.settings_file import Address

if TYPE_CHECKING:
    from greengageflow.daemon.placement_page import PlacementPage

TICK_INTERVAL_S = 0.05
STOP_CHECK_INTERVAL_S = 0.05
BALANCER_DRAIN_S = 2.6
EXIT_MARGIN_S = 0.4
VERSIONS_INTERVAL_S = 1.0
LIST_MAX_AGE_S = 3.0
"""Maximum age of an endpoint list that counts as observed, in seconds."""
GC_THRESHOLD = 10_000
"""Number of new objects after which the garbage collector looks for cycles.

Ended requests leave no cycles (``tests/test_request_memory.py``). With the default of
700, the collector visits the state of every running request several times.
"""
VERSION = "0.2.0"


def clock() -> float:
    """Return monotonic seconds, including time in which the host was suspended.

    With a clock that stops during suspension, a resumed host would treat stale keys
    and configuration as fresh.
    """
    return clock_gettime(CLOCK_BOOTTIME)


class Gateway(Program):
    """All components of one router process on the users' platform.

    Args:
        settings: Validated settings.
        path: File from which to reload them on SIGHUP.
    """

    channel = "gateway"

    def __init__(self, settings: GatewaySettings, path: str = "") -> None:
        super().__init__()
        self._settings = settings
        self._path = path
        self._boot = int(time() * 1000)
        self._stop_started_at = 0.0
        self._pool = HttpPool(
            self._timers, max_idle=64, max_idle_total=settings.files.idle
        ).register(self)
        self._log = DecisionLog(sys.stdout.fileno(), settings.host)
        self._metrics = MetricsPage()
        self._key_trust = KeyTrust(settings.bounds.revoke_s)
        self._endpoints = EndpointList()
        self._service_dispatcher = ServiceDispatcher(
            self._endpoints,
            settings.zone,
            self._budget,
            min_hosts=len({settings.gossip, *settings.seeds}),
            host=settings.host,
            warmup=settings.bounds.warmup,
            zones=settings.regions,
        )
        self._service_dispatcher.work.on_ratio = self._on_duration_ratio
        self._service_dispatcher.on_forecast = self._on_forecast
        self._refused_accounts = RefusedAccounts(
            self._timers, self._log, self._service_dispatcher
        )
        self._forward_notes = ForwardTelemetry(
            self._log, self._metrics, self._service_dispatcher, self._refused_accounts
        )
        self._admission = ForwardAdmission(
            self._timers, self._key_trust, clock, settings.regions
        )
        self._quarantine = Quarantine(
            crashes=settings.quarantine.crashes, hold_s=settings.quarantine.hold_s
        )
        self._version_history = VersionHistory()
        self._forwarder = Forwarder(
            self._pool,
            self._timers,
            self._endpoints,
            self._service_dispatcher,
            self._admission,
            self._forward_notes,
            self._quarantine,
        )
        self._add_fleet()
        self._add_servers()

    def _budget(self) -> FleetRetryBudget:
        bounds = self._settings.bounds
        return FleetRetryBudget(
            bounds.budget_ratio, bounds.budget_slack, bounds.budget_window_s
        )

    def _add_fleet(self) -> None:
        settings = self._settings
        own = (settings.gossip.ip, settings.gossip.port)
        store = (settings.store.ip, settings.store.port)
        self._gossip_link = GossipLink(
            *own, lambda data: self._exchange.receive(data)
        ).register(self)
        hello = Hello(
            host=settings.host,
            boot=self._boot,
            ip=settings.gossip.ip,
            port=settings.gossip.port,
            zone=settings.zone,
        )
        seeds = [(seed.ip, seed.port) for seed in settings.seeds]
        self._exchange = FleetExchange(
            hello, self._gossip_link, self._timers, seeds, self, clock
        )
        self._placement = self._forwarder.placement = Placement(
            hello,
            self._service_dispatcher,
            self._endpoints,
            self._timers,
            self._exchange,
            self._forwarder.carry_out,
            self._log,
            CachedPartsLoader(
                self._pool,
                self._timers,
                self._service_dispatcher,
                self._log,
                lambda engine: self._leaving_watch.on_answer(engine),
                self._on_other_start,
            ),
        )
        self._placement.on_redirected = self._forwarder.on_redirected
        self._forwarder.on_other_start = self._on_other_start
        self._affinity = VersionAffinity(hello, self._timers, self._exchange)
        self._unproven_starts = UnprovenStarts(hello, self._timers, self._exchange)
        self._crash_watch = self._forwarder.crashes = CrashWatch(
            self._quarantine,
            self._timers,
            ConnectCheck(self._timers).register(self),
            self._exchange,
            GatewayCrashRecorder(self._log, self._metrics),
            self._forwarder.on_quarantined,
            lambda fingerprint: self._quarantine_store.update(fingerprint),
            self._on_endpoint_crashed,
        )
        self._leaving_watch = self._forwarder.leaving = LeavingWatch(
            self._endpoints,
            self._timers,
            self._exchange,
            self._on_endpoint_leaving,
        )
        self._start_times = StartTimesWatch(
            self._endpoints, self._timers, self._exchange, self._on_answer_changes
        )
        self._quarantine_store = QuarantineStore(
            self._pool,
            self._timers,
            store,
            self._quarantine,
            is_reader=self._contacts_store,
            is_partitioned=lambda: self._exchange.is_partitioned,
            on_read=self._crash_watch.receive,
        )
        self._evacuation_watch = EvacuationWatch(
            self._timers, self._exchange, self._on_evacuation
        )
        self._store_view = StoreView(
            self._pool,
            self._timers,
            store,
            self._endpoints,
            self._log,
            self._evacuation_watch,
            on_routing=self._on_routing,
            on_change=self._on_change,
            on_update=self._exchange.schedule_report,
            on_read=self._exchange.forward_update,
            on_era=self._on_era,
            poll_interval_s=read_interval_s(*settings.bounds.read_deadlines_s),
            clock=clock,
        )
        self._forwarder.versions = StreamVersions(
            self._timers,
            self._endpoints,
            self._version_history,
            self._affinity,
            self._unproven_starts,
            CurrentList(self._timers, self._store_view, clock),
        )
        self._key_watch = KeyWatch(
            self._key_trust, self._store_view, self._log, clock()
        )
        self._registry = RouterRegistry(
            self._pool,
            self._timers,
            store,
            settings.host,
            own,
            is_isolated=lambda: not self._exchange.hosts,
            is_contact=self._contacts_store,
            on_found=self._exchange.add_addresses,
        )

    def _contacts_store(self) -> bool:
        alone = not self._exchange.hosts
        return alone or self._exchange.store_role is not StoreRole.MEMBER

    def _add_servers(self) -> None:
        settings = self._settings
        interface = CallerInterface()
        self._shedder = LoadShedder(
            self._poller.load,
            self._timers,
            self._log,
            self._metrics,
            lambda data: self._admission.account_of(interface.key(data)),
        )
        self._shedder.on_shed = self._refused_accounts.on_unread
        self._callers = CallerServer(
            settings.callers.ip,
            settings.callers.port,
            self._forwarder,
            self._timers,
            interface=interface,
            max_connections=settings.files.callers,
            body_budget=settings.body_budget,
            gate=self._shedder,
            on_full=lambda *counts: self._host_watch.on_full(*counts),
        ).register(self)
        self._host_watch = HostWatch(
            self._timers,
            self._log,
            self._callers,
            running=lambda: self._in_flight,
            waiting=lambda: self._placement.waiting,
            period_s=TICK_INTERVAL_S,
        )
        pages = GatewayPages(
            self._metrics,
            self._explain_placement,
            readiness_error=self._readiness_error,
            waiting=lambda: self._placement.waiting,
            running=lambda: self._in_flight,
            callers=self._callers,
            loop_delay_s=lambda: self._host_watch.worst_s,
            peers=lambda: self._exchange.hosts,
            version=lambda: self._store_view.version,
            config_age_s=lambda: self._key_trust.age_s(clock()),
            control_bytes=lambda: (
                self._gossip_link.bytes_in,
                self._gossip_link.bytes_out,
            ),
            control_too_long=lambda: self._gossip_link.oversized_messages,
            store_calls=lambda: (
                self._store_view.calls
                + self._registry.calls
                + self._quarantine_store.calls
            ),
            dropped=lambda: self._log.dropped,
            era=lambda: self._store_view.era,
            quarantined=lambda: len(self._quarantine.quarantined(self._timers.now)),
            cold=lambda: self._service_dispatcher.warmup.cold_endpoints(
                self._timers.now
            ),
            evacuated=lambda: len(self._evacuation_watch.zones),
            stale_retries=lambda: self._pool.stale_retries,
            verifications=lambda: self._pool.verifier.counts,
            slow=lambda: self._service_dispatcher.work.slow_endpoints(self._timers.now),
        )
        self._serve_pages(settings.ready, pages, "ready", ReadyInterface())
        if settings.metrics is not None:
            self._serve_pages(
                settings.metrics, pages, "metrics", ReadyInterface(placement=True)
            )

    def _explain_placement(self, call: PlacementCall) -> None:
        self._placement_page.on_call(call)

    @cached_property
    def _placement_page(self) -> "PlacementPage":
        # Few hosts are ever asked, and a host that restarts serves sooner without it.
        from greengageflow.daemon.placement_page import PlacementPage

        return PlacementPage(
            self._settings.host,
            self._timers,
            self._admission,
            self._service_dispatcher,
            self._placement,
            totals_at=lambda: self._forward_notes.totals_at,
        )

    def _serve_pages(
        self,
        address: Address,
        pages: GatewayPages,
        channel: str,
        interface: ReadyInterface,
    ) -> None:
        CallerServer(
            address.ip,
            address.port,
            pages,
            self._timers,
            interface=interface,
            channel=channel,
        ).register(self)

    @property
    def _in_flight(self) -> int:
        return self._forwarder.active_requests - self._placement.waiting

    def _readiness_error(self) -> RouterError | None:
        if self._callers.full:
            return RouterError(ErrorKind.HOST_BUSY, "no room for one more connection")
        return self._forwarder.readiness_error()

    # Other routers.

    def report(self, number: int, sequence: int) -> PeerReport:
        """Return the current report of this router."""
        now = self._timers.now
        gossip = self._settings.gossip
        return PeerReport(
            host=self._settings.host,
            boot=self._boot,
            number=number,
            sequence=sequence,
            ip=gossip.ip,
            port=gossip.port,
            zone=self._settings.zone,
            stopping=self._forwarder.stopping,
            served=self._service_dispatcher.recent_work(now),
            offered=self._service_dispatcher.recent_demand(now),
            loads=self._service_dispatcher.own_loads(),
            version=self._store_view.version,
            list_mark=self._store_view.list_mark,
            config_age_s=clock() - self._store_view.config_confirmed_at,
            list_age_s=clock() - self._store_view.list_confirmed_at,
            placed=self._service_dispatcher.recent_placements(now),
        )

    def loads(self) -> Mapping[str, LoadShare]:
        """Return the load that this router puts on each endpoint."""
        return self._service_dispatcher.own_loads()

    def recent_placements(self) -> Placements:
        """Return recently sent prompt prefixes and their endpoints."""
        return self._service_dispatcher.recent_placements(self._timers.now)

    def on_placements(self, placements: Placements) -> None:
        """Handle prompt prefixes that other routers sent to endpoints."""
        self._service_dispatcher.on_placements(self._timers.now, placements)

    def on_loads(self, loads: Mapping[str, LoadShare]) -> None:
        """Handle a change of the load that other routers put on each endpoint."""
        self._service_dispatcher.on_loads(loads)

    def on_totals(self, totals: FleetTotals) -> None:
        """Handle the totals of all other routers."""
        now = self._timers.now
        self._forward_notes.totals_at = self._refused_accounts.totals_at = now
        self._placement.on_round()
        self._forwarder.carry_out(self._service_dispatcher.on_totals(now, totals))

    def on_store_update(self, update: StoreUpdate) -> None:
        """Handle what another router read from the store."""
        self._store_view.apply_update(update)

    def on_crash_report(self, report: CrashReport) -> None:
        """Handle a report of requests that crashed endpoints."""
        self._crash_watch.receive(report.records)

    def on_leaving_report(self, report: LeavingReport) -> None:
        """Handle a report of endpoints that announced that they leave."""
        self._leaving_watch.receive(report.endpoints)

    def on_start_times_report(self, report: StartTimesReport) -> None:
        """Handle a report that endpoints state start times which entries lack."""
        self._start_times.receive(report)

    def on_evacuation_report(self, report: EvacuationReport) -> None:
        """Handle a report of evacuated zones."""
        self._evacuation_watch.receive(report.records)

    def on_version_report(self, report: StreamVersionReport) -> None:
        """Handle a report of the software versions of streams."""
        self._affinity.receive_report(report)

    def on_version_query(self, query: StreamVersionQuery) -> None:
        """Handle a query for the software version of a stream."""
        self._affinity.receive_query(query)

    def on_start_query(self, query: UnprovenStartQuery) -> None:
        """Handle a query for unproven starts of endpoints."""
        self._unproven_starts.receive_query(query)

    def on_start_report(self, report: UnprovenStartReport) -> None:
        """Handle a report of unproven starts of endpoints."""
        self._unproven_starts.receive_report(report)

    def on_placement_message(self, message: PlacementMessage) -> None:
        """Handle a placement message of another router."""
        self._placement.receive(message)

    # The store.

    def _on_routing(self, routing: Routing) -> None:
        self._forwarder.on_routing(routing)
        self._shedder.on_routing(routing)
        self._callers.set_request_limits(routing.bounds)

    def _on_duration_ratio(self, service: str, ratio: float) -> None:
        self._metrics.observe(PageMetric.DURATION_RATIO, ratio, service)

    def _on_forecast(self, service: str, outcome: ForecastOutcome) -> None:
        match outcome:
            case ForecastOutcome.REJECTED:
                self._metrics.count(PageMetric.FORECAST_REJECTIONS, service)
            case _:
                self._metrics.count(PageMetric.FORECAST_WAITS, outcome.value)

    def _on_endpoint_leaving(self, endpoint: str, source: str) -> None:
        self._log.write(
            DecisionEvent.ENDPOINT_LEAVING, endpoint=endpoint, source=source
        )

    def _on_endpoint_crashed(self, start: str) -> None:
        endpoint = self._endpoints.find_start(start)
        if endpoint is not None:
            self._service_dispatcher.on_crash(self._timers.now, endpoint)

    def _on_era(self, _era: int) -> None:
        self._registry.rewrite()
        self._quarantine_store.rewrite()

    def _on_other_start(self, endpoint: ListedEndpoint) -> None:
        """Use a start of an endpoint that answers though another one is listed."""
        # It may be cold until its entry states otherwise.
        cold_s = self._service_dispatcher.service(endpoint.service).cold_start_s
        found = replace(endpoint, cold_s=cold_s)
        self._start_times.on_answer(endpoint.service)
        changes = [
            *self._endpoints.restore(endpoint.id, endpoint.born),
            *self._endpoints.put_unlisted(found),
        ]
        self._on_answer_changes(changes)

    def _on_answer_changes(self, changes: Iterable[ListChange]) -> None:
        for change in changes:
            self._on_change(change, "answer")

    def _on_change(self, change: ListChange, source: str = "list") -> None:
        event = {
            "new": DecisionEvent.ENDPOINT_SEEN,
            "start": DecisionEvent.ENDPOINT_SEEN,
            "cold": DecisionEvent.ENDPOINT_COLD,
            "leaving": DecisionEvent.ENDPOINT_LEAVING,
            "gone": DecisionEvent.ENDPOINT_GONE,
        }[change.what]
        fields = {"endpoint": change.id, "source": source}
        listed = self._endpoints.get(change.id)
        if change.what in ("new", "start") and listed is not None:
            fields |= {
                "service": listed.service,
                "zone": listed.zone,
                "release": listed.version,
            }
        if change.what in ("new", "cold") and listed is not None and listed.cold_s:
            fields["cold_ms"] = round(1000 * listed.cold_s)
            self._service_dispatcher.warmup.on_cold(
                self._timers.now, listed.id, listed.cold_s
            )
        self._log.write(event, **fields)
        if change.what == "start" and listed is not None:
            self._forwarder.on_start_listed(listed)
        if change.what == "gone":
            self._service_dispatcher.forget_endpoint(change.id)
        if change.what == "new":
            # Not after "gone" already: a request that starts instead may go to the new
            # start, for which no warm-up has been recorded by then.
            self._placement.drop_ended()

    def _on_evacuation(self, zones: frozenset[str], released: frozenset[str]) -> None:
        self._log.write(
            DecisionEvent.ZONES_EVACUATED,
            zones=" ".join(sorted(zones)),
            released=" ".join(sorted(released)),
        )
        self._endpoints.evacuate(zones)
        # Endpoints that were empty for a while are cold, whatever the list says so far.
        for endpoint in self._endpoints.in_zones(released):
            cold_s = self._service_dispatcher.service(endpoint.service).cold_start_s
            self._service_dispatcher.warmup.on_cold(
                self._timers.now, endpoint.id, cold_s
            )
        self._forwarder.carry_out(self._service_dispatcher.pump(self._timers.now))

    # Lifecycle.

    def _on_tick(self) -> None:
        self._gossip_link.batching = self._placement.may_batch_messages
        now, store_states = clock(), self._exchange.store_states()
        self._store_view.on_tick(self._exchange.store_role, store_states)
        self._key_watch.confirm(now, store_states)
        self._forwarder.on_tick()
        self._host_watch.on_tick()

    def _observe_versions(self) -> None:
        if clock() - self._store_view.list_confirmed_at <= LIST_MAX_AGE_S:
            self._version_history.observe(
                self._timers.now, self._endpoints.versions(), self._endpoints.starts()
            )

    @handler("started", channel="*")
    def _on_started(self, *_args: object) -> None:
        self._log.write(
            DecisionEvent.STARTED, zone=self._settings.zone, version=VERSION
        )
        signal(SIGHUP, lambda *_args: self._timers.after(0, self._reload))
        self._exchange.start()
        self._placement.start()
        self._crash_watch.start()
        self._leaving_watch.start()
        self._start_times.start()
        self._evacuation_watch.start()
        self._registry.start()
        self._unproven_starts.start()
        self._quarantine_store.start()
        self._timers.every(TICK_INTERVAL_S, self._on_tick)
        self._timers.every(FLUSH_INTERVAL_S, self._log.flush)
        self._timers.every(VERSIONS_INTERVAL_S, self._observe_versions)

    def _reload(self) -> None:
        """Reload the settings and apply those that can change at run time."""
        try:
            cfg = load_gateway_settings(self._path)
        except ExceptionGroup as group:
            faults = "; ".join(map(str, group.exceptions))
            self._log.write(DecisionEvent.RELOADED, changed="", fault=faults)
            return
        changed = cfg != self._settings
        self._exchange.add_addresses((seed.ip, seed.port) for seed in cfg.seeds)
        self._log.write(DecisionEvent.RELOADED, changed="seeds" if changed else "")

    def _begin_stop(self) -> None:
        if self._forwarder.stopping:
            return
        self._log.write(
            DecisionEvent.STOPPING,
            running=self._in_flight,
            waiting=self._placement.waiting,
        )
        self._forwarder.stopping = self._exchange.stopping = True
        self._placement.stop_placing()
        self._affinity.on_stop()
        self._unproven_starts.send_all()
        self._stop_started_at = self._timers.now
        self._callers.close_after_answers()
        self._timers.after(BALANCER_DRAIN_S, self._refuse_new)

    def _refuse_new(self) -> None:
        self._forwarder.refusing = True
        self._callers.drain()
        self._timers.every(STOP_CHECK_INTERVAL_S, self._stop_when_done)

    def _stop_when_done(self) -> None:
        waited_s = self._timers.now - self._stop_started_at
        busy = self._forwarder.active_requests or self._callers.unfinished_answers
        if busy and waited_s < self._settings.bounds.grace_s - EXIT_MARGIN_S:
            return
        self._log.write(
            DecisionEvent.STOPPED,
            cut=self._forwarder.active_requests,
            total_ms=round(1000 * waited_s),
        )
        self._log.flush()
        self.stop()


def run(settings: str = "") -> None:
    """Run one gateway until SIGTERM.

    Args:
        settings: Path of the JSON settings; by default the one that the platform
            sets in the environment.
    """
    setup_logging(sink=sys.stdout)
    path = settings_path(settings)
    try:
        cfg = load_gateway_settings(path)
    except ExceptionGroup as group:
        for exc in group.exceptions:
            log(LogEvent.SETTINGS_REJECTED, fault=f"{path}: {exc}")
        sys.exit(2)
    gateway = Gateway(cfg, path)
    # The collector need not visit the objects of the program itself: a full collection
    # of these would stop all requests for 30 ms.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    gateway.run()


def main() -> None:
    """Run the program."""
    if not sys.argv[1:]:
        # The platform starts it without arguments. Importing ``fire`` takes 0.05 s of
        # processor time, by which a small host would serve later after a restart.
        run()
        return
    import fire  # noqa: PLC0415

    fire.Fire(run, name="greengage-gateway")


if __name__ == "__main__":
    main()
