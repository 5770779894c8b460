"""Measures the cost of the gateway's control traffic at 9, 69 and 360 routers.

Real exchanges, codec, aggregates and store views run in one process with simulated
time. Run it as ``greengage-bench gateway``. Figures are per simulated second.
"""

import gc
import json
import os
from collections.abc import Iterator
from cProfile import Profile
from dataclasses import asdict, dataclass, replace
from pstats import Stats
from socket import AF_INET, SOCK_DGRAM, socket
from statistics import median
from sys import getsizeof
from time import gmtime, process_time, strftime
from types import BuiltinFunctionType, FunctionType, MethodType, ModuleType
from typing import Any

from greengageflow.lab._gateway_log import measure_log
from greengageflow.lab._gateway_world import Node, World, hello, introduce
from greengageflow.lab._processes import ROOT

SAVED = ROOT / "docs" / "gateway-slopes.json"
RATE = 7.5
WARM_S = 3.0
WINDOW_S = 2.0
WINDOWS = 3
SHOWN = 25
SMALL, LARGE = 200, 50_000
PLAIN = (type, ModuleType, FunctionType, BuiltinFunctionType, MethodType)


@dataclass(frozen=True, slots=True)
class Size:
    """Size of a fleet.

    Args:
        routers: Routers.
        zones: Availability zones.
        endpoints: Endpoints.
        accounts: Client accounts.
    """

    routers: int
    zones: int
    endpoints: int
    accounts: int


SIZES = (Size(9, 3, 12, 16), Size(69, 3, 60, 30), Size(360, 7, 600, 200))


@dataclass(frozen=True, slots=True)
class Datagram:
    """Processor time of sending and receiving UDP datagrams on loopback.

    Args:
        send: Seconds per datagram sent.
        send_byte: Additional seconds per byte sent.
        take: Seconds per datagram received.
        take_byte: Additional seconds per byte received.
    """

    send: float
    send_byte: float
    take: float
    take_byte: float


