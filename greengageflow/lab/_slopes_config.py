"""Cost of the configuration: folding a record and transferring the state."""

import json
from time import process_time
from typing import Any

from greengageflow.core.entry import EntryQueue
from greengageflow.core.fold import Fold
from greengageflow.core.messages import ConfigState
from greengageflow.core.owner import EndpointOwner
from greengageflow.core.shares import ServiceLedger
from greengageflow.lab._slopes_world import (
    ACCOUNTS,
    ENDPOINTS,
    POOLS,
    Experiment,
    account,
    measure_memory,
    peer,
    view_of,
)
from greengageflow.net.config_exchange import pack_document, unpack_document
from greengageflow.net.host_list import parse_hosts
from greengageflow.net.wire import encode

_ALLOW = {"schema": 1, "kind": "allow_schema", "replaces": 0, "highest": 2}


def record(endpoints: int, accounts: int) -> dict[str, Any]:
    """Return a record of schema 2 with the given numbers of endpoints and accounts."""
    pools = [
        {
            "name": f"m{pool}",
            "kind": "model",
            "endpoints": [
                {
                    "name": f"replica{n:03d}",
                    "address": {"ip": f"10.1.{n // 250}.{n % 250 + 1}", "port": 8000},
                    "zone": f"z{n % 7}",
                    "slots": 16,
                }
                for n in range(pool, endpoints, POOLS)
            ],
        }
        for pool in range(POOLS)
    ]
    rows = [
        {
            "name": account(n),
            "share": {"weight": 1 + n % 4},
            "key_hashes": [f"{n:064x}"],
        }
        for n in range(accounts)
    ]
    config = {"accounts": rows, "pools": pools}
    return {"schema": 2, "replaces": 1, "author": "operator", "config": config}


def _measure_costs(endpoints: int, accounts: int) -> dict[str, float]:
    text = json.dumps(record(endpoints, accounts))
    fold = Fold()
    fold.apply(0, _ALLOW)
    start = process_time()
    fold.apply(1, json.loads(text))
    folded = process_time()
    document = pack_document(fold.snapshot("r000"))
    packed = process_time()
    restored_fold = Fold()
    assert restored_fold.restore(unpack_document(document))
    restored = process_time()
    _apply_config(fold)
    applied = process_time()
    state = encode(peer(0), ConfigState(2, 1, document))
    memory_bytes, _ = measure_memory(lambda: _fold_record(text))
    return {
        "record_bytes": len(text),
        "state_bytes": len(state),
        "fold_us": 1e6 * (folded - start),
        "pack_us": 1e6 * (packed - folded),
        "restore_us": 1e6 * (restored - packed),
        "take_over_us": 1e6 * (applied - restored),
        "memory_bytes": memory_bytes,
    }


def _fold_record(text: str) -> Fold:
    fold = Fold()
    fold.apply(0, _ALLOW)
    fold.apply(1, json.loads(text))
    return fold


def _apply_config(fold: Fold) -> None:
    own = peer(0)
    ledger = ServiceLedger(own)
    ledger.on_config(fold.config)
    for part in (EntryQueue(own, ledger), EndpointOwner(own, ledger)):
        list(part.on_view(0.0, view_of(own)))
        list(part.on_config(0.0, fold.config))


def config_endpoints(endpoints: int) -> dict[str, float]:
    """Measure adopting a configuration by its number of endpoints."""
    return _measure_costs(endpoints, ACCOUNTS)


def config_accounts(accounts: int) -> dict[str, float]:
    """Measure adopting a configuration by its number of accounts."""
    return _measure_costs(ENDPOINTS, accounts)


def host_list(hosts: int) -> dict[str, float]:
    """Measure parsing the platform's host list."""
    rows = [
        {
            "host": f"host{n:04d}",
            "kind": "router" if n % 8 < 3 else "endpoint",
            "state": "live",
            "ip": f"10.0.{n // 250}.{n % 250 + 1}",
            "port": 7400,
            "zone": f"z{n % 7}",
        }
        for n in range(hosts)
    ]
    body = json.dumps({"hosts": rows}).encode()
    start = process_time()
    assert len(parse_hosts(body)) == hosts
    return {"bytes": len(body), "cpu_us": 1e6 * (process_time() - start)}


def experiments() -> tuple[Experiment, ...]:
    """Return the experiments of this module."""
    return (
        Experiment("configuration", "endpoints", (75, 150, 300, 600), config_endpoints),
        Experiment("configuration", "accounts", (25, 50, 100, 200), config_accounts),
        Experiment("host list", "hosts", (120, 240, 480, 960), host_list),
    )
