"""Grants slots of the endpoints that this router owns to accounts, fairly."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any

from greengageflow.core._charges import Charges
from greengageflow.core._demand import DemandBook, Waiting
from greengageflow.core._slots import EndpointSlots, Hold
from greengageflow.core._work_calls import WorkCalls
from greengageflow.core.catalog import FleetConfig, PoolKind
from greengageflow.core.effects import Send
from greengageflow.core.messages import Demand, Grant, GrantReturned, GrantTaken, PeerId
from greengageflow.core.placement import FleetView
from greengageflow.core.shares import ServiceLedger, share_interval_s

_REFLECT_INTERVALS = 3
_SERVICE_DOUBT_S = 3.0
_DEFAULT_DEADLINE_S = 60.0
_POOL_QUIET_S = 10.0
_FORGET_EVERY_S = 5.0


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
        self._demands: dict[str, DemandBook] = {}
        self._calls: dict[str, WorkCalls] = {}
        self._lost: set[str] = set()
        self._paused = False
        self._charges = Charges()
        self._spread: dict[str, float] = {}
        self._number = 0
        self.lapsed = 0
        self._forget_at = 0.0
        self._lag_s = 0.0

    @property
    def owned(self) -> list[str]:
        """Names of the endpoints whose slots this router grants."""
        return [s.endpoint.name for owned in self._owned.values() for s in owned]

    @property
    def granted(self) -> int:
        """Number of grants issued since the start."""
        return self._number

    def usage(self, now: float) -> Iterator[EndpointUsage]:
        """Yield the usage of each owned endpoint."""
        for owned in self._owned.values():
            for slots in owned:
                yield EndpointUsage(
                    slots.endpoint.name,
                    slots.limit.allowed(now),
                    len(slots.holds),
                    slots.limit.resting,
                    slots.limit.rest_until,
                    slots.leaving,
                )

    # Configuration, view and load reports.

    def on_config(
        self, now: float, cfg: FleetConfig, left: Mapping[str, int] | None = None
    ) -> Iterator[Send]:
        """Apply a configuration.

        Args:
            now: Current time.
            cfg: The configuration.
            left: Generation of each endpoint that is known to be leaving.
        """
        self._cfg = cfg
        for name, endpoint in cfg.endpoints.items():
            if name in self._slots:
                self._slots[name].configure(endpoint)
            else:
                self._slots[name] = EndpointSlots(endpoint)
        for name in self._slots.keys() - cfg.endpoints.keys():
            del self._slots[name]
        for name, generation in (left or {}).items():
            self.mark_leaving(name, generation)
        self._assign(now)
        yield from self._fill_all(now)

    def on_view(self, now: float, view: FleetView) -> Iterator[Send]:
        """Apply a changed view of the fleet."""
        before = self._view.live.keys() if self._view else set()
        self._lost = (self._lost | before) & view.roster - view.live.keys()
        cut = bool(self._lost & before)
        self._view = view
        self._assign(now, cut=cut)
        yield from self._fill_all(now)

    def on_pause(self) -> None:
        """Stop granting after a process pause, until the view is confirmed."""
        self._paused = True

    def on_confirmed(self, now: float, *, anew: bool) -> Iterator[Send]:
        """Resume granting once the view is confirmed after a pause.

        During a long pause other routers may have taken over the endpoints and
        granted their slots. Resuming at once oversubscribed them: 7 requests ran in
        4 slots. The router therefore starts as a new owner, which waits for running
        requests to register first.

        Args:
            now: Current time.
            anew: True when the pause was long enough for a takeover.
        """
        self._paused = False
        if anew:
            for slots in self._slots.values():
                slots.lose()
            self._assign(now)
        yield from self._fill_all(now)

    def mark_leaving(self, endpoint: str, generation: int) -> None:
        """Stop granting slots of the endpoint; permanent for this generation."""
        slots = self._slots.get(endpoint)
        if slots is not None:
            slots.left_generation = max(slots.left_generation, generation)

    def on_load(self, now: float, endpoint: str, running: int) -> None:
        """Record the number of running requests that an endpoint reports."""
        slots = self._slots.get(endpoint)
        if slots is not None:
            slots.report(now, running)

    def _assign(self, now: float, *, cut: bool = False) -> None:
        view = self._view
        self._owned = {}
        if view is None:
            return
        policy_s = self._cfg.policy.share_interval_s
        self._lag_s = _REFLECT_INTERVALS * share_interval_s(policy_s, len(view.live))
        for name, slots in self._slots.items():
            if view.owner_of(name) != self._own.host:
                slots.lose()
                continue
            endpoint = slots.endpoint
            borne = view.slot_quota(name, endpoint.slots)
            doubt_s = self._doubt_s(endpoint.pool)
            slots.own(now, borne, self._settle_s, doubt_s, cut)
            if not self._lost:
                slots.clear_doubt()
            self._owned.setdefault(endpoint.pool, []).append(slots)
        self._active = {
            name: slots
            for name, slots in self._slots.items()
            if slots.owned or slots.holds
        }
        for slots in self._active.values():
            slots.expire(now, view)
            slots.note_reach(view)
        self._measure_spread()

    def _measure_spread(self) -> None:
        totals: dict[str, int] = {}
        for slots in self._slots.values():
            pool = slots.endpoint.pool
            totals[pool] = totals.get(pool, 0) + slots.endpoint.slots
        for pool, owned in self._owned.items():
            own = sum(slots.endpoint.slots for slots in owned)
            self._spread[pool] = 1.0 if self._view.split else totals[pool] / max(1, own)

    def _doubt_s(self, pool: str) -> float:
        if not self._lost:
            return 0.0
        # For an engine, a load report shows the requests of unreachable routers
        # within a second or two. A plain service sends no load reports: the new owner
        # of a lost router's endpoints would grant nothing up to the deadline, which
        # stalls a pool of few replicas for a minute. Service calls are short, so few
        # outlast this shorter bound.
        known = self._cfg.pools.get(pool)
        longest_s = self._deadline_s(pool)
        if known and known.kind is PoolKind.SERVICE:
            longest_s = min(longest_s, _SERVICE_DOUBT_S)
        return self._settle_s + longest_s

    def _deadline_s(self, pool: str) -> float:
        known = self._cfg.pools.get(pool)
        return known.deadline_s if known else _DEFAULT_DEADLINE_S

    # Messages.

    def receive(self, now: float, sender: PeerId, message: Any) -> Iterator[Send]:
        """Handle a message from an entry router."""
        match message:
            case Demand(pool=pool, waiting=waiting):
                self._book(pool).put(now, sender, message)
                if waiting:
                    self._calls[pool].reset()
                    yield from self._fill(now, pool)
            case GrantTaken():
                self._on_taken(now, sender, message)
            case GrantReturned():
                yield from self._on_returned(now, message)

    def _book(self, pool: str) -> DemandBook:
        if pool not in self._demands:
            self._demands[pool] = DemandBook()
            self._calls[pool] = WorkCalls(pool, self._random)
        return self._demands[pool]

    def _on_taken(self, now: float, sender: PeerId, message: GrantTaken) -> None:
        slots = self._slots.get(message.endpoint)
        if slots is None or (self._view and self._view.is_terminated(sender)):
            return
        slots.take(now, sender, message)
        self._active[message.endpoint] = slots

    def _on_returned(self, now: float, message: GrantReturned) -> Iterator[Send]:
        slots = self._slots.get(message.endpoint)
        hold = slots.give_back(message.grant) if slots else None
        if hold is None:
            return
        if message.seconds or message.failed:
            slots.limit.observe(now, message.served, message.seconds, message.failed)
        elif hold.charge:
            self._charges.cancel(hold.charge)
        if message.backoff_s > 0:
            slots.limit.ask_backoff(now, message.backoff_s)
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
                yield from self._ask_again(now, slots)
        if now >= self._forget_at:
            self._forget_at = now + _FORGET_EVERY_S
            for book in self._demands.values():
                book.forget(now, view)
        yield from self._fill_all(now)
        yield from self._call_for_work(now, view)

    def next_tick(self, now: float) -> float:
        """Return the latest time at which ``on_tick`` must be called next."""
        times = [self._forget_at]
        for slots in self._active.values():
            times.append(slots.due_at)
            if slots.limit.resting and slots.limit.rest_until > now:
                times.append(slots.limit.rest_until)
            if slots.limit.backoff_until > now:
                times.append(slots.limit.backoff_until)
        times += [calls.at for calls, _ in self._idle(now)]
        return max(now, min(times))

    def _ask_again(self, now: float, slots: EndpointSlots) -> Iterator[Send]:
        for grant, hold in slots.holds.items():
            if hold.ask_at is None or hold.ask_at > now:
                continue
            hold.ask_at = now + self._expires_s
            self.lapsed += 1
            yield self._grant_message(grant, slots, hold)

    # Granting.

    def _fill_all(self, now: float) -> Iterator[Send]:
        for pool in list(self._owned):
            yield from self._fill(now, pool)

    def _fill(self, now: float, pool: str) -> Iterator[Send]:
        book = self._demands.get(pool)
        if book is None or self._view is None or self._paused:
            return
        while book.any_waiting(self._view) and (slots := self._freest(now, pool)):
            picked = self._pick(book)
            if picked is None:
                return
            account, entry = picked
            book.take(entry)
            yield self._grant(now, slots, account, entry)

    def _freest(self, now: float, pool: str) -> EndpointSlots | None:
        best = None
        most = 0
        for slots in self._owned.get(pool, ()):
            free = slots.free(now)
            if free > most:
                best, most = slots, free
        return best

    def _pick(self, book: DemandBook) -> tuple[str, Waiting] | None:
        """Return the least-served account and its next entry router."""
        return min(
            book.candidates(self._view),
            key=lambda pair: (self._level(pair[0]), pair[1].since),
            default=None,
        )

    def _level(self, account: str) -> float:
        reflected = self._ledger.heard_at(account) - self._lag_s
        charged = self._charges.of(account, reflected)
        return self._ledger.level(account) + charged / self._ledger.weight(account)

    def _grant(
        self, now: float, slots: EndpointSlots, account: str, entry: Waiting
    ) -> Send:
        pool = slots.endpoint.pool
        self._number += 1
        grant = f"{self._own.host}:{self._own.boot}:{self._number}"
        ends_at = now + self._deadline_s(pool) + self._expires_s
        # Until the totals are updated, an owner sees only its own grants. It assumes
        # that the other owners of the pool grant at the same rate and scales the
        # charge by the pool's slots relative to its own.
        charge = self._charges.add(now, account, entry.cost * self._spread[pool])
        ask_at = now + self._expires_s
        hold = Hold(entry.peer, account, ends_at, ask_at, charge, since=now)
        slots.hold(grant, hold)
        return self._grant_message(grant, slots, hold)

    def _grant_message(self, grant: str, slots: EndpointSlots, hold: Hold) -> Send:
        endpoint = slots.endpoint
        message = Grant(
            grant,
            hold.account,
            endpoint.pool,
            endpoint.name,
            self._expires_s,
            hold.peer.boot,
        )
        return Send(hold.peer.host, message)

    # Work calls.

    def _idle(self, now: float) -> Iterator[tuple[WorkCalls, int]]:
        """Yield pools with free slots and recent, but no current demand."""
        for pool, book in self._demands.items():
            quiet = now - book.heard_at > _POOL_QUIET_S
            if quiet or not self._freest(now, pool) or book.any_waiting(self._view):
                continue
            yield self._calls[pool], sum(s.free(now) for s in self._owned[pool])

    def _call_for_work(self, now: float, view: FleetView) -> Iterator[Send]:
        hosts = sorted(view.live.keys() - {self._own.host})
        for calls, free in self._idle(now):
            if calls.at <= now and hosts:
                yield from calls.call(now, free, hosts)
