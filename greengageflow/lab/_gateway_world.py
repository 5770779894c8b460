"""Control planes of a fleet of gateways, in one process and simulated time."""

from collections.abc import Callable, Mapping
from cProfile import Profile
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from time import process_time
from typing import Any

from greengageflow.core.decayed import DecayedSums
from greengageflow.core.endpoint_list import EndpointList
from greengageflow.core.endpoint_load import EndpointLoads, LoadShare
from greengageflow.core.fleet_demand import divide_capacity
from greengageflow.core.fleet_sums import FleetTotals
from greengageflow.core.leaving_report import LeavingReport
from greengageflow.core.peer_report import PeerReport
from greengageflow.core.prompt_places import PromptPlaces
from greengageflow.core.quarantine import CrashReport
from greengageflow.core.router_table import Hello
from greengageflow.core.service_dispatcher import USAGE_DECAY_S
from greengageflow.core.start_report import StartTimesReport
from greengageflow.core.store_duty import read_interval_s
from greengageflow.core.store_updates import StoreUpdate
from greengageflow.daemon.evacuation_watch import EvacuationWatch
from greengageflow.daemon.exchange_listener import Placements
from greengageflow.daemon.fleet_exchange import FleetExchange
from greengageflow.daemon.store_view import StoreView
from greengageflow.net._fragments import MAX_DATAGRAM_BYTES
from greengageflow.net.http_messages import HttpRequest, Response
from greengageflow.net.report_codec import (
    FULL_SUM_REQUEST,
    SUM_DELTA,
    SUM_REPORT,
    encode,
)
from greengageflow.net.tick_codec import split_stamp

TICK_S = 0.05
STORE_READ_INTERVAL_S = read_interval_s(2.0)
PLACEMENT_WINDOW_S = 0.3
NETWORK_DELAY_S = 0.002
STORE_DELAY_S = 0.003
ANSWER_DURATION_S = 15.4
FIRST_EVENT_S = 1.0
SERVICES = 6
SHARED_PARTS = 2000
ENDPOINTS_PER_PART = 4
SUM_KINDS = (SUM_REPORT, SUM_DELTA, FULL_SUM_REQUEST)
NEWEST_RESPONSE = Response(200, (), b'{"items": [], "end": 0}')
EMPTY_READ_RESPONSE = Response(200, (), bytes(16))

Address = tuple[str, int]


