"""Grants slots of the endpoints that this router owns to accounts, fairly."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any

from greengageflow.core._charges import PendingCharges
from greengageflow.core._demand import EntryDemand, PoolDemand
from greengageflow.core._slots import EndpointSlots, SlotLease
from greengageflow.core._work_calls import WorkCallSchedule
from greengageflow.core.catalog import FleetConfig, PoolKind
from greengageflow.core.effects import Send
from greengageflow.core.messages import Demand, Grant, GrantReturned, GrantTaken, PeerId
from greengageflow.core.placement import FleetView
from greengageflow.core.shares import ServiceLedger, share_interval_s

_TOTALS_LAG_INTERVALS = 3
_SERVICE_UNCERTAIN_S = 3.0
_DEFAULT_DEADLINE_S = 60.0
_POOL_IDLE_AFTER_S = 10.0
_DEMAND_EXPIRY_INTERVAL_S = 5.0


@dataclass(frozen=True, slots=True)
class EndpointUsage:
    """Slot usage of one owned endpoint.

    Args:
        endpoint: Name of the endpoint.
        allowed: Slots that may currently be used.
        used: Slots in use.
        resting: True after several consecutive failures.
        rest_until: Time of the next probe; only meaningful while resting.
        leaving: True when the endpoint gets no new requests.
    """

    endpoint: str
    allowed: int
    used: int
    resting: bool
    rest_until: float
    leaving: bool


class EndpointOwner:
    """Grants the slots of owned endpoints to the least-served accounts.

    Args:
        own: This router.
        ledger: Service per account across the fleet.
        seed: Seed for choosing the routers that are sent a ``WorkCall``.
        settle_s: Seconds after an ownership change, or after routers rejoin, during
            which running requests register here before more slots are granted. Must
            exceed the time that a view change takes to reach all routers.
        expires_s: Seconds after which an unanswered grant is retransmitted.
    """

    def __init__(
        self,
        own: PeerId,
        ledger: ServiceLedger,
        *,
        seed: int = 0,
        settle_s: float = 1.0,
        expires_s: float = 2.0,
    ) -> None:
        self._own = own
        self._ledger = ledger
        self._random = Random(f"{seed} {own.host} {own.boot}")
        self._settle_s = settle_s
        self._expires_s = expires_s
        self._cfg = FleetConfig()
        self._view: FleetView | None = None
        self._slots: dict[str, EndpointSlots] = {}
        self._active: dict[str, EndpointSlots] = {}
        self._owned: dict[str, list[EndpointSlots]] = {}
        self._demands: dict[str, PoolDemand] = {}
        self._work_calls: dict[str, WorkCallSchedule] = {}
        self._unreachable: set[str] = set()
        self._paused = False
        self._has_met_older = False
        self._charges = PendingCharges()
        self._charge_scale: dict[str, float] = {}
        self._grant_seq = 0
        self.retransmitted = 0
        self._expire_demand_at = 0.0
        self._totals_lag_s = 0.0

    @property
    def owned(self) -> list[str]:
        """Names of the endpoints whose slots this router grants."""
        return [s.endpoint.name for owned in self._owned.values() for s in owned]

    @property
    def granted(self) -> int:
        """Number of grants issued since the start."""
        return self._grant_seq

    def usage(self, now: float) -> Iterator[EndpointUsage]:
        """Yield the usage of each owned endpoint."""
        for owned in self._owned.values():
            for slots in owned:
                yield EndpointUsage(
                    slots.endpoint.name,
                    slots.limit.allowed(now),
                    len(slots.leases),
                    slots.limit.resting,
                    slots.limit.rest_until,
                    slots.leaving,
                )

    # Configuration, view and load reports.

    def on_config(
        self,
        now: float,
        cfg: FleetConfig,
        leaving_generations: Mapping[str, int] | None = None,
    ) -> Iterator[Send]:
        """Apply a configuration.

        Args:
            now: Current time.
            cfg: The configuration.
            leaving_generations: Generation of each leaving endpoint.
        """
        self._cfg = cfg
        for name, endpoint in cfg.endpoints.items():
            if name in self._slots:
                self._slots[name].configure(endpoint)
            else:
                self._slots[name] = EndpointSlots(endpoint)
        for name in self._slots.keys() - cfg.endpoints.keys():
            del self._slots[name]
        for name, generation in (leaving_generations or {}).items():
            self.mark_leaving(name, generation)
        self._update_ownership(now)
        yield from self._fill_all(now)

    def on_view(self, now: float, view: FleetView) -> Iterator[Send]:
        """Apply a changed view of the fleet."""
        before = self._view.live.keys() if self._view else set()
        if not self._has_met_older:
            self._on_possible_owners(view)
        self._unreachable = (
            self._unreachable | before
        ) & view.roster - view.live.keys()
        partitioned = bool(self._unreachable & before)
        self._view = view
        self._update_ownership(now, partitioned=partitioned)
        yield from self._fill_all(now)

    def _on_possible_owners(self, view: FleetView) -> None:
        """Start as a new owner when routers are found that started before this one.

        Until then, this router may have been alone in its view. The time in which
        running requests register here must not count from then: the routers found may
        still grant the endpoints' slots and can't know of this one yet.
        """
        older = any(member.boot < self._own.boot for member in view.live.values())
        if not older:
            return
        self._has_met_older = True
        for slots in self._slots.values():
            slots.on_ownership_lost()

    def on_pause(self) -> None:
        """Stop granting after a process pause, until the view is confirmed."""
        self._paused = True

    def on_view_confirmed(self, now: float, *, maybe_replaced: bool) -> Iterator[Send]:
        """Resume granting once the view is confirmed after a pause.

        During a long pause other routers may have taken over the endpoints and
        granted their slots. Resuming at once oversubscribed them: 7 requests ran in
        4 slots. The router therefore starts as a new owner, which waits for running
        requests to register first.

        Args:
            now: Current time.
            maybe_replaced: True when the pause was long enough for a takeover.
        """
        self._paused = False
        if maybe_replaced:
            for slots in self._slots.values():
                slots.on_ownership_lost()
            self._update_ownership(now)
        yield from self._fill_all(now)

    def mark_leaving(self, endpoint: str, generation: int) -> None:
        """Stop granting slots of the endpoint; permanent for this generation."""
        slots = self._slots.get(endpoint)
        if slots is not None:
            slots.leaving_generation = max(slots.leaving_generation, generation)

    def on_load(self, now: float, endpoint: str, running: int) -> None:
        """Record the number of running requests that an endpoint reports."""
        slots = self._slots.get(endpoint)
        if slots is not None:
            slots.on_load_report(now, running)

    def _update_ownership(self, now: float, *, partitioned: bool = False) -> None:
        view = self._view
        self._owned = {}
        if view is None:
            return
        policy_s = self._cfg.policy.share_interval_s
        self._totals_lag_s = _TOTALS_LAG_INTERVALS * share_interval_s(
            policy_s, len(view.live)
        )
        for name, slots in self._slots.items():
            if view.owner_of(name) != self._own.host:
                slots.on_ownership_lost()
                continue
            endpoint = slots.endpoint
            quota = view.slot_quota(name, endpoint.slots)
            uncertain_s = self._uncertain_s(endpoint.pool)
            slots.set_quota(now, quota, self._settle_s, uncertain_s, partitioned)
            if not self._unreachable:
                slots.end_uncertainty(now, self._settle_s)
            self._owned.setdefault(endpoint.pool, []).append(slots)
        self._active = {
            name: slots
            for name, slots in self._slots.items()
            if slots.owned or slots.leases
        }
        for slots in self._active.values():
            slots.expire(now, view)
            slots.update_reachability(view)
        self._update_charge_scale()

    def _update_charge_scale(self) -> None:
        totals: dict[str, int] = {}
        for slots in self._slots.values():
            pool = slots.endpoint.pool
            totals[pool] = totals.get(pool, 0) + slots.endpoint.slots
        for pool, owned in self._owned.items():
            own = sum(slots.endpoint.slots for slots in owned)
            self._charge_scale[pool] = (
                1.0 if self._view.split else totals[pool] / max(1, own)
            )

    def _uncertain_s(self, pool: str) -> float:
        if not self._unreachable:
            return 0.0
        # For an engine, a load report shows the requests of unreachable routers
        # within a second or two. A plain service sends no load reports: the new owner
        # of a lost router's endpoints would grant nothing up to the deadline, which
        # stalls a pool of few replicas for a minute. Service calls are short, so few
        # outlast this shorter bound.
        pool_config = self._cfg.pools.get(pool)
        longest_s = self._deadline_s(pool)
        if pool_config and pool_config.kind is PoolKind.SERVICE:
            longest_s = min(longest_s, _SERVICE_UNCERTAIN_S)
        return self._settle_s + longest_s

    def _deadline_s(self, pool: str) -> float:
        pool_config = self._cfg.pools.get(pool)
        return pool_config.deadline_s if pool_config else _DEFAULT_DEADLINE_S

    # Messages.

    def receive(self, now: float, sender: PeerId, message: Any) -> Iterator[Send]:
        """Handle a message from an entry router."""
        match message:
            case Demand(pool=pool, waiting=waiting):
                self._demand_for(pool).update(now, sender, message)
                if waiting:
                    self._work_calls[pool].reset_backoff()
                    yield from self._fill(now, pool)
            case GrantTaken():
                self._on_taken(now, sender, message)
            case GrantReturned():
                yield from self._on_returned(now, message)

    def _demand_for(self, pool: str) -> PoolDemand:
        if pool not in self._demands:
            self._demands[pool] = PoolDemand()
            self._work_calls[pool] = WorkCallSchedule(pool, self._random)
        return self._demands[pool]

    def _on_taken(self, now: float, sender: PeerId, message: GrantTaken) -> None:
        slots = self._slots.get(message.endpoint)
        if slots is None or (self._view and self._view.is_terminated(sender)):
            return
        slots.on_taken(now, sender, message)
        self._active[message.endpoint] = slots

    def _on_returned(self, now: float, message: GrantReturned) -> Iterator[Send]:
        slots = self._slots.get(message.endpoint)
        lease = slots.release(now, message.grant) if slots else None
        if lease is None:
            return
        if message.seconds or message.failed:
            slots.limit.observe(now, message.served, message.seconds, message.failed)
        elif lease.charge:
            self._charges.cancel(lease.charge)
        if message.backoff_s > 0:
            slots.limit.back_off(now, message.backoff_s)
        yield from self._fill(now, slots.endpoint.pool)

    # Timers.

    def on_tick(self, now: float) -> Iterator[Send]:
        """Run everything that is due."""
        view = self._view
        if view is None:
            return
        for slots in self._active.values():
            slots.expire(now, view)
            if not self._paused:
                yield from self._retransmit(now, slots)
        if now >= self._expire_demand_at:
            self._expire_demand_at = now + _DEMAND_EXPIRY_INTERVAL_S
            for pool_demand in self._demands.values():
                pool_demand.expire(now, view)
        yield from self._fill_all(now)
        yield from self._send_work_calls(now, view)

    def next_tick(self, now: float) -> float:
        """Return the latest time at which ``on_tick`` must be called next."""
        times = [self._expire_demand_at]
        for slots in self._active.values():
            times.append(slots.due_at)
            if slots.limit.resting and slots.limit.rest_until > now:
                times.append(slots.limit.rest_until)
            if slots.limit.backoff_until > now:
                times.append(slots.limit.backoff_until)
        times += [schedule.next_at for schedule, _ in self._idle_pools(now)]
        return max(now, min(times))

    def _retransmit(self, now: float, slots: EndpointSlots) -> Iterator[Send]:
        for grant, lease in slots.leases.items():
            if lease.retransmit_at is None or lease.retransmit_at > now:
                continue
            lease.retransmit_at = now + self._expires_s
            self.retransmitted += 1
            yield self._grant_message(grant, slots, lease)

    # Granting.

    def _fill_all(self, now: float) -> Iterator[Send]:
        for pool in list(self._owned):
            yield from self._fill(now, pool)

    def _fill(self, now: float, pool: str) -> Iterator[Send]:
        pool_demand = self._demands.get(pool)
        if pool_demand is None or self._view is None or self._paused:
            return
        while pool_demand.has_waiting(self._view) and (
            slots := self._most_free(now, pool)
        ):
            picked = self._pick(pool_demand)
            if picked is None:
                return
            account, entry = picked
            pool_demand.on_granted(entry)
            yield self._grant(now, slots, account, entry)

    def _most_free(self, now: float, pool: str) -> EndpointSlots | None:
        best = None
        most_free = 0
        for slots in self._owned.get(pool, ()):
            free = slots.free(now)
            if free > most_free:
                best, most_free = slots, free
        return best

    def _pick(self, pool_demand: PoolDemand) -> tuple[str, EntryDemand] | None:
        """Return the least-served account and its next entry router."""
        return min(
            pool_demand.candidates(self._view),
            key=lambda pair: (self._level(pair[0]), pair[1].waiting_since),
            default=None,
        )

    def _level(self, account: str) -> float:
        included_until = self._ledger.totals_at(account) - self._totals_lag_s
        charged = self._charges.pending(account, included_until)
        return self._ledger.level(account) + charged / self._ledger.weight(account)

    def _grant(
        self, now: float, slots: EndpointSlots, account: str, entry: EntryDemand
    ) -> Send:
        pool = slots.endpoint.pool
        self._grant_seq += 1
        grant = f"{self._own.host}:{self._own.boot}:{self._grant_seq}"
        ends_at = now + self._deadline_s(pool) + self._expires_s
        # Until the totals are updated, an owner sees only its own grants. It assumes
        # that the other owners of the pool grant at the same rate and scales the
        # charge by the pool's slots relative to its own.
        charge = self._charges.add(now, account, entry.cost * self._charge_scale[pool])
        retransmit_at = now + self._expires_s
        lease = SlotLease(
            entry.peer,
            account,
            ends_at,
            retransmit_at,
            charge,
            granted_at=now,
            demand_seq=entry.seq,
        )
        slots.grant(now, grant, lease)
        return self._grant_message(grant, slots, lease)

    def _grant_message(
        self, grant: str, slots: EndpointSlots, lease: SlotLease
    ) -> Send:
        endpoint = slots.endpoint
        message = Grant(
            grant,
            lease.account,
            endpoint.pool,
            endpoint.name,
            self._expires_s,
            lease.peer.boot,
            lease.demand_seq,
        )
        return Send(lease.peer.host, message)

    # Work calls.

    def _idle_pools(self, now: float) -> Iterator[tuple[WorkCallSchedule, int]]:
        """Yield pools with free slots and recent, but no current demand."""
        for pool, pool_demand in self._demands.items():
            quiet = now - pool_demand.last_demand_at > _POOL_IDLE_AFTER_S
            if (
                quiet
                or not self._most_free(now, pool)
                or pool_demand.has_waiting(self._view)
            ):
                continue
            yield self._work_calls[pool], sum(s.free(now) for s in self._owned[pool])

    def _send_work_calls(self, now: float, view: FleetView) -> Iterator[Send]:
        hosts = sorted(view.live.keys() - {self._own.host})
        for schedule, free in self._idle_pools(now):
            if schedule.next_at <= now and hosts:
                yield from schedule.send(now, free, hosts)
