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
from greengageflow.lab._gateway_world import Node, World, exchange_hellos, hello
from greengageflow.lab._processes import ROOT

SAVED_PATH = ROOT / "docs" / "gateway-slopes.json"
REQUESTS_PER_S = 7.5
WARM_UP_S = 3.0
WINDOW_S = 2.0
WINDOWS = 3
PROFILE_ROWS = 25
SMALL_BYTES, LARGE_BYTES = 200, 50_000
UNCOUNTED_TYPES = (type, ModuleType, FunctionType, BuiltinFunctionType, MethodType)


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
        costs = {
            size: _loopback(sock, size, rounds) for size in (SMALL_BYTES, LARGE_BYTES)
        }
    (send, take), (send_large, take_large) = costs[SMALL_BYTES], costs[LARGE_BYTES]
    send_byte = (send_large - send) / (LARGE_BYTES - SMALL_BYTES)
    take_byte = (take_large - take) / (LARGE_BYTES - SMALL_BYTES)
    return Datagram(send, send_byte, take, take_byte)


def _loopback(sock: socket, size: int, rounds: int) -> tuple[float, float]:
    address, data = sock.getsockname(), bytes(size)
    send_times, receive_times = [], []
    for _ in range(WINDOWS):
        sent = received = 0.0
        for _ in range(rounds):
            start = process_time()
            sock.sendto(data, address)
            after_send = process_time()
            sock.recv(60_000)
            sent += after_send - start
            received += process_time() - after_send
        send_times.append(sent / rounds)
        receive_times.append(received / rounds)
    return median(send_times), median(receive_times)


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
            REQUESTS_PER_S,
            processes_sums=number < measured,
        )
    nodes = list(world.nodes.values())
    roles = {
        "relay that reads the store": nodes[: size.zones],
        "second relay": nodes[size.zones : relays],
        "member": nodes[relays:measured],
    }
    return world, roles


def _warmed_up_world(size: Size) -> tuple[World, dict[str, list[Node]]]:
    world, roles = _world(size)
    exchange_hellos(world)
    for node in world.nodes.values():
        node.start_traffic()
    world.run(WARM_UP_S)
    return world, roles


def measure(size: Size, cost: Datagram) -> Iterator[dict[str, Any]]:
    """Yield one result row for each role of a fleet."""
    world, roles = _warmed_up_world(size)
    gc.collect()
    # A garbage collection over the objects of all routers would be charged to the
    # one that is running.
    gc.freeze()
    gc.disable()
    windows: dict[str, list[dict[str, float]]] = {role: [] for role in roles}
    for number in range(WINDOWS):
        before = {id(n): replace(n.usage) for n in world.nodes.values()}
        world.run(WARM_UP_S + (number + 1) * WINDOW_S)
        for role, nodes in roles.items():
            rows = [_rates(before[id(n)], n, cost) for n in nodes]
            mean = {key: sum(r[key] for r in rows) / len(rows) for key in rows[0]}
            windows[role].append(mean)
    gc.enable()
    gc.unfreeze()
    for role, rows in windows.items():
        usage = [node.usage for node in roles[role]]
        yield {
            **asdict(size),
            "role": role,
            **{key: median(row[key] for row in rows) for key in rows[0]},
            "cores": [round(row["core"], 5) for row in rows],
            "memory": median(state_bytes(node) for node in roles[role]),
            "largest": max(node_usage.largest for node_usage in usage),
            "zone_sum": max(
                node_usage.largest_sums.get(False, 0) for node_usage in usage
            ),
            "whole_sum": max(
                node_usage.largest_sums.get(True, 0) for node_usage in usage
            ),
            "hosts_heard": min(node.hosts for node in roles[role]),
        }


def _rates(before: Any, node: Node, cost: Datagram) -> dict[str, float]:
    usage = node.usage
    sent, received = usage.sent - before.sent, usage.received - before.received
    bytes_out = usage.bytes_out - before.bytes_out
    bytes_received = usage.bytes_received - before.bytes_received
    sockets = sent * cost.send + bytes_out * cost.send_byte
    sockets += received * cost.take + bytes_received * cost.take_byte
    sums = {
        "out": sent,
        "in": received,
        "bytes_out": bytes_out,
        "bytes_in": bytes_received,
        "core": usage.cpu_s - before.cpu_s,
        "sockets": sockets,
        "dropped": usage.dropped - before.dropped,
        "calls": usage.store_calls - before.store_calls,
    }
    return {key: value / WINDOW_S for key, value in sums.items()}


def state_bytes(node: Node) -> int:
    """Return the memory of a router's control state.

    Each router decodes messages into its own objects, as in separate processes.
    """
    seen = {id(node), id(node.world), id(node.view), *map(id, node.shared_names)}
    pending, total = list(node.state_objects), 0
    while pending:
        item = pending.pop()
        if id(item) in seen or isinstance(item, UNCOUNTED_TYPES):
            continue
        seen.add(id(item))
        total += getsizeof(item)
        pending.extend(gc.get_referents(item))
    return total


def profile_roles(*routers: int) -> None:
    """Print a profile of one router of each role.

    Args:
        routers: Sizes to profile; all by default.
    """
    for size in SIZES:
        if routers and size.routers not in routers:
            continue
        world, roles = _warmed_up_world(size)
        for nodes in roles.values():
            nodes[0].profile = Profile()
        world.run(WARM_UP_S + WINDOW_S)
        for role, nodes in roles.items():
            print(f"{size.routers} routers, {role}, {WINDOW_S:g} s")
            stats = Stats(nodes[0].profile).strip_dirs()
            stats.sort_stats("cumulative").print_stats(PROFILE_ROWS)
            stats.sort_stats("tottime").print_stats(PROFILE_ROWS)


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
        if SAVED_PATH.exists():
            document["before"] = json.loads(SAVED_PATH.read_text()).get("before")
        SAVED_PATH.write_text(json.dumps(document, indent=1) + "\n")
