"""Cost of the service counters: ledgers and collectors of a whole fleet."""

from collections.abc import Iterable, Iterator
from random import Random

from greengageflow.core.collector import Collector
from greengageflow.core.messages import (
    AccountService,
    FleetTotals,
    PeerId,
    ShareReport,
    ZoneTotals,
)
from greengageflow.core.placement import FleetView, LiveMember, Rank
from greengageflow.core.shares import SHARDS, ServiceLedger, share_interval_s
from greengageflow.lab._slopes_world import (
    ACCOUNTS,
    NODES,
    SEED,
    ZONES,
    CostMeter,
    Experiment,
    account,
    fleet_config,
    live_members,
    measure_memory,
    paused_garbage_collection,
    peer,
)
from greengageflow.net.wire import decode, encode

BUSY_ACCOUNTS = 92
"""Accounts that one router serves at the same time, at the design load."""
_POLICY_INTERVAL_S = 0.5
_HALF_FLEET_NODES = NODES // 2
_WARM_UP_INTERVALS = 4
_MEASURED_INTERVALS = 6


class SharesNode:
    """Ledger and collector of one router."""

    def __init__(
        self,
        own: PeerId,
        live: dict[str, LiveMember],
        interval_s: float,
        ranks: dict[str, Rank],
    ) -> None:
        self.ledger = ServiceLedger(own)
        self.ledger.on_config(fleet_config(endpoints=0))
        self.collector = Collector(own, self.ledger, interval_s=interval_s)
        self.view = FleetView(own, live, frozenset(live), _ranks=ranks)
        self.collector.on_view(0.0, self.view)
        self.cost = CostMeter(own)

    def receive(self, now: float, sender: PeerId, message: object) -> None:
        """Handle one message."""
        if isinstance(message, FleetTotals):
            self.ledger.on_totals(now, sender, message)
        else:
            self.collector.receive(now, sender, message)


class SharesWorld:
    """Service counters of all routers, with messages delivered immediately.

    Args:
        nodes: Routers.
        zones: Availability zones.
        busy: Accounts that each router serves in an interval.
        accounts: Accounts of the fleet.
    """

    def __init__(
        self,
        nodes: int = NODES,
        zones: int = ZONES,
        busy: int = BUSY_ACCOUNTS,
        accounts: int = ACCOUNTS,
    ) -> None:
        self.interval_s = share_interval_s(_POLICY_INTERVAL_S, nodes)
        self.now = 0.0
        self._random = Random(SEED)
        self._busy = min(busy, accounts)
        self._accounts = [account(n) for n in range(accounts)]
        self.ranks: dict[str, Rank] = {}
        live = live_members(nodes, zones)
        self.nodes = {
            peer(n).host: SharesNode(peer(n), live, self.interval_s, self.ranks)
            for n in range(nodes)
        }

    def step(self) -> None:
        """Charge service for one interval, then exchange reports."""
        self.now += self.interval_s
        sent = []
        for node in self.nodes.values():
            for name in self._random.sample(self._accounts, self._busy):
                node.ledger.start_meter(name, 480.0).charge(
                    self._random.randint(20, 60)
                )
            sent += self._report(node)
        for to, data in sent:
            node = self.nodes[to]
            node.cost.deliver(
                data,
                lambda sender, message, node=node: node.receive(
                    self.now, sender, message
                ),
            )

    def _report(self, node: SharesNode) -> list[tuple[str, bytes]]:
        reports = lambda: [  # noqa: E731
            *node.ledger.report(node.view),
            *node.collector.report(self.now),
        ]
        effects = node.cost.run(reports)
        own = [e.message for e in effects if e.to == node.cost.own.host]
        for message in own:
            node.receive(self.now, node.cost.own, message)
        return node.cost.send(effects)

    def measure(self) -> dict[str, float]:
        """Return the costs per second of the mean and of the busiest router."""
        for _ in range(_WARM_UP_INTERVALS):
            self.step()
        for node in self.nodes.values():
            node.cost = CostMeter(node.cost.own)
        with paused_garbage_collection():
            for _ in range(_MEASURED_INTERVALS):
                self.step()
        seconds = _MEASURED_INTERVALS * self.interval_s
        return dict(_mean_and_busiest([n.cost for n in self.nodes.values()], seconds))


def _mean_and_busiest(
    costs: Iterable[CostMeter], seconds: float
) -> Iterator[tuple[str, float]]:
    for name in ("cpu_us", "bytes_out", "bytes_in", "messages_out", "messages_in"):
        values = [cost.outcomes[name] / seconds for cost in costs]
        yield f"{name}_mean", sum(values) / len(values)
        yield f"{name}_busiest", max(values)


def shares_accounts(busy: int) -> dict[str, float]:
    """Measure counters of 180 routers by the accounts that each one serves."""
    return SharesWorld(_HALF_FLEET_NODES, busy=busy).measure()


def shares_routers(nodes: int) -> dict[str, float]:
    """Measure counters by the number of routers in the fleet."""
    return SharesWorld(nodes).measure()


def shares_zones(zones: int) -> dict[str, float]:
    """Measure counters of 180 routers by the number of zones."""
    return SharesWorld(_HALF_FLEET_NODES, zones).measure()


def shares_memory(routers: int) -> dict[str, float]:
    """Measure the memory of the busiest collector by the routers in its zone."""
    nodes = ZONES * routers
    live = live_members(nodes)
    ranks: dict[str, Rank] = {}
    views = (
        FleetView(peer(n), live, frozenset(live), _ranks=ranks) for n in range(nodes)
    )
    busiest_view = max(views, key=_collected_shards)
    names = [account(n) for n in range(ACCOUNTS)]
    zone = [PeerId(h, live[h].boot) for h in busiest_view.zone_hosts(busiest_view.zone)]

    def make() -> SharesNode:
        node = SharesNode(busiest_view.own, live, _POLICY_INTERVAL_S, ranks)
        for sender in zone:
            rows = tuple(AccountService(name, 1000.0, 400.0, 3) for name in names)
            report = ShareReport(1, rows, (1 << SHARDS) - 1)
            node.receive(0.0, sender, decode(encode(sender, report))[1])
        for number in range(1, ZONES):
            sender = PeerId(busiest_view.own.host, 0)
            rows = tuple(AccountService(name, 9000.0, 400.0, 3) for name in names)
            totals = ZoneTotals(f"other{number}", rows)
            node.receive(0.0, sender, decode(encode(sender, totals))[1])
        rows = tuple(AccountService(name, 60000.0, 400.0, 3) for name in names)
        totals = FleetTotals(rows, 1)
        node.receive(0.0, zone[0], decode(encode(zone[0], totals))[1])
        return node

    return {"memory_bytes": measure_memory(make)[0]}


def _collected_shards(view: FleetView) -> int:
    own = view.own.host
    return sum(view.collector_of(view.zone, s) == own for s in range(SHARDS))


def experiments() -> tuple[Experiment, ...]:
    """Return the experiments of this module."""
    return (
        Experiment("shares", "routers", (45, 90, 180, 360), shares_routers),
        Experiment("shares", "busy accounts", (23, 46, 92, 184), shares_accounts),
        Experiment("shares", "zones", (2, 4, 7, 10), shares_zones),
        Experiment("shares", "routers of the zone", (7, 13, 26, 52), shares_memory),
    )
