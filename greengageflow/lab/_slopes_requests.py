"""Cost of the entry queue and of the endpoint owner."""

from collections.abc import Iterator
from functools import cache
from itertools import count
from typing import Any

from greengageflow.core.entry import EntryQueue, WaitingRequest
from greengageflow.core.messages import (
    AccountService,
    Demand,
    FleetTotals,
    Grant,
    GrantReturned,
    GrantTaken,
    PeerId,
)
from greengageflow.core.owner import EndpointOwner
from greengageflow.core.placement import FleetView
from greengageflow.core.shares import ServiceLedger
from greengageflow.lab._slopes_world import (
    ACCOUNTS,
    BACKLOGGED,
    BOOT,
    NODES,
    SLOTS,
    CostMeter,
    Experiment,
    account,
    fleet_config,
    host,
    measure_memory,
    owners_of,
    peer,
    placed_view,
    view_of,
)
from greengageflow.net.wire import decode, encode

_POOL = "m0"
_PIECES_PER_ANSWER = 10
_WAITING_PER_ACCOUNT = 16
_BACKLOG_WARM_S = 10.0
_BACKLOG_S = 20.0
_ENTRY_ROUTERS = 29
_TICK_S = 0.05
_TICKS = 200
_GRANTS = 300


def _ledger(own: PeerId) -> ServiceLedger:
    ledger = ServiceLedger(own)
    ledger.on_config(fleet_config(endpoints=0))
    rows = (AccountService(account(n), 1000.0 + n, 500.0) for n in range(ACCOUNTS))
    ledger.on_totals(0.0, peer(1), FleetTotals(tuple(rows), 1))
    return ledger


@cache
def _remote_entry_peer() -> PeerId:
    """Return a router that owns no endpoint of the pool, so all demand is remote."""
    owners = owners_of(_POOL)
    return next(peer(n) for n in range(NODES) if host(n) not in owners)


def _entry() -> EntryQueue:
    own = _remote_entry_peer()
    entry = EntryQueue(own, _ledger(own))
    list(entry.on_view(0.0, view_of(own)))
    list(entry.on_config(0.0, fleet_config()))
    return entry


def _request(number: int, now: float, accounts: int = ACCOUNTS) -> WaitingRequest:
    name = account(number % accounts)
    return WaitingRequest(f"q{number}", name, _POOL, 480.0, now + 60.0)


def entry_requests(requests: int) -> dict[str, float]:
    """Serve requests one after the other, each granted by the first owner asked."""
    entry = _entry()
    cost = CostMeter(_remote_entry_peer())
    owned = owners_of(_POOL)
    for number in range(requests):
        now = 1.0 + 0.1 * number
        req = _request(number, now)
        [(owner, _)] = cost.send(entry.submit(now, req))
        grant = Grant(f"{owner}:1:{number}", req.account, _POOL, owned[owner][0], 2.0)
        _serve(entry, cost, owner, grant, now)
    return cost.outcomes


def _serve(
    entry: EntryQueue, cost: CostMeter, owner: str, grant: Grant, now: float
) -> None:
    data = encode(PeerId(owner, BOOT), grant)
    cost.deliver(data, lambda sender, message: entry.receive(now, sender, message))
    for _ in range(_PIECES_PER_ANSWER):
        cost.run(lambda: entry.on_progress(grant.grant, 48.0))
    cost.send(entry.on_finished(grant.grant, 480.0, 15.0))


def entry_backlog(accounts: int) -> dict[str, float]:
    """Measure the cost per second of backlogged accounts that get no grants."""
    entry = _entry()
    cost = CostMeter(_remote_entry_peer())
    for number in range(accounts * _WAITING_PER_ACCOUNT):
        list(entry.submit(1.0, _request(number, 1.0, accounts)))
    _run_ticks(entry, 1.0, _BACKLOG_WARM_S, CostMeter(_remote_entry_peer()))
    _run_ticks(entry, _BACKLOG_WARM_S, _BACKLOG_WARM_S + _BACKLOG_S, cost)
    return {name: value / _BACKLOG_S for name, value in cost.outcomes.items()}


def _run_ticks(entry: EntryQueue, now: float, end: float, cost: CostMeter) -> None:
    while (now := max(now + 0.001, entry.next_tick(now))) < end:
        cost.send(entry.on_tick(now))


def entry_memory(requests: int) -> dict[str, float]:
    """Measure the memory of waiting requests."""
    entry = _entry()

    def fill() -> None:
        for number in range(requests):
            list(entry.submit(1.0, _request(number, 1.0, BACKLOGGED)))

    return {"memory_bytes": measure_memory(fill)[0]}


# Endpoint owner.


