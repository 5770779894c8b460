"""The platform's fakes and routers as real processes on loopback addresses."""

import json
import os
import signal
import sys
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from subprocess import DEVNULL, STDOUT, Popen
from tempfile import TemporaryDirectory, TemporaryFile
from time import monotonic
from typing import Any

from greengageflow.events import Event
from greengageflow.lab._processes import (
    ROOT,
    Process,
    await_ready,
    call,
    launch,
    wait_for,
)
from greengageflow.lab._subnets import Subnet
from greengageflow.lab.platform_client import PlatformAnswer, PlatformClient
from greengageflow.lab.poison import CRASHED
from greengageflow.platform.names import (
    IDEMPOTENT,
    MODEL,
    NON_IDEMPOTENT,
    PROMPT_PREFIX,
    READY_PATH,
    SERVERS_TOPIC,
    STATUS_TOPIC,
    STREAM,
    TOKEN_COUNT,
)

CALLERS_PORT, READY_PORT, GOSSIP_PORT = 7300, 7301, 7400
GATEWAY = "greengageflow.daemon.gateway"
HOST = "app.example"
KEY = "key-of-tenant-1"
SAFE, UNSAFE, CHAT, TALE = "/safe/", "/unsafe/", "/chat/", "/tale/"


@dataclass(frozen=True, slots=True)
class PlatformShape:
    """What a lab is made of.

    Args:
        routers: Number of routers.
        plain: Number of replicas of the plain service ``app``.
        engines: Number of replicas of the model service ``scribe``.
        plain_options: Flags of the plain replicas.
        engine_options: Flags of the engines.
        bounds: Bounds in the routers' settings that differ from the lab's.
    """

    routers: int = 1
    plain: int = 2
    engines: int = 0
    plain_options: Mapping[str, Any] = field(default_factory=dict)
    engine_options: Mapping[str, Any] = field(default_factory=dict)
    bounds: Mapping[str, Any] = field(default_factory=dict)


def generation(wanted: int, *parts: tuple[str, int], prompt: int = 0) -> dict[str, str]:
    """Return the headers of a generation of ``wanted`` tokens."""
    read = prompt or sum(tokens for _, tokens in parts)
    return {
        MODEL: "m",
        TOKEN_COUNT: f"{read},{wanted}",
        PROMPT_PREFIX: ",".join(f"{name}:{tokens}" for name, tokens in parts),
    }


def route(name: str, prefix: str, service: str, kind: str, **more: Any) -> dict:
    """Return one route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "service": service,
        "kind": kind,
        "timeout_ms": 15_000,
        "target_latency_ms": 800,
        "max_attempts": 2,
        "priority": 1,
        "public": False,
        **more,
    }


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with one route of each kind and one tenant."""
    stream = {"sticky": True, "gap_target_ms": 400}
    routes = [
        route("safe", SAFE, "app", IDEMPOTENT),
        route("unsafe", UNSAFE, "app", NON_IDEMPOTENT),
        route("chat", CHAT, "scribe", STREAM, resumable=True, **stream),
        route("tale", TALE, "scribe", STREAM, resumable=False, **stream),
    ]
    service = {"health_path": "/health", "max_conns": 200}
    engine = {"slots": 4, "kv_capacity": 100_000}
    services = [
        {"name": "app", **service},
        {"name": "scribe", **service, "engine": engine},
    ]
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 8_388_608,
        "header_timeout_ms": 10_000,
        "idle_timeout_ms": 60_000,
        "tokens_per_s": 100_000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": [{"name": "tenant-1", "api_keys": [KEY]}],
        "limits": limits,
        **changes,
    }


def router_settings(lab: "PlatformLab", number: int) -> dict[str, Any]:
    """Return the settings of the ``number``-th router."""
    ip = lab.subnet.host(10 + number)
    others = [one["gossip"] for one in lab.settings.values()]
    return {
        "host": f"r{number}",
        "zone": "zone-1",
        "ip": ip,
        "callers": f"{ip}:{CALLERS_PORT}",
        "ready": f"{ip}:{READY_PORT}",
        "gossip": f"{ip}:{GOSSIP_PORT}",
        "store": "{}:{}".format(*lab.store.address),
        "seeds": others[:3],
        "bounds": {"grace_s": 8, "budget_slack": 1000, **lab.shape.bounds},
    }


