"""Which account gets the next free slot of the endpoints that this router owns."""

from collections import deque
from collections.abc import Iterator
from random import Random
from typing import Any

from greengageflow._demand import DemandBook, Waiting
from greengageflow._slots import EndpointSlots, Hold
from greengageflow.catalog import FleetConfig
from greengageflow.effects import Send
from greengageflow.messages import (
    Demand,
    Grant,
    GrantReturned,
    GrantTaken,
    PeerId,
    WorkCall,
)
from greengageflow.placement import FleetView
from greengageflow.shares import ServiceLedger

_REFLECT_INTERVALS = 3
_DEFAULT_DEADLINE_S = 60.0
_CALL_FIRST_S = 0.1
_CALL_LONGEST_S = 2.0
_CALL_PEERS = 2
_POOL_QUIET_S = 10.0
_FORGET_EVERY_S = 5.0


class _Caller:
    """When to call for work for one pool."""

    def __init__(self) -> None:
        self.at = 0.0
        self.pause_s = _CALL_FIRST_S

    def reset(self) -> None:
        """Start with short pauses again."""
        self.pause_s = _CALL_FIRST_S
        self.at = 0.0

    def called(self, now: float) -> None:
        """Wait for longer before the next call."""
        self.at = now + self.pause_s
        self.pause_s = min(_CALL_LONGEST_S, self.pause_s * 2)


