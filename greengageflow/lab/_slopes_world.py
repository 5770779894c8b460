"""Synthetic fleets of any size for ``slopes``, and cost measurement."""

import gc
import tracemalloc
from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from functools import cache
from time import process_time
from typing import Any

from greengageflow.core.catalog import (
    ClientAccount,
    Endpoint,
    FleetConfig,
    Pool,
    PoolKind,
)
from greengageflow.core.effects import Send
from greengageflow.core.messages import PeerId
from greengageflow.core.placement import FleetView, LiveMember
from greengageflow.net.wire import decode, encode

SEED = 1
NODES = 360
ENDPOINTS = 600
ACCOUNTS = 200
BACKLOGGED = 20
ZONES = 7
POOLS = 3
SLOTS = 16
BOOT = 1_764_700_000


@dataclass(frozen=True, slots=True)
class Experiment:
    """Measures one role at increasing values of one driver.

    Args:
        role: Component that is measured.
        driver: Quantity that is varied.
        points: Values of the driver; at least four.
        run: Returns the outcomes by name for one value of the driver.
    """

    role: str
    driver: str
    points: tuple[int, ...]
    run: Callable[[int], Mapping[str, float]]


def host(number: int) -> str:
    """Return the name of the ``number``-th router."""
    return f"r{number:03d}"


def peer(number: int) -> PeerId:
    """Return the peer id (host and boot time) of the ``number``-th router."""
    return PeerId(host(number), BOOT)


def account(number: int) -> str:
    """Return the name of the ``number``-th account."""
    return f"account{number:03d}"


def live_members(nodes: int = NODES, zones: int = ZONES) -> dict[str, LiveMember]:
    """Return live routers, distributed evenly over the zones."""
    return {host(n): LiveMember(BOOT, f"z{n % zones}") for n in range(nodes)}


@cache
def placed_view() -> FleetView:
    """Return a view of the whole fleet with all endpoints placed."""
    live = live_members()
    view = FleetView(peer(0), live, frozenset(live))
    for name in fleet_config().endpoints:
        view.owner_of(name)
    return view


def view_of(own: PeerId) -> FleetView:
    """Return one router's view of the whole fleet, reusing the computed ranks."""
    view = placed_view()
    return FleetView(own, view.live, view.roster, _ranks=view._ranks)


def owners_of(pool: str) -> dict[str, list[str]]:
    """Return the endpoints of a pool by their owner's host."""
    owned: dict[str, list[str]] = {}
    for endpoint in fleet_config().pool_endpoints(pool):
        owned.setdefault(placed_view().owner_of(endpoint.name), []).append(
            endpoint.name
        )
    return owned


def fleet_config(
    endpoints: int = ENDPOINTS, accounts: int = ACCOUNTS, revision: int = 1
) -> FleetConfig:
    """Return a configuration with accounts and endpoints in three pools."""
    names = [account(n) for n in range(accounts)]
    replicas = [
        Endpoint(f"e{n}", f"m{n % POOLS}", "127.0.0.1", 8000, slots=SLOTS)
        for n in range(endpoints)
    ]
    return FleetConfig(
        revision=revision,
        accounts={name: ClientAccount(name, queue_limit=4096) for name in names},
        pools={f"m{n}": Pool(f"m{n}", PoolKind.MODEL) for n in range(POOLS)},
        endpoints={endpoint.name: endpoint for endpoint in replicas},
    )


class CostMeter:
    """Accumulates processor time, bytes and messages of one router.

    ``deliver`` and ``send`` include the codec; neither includes ZeroMQ.

    Args:
        own: Sender of the encoded messages.
    """

    def __init__(self, own: PeerId) -> None:
        self.own = own
        self.cpu_s = 0.0
        self.bytes_out = 0
        self.bytes_in = 0
        self.messages_out = 0
        self.messages_in = 0

    def send(self, effects: Iterable[Any]) -> list[tuple[str, bytes]]:
        """Consume effects; return the encoded messages to other routers."""
        start = process_time()
        out = [
            (effect.to, encode(self.own, effect.message))
            for effect in effects
            if isinstance(effect, Send)
        ]
        self.cpu_s += process_time() - start
        out = [pair for pair in out if pair[0] != self.own.host]
        self.messages_out += len(out)
        self.bytes_out += sum(len(data) for _, data in out)
        return out

    def deliver(
        self, data: bytes, receive: Callable[[PeerId, Any], Iterable[Any] | None]
    ) -> list[tuple[str, bytes]]:
        """Decode one message, pass it to ``receive`` and return the sent messages."""
        self.bytes_in += len(data)
        self.messages_in += 1
        start = process_time()
        effects = receive(*decode(data)) or ()
        self.cpu_s += process_time() - start
        return self.send(effects)

    def run(self, call: Callable[[], Any]) -> Any:
        """Call a function and charge its processor time to this router."""
        start = process_time()
        result = call()
        self.cpu_s += process_time() - start
        return result

    @property
    def outcomes(self) -> dict[str, float]:
        """All totals; processor time is in microseconds."""
        return {
            "cpu_us": 1e6 * self.cpu_s,
            "bytes_out": self.bytes_out,
            "bytes_in": self.bytes_in,
            "messages_out": self.messages_out,
            "messages_in": self.messages_in,
        }


@contextmanager
def paused_garbage_collection() -> Iterator[None]:
    """Disable garbage collection while a simulated fleet is measured.

    With a whole fleet in one process, a collection costs hundreds of times more than
    in a real router, and all of it would be charged to the router being measured.
    """
    gc.collect()
    gc.freeze()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()
        gc.unfreeze()


def measure_memory(make: Callable[[], Any]) -> tuple[float, Any]:
    """Return the bytes allocated by ``make``, and the object that it returns."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = make()  # keeps the object alive until memory is read
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(after - before), result
