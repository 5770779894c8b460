"""Settings of one router, read from a JSON file and checked at the start."""

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
SHARING = ("owned", "split", "local")
_LONGEST_S = 86_400.0


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and timeouts, in seconds.

    Args:
        probe_interval_s: Between two probes of members.
        probe_timeout_s: Wait for the answer to a probe.
        suspect_s: From suspicion of a member to taking it for dead.
        host_list_interval_s: Between two reads of the host list.
        log_wait_s: Long-poll of the log.
        log_timeout_s: Wait for an answer of the log, beyond a long-poll.
        config_poll_s: Fallback poll of routers that learn from their peers.
        snapshot_interval_s: Between two snapshots of the configuration in the log;
            well below half of its retention.
        connect_timeout_s: Wait for a connection to an endpoint.
        keep_alive_s: Idle time after which a connection is closed.
        stop_grace_s: Time for the balancer to see the router unhealthy, before a
            planned stop refuses new requests.
        stop_timeout_s: Longest time that a planned stop waits for requests.
        order_window_s: From claiming an order to its first byte to the engine.
        order_timeout_s: Wait for an engine's answer to an order.
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
        ip: IP number of the callers' side.
        caller_port: TCP port for callers.
        peer_port: TCP port for other routers.
        log: The platform's log service.
        peer_ip: IP number of the peer side; ``ip`` when None is given.
        host_list: The platform's host list, or None.
        weight_store: The platform's weight store, or None.
        seeds: Routers to join the fleet through.
        peer_advertise: Address that other routers use for the peer side, or
            None when it is where the router listens.
        statsd: Where metrics go, or None.
        trace_file: File that spans go to, ``-`` for the standard output, or None.
        log_level: Least level of events that are logged.
        sharing: How slots are shared, ``owned`` but for comparisons: ``split``
            gives each router its part of the slots of every endpoint, ``local``
            does so and leaves out the fleet's totals. The same on every router.
        timing: Intervals and timeouts.
        quarantine: When requests that crash endpoints are held back.
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
        """Fill in what follows from other settings."""
        if not self.peer_ip:
            object.__setattr__(self, "peer_ip", self.ip)

    @property
    def peer_address(self) -> Address:
        """Address that other routers use for the peer side."""
        return self.peer_advertise or Address(self.peer_ip, self.peer_port)


def _host() -> Check:
    # Ids of grants are joined by colons, so a host name may not hold one.
    return matching(
        "[A-Za-z0-9][A-Za-z0-9._-]{0,127}",
        "a host name of 1 to 128 letters, digits and ._-",
    )


def _port() -> Check:
    return integer(1, 65535)


def _address() -> Check:
    return record(Address, ip=required(ip_number()), port=required(_port()))


def _timing_field(default: float) -> Field:
    return optional(number(0.01, _LONGEST_S), default)


def _timing() -> Check:
    knobs = {
        knob.name: _timing_field(knob.default)
        for knob in fields(Timing)
        if knob.default is not MISSING
    }
    return record(Timing, **knobs)


def _reachable(cfg: RouterSettings, path: str) -> Iterator[Fault]:
    if cfg.peer_advertise is None and ip_address(cfg.peer_ip).is_unspecified:
        yield Fault(
            "peer_advertise",
            f"an address, since others cannot reach peer_ip {cfg.peer_ip}",
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
        sharing=optional(choice(SHARING), "owned"),
        timing=optional(_timing(), Timing()),
        quarantine=optional(quarantine_settings(), QuarantineSettings()),
    )
    return refine(settings, _reachable)


_CHECK = _router_settings()


def parse_settings(document: Any, title: str = "settings") -> RouterSettings:
    """Return the settings in a JSON value.

    Raises:
        ExceptionGroup: Holds one ``Fault`` for everything wrong.
    """
    return run(_CHECK, document, title)


def load_settings(path: str) -> RouterSettings:
    """Return the settings in a JSON file.

    Raises:
        ExceptionGroup: Holds one ``Fault`` for everything wrong, or the
            ``OSError`` of a file that cannot be read.
    """
    return parse_settings(read_document(path), path)


def example_settings() -> str:
    """Return a working settings file, as JSON text."""
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