def _address(text: str) -> tuple[str, int]:
    ip, _, port = text.rpartition(":")
    return ip, int(port)


class PlatformLab:
    """Starts and ends the processes of a shape; use it in a ``with`` block."""

    def __init__(self, shape: PlatformShape | None = None) -> None:
        self.shape = shape or PlatformShape()
        self.subnet = Subnet()
        self.store: Process | None = None
        self.replicas: dict[str, Process] = {}
        self.routers: dict[str, Process] = {}
        self.settings: dict[str, dict[str, Any]] = {}
        self._ended: list[Process] = []
        self._dir = TemporaryDirectory(prefix="greengageflow-")

    def __enter__(self) -> "PlatformLab":
        """Start everything."""
        try:
            self.start_store()
            self.start_replicas()
            self.publish(configuration())
            self.start_routers()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, kind: type[BaseException] | None, *_: object) -> None:
        """End everything.

        Raises:
            RuntimeError: A router logged a fault of the program.
        """
        logs = [one.stderr for one in (*self.routers.values(), *self._ended)]
        self.close()
        faults = [log for log in logs if Event.INTERNAL.number in log]
        if faults and kind is None:
            raise RuntimeError("\n".join(faults))

    # Processes.

    def start_store(self) -> None:
        """Start the store and wait for it."""
        module = "greengageflow.lab.platform_store"
        self.store = await_ready(launch(module, f"--host={self.subnet.host(1)}"))

    def start_replicas(self) -> None:
        """Start the shape's replicas; return once the store lists all."""
        shape = self.shape
        launched = {}
        for number in range(shape.plain):
            options = {"service": "app", **shape.plain_options}
            launched[f"app-{number}"] = self._launch(f"app-{number}", options)
        for number in range(shape.engines):
            name = f"scribe-{number}"
            options = {"service": "scribe", "model": "m", **shape.engine_options}
            launched[name] = self._launch(name, options)
        for name, process in launched.items():
            self.replicas[name] = await_ready(process)
        # A router reads the list once a second: one that comes later is not known.
        wait_for(
            lambda: self.newest(SERVERS_TOPIC).keys() >= launched.keys(), "all listed"
        )

    def _launch(self, name: str, options: Mapping[str, Any]) -> Process:
        # Entries carry the address, so replicas are told apart by their port alone.
        given = {
            "host": self.subnet.host(2),
            "store": "{}:{}".format(*self.control_address(self.store)),
            "name": name,
            **options,
        }
        flags = (f"--{key}={value}" for key, value in given.items())
        return launch("greengageflow.lab.platform_replica", *flags)

    def add_replica(self, name: str, **options: Any) -> Process:
        """Start one more replica with these flags."""
        self.replicas[name] = await_ready(self._launch(name, options))
        return self.replicas[name]

    @property
    def crashed(self) -> list[str]:
        """Names of the replicas that ran a poison request."""
        processes = self.replicas.items()
        return [name for name, one in processes if one.popen.poll() == CRASHED]

    def start_routers(self) -> None:
        """Start the shape's routers; return once all are ready."""
        for _ in range(self.shape.routers):
            self.add_router()
        for name in self.settings:
            self.wait_ready(name)

    def add_router(self) -> str:
        """Start one more router; return its name."""
        name = f"r{len(self.settings)}"
        self.settings[name] = router_settings(self, len(self.settings))
        self.launch_router(name)
        return name

    def launch_router(self, name: str) -> Process:
        """Start a router, also again, without waiting for it."""
        if name in self.routers:
            self._ended.append(self.routers[name])
        path = Path(self._dir.name, f"{name}.json")
        path.write_text(json.dumps(self.settings[name]))
        # To a file: a pipe that nobody reads would stop the router one day.
        logs = TemporaryFile()  # noqa: SIM115 (lives as long as the process)
        popen = Popen(
            [sys.executable, "-m", GATEWAY, "--settings", str(path)],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            stdin=DEVNULL,
            stdout=logs,
            stderr=STDOUT,
        )
        self.routers[name] = Process(popen, {}, logs)
        return self.routers[name]

    def ready(self, name: str) -> int:
        """Return the status with which a router says whether it is ready."""
        address = _address(self.settings[name]["ready"])
        return call(address, "GET", READY_PATH, timeout_s=2).status

    def wait_ready(self, name: str) -> None:
        """Wait until a router is ready.

        Raises:
            RuntimeError: It ended instead.
        """

        def asked() -> bool:
            if self.routers[name].popen.poll() is not None:
                raise RuntimeError(f"router ended: {self.routers[name].stderr}")
            return self.ready(name) == 200

        wait_for(asked, f"{name} is ready")

    def close(self) -> None:
        """End all processes."""
        mine = [*self.routers.values(), *self._ended, *self.replicas.values()]
        for process in (*mine, *filter(None, [self.store])):
            with suppress(ProcessLookupError):
                process.popen.kill()
            process.popen.wait()
            if process.popen.stdout:
                process.popen.stdout.close()
            process.errors.close()
        self._dir.cleanup()
        self.subnet.close()

    # The fakes' control calls.

    @staticmethod
    def control_address(process: Process) -> tuple[str, int]:
        """Return where a fake takes the control calls."""
        return process.ready["host"], process.ready["control"]

    def control(self, process: Process, method: str, path: str, body=None) -> Any:
        """Make a control call that must succeed; return its answer's value."""
        answer = call(self.control_address(process), method, path, body)
        assert answer.status == 200, answer.data
        return answer.json

    def publish(self, config: dict[str, Any]) -> None:
        """Have the operator write a configuration."""
        self.control(self.store, "PUT", "/config", config)

    def store_fault(self, **faults: Any) -> None:
        """Set the store's faults; none clears them."""
        self.control(self.store, "POST", "/fault", faults)

    def compact(self, topic: str) -> None:
        """Have the store forget all records of a topic."""
        self.control(self.store, "POST", "/compact", {"topic": topic})

    def newest(self, topic: str = STATUS_TOPIC) -> dict[str, Any]:
        """Return the newest value of each key of a topic."""
        return self.control(self.store, "GET", f"/newest?topic={topic}")

    def fault(self, replica: str, **faults: Any) -> None:
        """Set a replica's faults; none clears them."""
        self.control(self.replicas[replica], "POST", "/fault", faults)

    def tear(self, replica: str) -> None:
        """Tear all streams of a replica in the middle of an event, now."""
        self.control(self.replicas[replica], "POST", "/tear")

    def set_state(self, replica: str, state: str) -> float:
        """Have a replica report a state; return when (seconds, monotonic)."""
        self.control(self.replicas[replica], "PUT", "/state", {"state": state})
        return monotonic()

    def runs(self, name: str | None = None) -> list[dict[str, Any]]:
        """Return what came to all replicas, of one request if named."""
        rows = [
            {**row, "replica": replica}
            for replica, process in self.replicas.items()
            if process.popen.poll() is None
            for row in self.control(process, "GET", "/runs")
        ]
        return [row for row in rows if name in (None, row["id"])]

    @property
    def log(self) -> str:
        """All lines of all routers that run."""
        return "".join(process.stderr for process in self.routers.values())

    def begun(self, name: str) -> list[dict[str, Any]]:
        """Return the runs of a request that began."""
        return [row for row in self.runs(name) if row["begun"] is not None]

    # Callers.

    def client(self, router: str = "r0", source: str | None = None) -> PlatformClient:
        """Return a connection to a router, from a local IP number if given."""
        return PlatformClient(_address(self.settings[router]["callers"]), source)

    def ask(self, path: str, router: str = "r0", **options: Any) -> PlatformAnswer:
        """Make one request with the tenant's key on a connection of its own."""
        client = self.client(router)
        try:
            return client.ask(path, **{"key": KEY, "host": HOST, **options})
        finally:
            client.close()

    def direct(self, replica: str) -> PlatformClient:
        """Return a connection straight to a replica."""
        return PlatformClient(self.replicas[replica].address)

    def terminate(self, router: str) -> None:
        """Send a router SIGTERM."""
        self.routers[router].popen.send_signal(signal.SIGTERM)


fakes_only = partial(PlatformShape, routers=0)
