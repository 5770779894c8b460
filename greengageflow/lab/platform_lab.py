"""Test environment: fake store, fake replicas and real routers as processes.

All processes listen on loopback addresses.
"""

import json
import os
import signal
import sys
from collections.abc import Mapping
from contextlib import closing, suppress
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from struct import pack
from subprocess import DEVNULL, STDOUT, Popen
from tempfile import TemporaryDirectory, TemporaryFile
from time import monotonic
from typing import Any

from greengageflow.events import Event
from greengageflow.lab._processes import (
    ROOT,
    TIMEOUT_S,
    Process,
    await_ready,
    call,
    launch,
    wait_for,
)
from greengageflow.lab._subnets import Subnet
from greengageflow.lab.platform_client import PlatformAnswer, PlatformClient
from greengageflow.lab.poison import CRASH_EXIT_STATUS
from greengageflow.net.blocking_http import BlockingConnection
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
SAFE, UNSAFE, CHAT, NON_RESUMABLE_CHAT = "/safe/", "/unsafe/", "/chat/", "/tale/"
TARGET_MS = 800
"""Target latency of the routes, in milliseconds."""


@dataclass(frozen=True, slots=True)
class PlatformShape:
    """Number and options of the processes that a lab starts.

    Args:
        routers: Number of routers.
        plain: Number of replicas of the plain service ``app``.
        engines: Number of replicas of the model service ``scribe``.
        plain_options: Flags of the plain replicas.
        engine_options: Flags of the engines.
        releases: Software versions of the engines, assigned in turn.
        bounds: Entries of the routers' ``bounds`` settings that override the
            lab's defaults.
        target_ms: Target latency of all routes, in milliseconds.
    """

    routers: int = 1
    plain: int = 2
    engines: int = 0
    plain_options: Mapping[str, Any] = field(default_factory=dict)
    engine_options: Mapping[str, Any] = field(default_factory=dict)
    releases: tuple[str, ...] = ("v1",)
    bounds: Mapping[str, Any] = field(default_factory=dict)
    target_ms: int = TARGET_MS

    @property
    def configuration(self) -> dict[str, Any]:
        """The configuration at the start."""
        config = configuration()
        for one in config["routes"]:
            one["target_latency_ms"] = self.target_ms
        return config


def generation(wanted: int, *parts: tuple[str, int], prompt: int = 0) -> dict[str, str]:
    """Return the headers of a request that generates ``wanted`` tokens.

    Args:
        wanted: Number of tokens to generate.
        parts: Name and number of tokens of each part of the prompt prefix.
        prompt: Number of prompt tokens; 0 for the sum of the parts.
    """
    prompt_tokens = prompt or sum(tokens for _, tokens in parts)
    return {
        MODEL: "m",
        TOKEN_COUNT: f"{prompt_tokens},{wanted}",
        PROMPT_PREFIX: ",".join(f"{name}:{tokens}" for name, tokens in parts),
    }


