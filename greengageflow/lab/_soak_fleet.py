"""Platform lab of the soak: stand-in processes with the fault proxy on every link."""

from collections.abc import Iterator
from contextlib import contextmanager
from time import monotonic
from typing import Any

from greengageflow.lab._processes import Process, start
from greengageflow.lab._proxy_client import Proxy
from greengageflow.lab.platform_lab import (
    KEY,
    PlatformLab,
    PlatformShape,
    configuration,
    route,
)
from greengageflow.lab.poison import parse_crash_records
from greengageflow.lab.soak_checks import (
    BUDGET_RATIO,
    BUDGET_SLACK,
    BUDGET_WINDOW_S,
)
from greengageflow.lab.soak_facts import Facts, Published, Refused, Trouble, place_of
from greengageflow.lab.soak_plan import REPLICAS, ROUTERS

NOWHERE = ("127.0.0.1", 9)
# Addresses are replaced as text in datagrams, so both need the same number of digits.
FIRST_ROUTER, FIRST_RELAY = 10, 50
POISON = "poison"
OPTIONS = {"slots": 6, "queue": 4, "poison": POISON}
SHAPE = PlatformShape(
    routers=len(ROUTERS),
    plain=sum(name.startswith("app") for name in REPLICAS),
    engines=sum(name.startswith("scribe") for name in REPLICAS),
    plain_options=OPTIONS,
    engine_options=OPTIONS,
    bounds={
        "revoke_ms": 5000,
        "grace_s": 8,
        "budget_ratio": BUDGET_RATIO,
        "budget_slack": BUDGET_SLACK,
        "budget_window_s": BUDGET_WINDOW_S,
    },
)


def _address(text: str) -> tuple[str, int]:
    ip, _, port = text.rpartition(":")
    return ip, int(port)


