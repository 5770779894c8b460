"""Metrics in the Prometheus text format; ``docs/METRICS.md`` describes them.

The page is rendered on request and served by the daemon's own listener. The HTTP
server, the threads and the global registry of the Prometheus library are not used.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum, StrEnum

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Histogram,
    disable_created_metrics,
    generate_latest,
)
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of the rendered page."""

_PREFIX = "greengage_"
_MOST_PARTS = 64
_OTHER = "other"
_REQUEST_S = (0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0)
_PAUSE_S = (0.02, 0.05, 0.12, 0.3, 1.0, 3.0)
_STORE_S = (0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0)

disable_created_metrics()


class PageKind(StrEnum):
    """Prometheus type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclass(frozen=True, slots=True)
class PageMetricType:
    """Definition of one metric.

    Args:
        name: Name without the prefix; counters get the suffix ``_total``.
        kind: Type of the metric.
        part: Name of its only label, or empty.
        buckets: Upper bounds of a histogram's buckets, in seconds.
    """

    name: str
    kind: PageKind
    part: str = ""
    buckets: tuple[float, ...] = ()


class PageMetric(Enum):
    """All metrics of the page."""

    REQUESTS = PageMetricType("requests", PageKind.COUNTER, "outcome")
    REFUSALS = PageMetricType("refusals", PageKind.COUNTER, "kind")
    RETRIES = PageMetricType("retries", PageKind.COUNTER, "service")
    RESUMED = PageMetricType("streams_resumed", PageKind.COUNTER, "service")
    REPEATS_REFUSED = PageMetricType("repeats_refused", PageKind.COUNTER, "service")
    STALE_RETRIES = PageMetricType("stale_retries", PageKind.COUNTER)
    CANCELLED = PageMetricType("cancelled", PageKind.COUNTER, "service")
    ENDPOINT_FAILURES = PageMetricType("endpoint_failures", PageKind.COUNTER, "service")
    BACKOFFS = PageMetricType("endpoint_backoffs", PageKind.COUNTER, "service")
    ENDPOINT_CRASHES = PageMetricType("endpoint_crashes", PageKind.COUNTER, "service")
    CONTROL_BYTES = PageMetricType("control_bytes", PageKind.COUNTER, "direction")
    CONTROL_TOO_LONG = PageMetricType("control_too_long", PageKind.COUNTER)
    STORE_CALLS = PageMetricType("store_calls", PageKind.COUNTER, "result")
    CONNECTIONS_TAKEN = PageMetricType("connections_taken", PageKind.COUNTER)
    ABANDONED = PageMetricType("abandoned", PageKind.COUNTER)
    LOG_LINES_DROPPED = PageMetricType("log_lines_dropped", PageKind.COUNTER, "cause")

    WAITING_TIME = PageMetricType(
        "waiting_seconds", PageKind.HISTOGRAM, "service", _REQUEST_S
    )
    FIRST_EVENT_TIME = PageMetricType(
        "first_event_seconds", PageKind.HISTOGRAM, "service", _REQUEST_S
    )
    PAUSE_TIME = PageMetricType(
        "pause_seconds", PageKind.HISTOGRAM, "service", _PAUSE_S
    )
    STORE_TIME = PageMetricType(
        "store_call_seconds", PageKind.HISTOGRAM, "call", _STORE_S
    )

    RUNNING = PageMetricType("running", PageKind.GAUGE)
    WAITING = PageMetricType("waiting", PageKind.GAUGE)
    CONNECTIONS = PageMetricType("connections", PageKind.GAUGE)
    CONNECTIONS_WAITING = PageMetricType("connections_waiting", PageKind.GAUGE)
    LOOP_LATE = PageMetricType("loop_late_seconds", PageKind.GAUGE)
    PEERS_LIVE = PageMetricType("peers_live", PageKind.GAUGE)
    QUARANTINED = PageMetricType("quarantined", PageKind.GAUGE)
    CONFIG_VERSION = PageMetricType("config_version", PageKind.GAUGE)
    STORE_ERA = PageMetricType("store_era", PageKind.GAUGE)
    STORE_UNHEARD = PageMetricType("store_unheard_seconds", PageKind.GAUGE)


Values = float | Mapping[str, float]
"""One value, or one by label value."""


class MetricsPage:
    """Collects metrics and renders them.

    Counters and histograms are updated as events happen. Values that are kept elsewhere
    anyway are read by a callback at rendering, so that a change of them costs nothing.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry(auto_describe=False)
        self._series: dict[PageMetric, Counter | Histogram] = {}
        self._children: defaultdict[PageMetric, dict[str, Counter | Histogram]]
        self._children = defaultdict(dict)
        self._readers: dict[PageMetric, Callable[[], Values]] = {}
        self._registry.register(self)

    def count(self, metric: PageMetric, part: str = "", count: float = 1) -> None:
        """Add ``count`` to a counter."""
        self._child(metric, part).inc(count)

    def observe(self, metric: PageMetric, seconds: float, part: str = "") -> None:
        """Add a duration in seconds to a histogram."""
        self._child(metric, part).observe(seconds)

    def read(self, metric: PageMetric, reader: Callable[[], Values]) -> None:
        """Register a callback that reads a gauge, or a counter kept elsewhere."""
        self._readers[metric] = reader

    def render(self) -> bytes:
        """Return the page in the format of ``CONTENT_TYPE``."""
        return generate_latest(self._registry)

    def collect(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily]:
        """Yield the values of the callbacks; called by the registry."""
        for metric, reader in self._readers.items():
            yield _family(metric.value, reader())

    def _child(self, metric: PageMetric, part: str) -> Counter | Histogram:
        children = self._children[metric]
        if child := children.get(part):
            return child
        # Bounds memory: names of former endpoints and services stay label values.
        part = part if len(children) < _MOST_PARTS else _OTHER
        if part not in children:
            series = self._series.get(metric) or self._add_series(metric)
            children[part] = series.labels(part) if metric.value.part else series
        return children[part]

    def _add_series(self, metric: PageMetric) -> Counter | Histogram:
        series = _series(metric.value, self._registry)
        self._series[metric] = series
        return series


def _series(metric: PageMetricType, registry: CollectorRegistry) -> Counter | Histogram:
    name = _PREFIX + metric.name
    text = metric.name.replace("_", " ")
    labels = (metric.part,) if metric.part else ()
    match metric.kind:
        case PageKind.COUNTER:
            return Counter(name, text, labels, registry=registry)
        case PageKind.HISTOGRAM:
            return Histogram(
                name, text, labels, registry=registry, buckets=metric.buckets
            )
        case kind:
            raise ValueError(f"{metric.name} is a {kind} and needs a callback")


def _family(
    metric: PageMetricType, values: Values
) -> CounterMetricFamily | GaugeMetricFamily:
    kinds = {
        PageKind.COUNTER: CounterMetricFamily,
        PageKind.GAUGE: GaugeMetricFamily,
    }
    labels = (metric.part,) if metric.part else ()
    text = metric.name.replace("_", " ")
    family = kinds[metric.kind](_PREFIX + metric.name, text, labels=labels)
    rows = values if isinstance(values, Mapping) else {"": values}
    for part, value in rows.items():
        family.add_metric((part,) if labels else (), value)
    return family
