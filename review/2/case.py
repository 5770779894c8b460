"""A machine that was frozen and cut off runs requests with a revoked key."""

import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import harness  # noqa: E402

KEPT, REVOKED = "asnmgkcuyj8pjbvk9m68", "b7c0qk2xw4d9fh3n5t6z"
HOSTS = ("front-a-1", "front-a-2", "front-b-1")
FROZEN = "front-a-2"
REVOKE_S = 5.0
FREEZE_S = 4.0
CUT_AFTER_S = 0.5
CONNECTIONS = 60


def case(record, fleet):
    """Return how many requests with the revoked key ran too late."""
    store = harness.Store(fleet.ip(1), record)
    replicas = [harness.Replica(f"i-{n}", fleet.ip(2), record) for n in range(3)]
    for replica in replicas:
        entry = replica.entry("bilhete-app", harness.ZONES[0])
        store.put_server(replica.name, entry)
    store.put_config(harness.configuration(3, [KEPT, REVOKED]))
    for name in HOSTS:
        zone = harness.ZONES["-b-" in name]
        fleet.add(name, zone, harness.ZONES, store.address, harness.BOUNDS)
    fleet.start_proxy(store.address)
    fleet.start()
    time.sleep(5.0)

    clients = [
        harness.Client(fleet.callers(FROZEN), record) for _ in range(CONNECTIONS)
    ]
    for client in clients:
        if client.ask(REVOKED)[1] != 200:
            raise RuntimeError("the key does not work before it is taken away")

    started_at = time.monotonic()
    if harness.TROUBLE:
        fleet.signal(FROZEN, signal.SIGSTOP)
    time.sleep(CUT_AFTER_S)
    if harness.TROUBLE:
        fleet.cut_off(FROZEN)
    time.sleep(0.1)
    acknowledged_at = store.put_config(harness.configuration(5, [KEPT]))
    time.sleep(max(0.0, started_at + FREEZE_S - time.monotonic()))
    if harness.TROUBLE:
        fleet.signal(FROZEN, signal.SIGCONT)

    time.sleep(max(0.0, acknowledged_at + REVOKE_S + 0.02 - time.monotonic()))
    sent_at = {}
    for client in clients:
        now = time.monotonic()
        request, _, _ = client.ask(REVOKED)
        sent_at[request] = now
        time.sleep(0.05)
    if not fleet.running(FROZEN):
        raise RuntimeError(f"{FROZEN} has ended")
    broken = 0
    for replica in replicas:
        for _, request in replica.runs:
            if request in sent_at:
                late_s = sent_at[request] - acknowledged_at
                text = f"{replica.name} ran {request}, sent {late_s:.3f} s after the"
                record(f"BROKEN: {text} acknowledgement (bound {REVOKE_S} s)")
                broken += 1
    return broken


harness.main(Path(__file__).parent, case)