class World:
    """Event loop with simulated time, and the network between nodes."""

    def __init__(self) -> None:
        self.now = 0.0
        self.random = Random(1)
        self.nodes: dict[Address, Node] = {}
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    def at(self, time: float, call: Callable[[], None]) -> None:
        """Schedule a call at a time, in seconds."""
        heappush(self._heap, (time, next(self._order), call))

    def run(self, until: float) -> None:
        """Run scheduled calls up to the time ``until``, in seconds."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heappop(self._heap)
            call()
        self.now = until


@dataclass(slots=True)
class NodeUsage:
    """Resource usage of one node.

    Args:
        cpu_s: Processor seconds.
        sent: Datagrams sent.
        received: Datagrams received.
        bytes_out: Bytes sent.
        bytes_received: Bytes received.
        largest: Bytes of the largest datagram, dropped ones included.
        dropped: Datagrams dropped because they exceed the size limit.
        store_calls: Store calls.
        largest_sums: Bytes of the largest aggregate by scope: False for a zone's,
            True for the whole fleet's.
    """

    cpu_s: float = 0.0
    sent: int = 0
    received: int = 0
    bytes_out: int = 0
    bytes_received: int = 0
    largest: int = 0
    dropped: int = 0
    store_calls: int = 0
    largest_sums: dict[bool, int] = field(default_factory=dict)


class Node:
    """Control plane of one gateway: real exchange, loads, aggregates and store view.

    The node itself implements the link, the timers, the store connection and the
    exchange listener.

    Args:
        world: Time and network.
        own: The router.
        seeds: Addresses of the seed routers for discovery.
        names: Names of the endpoints and of the accounts.
        rate: Requests per second.
        processes_sums: Whether the node processes aggregates and reads the store.
            Other nodes only send, which shortens runs of large fleets.
    """

    def __init__(
        self,
        world: World,
        own: Hello,
        seeds: list[Address],
        names: tuple[list[str], list[str]],
        rate: float,
        *,
        processes_sums: bool,
    ) -> None:
        self.usage = NodeUsage()
        self.profile: Profile | None = None
        self.hosts = 1
        self.own = own
        self.processes_sums = processes_sums
        self.world = world
        self._endpoints, self._accounts = self.shared_names = names
        self._rate = rate
        self._request_numbers = count()
        self._loads = EndpointLoads()
        for name in self._endpoints:
            self._loads.add(name, "model", 64, 1_000_000)
        self._served: DecayedSums[tuple[str, str]] = DecayedSums(USAGE_DECAY_S)
        self._offered: DecayedSums[tuple[str, str]] = DecayedSums(USAGE_DECAY_S)
        self._placements: list[tuple[float, str, str]] = []
        self._places = PromptPlaces()
        self.exchange = FleetExchange(own, self, self, seeds, self, lambda: self.now)
        world.nodes[own.address] = self
        self.view = StoreView(
            self,
            self,
            ("127.0.0.1", 1),
            EndpointList(),
            None,
            EvacuationWatch(self, self.exchange, lambda _zones, _released: None),
            on_routing=lambda _routing: None,
            on_change=lambda _change: None,
            on_update=self.exchange.schedule_report,
            on_read=self.exchange.forward_update,
            on_era=lambda _era: None,
            poll_interval_s=STORE_READ_INTERVAL_S,
            clock=lambda: world.now,
        )

    def start_traffic(self) -> None:
        """Start the exchange and the arrival of requests."""
        self.exchange.start()
        for _ in range(round(self._rate * ANSWER_DURATION_S)):
            self._request(self.world.random.uniform(0, ANSWER_DURATION_S))
        self._on_arrival()
        if self.processes_sums:
            # Staggers store reads: readers in lockstep would be equally stale.
            first_s = self.world.random.uniform(0, STORE_READ_INTERVAL_S)
            self.world.at(first_s, lambda: self.every(TICK_S, self._tick))

    @property
    def state_objects(self) -> list[Any]:
        """Objects that hold the control state."""
        sums = (self._served, self._offered, self._placements, self._places)
        return [self.exchange, self._loads, *sums]

    # Timers; processor time of the callbacks is charged to this node.

    @property
    def now(self) -> float:
        """Simulated time, in seconds."""
        return self.world.now

    def after(self, delay_s: float, call: Callable[..., None]) -> None:
        """Schedule one call after a delay."""
        self.world.at(self.now + delay_s, lambda: self.timed(call))

    def every(self, interval_s: float, call: Callable[[], None]) -> None:
        """Schedule periodic calls with a random initial delay."""

        def run_and_reschedule() -> None:
            self.timed(call)
            self.world.at(self.now + interval_s, run_and_reschedule)

        self.world.at(
            self.now + self.world.random.uniform(0, interval_s), run_and_reschedule
        )

    def timed(self, call: Callable[..., None], *values: Any) -> None:
        """Call a function and charge its processor time to this node."""
        start_s = process_time()
        if self.profile is None:
            call(*values)
        else:
            self.profile.runcall(call, *values)
        self.usage.cpu_s += process_time() - start_s

    # Link.

    def start(self) -> None:
        """Start listening; the simulated link needs no setup."""

    def receive_pending(self) -> None:
        """Messages are handled when they arrive."""

    def send(self, address: Address, data: bytes) -> None:
        """Send a datagram as the real link would."""
        usage = self.usage
        usage.largest = max(usage.largest, len(data))
        _, message = split_stamp(data)
        kind = message[1] if message[0] & 0xF0 == 0x90 else message[3]
        node = self.world.nodes.get(address)
        if kind in SUM_KINDS and node is not None:
            # Aggregates sent within a zone cover the fleet; between zones, one zone.
            same_zone = node.own.zone == self.own.zone
            usage.largest_sums[same_zone] = max(
                usage.largest_sums.get(same_zone, 0), len(data)
            )
        if len(data) > MAX_DATAGRAM_BYTES:
            usage.dropped += 1
            return
        usage.sent += 1
        usage.bytes_out += len(data)
        if node is not None:
            self.world.at(self.now + NETWORK_DELAY_S, lambda: node.deliver(data, kind))

    def deliver(self, data: bytes, kind: int) -> None:
        """Receive a datagram."""
        self.usage.received += 1
        self.usage.bytes_received += len(data)
        if self.processes_sums or kind not in SUM_KINDS:
            self.timed(self.exchange.receive, data)

    # Store connection.

    def fetch(
        self, request: HttpRequest, on_done: Callable[[Response], None], _max_bytes: int
    ) -> None:
        """Respond to a store call; there is never a new record."""
        self.usage.store_calls += 1
        newest = "newest" in request.path
        _, _, wait = request.path.partition("wait_ms=")
        answer = NEWEST_RESPONSE if newest else EMPTY_READ_RESPONSE
        self.after(STORE_DELAY_S + int(wait or 0) / 1000, lambda: on_done(answer))

    def _tick(self) -> None:
        self.view.on_tick(self.exchange.store_role, self.exchange.store_states())
        self.exchange.store_states()

    # Requests. They are not control traffic, so their cost is not charged.

    def _on_arrival(self) -> None:
        self._request(0.0)
        after_s = self.world.random.expovariate(self._rate)
        self.world.at(self.now + after_s, self._on_arrival)

    def _request(self, elapsed_s: float) -> None:
        random, now = self.world.random, self.now
        part = random.randrange(SHARED_PARTS)
        # Prefix affinity keeps a prompt part on a few endpoints.
        placement_index = part * ENDPOINTS_PER_PART + random.randrange(
            ENDPOINTS_PER_PART
        )
        endpoint = self._endpoints[placement_index % len(self._endpoints)]
        load = self._loads.get(endpoint)
        heavy_accounts = max(1, len(self._accounts) // 10)
        account_index = random.randrange(
            heavy_accounts if random.random() < 0.5 else len(self._accounts)
        )
        key = (f"model-{account_index % SERVICES}", self._accounts[account_index])
        request = str(next(self._request_numbers))
        self._served.add(now, key, 1500.0)
        self._offered.add(now, key, 1500.0)
        load.add_request(now, request, 1000.0, 1500.0)
        if random.random() < 0.5 and not elapsed_s:
            self._placements.append((now, f"part-{part:07d}", endpoint))
        first_s = max(0.0, FIRST_EVENT_S - elapsed_s)
        self.world.at(now + first_s, lambda: load.on_first_event(now, request))
        self.world.at(
            now + ANSWER_DURATION_S - elapsed_s, lambda: load.remove_request(request)
        )

    # Exchange listener.

    def report(self, number: int, sequence: int) -> PeerReport:
        """Return the current load report."""
        now, own, view = self.now, self.own, self.view
        return PeerReport(
            host=own.host,
            boot=own.boot,
            number=number,
            sequence=sequence,
            ip=own.ip,
            port=own.port,
            zone=own.zone,
            served=dict(self._served.items(now, 1.0)),
            offered=dict(self._offered.items(now, 1.0)),
            loads=self.loads(),
            config_age_s=now - view.config_confirmed_at,
            list_age_s=now - view.list_confirmed_at,
            placed=self.recent_placements(),
        )

    def loads(self) -> Mapping[str, LoadShare]:
        """Return this router's load on each endpoint."""
        return self._loads.own_shares()

    def recent_placements(self) -> Placements:
        """Return the prompt parts placed recently and their endpoints."""
        now = self.now
        self._placements = [
            row for row in self._placements if row[0] >= now - PLACEMENT_WINDOW_S
        ]
        return tuple(dict.fromkeys(row[1:] for row in self._placements))

    def on_placements(self, placed: Placements) -> None:
        """Record where other routers sent prompt parts."""
        for part, endpoint in placed:
            self._places.on_sent(self.now, part, endpoint)

    def on_loads(self, loads: Mapping[str, LoadShare]) -> None:
        """Record the load of other routers on each endpoint."""
        self._loads.set_others(loads)

    def on_crash_report(self, report: CrashReport) -> None:
        """Ignore the report: no request crashes an endpoint in this simulation."""

    def on_leaving_report(self, report: LeavingReport) -> None:
        """Ignore the report: no endpoint leaves in this simulation."""

    def on_start_times_report(self, report: StartTimesReport) -> None:
        """Ignore the report: no endpoint states a start time in this simulation."""

    def on_store_update(self, update: StoreUpdate) -> None:
        """Apply an update that another router read from the store."""
        self.view.apply_update(update)

    def on_totals(self, totals: FleetTotals) -> None:
        """Apply fleet totals and divide the capacity of each service."""
        self.hosts = totals.hosts
        self._loads.set_others(totals.loads)
        own = dict(self._offered.items(self.now, 1.0))
        for number in range(SERVICES):
            name = f"model-{number}"
            own_demand = {a: x for (s, a), x in own.items() if s == name}
            other_demand = {a: x for (s, a), x in totals.offered.items() if s == name}
            divide_capacity(own_demand, other_demand, 1e6)


def hello(number: int, zones: int) -> Hello:
    """Return the hello of the ``number``-th router."""
    return Hello(
        host=f"node-{number:03d}",
        boot=1,
        ip=f"127.1.{number // 250}.{number % 250 + 1}",
        port=7001,
        zone=f"zone-{number % zones}",
    )


def exchange_hellos(world: World) -> None:
    """Deliver the hello of every router to every router."""
    hellos = [encode(node.own) for node in world.nodes.values()]
    for node in world.nodes.values():
        for data in hellos:
            node.exchange.receive(data)
