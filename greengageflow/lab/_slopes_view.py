"""Cost of a view change: new placement, and its handling in one router."""

from time import process_time

from greengageflow.core.collector import Collector
from greengageflow.core.entry import EntryQueue
from greengageflow.core.owner import EndpointOwner
from greengageflow.core.placement import FleetView, LiveMember
from greengageflow.core.shares import ServiceLedger
from greengageflow.lab._slopes_world import (
    ENDPOINTS,
    NODES,
    Experiment,
    fleet_config,
    live_members,
    measure_memory,
    peer,
)


class ViewWorld:
    """The components of one router that depend on the fleet view.

    Args:
        nodes: Members.
        endpoints: Endpoints.
    """

    def __init__(self, nodes: int, endpoints: int = ENDPOINTS) -> None:
        own = peer(0)
        self.config = fleet_config(endpoints)
        self.ledger = ServiceLedger(own)
        self.entry = EntryQueue(own, self.ledger)
        self.owner = EndpointOwner(own, self.ledger)
        self.collector = Collector(own, self.ledger)
        self.live = live_members(nodes)
        self.view = FleetView(own, self.live, frozenset(self.live))
        list(self.entry.on_config(0.0, self.config))
        list(self.owner.on_config(0.0, self.config))
        self.first_us = self.apply_view(self.live, frozenset(self.live))

    def apply_view(self, live: dict[str, LiveMember], roster: frozenset[str]) -> float:
        """Apply a new view; return the processor time in microseconds."""
        start = process_time()
        self.view = self.view.updated(live, roster)
        self.collector.on_view(1.0, self.view)
        list(self.entry.on_view(1.0, self.view))
        list(self.owner.on_view(1.0, self.view))
        for pool in self.config.pools:
            self.entry._registrar.owners(pool)
        return 1e6 * (process_time() - start)


def _measure_changes(world: ViewWorld) -> dict[str, float]:
    live = dict(world.live)
    del live[peer(len(live) - 1).host]
    return {
        "first_us": world.first_us,
        "member_lost_us": world.apply_view(live, world.view.roster),
        "roster_changed_us": world.apply_view(live, frozenset(live)),
    }


def view_members(nodes: int) -> dict[str, float]:
    """Measure view changes by the number of members."""
    memory_bytes, world = measure_memory(lambda: ViewWorld(nodes))
    return {
        **_measure_changes(ViewWorld(nodes)),
        "memory_bytes": memory_bytes * bool(world),
    }


def view_endpoints(endpoints: int) -> dict[str, float]:
    """Measure view changes of 360 members by the number of endpoints."""
    memory_bytes, world = measure_memory(lambda: ViewWorld(NODES, endpoints))
    return {
        **_measure_changes(ViewWorld(NODES, endpoints)),
        "memory_bytes": memory_bytes * bool(world),
    }


def experiments() -> tuple[Experiment, ...]:
    """Return the experiments of this module."""
    return (
        Experiment("view", "members", (45, 90, 180, 360), view_members),
        Experiment("view", "endpoints", (75, 150, 300, 600), view_endpoints),
    )
