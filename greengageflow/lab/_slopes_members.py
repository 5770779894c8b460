"""Cost of membership: a fleet of real membership cores in simulated time."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from greengageflow.core.membership import Membership
from greengageflow.core.messages import Member, PeerId, Ping, View
from greengageflow.lab._slopes_world import (
    BOOT,
    NODES,
    SEED,
    ZONES,
    CostMeter,
    Experiment,
    host,
    measure_memory,
    paused_garbage_collection,
    peer,
)

_STABLE_RUN_S = 10.0
_WARM_UP_S = 6.0
_LOSS_RUN_S = 20.0
_CONFIG_FETCH_S = 0.2
"""Time to fetch a newer configuration from the peer that announced it."""
_READERS_PER_ZONE = 2
_DELAY_RANGE_S = (0.0005, 0.003)


def _member(number: int, zones: int, boot: int = BOOT) -> Member:
    ip = f"10.0.{number // 250}.{number % 250 + 1}"
    return Member(host(number), boot, 0, "alive", ip, 7400, f"z{number % zones}")


class MembersWorld:
    """Membership cores connected by an in-memory network.

    Args:
        nodes: Routers; each starts with a complete view of the fleet.
        zones: Availability zones.
    """

    def __init__(self, nodes: int = NODES, zones: int = ZONES) -> None:
        self.now = 1000.0
        self.cores: dict[str, Membership] = {}
        self.costs: dict[str, CostMeter] = {}
        self.is_partitioned: Callable[[str, str], bool] = lambda _from, _to: False
        self.bytes_by_second: dict[str, Counter[int]] = defaultdict(Counter)
        self._random = Random(SEED)
        self._queue: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._order = count()
        self._members = [_member(n, zones) for n in range(nodes)]
        for member in self._members:
            self.start(member)
        self._fetching: set[str] = set()

    def start(self, member: Member) -> None:
        """Start a router with a complete view of the fleet."""
        name, core = member.host, Membership(member, seed=self._random.random())
        self.cores[name] = core
        self.costs[name] = CostMeter(PeerId(name, member.boot))
        first = next(other for other in self._members if other.host != name)
        for message in (Ping(1, 0, 0, (first,)), View(tuple(self._members))):
            list(core.receive(self.now, PeerId(first.host, first.boot), message))
        self._schedule(self.now + self._random.random(), self._tick, core)

    def stop(self, names: Iterable[str]) -> None:
        """Stop routers without notice, as in a crash."""
        for name in names:
            del self.cores[name]

    def _schedule(self, when: float, call: Callable[..., None], *args: Any) -> None:
        heappush(self._queue, (when, next(self._order), call, args))

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> float:
        """Run until the condition holds or the time is up; return elapsed seconds."""
        start = checked = self.now
        while self.now < start + seconds:
            if self.now >= checked + 0.1:
                checked = self.now
                if until():
                    break
            self.now, _, call, args = heappop(self._queue)
            call(*args)
        return self.now - start

    def _tick(self, core: Membership) -> None:
        name = core.own.host
        if self.cores.get(name) is not core:
            return
        cost = self.costs[name]
        self._send_all(name, cost.send(core.on_tick(self.now)))
        self._fetch_revision(core)
        self._schedule(self.now + core.tick_s, self._tick, core)

    def _fetch_revision(self, core: Membership) -> None:
        name = core.own.host
        if core.newer_revision_host() is not None and name not in self._fetching:
            self._fetching.add(name)
            self._schedule(self.now + _CONFIG_FETCH_S, self._on_revision_fetched, core)

    def _on_revision_fetched(self, core: Membership) -> None:
        self._fetching.discard(core.own.host)
        core.revision = core.newest_revision

    def _send_all(self, sender: str, sent: list[tuple[str, bytes]]) -> None:
        self.bytes_by_second[sender][int(self.now)] += sum(
            len(data) for _, data in sent
        )
        for to, data in sent:
            delay = self._random.uniform(*_DELAY_RANGE_S)
            self._schedule(self.now + delay, self._deliver, sender, to, data)

    def _deliver(self, sender: str, to: str, data: bytes) -> None:
        core = self.cores.get(to)
        if core is None or self.is_partitioned(sender, to):
            return
        now = self.now
        self._send_all(
            to,
            self.costs[to].deliver(
                data, lambda source, message: core.receive(now, source, message)
            ),
        )

    def reset_costs(self) -> None:
        """Reset all cost counters."""
        self.costs = {name: CostMeter(cost.own) for name, cost in self.costs.items()}
        self.bytes_by_second.clear()

    def mean_costs(self, seconds: float) -> dict[str, float]:
        """Return the mean costs of a router per second, and the peak of bytes sent."""
        costs = [self.costs[name].outcomes for name in self.cores]
        names = ("cpu_us", "bytes_out", "bytes_in", "messages_out", "messages_in")
        means = {n: sum(c[n] for c in costs) / len(costs) / seconds for n in names}
        means["worst_second_bytes_out"] = self.peak_bytes_per_s
        return means

    @property
    def peak_bytes_per_s(self) -> float:
        """Largest number of bytes that any router sent within one second."""
        return max(max(c.values(), default=0) for c in self.bytes_by_second.values())

    def has_converged(self) -> bool:
        """Return whether the view of each router is exactly the set of live routers."""
        live = self.cores.keys()
        return all(core.members.keys() == live for core in self.cores.values())


def members_stable(nodes: int) -> dict[str, float]:
    """Measure one router's cost per second in a stable fleet."""
    world = MembersWorld(nodes)
    world.run(_WARM_UP_S)
    world.reset_costs()
    with paused_garbage_collection():
        world.run(_STABLE_RUN_S)
    return world.mean_costs(_STABLE_RUN_S)


