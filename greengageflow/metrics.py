"""Metrics by statsd, one closed table; ``docs/METRICS.md`` describes them."""

import re
from dataclasses import dataclass
from enum import Enum, StrEnum
from ipaddress import ip_address

from statsd import StatsClient

from greengageflow.settings_file import Address

_UNSAFE = re.compile(r"[^A-Za-z0-9_-]+")


class MetricKind(StrEnum):
    """How statsd adds up a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMER = "timer"


@dataclass(frozen=True, slots=True)
class MetricType:
    """What is fixed of one metric.

    Args:
        name: Its name below the prefix.
        kind: How statsd adds it up.
        part: What its last component tells apart, or empty.
    """

    name: str
    kind: MetricKind
    part: str = ""


class Metric(Enum):
    """Every metric that is sent."""

    REQUESTS = MetricType("requests", MetricKind.COUNTER, "pool")
    REFUSED = MetricType("refused", MetricKind.COUNTER, "error kind")
    ANSWERED = MetricType("answered", MetricKind.COUNTER, "pool")
    FIRST_PIECE = MetricType("first_piece", MetricKind.TIMER, "pool")
    REQUEST_TIME = MetricType("request_time", MetricKind.TIMER, "pool")
    QUEUE_TIME = MetricType("queue_time", MetricKind.TIMER, "pool")
    WAITING = MetricType("waiting", MetricKind.GAUGE)
    RUNNING = MetricType("running", MetricKind.GAUGE)
    SERVED = MetricType("served", MetricKind.COUNTER, "account")
    SERVICE_GAP = MetricType("service_gap", MetricKind.GAUGE)
    SLOTS_FREE = MetricType("slots.free", MetricKind.GAUGE)
    SLOTS_USED = MetricType("slots.used", MetricKind.GAUGE)
    GRANTS = MetricType("grants", MetricKind.COUNTER)
    GRANTS_LAPSED = MetricType("grants_lapsed", MetricKind.COUNTER)
    STREAMS_CUT = MetricType("streams_cut", MetricKind.COUNTER, "endpoint")
    STREAMS_RESUMED = MetricType("streams_resumed", MetricKind.COUNTER, "endpoint")
    PIECES_DROPPED = MetricType("pieces_dropped", MetricKind.COUNTER, "endpoint")
    RETRIES = MetricType("retries", MetricKind.COUNTER, "endpoint")
    ACTIONS = MetricType("actions", MetricKind.COUNTER, "verdict")
    BACKOFFS = MetricType("endpoint_backoffs", MetricKind.COUNTER, "endpoint")
    ENDPOINT_CRASHES = MetricType("endpoint_crashes", MetricKind.COUNTER, "endpoint")
    QUARANTINED = MetricType("quarantined", MetricKind.GAUGE)
    CONTROL_BYTES = MetricType("control.bytes", MetricKind.COUNTER, "direction")
    CONTROL_MESSAGES = MetricType("control.messages", MetricKind.COUNTER, "direction")
    LOG_APPENDS = MetricType("log.appends", MetricKind.COUNTER)
    LOG_FAILURES = MetricType("log.failures", MetricKind.COUNTER)
    CONFIG_REVISION = MetricType("config.revision", MetricKind.GAUGE)
    MEMBERS = MetricType("members", MetricKind.GAUGE, "status")


class Metrics:
    """Sends metrics over UDP; without an address it does nothing.

    Args:
        address: Where statsd listens, or None.
        host: Host of this router; part of each name.
        prefix: First component of each name.
    """

    def __init__(
        self, address: Address | None = None, host: str = "", prefix: str = "greengage"
    ) -> None:
        self._client: StatsClient | None = None
        if address is None:
            return
        parts = [prefix, _component(host)] if host else [prefix]
        self._client = StatsClient(
            address.ip,
            address.port,
            prefix=".".join(parts),
            ipv6=ip_address(address.ip).version == 6,
        )
        # A full send buffer would hold up the one loop; the client drops the
        # metric on any error of the socket, and a would-block error is one.
        self._client._sock.setblocking(False)

    def count(self, metric: Metric, count: float = 1, part: str = "") -> None:
        """Add ``count`` to a counter."""
        if self._client:
            self._client.incr(_name(metric, part), count)

    def gauge(self, metric: Metric, value: float, part: str = "") -> None:
        """Set a gauge."""
        if self._client:
            self._client.gauge(_name(metric, part), value)

    def timing(self, metric: Metric, seconds: float, part: str = "") -> None:
        """Record a time in seconds; it is sent in milliseconds."""
        if self._client:
            self._client.timing(_name(metric, part), seconds * 1000)

    def close(self) -> None:
        """Close the socket and send no more."""
        if self._client:
            self._client.close()
            self._client = None


def _component(text: str) -> str:
    return _UNSAFE.sub("_", text)


def _name(metric: Metric, part: str) -> str:
    name = metric.value.name
    return f"{name}.{_component(part)}" if part else name
