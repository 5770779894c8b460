"""Settings of one router, read and validated from a JSON file at startup."""

import json
from collections.abc import Iterator
from dataclasses import MISSING, dataclass, fields
from ipaddress import ip_address
from typing import Any

from greengageflow.core.check import (
    Check,
    Fault,
    Field,
    optional,
    record,
    refine,
    required,
    run,
    sequence,
)
from greengageflow.core.membership import Seed
from greengageflow.core.value_checks import (
    choice,
    integer,
    ip_number,
    matching,
    name,
    number,
    string,
)
from greengageflow.settings_file import (
    Address,
    QuarantineSettings,
    quarantine_settings,
    read_document,
)

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
SHARING_MODES = ("owned", "split", "local")
_MAX_DURATION_S = 86_400.0


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and timeouts, in seconds.

    Args:
        probe_interval_s: Interval between membership probes.
        probe_timeout_s: Timeout for the reply to a probe.
        suspect_s: Time for which a member is suspect before it is declared dead.
        host_list_interval_s: Interval between reads of the host list.
        log_wait_s: Duration of a long poll of the log.
        log_timeout_s: Timeout for a response of the log, added to a long poll.
        config_poll_s: Fallback poll interval of routers updated by their peers.
        snapshot_interval_s: Interval between configuration snapshots in the log;
            must be well below half of the log's retention.
        connect_timeout_s: Timeout for connecting to an endpoint.
        keep_alive_s: Idle time after which a connection is closed.
        stop_grace_s: Time for the load balancer to see the router as unhealthy
            before a planned shutdown refuses new requests.
        stop_timeout_s: Maximum time that a planned shutdown waits for requests.
        order_window_s: Maximum time from claiming an order to sending its first
            byte to the engine.
        order_timeout_s: Timeout for an engine's response to an order.
    """

    probe_interval_s: float = 0.5
    probe_timeout_s: float = 0.5
    suspect_s: float = 3.0
    host_list_interval_s: float = 2.0
    log_wait_s: float = 1.0
    log_timeout_s: float = 2.0
    config_poll_s: float = 10.0
    snapshot_interval_s: float = 600.0
    connect_timeout_s: float = 1.0
    keep_alive_s: float = 30.0
    stop_grace_s: float = 2.0
    stop_timeout_s: float = 120.0
    order_window_s: float = 5.0
    order_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """Settings of one router.

    Args:
        host: Host name, unique in the fleet.
        zone: Availability zone of the host.
        ip: IP address to listen on for callers.
        caller_port: TCP port to listen on for callers.
        peer_port: TCP port to listen on for other routers.
        log: Address of the platform's log service.
        peer_ip: IP address to listen on for other routers; ``ip`` when empty.
        host_list: Address of the platform's host list, or None.
        weight_store: Address of the platform's weight store, or None.
        seeds: Routers contacted to join the fleet.
        peer_advertise: Address advertised to other routers, or None when it is
            the address that the router listens on.
        statsd: Address of the statsd server, or None.
        trace_file: File for trace spans, ``-`` for standard output, or None.
        log_level: Minimum level of logged events.
        sharing: How slots are shared; must be the same on every router.
            ``owned`` is the production mode, the others exist for comparisons:
            ``split`` gives each router a share of the slots of every endpoint;
            ``local`` does the same and ignores the fleet-wide totals.
        timing: Intervals and timeouts.
        quarantine: Quarantine of requests that crash endpoints.
    """

    host: str
    zone: str
    ip: str
    caller_port: int
    peer_port: int
    log: Address
    peer_ip: str = ""
    host_list: Address | None = None
    weight_store: Address | None = None
    seeds: tuple[Seed, ...] = ()
    peer_advertise: Address | None = None
    statsd: Address | None = None
    trace_file: str | None = None
    log_level: str = "INFO"
    sharing: str = "owned"
    timing: Timing = Timing()
    quarantine: QuarantineSettings = QuarantineSettings()

    def __post_init__(self) -> None:
        """Set the defaults that depend on other settings."""
        if not self.peer_ip:
            object.__setattr__(self, "peer_ip", self.ip)

    @property
    def peer_address(self) -> Address:
        """Address that other routers connect to."""
        return self.peer_advertise or Address(self.peer_ip, self.peer_port)


def _host() -> Check:
    # Grant ids are joined with colons, so a host name must not contain one.
    return matching(
        "[A-Za-z0-9][A-Za-z0-9._-]{0,127}",
        "a host name of 1 to 128 letters, digits and ._-",
    )


def _port() -> Check:
    return integer(1, 65535)


def _address() -> Check:
    return record(Address, ip=required(ip_number()), port=required(_port()))


def _timing_field(default: float) -> Field:
    return optional(number(0.01, _MAX_DURATION_S), default)


def _timing() -> Check:
    field_checks = {
        field.name: _timing_field(field.default)
        for field in fields(Timing)
        if field.default is not MISSING
    }
    return record(Timing, **field_checks)


def _check_reachable(cfg: RouterSettings, path: str) -> Iterator[Fault]:
    if cfg.peer_advertise is None and ip_address(cfg.peer_ip).is_unspecified:
        yield Fault(
            "peer_advertise",
            f"an address, since other routers cannot reach peer_ip {cfg.peer_ip}",
        )


def _router_settings() -> Check:
    seed = record(
        Seed,
        host=required(_host()),
        ip=required(ip_number()),
        port=required(_port()),
    )
    settings = record(
        RouterSettings,
        host=required(_host()),
        zone=required(name()),
        ip=required(ip_number()),
        caller_port=required(_port()),
        peer_port=required(_port()),
        peer_ip=optional(ip_number(), ""),
        log=required(_address()),
        host_list=optional(_address()),
        weight_store=optional(_address()),
        seeds=optional(sequence(seed, unique="host"), ()),
        peer_advertise=optional(_address()),
        statsd=optional(_address()),
        trace_file=optional(string(4096)),
        log_level=optional(choice(LOG_LEVELS), "INFO"),
        sharing=optional(choice(SHARING_MODES), "owned"),
        timing=optional(_timing(), Timing()),
        quarantine=optional(quarantine_settings(), QuarantineSettings()),
    )
    return refine(settings, _check_reachable)


_CHECK = _router_settings()


def parse_settings(document: Any, title: str = "settings") -> RouterSettings:
    """Validate a JSON value and return its settings.

    Raises:
        ExceptionGroup: Contains one ``Fault`` per validation error.
    """
    return run(_CHECK, document, title)


def load_settings(path: str) -> RouterSettings:
    """Read a JSON file and return its settings.

    Raises:
        ExceptionGroup: Contains one ``Fault`` per validation error, or the
            ``OSError`` of a file that cannot be read.
    """
    return parse_settings(read_document(path), path)


def example_settings() -> str:
    """Return an example settings file as JSON text."""
    document = {
        "host": "r1",
        "zone": "marousi",
        "ip": "127.0.0.1",
        "caller_port": 8080,
        "peer_port": 7400,
        "log": {"ip": "127.0.0.1", "port": 9000},
        "host_list": {"ip": "127.0.0.1", "port": 9001},
        "seeds": [{"host": "r2", "ip": "127.0.0.2", "port": 7400}],
        "log_level": "INFO",
        "timing": {"stop_timeout_s": 120},
    }
    return json.dumps(document, indent=2)