def route(name: str, prefix: str, service: str, kind: str, **more: Any) -> dict:
    """Return a route of a configuration; ``more`` overrides or adds fields."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "service": service,
        "kind": kind,
        "timeout_ms": 15_000,
        "target_latency_ms": TARGET_MS,
        "max_attempts": 2,
        "priority": 1,
        "public": False,
        **more,
    }


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with one tenant and four routes.

    The routes are idempotent, non-idempotent, and streaming with and without
    resumption. ``changes`` replaces top-level fields.
    """
    stream = {"sticky": True, "gap_target_ms": 400}
    routes = [
        route("safe", SAFE, "app", IDEMPOTENT),
        route("unsafe", UNSAFE, "app", NON_IDEMPOTENT),
        route("chat", CHAT, "scribe", STREAM, resumable=True, **stream),
        route("tale", NON_RESUMABLE_CHAT, "scribe", STREAM, resumable=False, **stream),
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
    """Return the settings of router ``number``, counted from 0."""
    ip = lab.subnet.host(10 + number)
    others = [settings["gossip"] for settings in lab.settings.values()]
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
    """Starts and stops the processes of a shape; use it in a ``with`` block."""

    def __init__(self, shape: PlatformShape | None = None) -> None:
        self.shape = shape or PlatformShape()
        self.subnet = Subnet()
        self.store: Process | None = None
        self.replicas: dict[str, Process] = {}
        self.routers: dict[str, Process] = {}
        self.settings: dict[str, dict[str, Any]] = {}
        self._exited: list[Process] = []
        self._dir = TemporaryDirectory(prefix="greengageflow-")

    def __enter__(self) -> "PlatformLab":
        """Start the store and replicas, publish a configuration, start the routers."""
        try:
            self.start_store()
            self.start_replicas()
            self.publish(self.shape.configuration)
            self.start_routers()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, kind: type[BaseException] | None, *_: object) -> None:
        """Stop all processes.

        Raises:
            RuntimeError: A router logged an internal error.
        """
        logs = [router.stderr for router in (*self.routers.values(), *self._exited)]
        self.close()
        faults = [log for log in logs if Event.INTERNAL.number in log]
        if faults and kind is None:
            raise RuntimeError("\n".join(faults))

    # Processes.

    def start_store(self) -> None:
        """Start the store; return once it is ready."""
        module = "greengageflow.lab.platform_store"
        self.store = await_ready(launch(module, f"--host={self.subnet.host(1)}"))

    def start_replicas(self) -> None:
        """Start the shape's replicas; return once the store lists all of them."""
        shape = self.shape
        launched = {}
        for number in range(shape.plain):
            options = {"service": "app", **shape.plain_options}
            launched[f"app-{number}"] = self._launch(f"app-{number}", options)
        for number in range(shape.engines):
            name = f"scribe-{number}"
            release = shape.releases[number % len(shape.releases)]
            options = {"service": "scribe", "model": "m", "release": release}
            options |= shape.engine_options
            launched[name] = self._launch(name, options)
        for name, process in launched.items():
            self.replicas[name] = await_ready(process)
        # Routers read the list once a second, so a replica that is listed after a
        # router has started is unknown to it for up to a second.
        wait_for(
            lambda: self.newest_values(SERVERS_TOPIC).keys() >= launched.keys(),
            "all replicas are listed",
        )

    def _launch(self, name: str, options: Mapping[str, Any]) -> Process:
        # All replicas share one IP number; the address in an entry includes the
        # port, which distinguishes them.
        arguments = {
            "host": self.subnet.host(2),
            "store": "{}:{}".format(*self.control_address(self.store)),
            "name": name,
            **options,
        }
        flags = (f"--{key}={value}" for key, value in arguments.items())
        return launch("greengageflow.lab.platform_replica", *flags)

    def add_replica(self, name: str, **options: Any) -> Process:
        """Start another replica with the given flags."""
        self.replicas[name] = await_ready(self._launch(name, options))
        return self.replicas[name]

    def kill_replica(self, name: str) -> None:
        """Kill a replica; return once its process has ended."""
        process = self.replicas[name]
        process.popen.kill()
        process.popen.wait()

    def restart_replica(self, name: str, **options: Any) -> Process:
        """Kill a replica if it runs, and start it in place with the given flags."""
        self.kill_replica(name)
        process = self.replicas[name]
        self._exited.append(process)
        _, port = process.address
        return self.add_replica(name, port=port, **options)

    @property
    def crashed_replicas(self) -> list[str]:
        """Names of the replicas that crashed on a poison request."""
        processes = self.replicas.items()
        return [
            name
            for name, process in processes
            if process.popen.poll() == CRASH_EXIT_STATUS
        ]

    def start_routers(self) -> None:
        """Start the shape's routers; return once all of them are ready."""
        for _ in range(self.shape.routers):
            self.add_router()
        for name in self.settings:
            self.wait_ready(name)

    def add_router(self) -> str:
        """Start another router without waiting for it; return its name."""
        name = f"r{len(self.settings)}"
        self.settings[name] = router_settings(self, len(self.settings))
        self.launch_router(name)
        return name

    def launch_router(self, name: str) -> Process:
        """Start or restart a router without waiting for it."""
        if name in self.routers:
            self._exited.append(self.routers[name])
        path = Path(self._dir.name, f"{name}.json")
        path.write_text(json.dumps(self.settings[name]))
        # Logs go to a file: the router would block on a pipe that is full because
        # nothing reads it.
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

    def readiness_status(self, name: str) -> int:
        """Return the HTTP status of a router's readiness check."""
        address = _address(self.settings[name]["ready"])
        return call(address, "GET", READY_PATH, timeout_s=2).status

    def wait_ready(self, name: str) -> None:
        """Wait until a router is ready.

        Raises:
            RuntimeError: The router exited.
        """

        def is_ready() -> bool:
            if self.routers[name].popen.poll() is not None:
                raise RuntimeError(f"router exited: {self.routers[name].stderr}")
            return self.readiness_status(name) == 200

        wait_for(is_ready, f"{name} is ready")

    def close(self) -> None:
        """Kill all processes and remove temporary files."""
        children = [*self.routers.values(), *self._exited, *self.replicas.values()]
        for process in (*children, *filter(None, [self.store])):
            with suppress(ProcessLookupError):
                process.popen.kill()
            process.popen.wait()
            if process.popen.stdout:
                process.popen.stdout.close()
            process.stderr_file.close()
        self._dir.cleanup()
        self.subnet.close()

    # Control calls of the fakes.

    @staticmethod
    def control_address(process: Process) -> tuple[str, int]:
        """Return the address of a fake's control port."""
        return process.ready["host"], process.ready["control"]

    def control(self, process: Process, method: str, path: str, body=None) -> Any:
        """Make a control call, which must succeed; return the parsed response."""
        answer = call(self.control_address(process), method, path, body)
        assert answer.status == 200, answer.data
        return answer.json

    def publish(self, config: dict[str, Any]) -> None:
        """Write a configuration to the store as the operator."""
        self.control(self.store, "PUT", "/config", config)

    def evacuate(self, zone: str) -> None:
        """Evacuate a zone as the operator."""
        self.control(self.store, "PUT", f"/evacuate/{zone}")

    def take_back(self, zone: str) -> None:
        """End the evacuation of a zone as the operator."""
        self.control(self.store, "DELETE", f"/evacuate/{zone}")

    def append_raw(self, topic: str, *records: tuple[bytes, bytes]) -> None:
        """Append records of any key and value to a keyed topic as another writer."""
        data = b"".join(
            pack(">IB", 1 + len(key) + len(value), len(key)) + key + value
            for key, value in records
        )
        conn = BlockingConnection(*self.control_address(self.store), timeout=TIMEOUT_S)
        with closing(conn):
            conn.request("POST", f"/records?topic={topic}", data)
            assert conn.getresponse().status == 200

    def set_store_faults(self, **faults: Any) -> None:
        """Set the store's faults; without arguments, clear them."""
        self.control(self.store, "POST", "/fault", faults)

    def compact(self, topic: str) -> None:
        """Have the store drop all records of a topic; newest values stay."""
        self.control(self.store, "POST", "/compact", {"topic": topic})

    def newest_values(self, topic: str = STATUS_TOPIC) -> dict[str, Any]:
        """Return the newest value of each key of a topic."""
        return self.control(self.store, "GET", f"/newest?topic={topic}")

    def set_faults(self, replica: str, **faults: Any) -> None:
        """Set a replica's faults; without arguments, clear them."""
        self.control(self.replicas[replica], "POST", "/fault", faults)

    def cut_streams(self, replica: str) -> None:
        """Cut all streams of a replica in the middle of an event."""
        self.control(self.replicas[replica], "POST", "/tear")

    def set_state(self, replica: str, state: str) -> float:
        """Set a replica's state; return the time of the change (monotonic seconds)."""
        self.control(self.replicas[replica], "PUT", "/state", {"state": state})
        return monotonic()

    def runs(self, name: str | None = None) -> list[dict[str, Any]]:
        """Return the request records of all live replicas.

        Args:
            name: Request id; None for all requests.
        """
        rows = [
            {**row, "replica": replica}
            for replica, process in self.replicas.items()
            if process.popen.poll() is None
            for row in self.control(process, "GET", "/runs")
        ]
        return [row for row in rows if name in (None, row["id"])]

    def report_requests(self) -> int:
        """Return how many requests for their report live replicas have got."""
        return sum(
            self.control(process, "GET", "/reports")
            for process in self.replicas.values()
            if process.popen.poll() is None
        )

    @property
    def router_logs(self) -> str:
        """Log output of the current process of each router."""
        return "".join(process.stderr for process in self.routers.values())

    def started_runs(self, name: str) -> list[dict[str, Any]]:
        """Return the records of a request that replicas started to execute."""
        return [row for row in self.runs(name) if row["begun"] is not None]

    # Clients.

    def client(self, router: str = "r0", source: str | None = None) -> PlatformClient:
        """Open a connection to a router.

        Args:
            router: Name of the router.
            source: Local IP number; None for any.
        """
        return PlatformClient(_address(self.settings[router]["callers"]), source)

    def ask(self, path: str, router: str = "r0", **options: Any) -> PlatformAnswer:
        """Make one request with the tenant's key on a new connection."""
        client = self.client(router)
        try:
            return client.ask(path, **{"key": KEY, "host": HOST, **options})
        finally:
            client.close()

    def replica_client(self, replica: str) -> PlatformClient:
        """Open a connection to a replica, bypassing the routers."""
        return PlatformClient(self.replicas[replica].address)

    def terminate(self, router: str) -> None:
        """Send SIGTERM to a router."""
        self.routers[router].popen.send_signal(signal.SIGTERM)


fakes_only = partial(PlatformShape, routers=0)
