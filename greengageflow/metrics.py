"""Statsd metrics; ``docs/METRICS.md`` documents each of them."""

import re
from dataclasses import dataclass
from enum import Enum, StrEnum
from ipaddress import ip_address

from statsd import StatsClient

from greengageflow.settings_file import Address

_UNSAFE_CHARS = re.compile(r"[^A-Za-z0-9_-]+")


class MetricKind(StrEnum):
    """Statsd metric types."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMER = "timer"


@dataclass(frozen=True, slots=True)
class MetricType:
    """Static definition of a metric.

    Args:
        name: Name, without the prefix.
        kind: Statsd metric type.
        label: Dimension given by the last name component, or empty.
    """

    name: str
    kind: MetricKind
    label: str = ""


class Metric(Enum):
    """All metrics sent to statsd."""

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
    """Sends metrics to statsd over UDP; does nothing without an address.

    Args:
        address: Address of the statsd server, or None.
        host: Host of this router, a component of every metric name.
        prefix: First component of every metric name.
    """

    def __init__(
        self, address: Address | None = None, host: str = "", prefix: str = "greengage"
    ) -> None:
        self._client: StatsClient | None = None
        if address is None:
            return
        parts = [prefix, _sanitize(host)] if host else [prefix]
        self._client = StatsClient(
            address.ip,
            address.port,
            prefix=".".join(parts),
            ipv6=ip_address(address.ip).version == 6,
        )
        # A full send buffer would block the event loop. The client drops a metric
        # on any socket error, including EWOULDBLOCK.
        self._client._sock.setblocking(False)

    def count(self, metric: Metric, count: float = 1, label: str = "") -> None:
        """Add ``count`` to a counter."""
        if self._client:
            self._client.incr(_full_name(metric, label), count)

    def gauge(self, metric: Metric, value: float, label: str = "") -> None:
        """Set a gauge."""
        if self._client:
            self._client.gauge(_full_name(metric, label), value)

    def timing(self, metric: Metric, seconds: float, label: str = "") -> None:
        """Record a duration in seconds, sent in milliseconds."""
        if self._client:
            self._client.timing(_full_name(metric, label), seconds * 1000)

    def close(self) -> None:
        """Close the socket; later metrics are discarded."""
        if self._client:
            self._client.close()
            self._client = None


def _sanitize(text: str) -> str:
    return _UNSAFE_CHARS.sub("_", text)


def _full_name(metric: Metric, label: str) -> str:
    name = metric.value.name
    return f"{name}.{_sanitize(label)}" if label else name
