"""Scheduling, placement and retry decisions of one host, for all its services."""

from collections.abc import Callable, Container, Iterable, Iterator, Mapping, Sequence
from math import exp, inf

from greengageflow.core.decayed import DecayedSums
from greengageflow.core.endpoint_choice import (
    MAX_FILL_FRACTION,
    Choice,
    EndpointChooser,
)
from greengageflow.core.endpoint_health import EndpointHealth
from greengageflow.core.endpoint_list import EndpointList, ListedEndpoint
from greengageflow.core.endpoint_load import EndpointLoad, EndpointLoads, LoadShare
from greengageflow.core.fleet_demand import divide_capacity
from greengageflow.core.fleet_retry_budget import BudgetUsage, FleetRetryBudget
from greengageflow.core.fleet_size import FleetSize
from greengageflow.core.fleet_sums import FleetTotals
from greengageflow.core.forward_request import Prompt, PromptPart
from greengageflow.core.placement_preview import PlacementPreview, RecordingChooser
from greengageflow.core.prefix_tracker import PrefixTracker
from greengageflow.core.routes import Routing, Service
from greengageflow.core.service_scheduler import (
    CapacityShare,
    Decision,
    Job,
    ServiceScheduler,
    StartJob,
)
from greengageflow.core.slot_forecast import ForecastOutcome, SlotForecast
from greengageflow.core.unreported_work import UnreportedWork
from greengageflow.core.warmup import FleetShare, WarmupBounds, WarmupLimiter
from greengageflow.core.work_model import WorkModel

USAGE_DECAY_S = 2.0
"""Time constant of the decay of recent work, in seconds.

The mean age of the work counted equals that of a plain 4 s window. An account that
had the engines to itself gets no capacity until its decayed sum has dropped to that
of the other accounts.
"""
DEFAULT_SLOTS = 6
MIN_RUNNING_REQUESTS = 2.0
MIN_RECENT_WORK_TOKENS = 25_000.0 * USAGE_DECAY_S
PREFILL_LOOKAHEAD_S = 0.35
FAIR_SHARE_TOLERANCE = 1.5
"""Multiple of its fair share above which an account's requests yield to others'.

Usage decays, so a single large request exceeds the share for a moment.
"""

MIN_VISIBLE_FRACTION = 0.5
"""Fraction of the fleet whose reports tell enough about the endpoints' load."""

AccountKey = tuple[str, str]
"""Service name and client account."""


def _ignore(_service: str, _outcome: ForecastOutcome) -> None:
    """Stand in for the receiver of forecasts' outcomes."""