def members_crashed(crashed: int) -> dict[str, float]:
    """Crash routers at the same time; measure each router's total cost over 20 s."""
    world = MembersWorld()
    world.run(_WARM_UP_S)
    world.reset_costs()
    world.stop([host(n) for n in range(crashed)])
    with paused_garbage_collection():
        seconds = world.run(_LOSS_RUN_S, world.has_converged)
        world.run(_LOSS_RUN_S - seconds)
    return {**world.mean_costs(1.0), "seconds": seconds}


def members_revision(nodes: int) -> dict[str, float]:
    """Measure how long a new configuration takes from the zones' readers to all."""
    world = MembersWorld(nodes)
    world.run(_WARM_UP_S)
    for number in range(_READERS_PER_ZONE * ZONES):
        world.cores[host(number)].revision = 1
    all_updated = lambda: all(c.revision for c in world.cores.values())  # noqa: E731
    return {"seconds": world.run(60.0, all_updated)}


def members_memory(nodes: int) -> dict[str, float]:
    """Measure the memory of one router's membership state."""
    members = tuple(_member(n, ZONES) for n in range(nodes))

    def make() -> Membership:
        core = Membership(members[0], seed=SEED)
        first = peer(1)
        for message in (Ping(1, 0, 0, members[1:2]), View(_copies(members))):
            list(core.receive(0.0, first, message))
        list(core.on_tick(0.0))
        return core

    return {"memory_bytes": measure_memory(make)[0]}


def _copies(members: tuple[Member, ...]) -> tuple[Member, ...]:
    return tuple(_member(n, ZONES) for n in range(len(members)))


def simulate_zone_loss() -> dict[str, float]:
    """Simulate the crash of all routers in one of 7 zones."""
    return _simulate_loss([n for n in range(NODES) if n % ZONES == 0])


def _simulate_loss(numbers: list[int]) -> dict[str, float]:
    world = MembersWorld()
    world.run(_WARM_UP_S)
    world.reset_costs()
    world.stop([host(n) for n in numbers])
    seconds = world.run(90.0, world.has_converged)
    return {"lost": len(numbers), "seconds": seconds, "worst": world.peak_bytes_per_s}


def simulate_region_partition(partition_s: float = 60.0) -> dict[str, float]:
    """Simulate a network partition between two regions, and its healing."""
    world = MembersWorld()
    world.run(_WARM_UP_S)
    world.reset_costs()
    far_region = {host(n) for n in range(NODES) if n % ZONES >= 4}
    world.is_partitioned = lambda sender, to: (
        (sender in far_region) != (to in far_region)
    )
    world.run(partition_s)
    partition_peak = world.peak_bytes_per_s
    world.bytes_by_second.clear()
    world.is_partitioned = lambda _sender, _to: False
    seconds = world.run(120.0, world.has_converged)
    return {
        "worst_apart": partition_peak,
        "worst_rejoin": world.peak_bytes_per_s,
        "seconds": seconds,
        "agreed": world.has_converged(),
    }


def experiments() -> tuple[Experiment, ...]:
    """Return the experiments of this module."""
    return (
        Experiment("membership", "members", (45, 90, 180, 360), members_stable),
        Experiment("membership", "routers lost", (1, 8, 26, 52), members_crashed),
        Experiment("membership", "members told", (45, 90, 180, 360), members_revision),
        Experiment("membership", "members known", (45, 90, 180, 360), members_memory),
    )
