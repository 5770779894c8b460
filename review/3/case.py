"""Machines go on sending to a replica that left while the store forgot its records."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import harness  # noqa: E402

KEY = "asnmgkcuyj8pjbvk9m68"
HOSTS = ("front-a-1", "front-a-2", "front-a-3", "front-b-1")
LEAVING = "i-1"
DRAIN_S, STABLE_S = 2.0, 3.0
LINGER_S = 10.0
WORK_S = 0.09
CALLERS = 4


def case(record, fleet):
    """Return how many requests reached the replica too late."""
    store = harness.Store(fleet.ip(1), record)
    replicas = {
        name: harness.Replica(name, fleet.ip(2), record)
        for name in ("i-0", "i-1", "i-2")
    }
    for name, replica in replicas.items():
        replica.work_s = WORK_S
        store.put_server(name, replica.entry("bilhete-app", harness.ZONES[0]))
    store.put_config(harness.configuration(3, [KEY]))
    for name in HOSTS:
        zone = harness.ZONES["-b-" in name]
        fleet.add(name, zone, harness.ZONES, store.address, harness.BOUNDS)
    fleet.start()
    time.sleep(5.0)

    done = threading.Event()
    statuses = {}

    def call(host):
        client = harness.Client(fleet.callers(host), record)
        while not done.is_set():
            request, status, _ = client.ask(KEY)
            statuses[request] = status
            time.sleep(0.03)

    threads = [
        threading.Thread(target=call, args=(host,), daemon=True)
        for host in HOSTS
        for _ in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(2.0)
    if not replicas[LEAVING].runs:
        raise RuntimeError(f"{LEAVING} got no requests while it was listed")

    # Its entry is removed without a report of `draining`, and it serves on.
    acknowledged_at = store.remove_server(LEAVING)
    if harness.TROUBLE:
        store.forget(harness.SERVERS)
    time.sleep(LINGER_S)
    end = time.monotonic() + 2.0
    while not replicas[LEAVING].at_work and time.monotonic() < end:
        time.sleep(0.001)
    time.sleep(WORK_S / 3)
    replicas[LEAVING].exit()
    time.sleep(1.0)
    done.set()
    for thread in threads:
        thread.join(5.0)
    if list(statuses.values()).count(200) < 0.9 * len(statuses):
        raise RuntimeError("too few requests are served")
    if not all(map(fleet.running, HOSTS)):
        raise RuntimeError("a gateway has ended")

    # Machines are in touch again `stable_ms` after the store forgot its records. The
    # bench counts a little more than a second of disruption before that.
    bound_s = max(DRAIN_S, STABLE_S + 2.0)
    broken = 0
    for at, request in replicas[LEAVING].runs:
        if at - acknowledged_at > bound_s:
            text = f"{request} reached {LEAVING} {at - acknowledged_at:.3f} s after"
            record(f"BROKEN: {text} the acknowledgement (drain_ms {DRAIN_S} s)")
            broken += 1
    for _, request in replicas[LEAVING].runs:
        if statuses.get(request, 200) != 200:
            record(f"LOST: {request} began at {LEAVING}, which exited: its client got")
            record(f"      status {statuses[request]}, and must not send it again")
    return broken


harness.main(Path(__file__).parent, case)