class SoakFleet(PlatformLab):
    """A lab whose routers reach store, replicas and peers through the fault proxy.

    Links are named ``store:r0``, ``front:r0``, ``link:app-0`` and ``gossip:r0``.
    """

    def __init__(self) -> None:
        super().__init__(SHAPE)
        self.facts = Facts()
        self.fronts: dict[str, tuple[str, int]] = {}
        self.lives: dict[str, int] = {}
        self.logs: list[tuple[str, Process]] = []
        self.keys, self.versions = [KEY, "spare-0"], [1]
        self._rules: list[dict[str, Any]] = []
        self._proxy_process = start("greengageflow.lab.fault_proxy", "127.0.0.1")
        self._proxy = Proxy(self._proxy_process.address)

    def __exit__(self, *_: object) -> None:
        # Program failures are reported as breaches, so the base class's checks on exit
        # are skipped.
        self.close()

    def close(self) -> None:
        super().close()
        self._proxy.close()
        self._proxy_process.stop()

    # Processes.

    def launch_replica(self, name: str) -> Process:
        """Start a replica without waiting until it is ready."""
        scribe = {"service": "scribe", "model": "m"}
        service = {"service": "app"} if name.startswith("app") else scribe
        return self._launch(name, {**service, **OPTIONS})

    def _launch(self, name: str, options: Any) -> Process:
        ip, port = self._proxy.route(f"link:{place_of(name)}", NOWHERE)
        process = super()._launch(name, {**options, "advertise": f"{ip}:{port}"})
        self.logs.append((name, process))
        return process

    def start_replicas(self) -> None:
        super().start_replicas()
        for name in self.replicas:
            self.connect(name)

    def connect(self, name: str) -> None:
        """Route the link of a replica's place to this replica."""
        self._proxy.route(f"link:{place_of(name)}", self.replicas[name].address)

    def launch_router(self, name: str) -> Process:
        if name not in self.fronts:
            self._open_links(name, self.settings[name])
        self.lives[name] = self.lives.get(name, 0) + 1
        process = super().launch_router(name)
        self.logs.append((f"{name}.{self.lives[name]}", process))
        return process

    def _open_links(self, name: str, settings: dict[str, Any]) -> None:
        ip, port = _address(settings["gossip"])
        relay = self._relay_of(ip), port
        # Replace the addresses of all routers: one that learned another's real address
        # would bypass the proxy's faults.
        texts = self._texts()
        store = _address(settings["store"])
        ip_port = self._proxy.route(f"store:{name}", store, texts=texts)
        settings["store"] = "{}:{}".format(*ip_port)
        callers = _address(settings["callers"])
        self.fronts[name] = self._proxy.route(f"front:{name}", callers)
        self._proxy.datagrams(f"gossip:{name}", (ip, port), relay, texts)
        seeds = map(_address, settings["seeds"])
        settings["seeds"] = [f"{self._relay_of(ip)}:{port}" for ip, port in seeds]

    def _texts(self) -> dict[str, str]:
        numbers = range(FIRST_ROUTER, FIRST_ROUTER + self.shape.routers)
        return {ip: self._relay_of(ip) for ip in map(self.subnet.host, numbers)}

    @staticmethod
    def _relay_of(ip: str) -> str:
        base, _, number = ip.rpartition(".")
        return f"{base}.{int(number) - FIRST_ROUTER + FIRST_RELAY}"

    def gossip_ip(self, router: str) -> str:
        """Return the source IP address of a router's datagrams."""
        return _address(self.settings[router]["gossip"])[0]

    def process(self, name: str) -> Process:
        """Return the store, a router, or the current replica of a place."""
        if name == "store":
            return self.store
        return self.routers.get(name) or self.replicas[self.incarnation(name)]

    def incarnation(self, place: str) -> str:
        """Return the id of the current replica of a place."""
        return next(name for name in self.replicas if place_of(name) == place)

    def has_crashed(self, place: str) -> bool:
        """Whether the current replica of a place crashed on a poison request."""
        return self.incarnation(place) in self.crashed_replicas

    def take_rows(self, name: str) -> None:
        """Record the requests that arrived at a replica, before it is stopped."""
        rows = self.control(self.replicas[name], "GET", "/runs")
        self.facts.rows.extend({**row, "replica": name} for row in rows)

    def take_crashed(self, name: str) -> None:
        """Record the requests of a crashed replica from its standard error."""
        rows = parse_crash_records(self.replicas[name].stderr)
        self.facts.rows.extend({**row, "replica": name} for row in rows)

    def take_refused(self) -> None:
        """Record connections that the proxy accepted while no router was listening."""
        for path, port, at in self._proxy.refused():
            link, _, router = path.partition(":")
            if link == "front":
                self.facts.refused.append(Refused(router, port, at))

    # Operations and faults.

    def publish_next(self, *, revoke: bool) -> None:
        """Publish the next configuration; it adds only the route of its version.

        Args:
            revoke: Whether to replace the newest key with another one.
        """
        version = self.versions[-1] + 1 + self.versions[-1] % 3
        gone = self.keys[-1] if revoke else ""
        new = f"spare-{len(self.keys)}" if revoke else self.keys[-1]
        mark = route(f"v{version}", f"/v{version}/", "app", "idempotent", public=True)
        config = configuration(version)
        config["routes"].append(mark)
        config["tenants"] = [{"name": "tenant-1", "api_keys": [KEY, new]}]
        sent = monotonic()
        self.publish(config)
        self.facts.published.append(Published(version, sent, monotonic(), gone))
        self.versions.append(version)
        self.keys += [new] if revoke else []

    @contextmanager
    def trouble(self, *names: str, planned: bool = False) -> Iterator[None]:
        """Record a fault on processes or links for the duration of a block."""
        now = monotonic()
        mine = [Trouble(name, now, planned=planned) for name in names]
        self.facts.troubles.extend(mine)
        yield
        for one in mine:
            one.ended = monotonic()

    @contextmanager
    def rule(self, **rule: Any) -> Iterator[None]:
        """Apply a proxy rule for the duration of a block."""
        self._rules.append(rule)
        self._proxy.rules(*self._rules)
        yield
        self._rules.remove(rule)
        self._proxy.rules(*self._rules)
