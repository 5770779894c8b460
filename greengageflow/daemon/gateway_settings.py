"""Settings of a gateway on the users' platform, read from JSON and validated."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from os import environ
from resource import RLIMIT_NOFILE, getrlimit
from typing import Any

from greengageflow.core.check import (
    Check,
    Field,
    optional,
    record,
    required,
    run,
    scalar,
    sequence,
)
from greengageflow.core.file_budget import FileBudget
from greengageflow.core.value_checks import integer, ip_number, name, number
from greengageflow.core.warmup import WarmupBounds
from greengageflow.net.callers import DEFAULT_BODY_BUDGET
from greengageflow.settings_file import (
    Address,
    QuarantineSettings,
    quarantine_settings,
    read_document,
)

SETTINGS_VARIABLE = "GREENGAGEFLOW_NODE_FILE"
BODY_MEMORY_FRACTION = 0.25
"""Fraction of the process's memory that request bodies may take."""


@dataclass(frozen=True, slots=True)
class FleetBounds:
    """Limits that the operators set for the fleet.

    Args:
        grace_s: Time from SIGTERM to the end of the process, in seconds.
        revoke_ms: Time within which a revoked key must stop working, in milliseconds;
            None if keys are trusted while the store is unreachable.
        config_apply_ms: Time within which a configuration must be in force, in
            milliseconds.
        drain_ms: Time within which a leaving endpoint must get no more requests, in
            milliseconds.
        budget_ratio: Retry budget per caller request.
        budget_slack: Additional retries of the whole fleet per window.
        budget_window_s: Length of the retry budget's window, in seconds.
        warmup_overage: Multiple of a service's warm-up rate that a cold endpoint may
            get.
        warmup_slack: Requests a second that a cold endpoint may get beyond it.
        evacuate_ms: Time within which the endpoints of an evacuated zone must get no
            more requests, in milliseconds.
    """

    grace_s: float = 8.0
    revoke_ms: float | None = None
    config_apply_ms: float = 2000.0
    drain_ms: float = 2000.0
    budget_ratio: float = 0.2
    budget_slack: float = 50.0
    budget_window_s: float = 10.0
    warmup_overage: float = 1.0
    warmup_slack: float = 0.0
    evacuate_ms: float = 5000.0

    @property
    def read_deadlines_s(self) -> tuple[float, ...]:
        """Times within which changes in the store must be read, in seconds."""
        # Keys are refused once the store has not confirmed them for ``revoke_s``. Half
        # of it leaves time for another read before that if one is lost.
        bounds_ms = (self.config_apply_ms, self.drain_ms, self.evacuate_ms)
        return *(bound_ms / 1000 for bound_ms in bounds_ms), self.revoke_s / 2

    @property
    def warmup(self) -> WarmupBounds:
        """Limits for requests to cold endpoints."""
        return WarmupBounds(self.warmup_overage, self.warmup_slack)

    @property
    def revoke_s(self) -> float:
        """Seconds for which keys are trusted without confirmation by the store."""
        return float("inf") if self.revoke_ms is None else self.revoke_ms / 1000


@dataclass(frozen=True, slots=True)
class ZoneSettings:
    """An availability zone.

    Args:
        name: Name of the zone.
        region: Region that it is in.
    """

    name: str
    region: str


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one gateway.

    Args:
        host: Host name, unique in the fleet.
        zone: Availability zone of the host.
        ip: IP number of the host.
        callers: Listening address for callers.
        ready: Listening address for the balancer's readiness checks.
        store: Address of the platform's store.
        gossip: UDP address for messages between routers.
        metrics: Listening address of the metrics page, or None.
        seeds: Gossip addresses of hosts through which other routers are discovered.
        bounds: Limits that the operators set for the fleet.
        quarantine: When requests that crash endpoints are quarantined.
        max_files: Maximum number of file descriptors; None for the process's limit.
        max_memory_mb: Memory at which the process is killed, in MB; None if unlimited.
        zones: All availability zones.
    """

    host: str
    zone: str
    ip: str
    callers: Address
    ready: Address
    store: Address
    gossip: Address
    metrics: Address | None = None
    seeds: tuple[Address, ...] = ()
    bounds: FleetBounds = field(default_factory=FleetBounds)
    quarantine: QuarantineSettings = field(default_factory=QuarantineSettings)
    max_files: int | None = None
    max_memory_mb: int | None = None
    zones: tuple[ZoneSettings, ...] = ()

    @property
    def regions(self) -> dict[str, str]:
        """Region of each availability zone."""
        return {zone.name: zone.region for zone in self.zones}

    @property
    def body_budget(self) -> int:
        """Maximum bytes of all request bodies together."""
        if self.max_memory_mb is None:
            return DEFAULT_BODY_BUDGET
        return int(BODY_MEMORY_FRACTION * self.max_memory_mb * 1_048_576)

    @property
    def files(self) -> FileBudget:
        """File descriptors of the process, divided among their uses."""
        own, _ = getrlimit(RLIMIT_NOFILE)
        return FileBudget(min(own, self.max_files or own))


def _address() -> Check:
    def good(value: Any) -> bool:
        return type(value) is str and _split(value) is not None

    return scalar("an address like 10.1.0.3:8080", good, _split)


def _split(text: str) -> Address | None:
    ip, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65_536 and ip):
        return None
    return Address(ip, int(port))


def _positive(default: float) -> Field:
    return optional(number(0.0, 86_400.0), default)


def _check() -> Check:
    defaults = FleetBounds()
    bounds = record(
        FleetBounds,
        grace_s=_positive(defaults.grace_s),
        revoke_ms=optional(number(100.0, 86_400_000.0)),
        config_apply_ms=_positive(defaults.config_apply_ms),
        drain_ms=_positive(defaults.drain_ms),
        budget_ratio=_positive(defaults.budget_ratio),
        budget_slack=_positive(defaults.budget_slack),
        budget_window_s=_positive(defaults.budget_window_s),
        warmup_overage=_positive(defaults.warmup_overage),
        warmup_slack=_positive(defaults.warmup_slack),
        evacuate_ms=_positive(defaults.evacuate_ms),
    )
    zone = record(ZoneSettings, name=required(name()), region=required(name()))
    return record(
        GatewaySettings,
        host=required(name()),
        zone=required(name()),
        ip=required(ip_number()),
        callers=required(_address()),
        ready=required(_address()),
        store=required(_address()),
        gossip=required(_address()),
        metrics=optional(_address()),
        seeds=optional(sequence(_address()), ()),
        bounds=optional(bounds, defaults),
        quarantine=optional(quarantine_settings(), QuarantineSettings()),
        max_files=optional(integer(64, 1_048_576)),
        max_memory_mb=optional(integer(16, 1_048_576)),
        zones=optional(sequence(zone, unique="name"), ()),
    )


_CHECK = _check()


def settings_path(given: str, variables: Mapping[str, str] = environ) -> str:
    """Return the given settings path, or else that of the environment variable."""
    return given or variables.get(SETTINGS_VARIABLE, "")


def load_gateway_settings(path: str) -> GatewaySettings:
    """Return the settings in a JSON file.

    Raises:
        ExceptionGroup: Holds one ``Fault`` per invalid setting, or the ``OSError`` of
            a file that cannot be read.
    """
    return run(_CHECK, read_document(path), path)
