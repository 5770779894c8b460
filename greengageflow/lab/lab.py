"""A small fleet of real processes on loopback, for the demo, benches and tests.

Each router has its own loopback address (127.x.y.1, 127.x.y.2, …), which is also the
source address of its connections, so that a proxy can tell routers apart.
"""

import json
from collections.abc import Callable, Iterator, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from hashlib import sha256
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from greengageflow.events import Event
from greengageflow.lab._processes import (
    Process,
    await_ready,
    launch,
    wait_for,
)
from greengageflow.lab._subnets import CALLER_PORT, PEER_PORT, Subnet

STANDIN_HOST = 240
"""Number of the host in the lab's subnet that the stand-ins listen on."""

Address = tuple[str, int]


def account_api_key(account: str) -> str:
    """Return the bearer key of a client account in the lab."""
    return f"key-{account}"


@dataclass(frozen=True, slots=True)
class LabPlan:
    """Processes and settings of a lab.

    Args:
        routers: Number of routers.
        zones: Availability zones that routers and endpoints are spread over.
        engines: Number of model engines.
        services: Number of replicas of the plain service.
        slots: Concurrency slots of each engine.
        service_slots: Concurrency slots of each service replica.
        accounts: Weight of each client account, by name.
        queue_limit: Maximum number of queued requests per client account and router.
        model: Name of the model pool.
        service: Name of the service pool.
        engine_options: Flags of the engine stand-in.
        engine_fields: Additional configuration fields of each engine.
        log_options: Flags of the log stand-in.
        service_options: Flags of the service stand-in.
        policy: The ``policy`` section of the configuration.
        deadline_s: Request deadline in both pools, in seconds.
        timing: Overrides for the ``timing`` section of the router settings.
        sharing: How routers share slots; see ``RouterSettings``.
    """

    routers: int = 3
    zones: tuple[str, ...] = ("z1", "z2", "z3")
    engines: int = 3
    services: int = 1
    slots: int = 8
    service_slots: int = 8
    accounts: Mapping[str, float] = field(
        default_factory=lambda: {"acme": 1.0, "bolt": 1.0}
    )
    queue_limit: int = 64
    model: str = "scribe"
    service: str = "rounds"
    engine_options: Mapping[str, Any] = field(default_factory=dict)
    engine_fields: Mapping[str, Any] = field(default_factory=dict)
    log_options: Mapping[str, Any] = field(default_factory=dict)
    service_options: Mapping[str, Any] = field(default_factory=dict)
    policy: Mapping[str, Any] = field(default_factory=dict)
    deadline_s: float = 60.0
    timing: Mapping[str, Any] = field(default_factory=dict)
    sharing: str = "owned"

    def zone(self, number: int) -> str:
        """Return the availability zone of the ``number``-th host."""
        return self.zones[number % len(self.zones)]