class OwnerWorld:
    """One owner with backlogged demand of several entry routers.

    Args:
        entry_routers: Routers with demand of each backlogged account.
        endpoints: Endpoints of its pool that it owns.
    """

    def __init__(
        self, entry_routers: int = _ENTRY_ROUTERS, *, endpoints: int = 2
    ) -> None:
        self.now = 100.0
        self.config = fleet_config()
        self.own = self._select_owner(placed_view(), endpoints)
        view = view_of(self.own)
        self.owner = EndpointOwner(self.own, _ledger(self.own))
        self.cost = CostMeter(self.own)
        self._seq = count(1)
        self._routers = [peer(n) for n in range(NODES) if peer(n) != self.own]
        self._routers = self._routers[:entry_routers]
        list(self.owner.on_config(self.now, self.config))
        list(self.owner.on_view(self.now, view))
        self.now += 2.0
        self.open_grants = list(self._demand_all())

    def _select_owner(self, view: FleetView, endpoints: int) -> PeerId:
        counts: dict[str, int] = {}
        for name in self.config.endpoints:
            owner = view.owner_of(name)
            counts[owner] = counts.get(owner, 0) + 1
        closest = min(counts, key=lambda name: abs(counts[name] - endpoints))
        self.endpoints = counts[closest]
        return PeerId(closest, view.live[closest].boot)

    def _demand_all(self) -> Iterator[tuple[str, Grant]]:
        pools = {self.config.endpoints[name].pool for name in self.owner.owned}
        for router in self._routers:
            for number in range(BACKLOGGED):
                for pool in pools:
                    yield from self.demand(router, number, pool)

    def demand(
        self, router: PeerId, number: int, pool: str
    ) -> Iterator[tuple[str, Grant]]:
        """Send a router's demand to the owner; yield the resulting grants."""
        message = Demand(
            next(self._seq), account(number), pool, _WAITING_PER_ACCOUNT, 480.0
        )
        yield from self._deliver(router, message)

    def _deliver(self, sender: PeerId, message: Any) -> Iterator[tuple[str, Grant]]:
        out = self.cost.deliver(encode(sender, message), self._receive)
        for to, data in out:
            grant = decode(data)[1]
            if isinstance(grant, Grant):
                yield to, grant

    def _receive(self, sender: PeerId, message: Any) -> Any:
        return self.owner.receive(self.now, sender, message)

    def finish_oldest(self) -> None:
        """Finish the oldest request: take its grant, renew demand, return the slot."""
        to, grant = self.open_grants.pop(0)
        entry = PeerId(to, grant.boot)
        self.now += 0.05
        list(
            self._deliver(entry, GrantTaken(grant.grant, grant.endpoint, "a", 480, 60))
        )
        router = self._routers[grant_number(grant) % len(self._routers)]
        number = grant_number(grant) % BACKLOGGED
        self.open_grants += self.demand(router, number, grant.pool)
        returned = GrantReturned(grant.grant, grant.endpoint, 480, 15.0)
        self.open_grants += self._deliver(entry, returned)


def grant_number(grant: Grant) -> int:
    """Return the number in a grant's id."""
    return int(grant.grant.rpartition(":")[2])


def owner_grants(grants: int) -> dict[str, float]:
    """Measure grants while 20 accounts are backlogged at each of 29 entry routers."""
    world = OwnerWorld()
    world.cost = CostMeter(world.own)
    for _ in range(grants):
        world.finish_oldest()
    return world.cost.outcomes


def owner_demands(entry_routers: int) -> dict[str, float]:
    """Measure one grant's cost and the demand table's memory by entry routers."""
    memory_bytes, world = measure_memory(lambda: OwnerWorld(entry_routers))
    world.cost = CostMeter(world.own)
    for _ in range(_GRANTS):
        world.finish_oldest()
    return {
        "cpu_us": world.cost.outcomes["cpu_us"] / _GRANTS,
        "memory_bytes": memory_bytes,
    }


def owner_tick(endpoints: int) -> dict[str, float]:
    """Measure one second of ticks of an owner whose slots are all in use."""
    world = OwnerWorld(endpoints=endpoints)
    world.cost = CostMeter(world.own)
    for _ in range(_TICKS):
        world.now += _TICK_S
        world.cost.send(world.owner.on_tick(world.now))
    return {"cpu_us": world.cost.outcomes["cpu_us"] / (_TICKS * _TICK_S)}


def owner_slots(slots: int) -> dict[str, float]:
    """Measure the memory of granted slots."""
    world = OwnerWorld()
    endpoint = world.open_grants[0][1].endpoint

    def fill() -> None:
        for number in range(slots):
            taken = GrantTaken(f"x:1:{number}", endpoint, account(number % 20), 480, 60)
            list(world.owner.receive(world.now, peer(1), taken))

    return {"memory_bytes": measure_memory(fill)[0]}


def _doubling_points(first: int) -> tuple[int, ...]:
    return first, 2 * first, 4 * first, 8 * first


def experiments() -> tuple[Experiment, ...]:
    """Return the experiments of this module."""
    return (
        Experiment("entry", "requests", _doubling_points(100), entry_requests),
        Experiment("entry", "backlogged accounts", _doubling_points(5), entry_backlog),
        Experiment("entry", "waiting requests", _doubling_points(100), entry_memory),
        Experiment("owner", "grants", _doubling_points(100), owner_grants),
        Experiment("owner", "entry routers", (4, 8, 16, 29, 58), owner_demands),
        Experiment("owner", "owned endpoints", (1, 2, 3, 4, 5), owner_tick),
        Experiment("owner", "slots in use", _doubling_points(SLOTS), owner_slots),
    )
