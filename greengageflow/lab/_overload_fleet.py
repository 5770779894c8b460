"""Starts gateways and stand-in endpoints for ``bench_overload``."""

import json
import os
import re
import sys
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from subprocess import DEVNULL, Popen
from tempfile import TemporaryDirectory
from typing import Any

from greengageflow.lab._processes import (
    ROOT,
    Process,
    await_ready,
    call,
    launch,
    wait_for,
)
from greengageflow.lab._subnets import Subnet
from greengageflow.platform.names import (
    IDEMPOTENT,
    READY_PATH,
    SERVERS_TOPIC,
    STREAM,
)

GATEWAY_MODULE = "greengageflow.daemon.gateway"
HOST = "app.example"
PATH = "/work/"
SERVICE = "work"
CALLERS_PORT, READY_PORT, METRICS_PORT, GOSSIP_PORT = 7300, 7301, 7302, 7400
TARGET_MS, DEADLINE_MS = 800, 5000
ACCOUNTS = 4
_METRIC_LINE = re.compile(r"^greengage_(\w+)(?:\{(.*)\})? (\S+)$", re.M)


@dataclass(frozen=True, slots=True)
class Endpoints:
    """Stand-in endpoints and the work of one request.

    Args:
        kind: ``plain`` or ``engine``.
        count: Number of endpoints.
        slots: Concurrent requests per endpoint.
        work_ms: Run time of a plain request, or of an engine step with a batch of one,
            in milliseconds.
        prompt: Prompt tokens per request.
        wanted: Tokens to generate per request.
    """

    kind: str
    count: int
    slots: int
    work_ms: float
    prompt: int = 0
    wanted: int = 0

    GROWTH = 0.1

    @property
    def capacity(self) -> float:
        """Maximum throughput of all endpoints in requests per second, calculated."""
        if self.kind == "plain":
            return self.count * self.slots * 1000 / self.work_ms
        step_ms = self.work_ms * (1 + self.GROWTH * (self.slots - 1))
        return self.count * self.slots * 1000 / (step_ms * self.wanted)

    @property
    def flags(self) -> dict[str, Any]:
        """Command-line flags of a stand-in endpoint."""
        common = {"service": SERVICE, "slots": self.slots, "queue": 2 * self.slots}
        if self.kind == "plain":
            return {**common, "work_ms": self.work_ms}
        return {**common, "model": "m", "step_ms": self.work_ms, "growth": self.GROWTH}


def configuration(endpoints: Endpoints) -> dict[str, Any]:
    """Return a configuration with one route and ``ACCOUNTS`` client accounts."""
    engine = endpoints.kind == "engine"
    route = {
        "name": SERVICE,
        "host": HOST,
        "path_prefix": PATH,
        "service": SERVICE,
        "kind": STREAM if engine else IDEMPOTENT,
        "timeout_ms": 15_000,
        "target_latency_ms": TARGET_MS,
        "gap_target_ms": 400,
        "max_attempts": 2,
        "resumable": engine,
        "priority": 1,
        "public": False,
    }
    service = {"name": SERVICE, "health_path": "/health", "max_conns": 400}
    if engine:
        service["engine"] = {"slots": endpoints.slots, "kv_capacity": 100_000}
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 8_388_608,
        "header_timeout_ms": 10_000,
        "idle_timeout_ms": 60_000,
    }
    return {
        "version": 1,
        "routes": [route],
        "services": [service],
        "tenants": [
            {"name": f"account-{n}", "api_keys": [key]}
            for n, key in enumerate(api_keys())
        ],
        "limits": limits,
    }


def api_keys() -> list[str]:
    """Return one API key for each client account."""
    return [f"key-{number}" for number in range(ACCOUNTS)]