class EndpointOwner:
    """Grants the slots of owned endpoints to the least-served accounts.

    Args:
        own: This router.
        ledger: The fleet's service per account.
        seed: Of the choice of routers that are called for work.
        settle_s: Seconds after becoming owner, or after routers came back, in which
            running requests are registered before more slots are granted.
        expires_s: Seconds after which an unanswered grant is sent again.
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
        self._owned: dict[str, list[EndpointSlots]] = {}
        self._demands: dict[str, DemandBook] = {}
        self._callers: dict[str, _Caller] = {}
        self._lost: dict[str, float] = {}
        self._charges: deque[tuple[float, str, float]] = deque()
        self._charged: dict[str, float] = {}
        self._spread: dict[str, float] = {}
        self._number = 0
        self._forget_at = 0.0

    # What changes around it.

    def on_config(self, now: float, cfg: FleetConfig) -> Iterator[Send]:
        """Take over a configuration."""
        self._cfg = cfg
        for name, endpoint in cfg.endpoints.items():
            if name in self._slots:
                self._slots[name].configure(endpoint)
            else:
                self._slots[name] = EndpointSlots(endpoint)
        for name in self._slots.keys() - cfg.endpoints.keys():
            del self._slots[name]
        self._assign(now)
        yield from self._fill_all(now)

    def on_view(self, now: float, view: FleetView) -> Iterator[Send]:
        """Take over a changed view of the fleet."""
        before = self._view.live.keys() if self._view else set()
        for host in before - view.live.keys():
            self._lost[host] = now
        for host in list(self._lost):
            if host in view.live or host not in view.roster:
                del self._lost[host]
        self._view = view
        self._assign(now)
        yield from self._fill_all(now)

    def mark_leaving(self, endpoint: str, generation: int) -> None:
        """Give the endpoint no new work, for this generation of it for good."""
        slots = self._slots.get(endpoint)
        if slots is not None:
            slots.left_generation = max(slots.left_generation, generation)

    def _assign(self, now: float) -> None:
        view = self._view
        self._owned = {}
        if view is None:
            return
        totals: dict[str, int] = {}
        for name, slots in self._slots.items():
            pool = slots.endpoint.pool
            totals[pool] = totals.get(pool, 0) + slots.endpoint.slots
            if view.owner_of(name) != self._own.host:
                slots.lose()
                continue
            borne = view.borne_slots(name, slots.endpoint.slots)
            slots.own(now, borne, now + self._settle_s, self._doubt_until(pool))
            if not self._lost:
                slots.clear_doubt()
            slots.expire(now, view)
            self._owned.setdefault(pool, []).append(slots)
        for pool, owned in self._owned.items():
            own_slots = sum(slots.endpoint.slots for slots in owned)
            self._spread[pool] = totals[pool] / max(1, own_slots)

    def _doubt_until(self, pool: str) -> float:
        if not self._lost:
            return float("-inf")
        return max(self._lost.values()) + self._deadline_s(pool)

    def _deadline_s(self, pool: str) -> float:
        known = self._cfg.pools.get(pool)
        return known.deadline_s if known else _DEFAULT_DEADLINE_S

    # Messages.

    def receive(self, now: float, sender: PeerId, message: Any) -> Iterator[Send]:
        """Take in a message from an entry router."""
        match message:
            case Demand(pool=pool):
                book = self._demands.setdefault(pool, DemandBook())
                book.put(now, sender, message)
                if message.waiting:
                    self._callers.setdefault(pool, _Caller()).reset()
                yield from self._fill(now, pool)
            case GrantTaken():
                self._on_taken(now, sender, message)
            case GrantReturned(endpoint=endpoint):
                self._on_returned(now, message)
                if endpoint in self._slots:
                    yield from self._fill(now, self._slots[endpoint].endpoint.pool)

    def _on_taken(self, now: float, sender: PeerId, message: GrantTaken) -> None:
        slots = self._slots.get(message.endpoint)
        if slots is None or (self._view and self._view.is_gone(sender)):
            return
        ends_at = now + message.deadline_s
        slots.hold(message.grant, Hold(sender, message.account, ends_at))

    def _on_returned(self, now: float, message: GrantReturned) -> None:
        slots = self._slots.get(message.endpoint)
        # A second copy, or one that comes after the slot was taken back, must not
        # free the slot again: it may run another request by now.
        if slots is None or slots.holds.pop(message.grant, None) is None:
            return
        if message.seconds or message.failed:
            slots.limit.observe(now, message.served, message.seconds, message.failed)

    # Time.

    def on_tick(self, now: float) -> Iterator[Send]:
        """Do what has become due."""
        view = self._view
        if view is None:
            return
        for name, slots in self._slots.items():
            slots.expire(now, view)
            yield from self._ask_again(now, name, slots)
        if now >= self._forget_at:
            self._forget_at = now + _FORGET_EVERY_S
            for book in self._demands.values():
                book.forget(now, view)
        yield from self._fill_all(now)
        yield from self._call_for_work(now, view)

    def next_tick(self, now: float) -> float:
        """Return the time by which ``on_tick`` is to be called."""
        times = [self._forget_at]
        for slots in self._slots.values():
            times += [hold.ask_at or hold.ends_at for hold in slots.holds.values()]
            if slots.settles_at is not None:
                times.append(slots.settles_at)
            if slots.limit.resting and slots.limit.rest_until > now:
                times.append(slots.limit.rest_until)
        times += [caller.at for pool, caller in self._idle_callers(now)]
        return max(now, min(times))

    def _ask_again(self, now: float, name: str, slots: EndpointSlots) -> Iterator[Send]:
        for grant, hold in slots.holds.items():
            if hold.ask_at is None or hold.ask_at > now:
                continue
            hold.ask_at = now + self._expires_s
            yield self._grant_message(grant, name, slots, hold)

    # Granting.

    def _fill_all(self, now: float) -> Iterator[Send]:
        for pool in list(self._owned):
            yield from self._fill(now, pool)

    def _fill(self, now: float, pool: str) -> Iterator[Send]:
        book = self._demands.get(pool)
        if book is None or self._view is None:
            return
        while slots := self._freest(now, pool):
            picked = self._pick(now, pool, book)
            if picked is None:
                return
            account, entry = picked
            book.take(entry)
            yield self._grant(now, slots, account, entry)

    def _freest(self, now: float, pool: str) -> EndpointSlots | None:
        owned = self._owned.get(pool, ())
        best = max(owned, key=lambda slots: slots.free(now), default=None)
        return best if best is not None and best.free(now) > 0 else None

    def _pick(
        self, now: float, pool: str, book: DemandBook
    ) -> tuple[str, Waiting] | None:
        self._drop_reflected(now)
        return min(
            book.candidates(self._view),
            key=lambda pair: (self._level(pair[0]), pair[1].since),
            default=None,
        )

    def _level(self, account: str) -> float:
        charged = self._charged.get(account, 0.0) / self._ledger.weight(account)
        return self._ledger.level(account) + charged

    def _grant(
        self, now: float, slots: EndpointSlots, account: str, entry: Waiting
    ) -> Send:
        endpoint = slots.endpoint
        self._number += 1
        grant = f"{self._own.host}:{self._own.boot}:{self._number}"
        ends_at = now + self._deadline_s(endpoint.pool) + self._expires_s
        hold = Hold(entry.peer, account, ends_at, now + self._expires_s)
        slots.hold(grant, hold)
        self._charge(now, account, entry.cost * self._spread[endpoint.pool])
        return self._grant_message(grant, endpoint.name, slots, hold)

    def _grant_message(
        self, grant: str, name: str, slots: EndpointSlots, hold: Hold
    ) -> Send:
        pool = slots.endpoint.pool
        message = Grant(grant, hold.account, pool, name, self._expires_s)
        return Send(hold.peer.host, message)

    def _charge(self, now: float, account: str, cost: float) -> None:
        # The fleet's totals lag. Until a grant shows in them, every owner would
        # give all its slots to the same account. An owner sees only its own
        # grants, and takes the others to do as it does: hence the spread factor.
        self._charges.append((now, account, cost))
        self._charged[account] = self._charged.get(account, 0.0) + cost

    def _drop_reflected(self, now: float) -> None:
        lag_s = _REFLECT_INTERVALS * self._cfg.policy.share_interval_s
        while self._charges and self._charges[0][0] <= now - lag_s:
            _, account, cost = self._charges.popleft()
            self._charged[account] -= cost
            if self._charged[account] < 1e-6:
                del self._charged[account]

    # Calls for work.

    def _idle_callers(self, now: float) -> Iterator[tuple[str, _Caller]]:
        for pool, caller in self._callers.items():
            book = self._demands[pool]
            if now - book.heard_at > _POOL_QUIET_S or not self._freest(now, pool):
                continue
            if not book.any_waiting(self._view):
                yield pool, caller

    def _call_for_work(self, now: float, view: FleetView) -> Iterator[Send]:
        others = sorted(view.live.keys() - {self._own.host})
        for pool, caller in self._idle_callers(now):
            if caller.at > now or not others:
                continue
            caller.called(now)
            free = sum(slots.free(now) for slots in self._owned[pool])
            for host in self._random.sample(others, min(_CALL_PEERS, len(others))):
                yield Send(host, WorkCall(pool, free))
