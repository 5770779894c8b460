"""The operator adds tenants whose names are not in a Western European alphabet."""

import asyncio
import sys
from collections import defaultdict
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness2 import APP, ZONES, Fleet, play, route, trouble

FOLDER = Path(__file__).resolve().parent
GREEK, LATIN = ("Αθηνά", "Ερμής", "Δίρκη"), ("Athina", "Ermis", "Dirki")
ROUNDS = 6


async def case(fleet: Fleet) -> bool:
    """Return whether requests of several tenants ran as those of a single one."""
    routes = [
        route("key-handover", "/puxa403/", "rounds-app", "non_idempotent"),
        route("round-checkin", "/cufi504/", "rounds-app", "idempotent"),
    ]
    await fleet.publish(routes, [APP])
    for zone in ZONES:
        await fleet.add_replica("rounds-app", zone)
    gateways = [fleet.add_gateway(zone, 1) for zone in ZONES]
    await fleet.wait_ready()
    await asyncio.sleep(2.0)
    tenants = GREEK if trouble() else LATIN
    keys = {f"k7b2ex5wa5xwyhks8nb{number}": t for number, t in enumerate(tenants)}
    added = [{"name": t, "api_keys": [k], "priority": 1} for k, t in keys.items()]
    await fleet.publish(routes, [APP], added)
    await asyncio.sleep(3.0)
    seen: dict[str, set[str]] = defaultdict(set)
    runs = 0
    for number in range(ROUNDS):
        for key, tenant in keys.items():
            for method, prefix in (("POST", "/puxa403/"), ("GET", "/cufi504/")):
                request, _ = await fleet.ask(
                    gateways[number % len(gateways)],
                    method,
                    f"{prefix}{number}",
                    b'{"villa": 7}' if method == "POST" else b"",
                    more={"X-Greengageflow-Credential": key},
                )
                for run in fleet.runs(request):
                    runs += 1
                    name = run.headers.get("x-greengageflow-tenant", "")
                    seen[name].add(tenant)
                    fleet.record(f"     {request}: of {tenant}, ran as of {name!r}")
    mixed = {name: who for name, who in seen.items() if len(who) > 1}
    for name, who in mixed.items():
        fleet.record(f"MIXED UP: {sorted(who)} all ran as tenant {name!r}")
    print(f"{runs} runs of {len(tenants)} tenants, as {len(seen)} at the replicas")
    return bool(mixed)


play(case, FOLDER)
