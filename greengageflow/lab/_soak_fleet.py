"""Platform lab of the soak: stand-in processes with the fault proxy on every link."""

from collections.abc import Iterator
from contextlib import contextmanager
from time import monotonic, time
from typing import Any

from greengageflow.lab._platform_generations import CLOSE
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
from greengageflow.lab.soak_facts import (
    Disruption,
    Evacuation,
    Facts,
    PublishedConfig,
    RefusedConnection,
    place_of,
    zone_of,
)
from greengageflow.lab.soak_plan import REPLICAS, ROUTERS

UNUSED_ADDRESS = ("127.0.0.1", 9)
# Addresses are replaced as text in datagrams, so both need the same number of digits.
FIRST_ROUTER_OCTET, FIRST_RELAY_OCTET = 10, 50
UNFRAMED_PLACE = "scribe-1"
POISON, POISON_PART = "poison", "bad"
OPTIONS = {"slots": 6, "queue": 4, "poison": POISON}
ENGINE_OPTIONS = {**OPTIONS, "poison_part": POISON_PART}
SHAPE = PlatformShape(
    routers=len(ROUTERS),
    plain=sum(name.startswith("app") for name in REPLICAS),
    engines=sum(name.startswith("scribe") for name in REPLICAS),
    plain_options=OPTIONS,
    engine_options=ENGINE_OPTIONS,
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

    Args:
        mixed_versions: Replicas have two software versions.
        unframed: Streams of half of the engines end with their connection, and
            replicas state when they started.
    """

    def __init__(self, *, mixed_versions: bool = False, unframed: bool = False) -> None:
        super().__init__(SHAPE)
        self.mixed_versions = mixed_versions
        self._unframed = unframed
        self.facts = Facts()
        self.front_addresses: dict[str, tuple[str, int]] = {}
        self.start_counts: dict[str, int] = {}
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
        if name.startswith("app"):
            return self._launch(name, {"service": "app", **OPTIONS})
        options = {"service": "scribe", "model": "m", **ENGINE_OPTIONS}
        return self._launch(name, options)

    def _launch(self, name: str, options: Any) -> Process:
        ip, port = self._proxy.route(f"link:{place_of(name)}", UNUSED_ADDRESS)
        # Each place is a zone of its own, in which there is no router: otherwise
        # routers would prefer the replicas of their zone.
        place = {"advertise": f"{ip}:{port}", "zone": zone_of(name)}
        if self.mixed_versions:
            # Places begin with different versions, and each start may change it.
            digits = sum(map(int, filter(str.isdigit, name)))
            place["release"] = f"v{1 + digits % 2}"
        if self._unframed:
            place["born"] = round(1000 * time())
        if self._unframed and place_of(name) == UNFRAMED_PLACE:
            place["framing"] = CLOSE
        process = super()._launch(name, {**options, **place})
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
        if name not in self.front_addresses:
            self._open_links(name, self.settings[name])
        self.start_counts[name] = self.start_counts.get(name, 0) + 1
        process = super().launch_router(name)
        self.logs.append((f"{name}.{self.start_counts[name]}", process))
        return process

    def _open_links(self, name: str, settings: dict[str, Any]) -> None:
        ip, port = _address(settings["gossip"])
        relay = self._relay_of(ip), port
        # Replace the addresses of all routers: one that learned another's real address
        # would bypass the proxy's faults.
        texts = self._address_replacements()
        store = _address(settings["store"])
        ip_port = self._proxy.route(f"store:{name}", store, texts=texts)
        settings["store"] = "{}:{}".format(*ip_port)
        callers = _address(settings["callers"])
        self.front_addresses[name] = self._proxy.route(f"front:{name}", callers)
        self._proxy.datagrams(f"gossip:{name}", (ip, port), relay, texts)
        seeds = map(_address, settings["seeds"])
        settings["seeds"] = [f"{self._relay_of(ip)}:{port}" for ip, port in seeds]

    def _address_replacements(self) -> dict[str, str]:
        numbers = range(FIRST_ROUTER_OCTET, FIRST_ROUTER_OCTET + self.shape.routers)
        return {ip: self._relay_of(ip) for ip in map(self.subnet.host, numbers)}

    @staticmethod
    def _relay_of(ip: str) -> str:
        base, _, number = ip.rpartition(".")
        return f"{base}.{int(number) - FIRST_ROUTER_OCTET + FIRST_RELAY_OCTET}"

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

    def collect_rows(self, name: str) -> None:
        """Record the requests that arrived at a replica, before it is stopped."""
        rows = self.control(self.replicas[name], "GET", "/runs")
        self.facts.rows.extend({**row, "replica": name} for row in rows)

    def collect_crash_rows(self, name: str) -> None:
        """Record the requests of a crashed replica from its standard error."""
        rows = parse_crash_records(self.replicas[name].stderr)
        self.facts.rows.extend({**row, "replica": name} for row in rows)

    def collect_refused(self) -> None:
        """Record connections that the proxy accepted while no router was listening."""
        for path, port, at in self._proxy.refused():
            link, _, router = path.partition(":")
            if link == "front":
                self.facts.refused.append(RefusedConnection(router, port, at))

    # Operations and faults.

    def publish_next(self, *, revoke: bool) -> None:
        """Publish the next configuration; it adds only the route of its version.

        Args:
            revoke: Whether to replace the newest key with another one.
        """
        version = self.versions[-1] + 1 + self.versions[-1] % 3
        revoked_key = self.keys[-1] if revoke else ""
        new_key = f"spare-{len(self.keys)}" if revoke else self.keys[-1]
        version_route = route(
            f"v{version}", f"/v{version}/", "app", "idempotent", public=True
        )
        config = configuration(version)
        config["routes"].append(version_route)
        config["tenants"] = [{"name": "tenant-1", "api_keys": [KEY, new_key]}]
        sent = monotonic()
        self.publish(config)
        self.facts.published.append(
            PublishedConfig(version, sent, monotonic(), revoked_key)
        )
        self.versions.append(version)
        self.keys += [new_key] if revoke else []

    @contextmanager
    def evacuated(self, place: str) -> Iterator[None]:
        """Evacuate the zone of a replica for the duration of a block."""
        self.evacuate(zone_of(place))
        one = Evacuation(place, monotonic())
        self.facts.evacuations.append(one)
        yield
        one.ended = monotonic()
        self.take_back(zone_of(place))

    @contextmanager
    def disruption(self, *names: str, planned: bool = False) -> Iterator[None]:
        """Record a fault on processes or links for the duration of a block."""
        now = monotonic()
        disruptions = [Disruption(name, now, planned=planned) for name in names]
        self.facts.troubles.extend(disruptions)
        yield
        for one in disruptions:
            one.ended = monotonic()

    @contextmanager
    def rule(self, **rule: Any) -> Iterator[None]:
        """Apply a proxy rule for the duration of a block."""
        self._rules.append(rule)
        self._proxy.rules(*self._rules)
        yield
        self._rules.remove(rule)
        self._proxy.rules(*self._rules)