class ServiceDispatcher:
    """Queues, endpoint loads and retry budgets of all services.

    Combines the state of this host with the reports of the other hosts.

    Args:
        endpoints: Listed endpoints.
        zone: Availability zone of this host.
        budget: Creates the retry budget of one service.
        min_hosts: Number of hosts assumed at start-up, including this one.
        host: This host.
        warmup: Limits for requests to cold endpoints.
        zones: All availability zones; empty if they are not known.

    Attributes:
        warmup: Limits the requests that cold endpoints get.
        work: Predicts durations of requests at endpoints.
        on_forecast: Called with the service and what became of a request for which
            there was a forecast of its start.
    """

    def __init__(
        self,
        endpoints: EndpointList,
        zone: str,
        budget: Callable[[], FleetRetryBudget],
        *,
        min_hosts: int = 1,
        host: str = "",
        warmup: WarmupBounds | None = None,
        zones: Iterable[str] = (),
    ) -> None:
        self._endpoints = endpoints
        self._zone = zone
        self._routing = Routing()
        self._loads = EndpointLoads()
        self._health = EndpointHealth()
        self._prefixes = PrefixTracker()
        self._share = FleetShare(host, zones, min_hosts=min_hosts)
        self.warmup = WarmupLimiter(
            host, warmup or WarmupBounds(), self._share, self.service
        )
        self.work = WorkModel()
        self.on_forecast: Callable[[str, ForecastOutcome], None] = _ignore
        self._chooser = EndpointChooser(
            self._load,
            self._health,
            self._prefixes.places,
            zone,
            self.warmup.may_send,
            self.work,
        )
        self._schedulers: dict[str, ServiceScheduler] = {}
        self._make_budget = budget
        self._budgets: dict[str, FleetRetryBudget] = {}
        self._started_at: float | None = None
        self._recent_work: DecayedSums[AccountKey] = DecayedSums(USAGE_DECAY_S)
        self._recent_demand: DecayedSums[AccountKey] = DecayedSums(USAGE_DECAY_S)
        self._unreported: dict[str, UnreportedWork] = {}
        self._totals = FleetTotals()
        self._fleet_size = FleetSize(min_hosts)
        self._now = 0.0
        self._owned_engines: frozenset[str] | None = None

    # Placement on behalf of all hosts.

    def set_owned_engines(self, endpoints: frozenset[str] | None) -> None:
        """Set the engines that this host places for all hosts.

        Args:
            endpoints: Ids of the engines, or None if this host is not a placer.
        """
        self._owned_engines = self.warmup.owned_engines = endpoints

    def set_live_hosts(self, now: float, zone_by_host: Mapping[str, str]) -> None:
        """Set the live hosts, including this one, and their availability zones."""
        self.warmup.on_round(now)
        self._share.observe(now, zone_by_host)

    def get_endpoint(self, endpoint: str) -> ListedEndpoint | None:
        """Return an endpoint by id, or None if it is not listed."""
        return self._endpoints.get(endpoint)

    def has_ended(self, endpoint: ListedEndpoint) -> bool:
        """Whether this start of an endpoint is known to have ended."""
        return self._endpoints.has_ended(endpoint)

    def free_slots(self, endpoint: ListedEndpoint) -> int:
        """Return the slots of an engine that are free, by the latest load reports."""
        return self._load(endpoint).free_slots(MAX_FILL_FRACTION)

    def is_engine(self, endpoint: ListedEndpoint | None) -> bool:
        """Whether an endpoint is a model engine."""
        return endpoint is not None and self.service(endpoint.service).is_engine

    def restore_request(
        self,
        now: float,
        request: str,
        endpoint: ListedEndpoint,
        reading: float,
        memory: float,
    ) -> None:
        """Add a request that a previous placer sent to the endpoint's load."""
        self._load(endpoint).add_request(now, request, reading, memory, reliable=False)

    def on_cached_parts(
        self, now: float, endpoint: ListedEndpoint, parts: Sequence[PromptPart]
    ) -> None:
        """Record the prompt parts that an engine reports in its prefix cache."""
        if not self._endpoints.is_current(endpoint):
            return
        capacity = self.service(endpoint.service).memory_tokens
        self._prefixes.on_cached_parts(now, endpoint, parts, capacity)

    def _assigned_endpoints(self, now: float, service: str) -> Sequence[ListedEndpoint]:
        """Return the endpoints to which this host sends new requests."""
        usable = self.available_endpoints(now, service)
        if self._owned_engines is None or not self.service(service).is_engine:
            return usable
        return [
            endpoint for endpoint in usable if endpoint.id in self._owned_engines
        ] or usable

    # Reports to other hosts.

    @property
    def waiting(self) -> int:
        """Number of queued requests of all services."""
        return sum(scheduler.waiting for scheduler in self._schedulers.values())

    def recent_usage(self, service: str, account: str) -> float:
        """Return the decayed sum of work that an account got in the whole fleet."""
        key = (service, account)
        usage = self._recent_work.get(self._now, key)
        usage += self._totals.served.get(key, 0.0)
        unreported = self._unreported.get(service)
        if unreported is not None:
            usage += unreported.of_others(self._now, account)
        return usage

    def usage_limit(self, service: str, account: str) -> float:
        """Return the recent work above which an account yields to others."""
        found = self._schedulers.get(service)
        limits = found.capacity_share.usage_limits if found else {}
        return limits.get(account, inf)

    def queue_length(self, service: str) -> int:
        """Return the number of queued requests of a service."""
        found = self._schedulers.get(service)
        return found.waiting if found else 0

    def recent_work(self, now: float) -> dict[AccountKey, float]:
        """Return the work started here recently, by service and account."""
        return dict(self._recent_work.items(now, 1.0))

    def recent_demand(self, now: float) -> dict[AccountKey, float]:
        """Return the work requested here recently, by service and account."""
        return dict(self._recent_demand.items(now, 1.0))

    def own_loads(self) -> dict[str, LoadShare]:
        """Return the load that this host puts on each endpoint, by endpoint id."""
        return self._loads.own_shares()

    def recent_placements(self, now: float) -> tuple[tuple[str, str], ...]:
        """Return recent placements as pairs of prompt part and endpoint id."""
        return self._prefixes.recent_placements(now)

    # Updates from the store and from other hosts.

    def on_routing(self, routing: Routing) -> None:
        """Apply a new configuration."""
        self._routing = routing
        self.work.enabled = routing.has_short_targets
        for scheduler in self._schedulers.values():
            scheduler.by_cost = self.work.enabled

    def forget_endpoint(self, endpoint: str) -> None:
        """Drop all state of an endpoint that is no longer listed, or has ended."""
        self._health.forget(endpoint)
        self.warmup.forget(endpoint)
        self.work.forget(endpoint)
        self._loads.forget(endpoint)
        self._prefixes.forget(self._now, endpoint)

    def on_crash(self, now: float, endpoint: ListedEndpoint) -> None:
        """Drop what depends on the process of an endpoint, which has crashed.

        The endpoint may come back as the same start, or as one that is not listed yet.
        Its failures are kept, and so are its requests, which end one by one.
        """
        if not self._endpoints.is_current(endpoint):
            return
        self._health.end_backoff(endpoint.id)
        self.work.forget(endpoint.id)
        self._prefixes.forget(now, endpoint.id)

    def on_loads(self, loads: Mapping[str, LoadShare]) -> None:
        """Replace the load that all other hosts put on endpoints."""
        self._loads.set_others(loads)

    def on_placements(self, now: float, placed: Iterable[tuple[str, str]]) -> None:
        """Record where another host sent prompt parts."""
        self._prefixes.on_placements(now, placed)

    def on_totals(self, now: float, totals: FleetTotals) -> Iterator[Decision]:
        """Apply the aggregated reports of the other hosts, and yield what can start."""
        self._now = now
        self._totals = totals
        self._fleet_size.observe(now, totals.hosts + 1)
        if self._started_at is None:
            self._started_at = now
        self._loads.set_others(totals.loads)
        for name, scheduler in self._schedulers.items():
            if self.service(name).is_engine:
                scheduler.capacity_share = self._capacity_share(now, name)
        self._update_unreported(now)
        yield from self.pump(now)

    def _update_unreported(self, now: float) -> None:
        if self._owned_engines is None:
            self._unreported.clear()
            return
        for name, unreported in self._unreported.items():
            usable = self.available_endpoints(now, name)
            owned = sum(e.id in self._owned_engines for e in usable)
            unreported.on_totals(
                now,
                _work_by_account(name, dict(self._recent_demand.items(now, 1.0))),
                _work_by_account(name, self._totals.offered),
                (len(usable) - owned) / owned if owned else 0.0,
            )

    def _unreported_work(self, service: str) -> UnreportedWork | None:
        if self._owned_engines is None or not self.service(service).is_engine:
            return None
        return self._unreported.setdefault(service, UnreportedWork())

    def _capacity_share(self, now: float, service: str) -> CapacityShare:
        own = _work_by_account(service, dict(self._recent_demand.items(now, 1.0)))
        others = _work_by_account(service, self._totals.offered)
        started_work = sum(
            self.recent_usage(service, a) for a in own.keys() | others.keys()
        )
        # Hosts whose reports are missing go on using their parts.
        visible = self._visible_fraction
        capacity = visible * self._fair_share_capacity(started_work)
        parts = divide_capacity(own, others, capacity)
        loads = [self._load(e) for e in self._assigned_endpoints(now, service)]
        slots = sum(load.slots for load in loads)
        reading = sum(_prefill_lookahead(load) for load in loads)
        # Engines that a placer owns get requests from this host only.
        part = visible * parts.own if self._owned_engines is None else 1.0
        return CapacityShare(
            running=max(MIN_RUNNING_REQUESTS, MAX_FILL_FRACTION * slots * part),
            reading=max(1.0, reading * part),
            usage_limits={
                a: FAIR_SHARE_TOLERANCE * share for a, share in parts.shares.items()
            },
            knows_spare=visible >= MIN_VISIBLE_FRACTION,
        )

    @property
    def _visible_fraction(self) -> float:
        """Fraction of the fleet whose reports are known here.

        It is 1 for a placer, which knows what its own engines run.
        """
        if self._owned_engines is not None:
            return 1.0
        return min(1.0, (self._totals.hosts + 1) / self._fleet_size.hosts)

    def _fair_share_capacity(self, started_work: float) -> float:
        """Return the recent work that is divided into fair shares among accounts.

        The configured capacity takes precedence: work beyond it belongs to no account,
        and a host that has just started has not observed any work yet.

        Args:
            started_work: Decayed sum of the work that was started.
        """
        return self._routing.tokens_per_s * USAGE_DECAY_S or max(
            started_work, MIN_RECENT_WORK_TOKENS
        )

    # Requests.

    def submit(
        self,
        now: float,
        service: str,
        job: Job,
        account: str,
        *,
        count_for_budget: bool = True,
        count_demand: bool = True,
    ) -> Iterator[Decision]:
        """Queue a request, and yield the decisions that are now possible.

        Args:
            now: The time.
            service: Service that runs it.
            job: The request.
            account: Client account.
            count_for_budget: The request came from a caller of this host and
                counts towards the retry budget.
            count_demand: It counts in the demand of its account; not if another host
                that queued it before has counted it.
        """
        self._now = now
        if count_for_budget:
            self.count_request(now, service)
        if count_demand:
            work = job.queued_request.work
            self._recent_demand.add(now, (service, account), work)
            unreported = self._unreported_work(service)
            if unreported is not None:
                unreported.on_asked(now, account, work)
        yield from self._record_starts(
            service, self._scheduler(service).submit(now, job)
        )

    def count_request(self, now: float, service: str) -> None:
        """Count a caller's request towards the retry budget."""
        self._budget(service).on_request(now)

    def pump(self, now: float) -> Iterator[Decision]:
        """Yield all starts and refusals that are due."""
        self._now = now
        for name, scheduler in list(self._schedulers.items()):
            if scheduler.waiting:
                yield from self._record_starts(name, scheduler.pump(now))

    def on_request_end(
        self, now: float, service: str, request: str
    ) -> Iterator[Decision]:
        """Release a request that was answered or whose caller disconnected."""
        self._now = now
        scheduler = self._scheduler(service)
        scheduler.cancel(request)
        yield from self._record_starts(service, scheduler.release(now, request))

    def _record_starts(
        self, service: str, decisions: Iterable[Decision]
    ) -> Iterator[Decision]:
        for decision in decisions:
            if isinstance(decision, StartJob):
                queued_request = decision.queued_request
                self._charge(
                    self._now, service, queued_request.account, queued_request.work
                )
            yield decision

    def _charge(self, now: float, service: str, account: str, work: float) -> None:
        self._recent_work.add(now, (service, account), work)
        unreported = self._unreported_work(service)
        if unreported is not None:
            unreported.on_started(now, account, work)

    def cancel_charge(
        self, now: float, service: str, account: str, work: float, started_at: float
    ) -> None:
        """Take back the charge for a request that was started here and never sent.

        Args:
            now: The time.
            service: Service that would have run it.
            account: Client account.
            work: Its work.
            started_at: Time at which it was charged.
        """
        left = work * exp((started_at - now) / USAGE_DECAY_S)
        self._recent_work.add(now, (service, account), -left)

    def choose_retry_endpoint(
        self,
        now: float,
        service: str,
        prompt: Prompt | None,
        avoid: Container[str],
        allowed_zones: Container[str] | None = None,
        version: str = "",
    ) -> Choice | None:
        """Return the endpoint for a retry, or None if there is none.

        Only chooses the endpoint; ``take_retry`` checks the retry budget.

        Args:
            now: The time.
            service: Service that runs the request.
            prompt: Its prompt, for a model engine.
            avoid: Ids of endpoints that already got the request.
            allowed_zones: Zones whose endpoints may run it, or None for all.
            version: Software version whose endpoints may run it; empty for all.
        """
        usable = [
            e
            for e in self.available_endpoints(now, service)
            if e.id not in avoid and version in ("", e.version)
        ]
        candidates = self._chooser.find_candidates(now, usable)
        return self._chooser.choose(
            now,
            candidates,
            prompt,
            max_wait_s=inf,
            transfers=self.service(service).transfers,
            allowed_zones=allowed_zones,
        )

    def take_retry(self, now: float, service: str) -> bool:
        """Take a retry from a service's budget; return False if it is exhausted."""
        return self._budget(service).take(now, self._fleet_size.hosts)

    def take_spare_retry(self, now: float, service: str) -> bool:
        """Take a retry that failures can spare; return False if there is none."""
        return self._budget(service).take_spare(now, self._fleet_size.hosts)

    def budget_usage(self, now: float, service: str) -> BudgetUsage:
        """Return the state of a service's retry budget."""
        return self._budget(service).usage(now, self._fleet_size.hosts)

    def _budget(self, service: str) -> FleetRetryBudget:
        found = self._budgets.get(service)
        if found is None:
            found = self._budgets[service] = self._make_budget()
            found.refilled_at = self._started_at
        return found

    def on_request_sent(
        self, now: float, request: str, choice: Choice, prompt: Prompt | None
    ) -> None:
        """Record that a request was sent to an endpoint."""
        endpoint = choice.endpoint
        self.warmup.on_sent(now, endpoint)
        memory = prompt.tokens_in + prompt.tokens_out if prompt else 0
        self._load(endpoint).add_request(
            now,
            request,
            choice.reading,
            memory,
            reliable=choice.reliable,
            key=choice.key,
        )
        if prompt is not None:
            capacity = self.service(endpoint.service).memory_tokens
            self._prefixes.on_sent(now, request, endpoint, prompt, capacity)

    def on_first_event(
        self, now: float, request: str, endpoint: ListedEndpoint
    ) -> None:
        """Record the first event of a request's answer."""
        if not self._endpoints.is_current(endpoint):
            return
        self._load(endpoint).on_first_event(now, request)
        self._prefixes.on_read(request, endpoint)
        self.warmup.on_answer(now, endpoint)
        self._health.on_answer(endpoint.id, True)

    def on_request_released(
        self,
        request: str,
        endpoint: ListedEndpoint,
        *,
        completed_at: float | None = None,
    ) -> None:
        """Remove a request from an endpoint's load.

        Args:
            request: Its id.
            endpoint: The endpoint.
            completed_at: Time at which its whole answer had come; None if it was cut
                off, rejected or cancelled.
        """
        self._prefixes.on_released(request)
        load = self._loads.get(endpoint.id)
        run = load.remove_request(request) if load is not None else None
        if run is None or run.key is None or run.began_at is None:
            return
        if completed_at is not None and self._endpoints.is_current(endpoint):
            took_s = completed_at - run.began_at
            self.work.observe(completed_at, run.key, endpoint, took_s)

    def on_backoff(self, now: float, endpoint: ListedEndpoint, seconds: float) -> bool:
        """Start a backoff that an endpoint asked for.

        Returns:
            True if the endpoint was not in backoff before.
        """
        if not self._endpoints.is_current(endpoint):
            return False
        return self._health.on_backoff(now, endpoint.id, seconds)

    def available_endpoints(self, now: float, service: str) -> Sequence[ListedEndpoint]:
        """Return the endpoints of a service that accept new work from this host."""
        usable = self._endpoints.usable(service)
        backoffs = self._health.backoffs(now)
        return [e for e in usable if e.id not in backoffs] if backoffs else usable

    def is_available(self, now: float, endpoint: ListedEndpoint) -> bool:
        """Whether an endpoint accepts new work from this host."""
        may_use = self._endpoints.may_use(endpoint.id)
        return may_use and endpoint.id not in self._health.backoffs(now)

    def backoff_s(self, now: float, service: str) -> float:
        """Return the seconds until the first of a service's endpoints ends its backoff.

        It is 0 if an endpoint accepts work now, or if there are no endpoints.
        """
        backoffs = self._health.backoffs(now)
        if not backoffs:
            return 0.0
        usable = self._endpoints.usable(service)
        return min((backoffs.get(e.id, 0.0) for e in usable), default=0.0)

    def may_resend(self, now: float, endpoint: ListedEndpoint) -> bool:
        """Whether an endpoint that may have restarted accepts a request once more."""
        return self.is_available(now, endpoint) and self.warmup.may_send(now, endpoint)

    def on_answer(self, endpoint: ListedEndpoint, success: bool) -> bool:
        """Record an endpoint's answer; return True if that ends its suspension."""
        if not self._endpoints.is_current(endpoint):
            return False
        self.warmup.on_answer(self._now, endpoint)
        return self._health.on_answer(endpoint.id, success)

    def on_no_answer(self, now: float, endpoint: ListedEndpoint) -> bool:
        """Record a missing answer; return True if the endpoint becomes suspended."""
        if not self._endpoints.is_current(endpoint):
            return False
        suspended = self._health.on_no_answer(now, endpoint.id)
        if suspended:
            self.warmup.on_suspended(endpoint.id)
        return suspended

    def unavailable_endpoints(self, now: float, service: str) -> tuple[str, ...]:
        """Return the endpoints of a service that are suspended or in backoff."""
        unavailable = self._health.unavailable_endpoints(now)
        if not unavailable:
            return ()
        return tuple(
            e.id for e in self._endpoints.usable(service) if e.id in unavailable
        )

    def consecutive_failures(self, endpoint: ListedEndpoint) -> int:
        """Return an endpoint's number of consecutive missing answers."""
        return self._health.consecutive_failures(endpoint.id)

    # Lookups.

    def service(self, name: str) -> Service:
        """Return a service by name, or a default plain service if not configured."""
        return self._routing.services.get(name) or Service(name)

    def _load(self, endpoint: ListedEndpoint) -> EndpointLoad:
        found = self._loads.get(endpoint.id)
        return self._loads.add(*self._capacity(endpoint)) if found is None else found

    def _capacity(self, endpoint: ListedEndpoint) -> tuple[str, str, int, int]:
        service = self.service(endpoint.service)
        slots = endpoint.slots or service.slots or DEFAULT_SLOTS
        return endpoint.id, endpoint.service, slots, service.memory_tokens

    def preview(self, now: float, service: str) -> PlacementPreview:
        """Return a copy of what decides on a service's requests at this host now.

        It is valid until the next event. Neither the copy nor what is decided with it
        changes any state of this object that later decisions depend on.
        """
        loads: dict[str, EndpointLoad] = {}

        def load(endpoint: ListedEndpoint) -> EndpointLoad:
            found = loads.get(endpoint.id)
            if found is None:
                found = self._loads.peek(*self._capacity(endpoint))
                loads[endpoint.id] = found
            return found

        work = self.work.snapshot()
        chooser = RecordingChooser(
            load,
            self._health,
            self._prefixes.places,
            self._zone,
            self.warmup.may_send,
            work,
        )
        assigned = self._assigned_endpoints(now, service)
        available = self.available_endpoints(now, service)
        scheduler = ServiceScheduler(
            lambda: assigned,
            lambda: available,
            chooser,
            lambda account: self.recent_usage(service, account),
            lambda: self._loads.unread_tokens(service),
            lambda: self.backoff_s(now, service),
            usage_decay_s=USAGE_DECAY_S,
            transfers=self.service(service).transfers,
            service=service,
        )
        scheduler.by_cost = self.work.enabled
        current = self._schedulers.get(service)
        forecast = current.forecast if current is not None else None
        forecast = forecast or self._make_forecast(service)
        scheduler.forecast = forecast.snapshot(load, work)
        scheduler.queue_of = current
        if current is not None:
            scheduler.capacity_share = current.capacity_share
            scheduler.running = set(current.running)
        return PlacementPreview(
            now=now,
            listed=self._endpoints.of_service(service),
            assigned=frozenset(e.id for e in assigned),
            load=load,
            chooser=chooser,
            scheduler=scheduler,
            current=current,
            endpoints=self._endpoints,
            health=self._health,
            warmup=self.warmup,
        )

    def _scheduler(self, service: str) -> ServiceScheduler:
        found = self._schedulers.get(service)
        if found is None:
            found = self._schedulers[service] = ServiceScheduler(
                lambda: self._assigned_endpoints(self._now, service),
                lambda: self.available_endpoints(self._now, service),
                self._chooser,
                lambda account: self.recent_usage(service, account),
                lambda: self._loads.unread_tokens(service),
                lambda: self.backoff_s(self._now, service),
                usage_decay_s=USAGE_DECAY_S,
                service=service,
                forecast=self._make_forecast(service),
            )
            found.by_cost = self.work.enabled
        found.transfers = self.service(service).transfers
        return found

    def _make_forecast(self, service: str) -> SlotForecast:
        made = SlotForecast(
            lambda: self._endpoints.usable(service),
            self._load,
            self._health.is_suspended,
            self._health.backoffs,
            self.warmup.may_send,
            self.work,
        )
        made.on_outcome = lambda outcome: self.on_forecast(service, outcome)
        return made


def _prefill_lookahead(load: EndpointLoad) -> float:
    """Return the prompt tokens that may be queued at an engine for prefill."""
    model = load.model
    return (PREFILL_LOOKAHEAD_S + model.fixed_s) * model.rate


def _work_by_account(
    service: str, sums: Mapping[AccountKey, float]
) -> dict[str, float]:
    return {account: work for (name, account), work in sums.items() if name == service}