def measure_datagram(rounds: int = 4000) -> Datagram:
    """Measure a socket that sends small and large datagrams to itself."""
    with socket(AF_INET, SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        costs = {size: _loopback(sock, size, rounds) for size in (SMALL, LARGE)}
    (send, take), (send_large, take_large) = costs[SMALL], costs[LARGE]
    send_byte = (send_large - send) / (LARGE - SMALL)
    take_byte = (take_large - take) / (LARGE - SMALL)
    return Datagram(send, send_byte, take, take_byte)


def _loopback(sock: socket, size: int, rounds: int) -> tuple[float, float]:
    address, data = sock.getsockname(), bytes(size)
    sends, takes = [], []
    for _ in range(WINDOWS):
        sent = taken = 0.0
        for _ in range(rounds):
            began = process_time()
            sock.sendto(data, address)
            between = process_time()
            sock.recv(60_000)
            sent += between - began
            taken += process_time() - between
        sends.append(sent / rounds)
        takes.append(taken / rounds)
    return median(sends), median(takes)


def _world(size: Size) -> tuple[World, dict[str, list[Node]]]:
    """Return a fleet and its measured routers by role."""
    world = World()
    endpoints = [f"engine-{n:04d}" for n in range(size.endpoints)]
    accounts = [f"account-{n:03d}" for n in range(size.accounts)]
    seeds = [hello(n, size.zones).address for n in range(3)]
    relays = 2 * size.zones
    # Measures two members of each zone besides its relays; in a small fleet, all
    # routers.
    measured = size.routers if size.routers <= 69 else relays + 2 * size.zones
    for number in range(size.routers):
        Node(
            world,
            hello(number, size.zones),
            seeds,
            (endpoints, accounts),
            RATE,
            whole=number < measured,
        )
    nodes = list(world.nodes.values())
    roles = {
        "relay that reads the store": nodes[: size.zones],
        "second relay": nodes[size.zones : relays],
        "member": nodes[relays:measured],
    }
    return world, roles


def _begun(size: Size) -> tuple[World, dict[str, list[Node]]]:
    world, roles = _world(size)
    introduce(world)
    for node in world.nodes.values():
        node.begin()
    world.run(WARM_S)
    return world, roles


def measure(size: Size, cost: Datagram) -> Iterator[dict[str, Any]]:
    """Yield one result row for each role of a fleet."""
    world, roles = _begun(size)
    gc.collect()
    # A garbage collection over the objects of all routers would be charged to the
    # one that is running.
    gc.freeze()
    gc.disable()
    windows: dict[str, list[dict[str, float]]] = {role: [] for role in roles}
    for number in range(WINDOWS):
        before = {id(n): replace(n.spent) for n in world.nodes.values()}
        world.run(WARM_S + (number + 1) * WINDOW_S)
        for role, nodes in roles.items():
            rows = [_rates(before[id(n)], n, cost) for n in nodes]
            mean = {key: sum(r[key] for r in rows) / len(rows) for key in rows[0]}
            windows[role].append(mean)
    gc.enable()
    gc.unfreeze()
    for role, rows in windows.items():
        spent = [node.spent for node in roles[role]]
        yield {
            **asdict(size),
            "role": role,
            **{key: median(row[key] for row in rows) for key in rows[0]},
            "cores": [round(row["core"], 5) for row in rows],
            "memory": median(state_bytes(node) for node in roles[role]),
            "largest": max(one.largest for one in spent),
            "zone_sum": max(one.sums.get(False, 0) for one in spent),
            "whole_sum": max(one.sums.get(True, 0) for one in spent),
            "hosts_heard": min(node.hosts for node in roles[role]),
        }


def _rates(before: Any, node: Node, cost: Datagram) -> dict[str, float]:
    spent = node.spent
    out, taken = spent.out - before.out, spent.taken - before.taken
    bytes_out = spent.bytes_out - before.bytes_out
    bytes_taken = spent.bytes_taken - before.bytes_taken
    sockets = out * cost.send + bytes_out * cost.send_byte
    sockets += taken * cost.take + bytes_taken * cost.take_byte
    sums = {
        "out": out,
        "in": taken,
        "bytes_out": bytes_out,
        "bytes_in": bytes_taken,
        "core": spent.cpu - before.cpu,
        "sockets": sockets,
        "dropped": spent.dropped - before.dropped,
        "calls": spent.calls - before.calls,
    }
    return {key: value / WINDOW_S for key, value in sums.items()}


def state_bytes(node: Node) -> int:
    """Return the memory of a router's control state.

    Each router decodes messages into its own objects, as in separate processes.
    """
    seen = {id(node), id(node.world), id(node.view), *map(id, node.shared)}
    todo, total = list(node.state), 0
    while todo:
        thing = todo.pop()
        if id(thing) in seen or isinstance(thing, PLAIN):
            continue
        seen.add(id(thing))
        total += getsizeof(thing)
        todo.extend(gc.get_referents(thing))
    return total


def profile_roles(*routers: int) -> None:
    """Print a profile of one router of each role.

    Args:
        routers: Sizes to profile; all by default.
    """
    for size in SIZES:
        if routers and size.routers not in routers:
            continue
        world, roles = _begun(size)
        for nodes in roles.values():
            nodes[0].profile = Profile()
        world.run(WARM_S + WINDOW_S)
        for role, nodes in roles.items():
            print(f"{size.routers} routers, {role}, {WINDOW_S:g} s")
            stats = Stats(nodes[0].profile).strip_dirs()
            stats.sort_stats("cumulative").print_stats(SHOWN)
            stats.sort_stats("tottime").print_stats(SHOWN)


def run_gateway(*routers: int) -> None:
    """Measure, print one JSON line per role, and save a complete run.

    Args:
        routers: Sizes to measure; all by default.
    """
    cost = measure_datagram()
    rows = []
    for size in SIZES:
        if not routers or size.routers in routers:
            for row in measure(size, cost):
                print(json.dumps(row), flush=True)
                rows.append(row)
    document = {
        "date": strftime("%Y-%m-%d %H:%M UTC", gmtime()),
        "processors": os.cpu_count(),
        "load": round(os.getloadavg()[0], 1),
        "datagram": asdict(cost),
        "log": measure_log(),
        "rows": rows,
    }
    print(json.dumps(document["datagram"]), json.dumps(document["log"]))
    if not routers:
        # Keeps the saved baseline for comparison.
        if SAVED.exists():
            document["before"] = json.loads(SAVED.read_text()).get("before")
        SAVED.write_text(json.dumps(document, indent=1) + "\n")