class OverloadFleet:
    """Starts and stops the processes of an overload run, as a context manager.

    Args:
        endpoints: Endpoints behind the gateways.
        gateways: Number of gateways.
    """

    def __init__(self, endpoints: Endpoints, gateways: int) -> None:
        self.routers: dict[str, Process] = {}
        self.replicas: dict[str, Process] = {}
        self._endpoints, self._gateway_count = endpoints, gateways
        self._subnet = Subnet()
        self._store: Process | None = None
        self._directory = TemporaryDirectory(prefix="greengageflow-")

    def __enter__(self) -> "OverloadFleet":
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def _start(self) -> None:
        host = f"--host={self._subnet.host(1)}"
        self._store = await_ready(launch("greengageflow.lab.platform_store", host))
        self._call_store("PUT", "/config", configuration(self._endpoints))
        for number in range(self._endpoints.count):
            name = f"e-{number}"
            self.replicas[name] = self._launch_replica(name)
        for process in self.replicas.values():
            await_ready(process)
        path = f"/newest?topic={SERVERS_TOPIC}"
        wait_for(
            lambda: self._call_store("GET", path).keys() >= self.replicas.keys(),
            "listed",
        )
        for number in range(self._gateway_count):
            self.routers[f"r{number}"] = self._launch_router(number)
        for number in range(self._gateway_count):
            ready = self._ip(number), READY_PORT
            wait_for(lambda a=ready: call(a, "GET", READY_PATH).status == 200, "ready")

    def _call_store(self, method: str, path: str, body: Any = None) -> Any:
        ready = self._store.ready
        return call((ready["host"], ready["control"]), method, path, body).json

    def _launch_replica(self, name: str) -> Process:
        ready = self._store.ready
        flags = {
            "host": self._subnet.host(2),
            "store": f"{ready['host']}:{ready['control']}",
            "name": name,
            **self._endpoints.flags,
        }
        module = "greengageflow.lab.platform_replica"
        return launch(module, *(f"--{key}={value}" for key, value in flags.items()))

    def _ip(self, number: int) -> str:
        return self._subnet.host(10 + number)

    def _launch_router(self, number: int) -> Process:
        ip, name = self._ip(number), f"r{number}"
        settings = {
            "host": name,
            "zone": "zone-1",
            "ip": ip,
            "callers": f"{ip}:{CALLERS_PORT}",
            "ready": f"{ip}:{READY_PORT}",
            "metrics": f"{ip}:{METRICS_PORT}",
            "gossip": f"{ip}:{GOSSIP_PORT}",
            "store": "{host}:{port}".format(**self._store.ready),
            "seeds": [f"{self._ip(n)}:{GOSSIP_PORT}" for n in range(number)],
        }
        path = Path(self._directory.name, f"{name}.json")
        path.write_text(json.dumps(settings))
        with (
            self.log_path(name).open("wb") as out,
            self._stderr_path(name).open("wb") as err,
        ):
            popen = Popen(
                [sys.executable, "-m", GATEWAY_MODULE, f"--settings={path}"],
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
                stdin=DEVNULL,
                stdout=out,
                stderr=err,
            )
        return Process(popen, {}, self._stderr_path(name).open("rb"))

    def _stderr_path(self, name: str) -> Path:
        return Path(self._directory.name, f"{name}.err")

    def log_path(self, name: str) -> Path:
        """Return the file to which a gateway's standard output is written."""
        return Path(self._directory.name, f"{name}.log")

    @property
    def directory(self) -> Path:
        """Temporary directory of the run, removed by ``close``."""
        return Path(self._directory.name)

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """Addresses at which the gateways accept requests."""
        return [
            (self._ip(number), CALLERS_PORT) for number in range(self._gateway_count)
        ]

    def metrics(self) -> dict[str, float]:
        """Return metrics summed over gateways, without buckets and creation times."""
        sums: dict[str, float] = {}
        for number in range(self._gateway_count):
            for name, value in _scrape_metrics(self._ip(number)):
                sums[name] = sums.get(name, 0.0) + value
        return sums

    def runs(self) -> list[dict[str, Any]]:
        """Return all requests that the endpoints received."""
        rows = []
        for process in self.replicas.values():
            address = process.ready["host"], process.ready["control"]
            rows += call(address, "GET", "/runs").json
        return rows

    def close(self) -> None:
        """Stop all processes and remove the temporary directory."""
        processes = [*self.routers.values(), *self.replicas.values()]
        for process in (*processes, *filter(None, [self._store])):
            with suppress(ProcessLookupError):
                process.popen.kill()
            process.popen.wait()
            if process.popen.stdout:
                process.popen.stdout.close()
            process.stderr_file.close()
        self._directory.cleanup()
        self._subnet.close()


def _scrape_metrics(ip: str) -> Iterator[tuple[str, float]]:
    text = call((ip, METRICS_PORT), "GET", "/metrics").data.decode()
    for name, labels, value in _METRIC_LINE.findall(text):
        if not name.endswith(("_bucket", "_created")):
            yield f"{name} {labels}".strip(), float(value)