class Lab:
    """Context manager that starts and stops the processes of a plan.

    Args:
        plan: Processes to start.
        route: Maps a name and an address to the address to use instead. This puts a
            proxy in front of ``log``, ``hosts``, each endpoint and the peer address
            of each router (``peer-r1``).
    """

    def __init__(
        self,
        plan: LabPlan,
        *,
        route: Callable[[str, Address], Address] | None = None,
    ) -> None:
        self.plan = plan
        self._route = route or (lambda _name, address: address)
        self.log: Process | None = None
        self.hosts: Process | None = None
        self.engines: dict[str, Process] = {}
        self.services: dict[str, Process] = {}
        self.routers: dict[str, Process] = {}
        self.launched_routers: list[Process] = []
        self.settings: dict[str, dict[str, Any]] = {}
        self.endpoint_addresses: dict[str, Address] = {}
        self.revision = 0
        self._dir = TemporaryDirectory(prefix="greengageflow-")
        self._subnet = Subnet()

    def __enter__(self) -> "Lab":
        """Start all processes and wait until the configuration is in force."""
        try:
            self.start_platform()
            self.start_endpoints()
            self.prepare_routers()
            self.start_routers()
            self.publish()
            self.wait_in_force()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, kind: type[BaseException] | None, *_rest: object) -> None:
        """Stop all processes.

        Raises:
            RuntimeError: A router logged an internal error. Callers may not notice
                one: a message whose handler fails looks like a lost message.
        """
        internal_errors = [
            line
            for router in self.launched_routers
            for line in _internal_errors(router)
        ]
        self.close()
        if internal_errors and kind is None:
            raise RuntimeError("\n".join(internal_errors))

    # Platform and endpoints.

    def start_platform(self) -> None:
        """Start the log and the host list."""
        log = self._launch_standin("log", self.plan.log_options)
        hosts = self._launch_standin("hosts", {})
        self.log, self.hosts = await_ready(log), await_ready(hosts)

    def start_endpoints(self) -> None:
        """Start engines and service replicas."""
        plan = self.plan
        for number in range(1, plan.engines + 1):
            options = {"name": f"e{number}", "seed": number, **plan.engine_options}
            self.engines[f"e{number}"] = self._launch_standin("engine", options)
        for number in range(1, plan.services + 1):
            options = dict(plan.service_options)
            self.services[f"s{number}"] = self._launch_standin("service", options)
        for name, process in (*self.engines.items(), *self.services.items()):
            address = await_ready(process).address
            self.endpoint_addresses[name] = self._route(name, address)

    def _launch_standin(self, kind: str, options: Mapping[str, Any]) -> Process:
        # At an address that labs share, the port of a stand-in that was killed could be
        # given to a stand-in of another lab, which would answer in its place.
        options = {"host": self._subnet.host(STANDIN_HOST), "port": 0, **options}
        flags = (f"--{name}={value}" for name, value in options.items())
        return launch("greengageflow.lab.standin", kind, *flags)

    # Routers.

    def prepare_routers(self) -> None:
        """Choose the routers' addresses and write their settings."""
        log = _address_fields(self._route("log", self.log.address))
        hosts = _address_fields(self._route("hosts", self.hosts.address))
        for number in range(1, self.plan.routers + 1):
            ip = self._subnet.host(number)
            peer = ip, PEER_PORT
            self.settings[f"r{number}"] = {
                "host": f"r{number}",
                "zone": self.plan.zone(number - 1),
                "ip": ip,
                "caller_port": CALLER_PORT,
                "peer_port": PEER_PORT,
                "peer_advertise": _address_fields(self._route(f"peer-r{number}", peer)),
                "log": log,
                "host_list": hosts,
                "timing": {"probe_interval_s": 0.5, **self.plan.timing},
                "sharing": self.plan.sharing,
            }
        seeds = [
            {"host": cfg["host"], **cfg["peer_advertise"]}
            for cfg in list(self.settings.values())[:3]
        ]
        for host, cfg in self.settings.items():
            cfg["seeds"] = [seed for seed in seeds if seed["host"] != host]
        self.set_host_list(self.settings)

    def set_host_list(self, routers: Any, *, leaving: tuple[str, ...] = ()) -> None:
        """Set the routers and endpoints in the platform's host list."""
        rows = [
            {
                "host": host,
                "state": "leaving" if host in leaving else "live",
                "kind": "router",
                **self.settings[host]["peer_advertise"],
                "zone": self.settings[host]["zone"],
            }
            for host in routers
        ]
        for name, (ip, port) in self.endpoint_addresses.items():
            state = "leaving" if name in leaving else "live"
            row = {"host": name, "state": state, "kind": "endpoint", "ip": ip}
            rows.append({**row, "port": port, "zone": ""})
        response = self.hosts.call("PUT", "/hosts", {"hosts": rows})
        assert response.status == 200, response.data

    def start_routers(self) -> None:
        """Start all routers and wait until they listen."""
        launched = {host: self.launch_router(host) for host in self.settings}
        for host, process in launched.items():
            self.routers[host] = await_ready(process)

    def launch_router(self, host: str) -> Process:
        """Start one router without waiting for it."""
        path = Path(self._dir.name, f"{host}.json")
        path.write_text(json.dumps(self.settings[host]))
        process = launch("greengageflow.daemon.router", f"--settings={path}")
        self.launched_routers.append(process)
        return process

    def restart_router(self, host: str) -> Process:
        """Start a new process for a router; only the settings are kept."""
        self.routers[host] = await_ready(self.launch_router(host))
        return self.routers[host]

    # Configuration.

    def config(self, **changes: Any) -> dict[str, Any]:
        """Return the configuration of the plan in schema 2."""
        plan = self.plan
        accounts = [
            {
                "name": name,
                "share": {"weight": weight, "queue_limit": plan.queue_limit},
                "key_hashes": [sha256(account_api_key(name).encode()).hexdigest()],
            }
            for name, weight in plan.accounts.items()
        ]
        model = {
            "name": plan.model,
            "kind": "model",
            "deadline_s": plan.deadline_s,
            "endpoints": list(self._endpoints(self.engines, plan.slots)),
        }
        service = {
            "name": plan.service,
            "kind": "service",
            "cost_hint": 20,
            "deadline_s": plan.deadline_s,
            "routes": [
                {"prefix": "/dispatch", "repeatable": False},
                {"prefix": "/", "repeatable": True},
            ],
            "endpoints": list(self._endpoints(self.services, plan.service_slots)),
        }
        policy = dict(plan.policy)
        config = {"accounts": accounts, "pools": [model, service], "policy": policy}
        return {**config, **changes}

    def _endpoints(
        self, processes: Mapping[str, Process], slots: int
    ) -> Iterator[dict[str, Any]]:
        plan = self.plan
        for number, name in enumerate(processes):
            ip, port = self.endpoint_addresses[name]
            yield {
                "name": name,
                "address": {"ip": ip, "port": port},
                "zone": plan.zone(number),
                "slots": slots,
                **(plan.engine_fields if name in self.engines else {}),
            }

    def publish(self, config: dict[str, Any] | None = None) -> int:
        """Append the configuration to the log; return the new revision."""
        if not self.revision:
            self._append({"schema": 1, "kind": "allow_schema", "highest": 2})
        return self._append({"schema": 2, "config": config or self.config()})

    def _append(self, record: dict[str, Any]) -> int:
        record = {**record, "replaces": self.revision, "author": "lab"}
        body = {"records": [record]}
        response = self.log.call("POST", "/streams/config/records", body)
        assert response.status == 200, response.data
        self.revision += 1
        return self.revision

    def wait_in_force(self, revision: int | None = None) -> None:
        """Wait until every router has the revision and lists all routers as members."""
        target_revision = revision or self.revision
        hosts = set(self.routers)
        for host, router in self.routers.items():
            wait_for(
                lambda router=router: self._has_converged(
                    router, target_revision, hosts
                ),
                f"{host} at revision {target_revision} with {len(hosts)} members",
            )

    @staticmethod
    def _has_converged(router: Process, revision: int, hosts: set[str]) -> bool:
        if router.popen.poll() is not None:
            raise RuntimeError(f"router exited; stderr: {router.stderr}")
        status = router.call("GET", "/status").json
        in_force = status["config"]["revision"] >= revision
        return in_force and hosts <= status["members"].keys()

    def status(self, host: str) -> dict[str, Any]:
        """Return the status of one router."""
        return self.routers[host].call("GET", "/status").json

    def close(self) -> None:
        """Kill all processes and free their resources."""
        processes = [
            *self.launched_routers,
            *self.engines.values(),
            *self.services.values(),
            *filter(None, (self.log, self.hosts)),
        ]
        for process in processes:
            with suppress(ProcessLookupError):
                process.popen.kill()
        for process in processes:
            process.popen.wait()
            process.popen.stdout.close()
            process.stderr_file.close()
        self._subnet.close()
        self._dir.cleanup()


def _internal_errors(router: Process) -> list[str]:
    lines = router.stderr.splitlines()
    return [line for line in lines if Event.INTERNAL.number in line]


def _address_fields(address: Address) -> dict[str, Any]:
    return {"ip": address[0], "port": address[1]}
