"""Metrics in the Prometheus text format; ``docs/METRICS.md`` describes them.

The page is rendered on request and served by the daemon's own listener. The HTTP
server, the threads and the global registry of the Prometheus library are not used. The
library is imported at the first rendering, since a small host would serve later after
a restart otherwise.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum, StrEnum
from itertools import accumulate
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from prometheus_client.core import (
        CounterMetricFamily,
        GaugeMetricFamily,
        HistogramMetricFamily,
    )

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of the rendered page."""

_PREFIX = "greengage_"
_MAX_LABEL_VALUES = 64
_OVERFLOW_LABEL_VALUE = "other"
_REQUEST_BUCKETS_S = (0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0)
_PAUSE_BUCKETS_S = (0.02, 0.05, 0.12, 0.3, 1.0, 3.0)
_RATIO_BUCKETS = (0.25, 0.5, 0.8, 1.25, 2.0, 4.0)
_STORE_BUCKETS_S = (0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0)


class PageKind(StrEnum):
    """Prometheus type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclass(frozen=True, slots=True)
class PageMetricSpec:
    """Definition of one metric.

    Args:
        name: Name without the prefix; counters get the suffix ``_total``.
        kind: Type of the metric.
        label: Name of its only label, or empty.
        buckets: Upper bounds of a histogram's buckets, in seconds unless its name says
            otherwise.
    """

    name: str
    kind: PageKind
    label: str = ""
    buckets: tuple[float, ...] = ()


class PageMetric(Enum):
    """All metrics of the page."""

    REQUESTS = PageMetricSpec("requests", PageKind.COUNTER, "outcome")
    REFUSALS = PageMetricSpec("refusals", PageKind.COUNTER, "kind")
    REDIRECTS = PageMetricSpec("redirects", PageKind.COUNTER, "outcome")
    RETRIES = PageMetricSpec("retries", PageKind.COUNTER, "service")
    RESUMED = PageMetricSpec("streams_resumed", PageKind.COUNTER, "service")
    REPEATS_REFUSED = PageMetricSpec("repeats_refused", PageKind.COUNTER, "service")
    STALE_RETRIES = PageMetricSpec("stale_retries", PageKind.COUNTER)
    VERIFICATIONS = PageMetricSpec(
        "connection_verifications", PageKind.COUNTER, "outcome"
    )
    CANCELLED = PageMetricSpec("cancelled", PageKind.COUNTER, "service")
    ENDPOINT_FAILURES = PageMetricSpec("endpoint_failures", PageKind.COUNTER, "service")
    UNPROVEN_ENDS = PageMetricSpec("unproven_ends", PageKind.COUNTER, "service")
    TRUNCATED_ENDS = PageMetricSpec("truncated_ends", PageKind.COUNTER, "service")
    BACKOFFS = PageMetricSpec("endpoint_backoffs", PageKind.COUNTER, "service")
    ENDPOINT_CRASHES = PageMetricSpec("endpoint_crashes", PageKind.COUNTER, "service")
    CONTROL_BYTES = PageMetricSpec("control_bytes", PageKind.COUNTER, "direction")
    CONTROL_TOO_LONG = PageMetricSpec("control_too_long", PageKind.COUNTER)
    STORE_CALLS = PageMetricSpec("store_calls", PageKind.COUNTER, "result")
    CONNECTIONS_TAKEN = PageMetricSpec("connections_taken", PageKind.COUNTER)
    ABANDONED = PageMetricSpec("abandoned", PageKind.COUNTER)
    FORECAST_REJECTIONS = PageMetricSpec(
        "forecast_rejections", PageKind.COUNTER, "service"
    )
    FORECAST_WAITS = PageMetricSpec("forecast_waits", PageKind.COUNTER, "outcome")
    LOG_LINES_DROPPED = PageMetricSpec("log_lines_dropped", PageKind.COUNTER, "cause")

    WAITING_TIME = PageMetricSpec(
        "waiting_seconds", PageKind.HISTOGRAM, "service", _REQUEST_BUCKETS_S
    )
    FIRST_EVENT_TIME = PageMetricSpec(
        "first_event_seconds", PageKind.HISTOGRAM, "service", _REQUEST_BUCKETS_S
    )
    PAUSE_TIME = PageMetricSpec(
        "pause_seconds", PageKind.HISTOGRAM, "service", _PAUSE_BUCKETS_S
    )
    DURATION_RATIO = PageMetricSpec(
        "duration_ratio", PageKind.HISTOGRAM, "service", _RATIO_BUCKETS
    )
    FIRST_EVENT_RATIO = PageMetricSpec(
        "first_event_ratio", PageKind.HISTOGRAM, "service", _RATIO_BUCKETS
    )
    STORE_TIME = PageMetricSpec(
        "store_call_seconds", PageKind.HISTOGRAM, "call", _STORE_BUCKETS_S
    )

    RUNNING = PageMetricSpec("running", PageKind.GAUGE)
    WAITING = PageMetricSpec("waiting", PageKind.GAUGE)
    CONNECTIONS = PageMetricSpec("connections", PageKind.GAUGE)
    CONNECTIONS_WAITING = PageMetricSpec("connections_waiting", PageKind.GAUGE)
    LOOP_LATE = PageMetricSpec("loop_late_seconds", PageKind.GAUGE)
    PEERS_LIVE = PageMetricSpec("peers_live", PageKind.GAUGE)
    QUARANTINED = PageMetricSpec("quarantined", PageKind.GAUGE)
    COLD_ENDPOINTS = PageMetricSpec("cold_endpoints", PageKind.GAUGE)
    EVACUATED_ZONES = PageMetricSpec("evacuated_zones", PageKind.GAUGE)
    SLOW_ENDPOINTS = PageMetricSpec("slow_endpoints", PageKind.GAUGE)
    CONFIG_VERSION = PageMetricSpec("config_version", PageKind.GAUGE)
    STORE_ERA = PageMetricSpec("store_era", PageKind.GAUGE)
    STORE_UNHEARD = PageMetricSpec("store_unheard_seconds", PageKind.GAUGE)


Values = float | Mapping[str, float]
"""One value, or one by label value."""


@dataclass(slots=True)
class _Histogram:
    """Observations of one series.

    Args:
        bounds: Upper bounds of the buckets, in seconds.
        counts: Observations in each bucket; the last one has no upper bound.
        total_s: Sum of all observations, in seconds.
    """

    bounds: tuple[float, ...]
    counts: list[int] = field(default_factory=list)
    total_s: float = 0.0

    def __post_init__(self) -> None:
        self.counts = [0] * (len(self.bounds) + 1)

    def observe(self, seconds: float) -> None:
        self.counts[bisect_left(self.bounds, seconds)] += 1
        self.total_s += seconds

    @property
    def cumulative_buckets(self) -> list[tuple[str, float]]:
        names = [*map(str, self.bounds), "+Inf"]
        return list(zip(names, accumulate(self.counts), strict=True))


class MetricsPage:
    """Collects metrics and renders them.

    Counters and histograms are updated as events happen. Values that are kept elsewhere
    anyway are read by a callback at rendering, so that a change of them costs nothing.
    """

    def __init__(self) -> None:
        self._counts: defaultdict[PageMetric, dict[str, float]] = defaultdict(dict)
        self._histograms: defaultdict[PageMetric, dict[str, _Histogram]]
        self._histograms = defaultdict(dict)
        self._readers: dict[PageMetric, Callable[[], Values]] = {}

    def count(
        self, metric: PageMetric, label_value: str = "", count: float = 1
    ) -> None:
        """Add ``count`` to a counter."""
        series = self._counts[metric]
        name = _bounded_label(series, label_value)
        series[name] = series.get(name, 0.0) + count

    def observe(
        self, metric: PageMetric, seconds: float, label_value: str = ""
    ) -> None:
        """Add a duration in seconds to a histogram."""
        series = self._histograms[metric]
        name = _bounded_label(series, label_value)
        histogram = series.get(name)
        if histogram is None:
            histogram = series[name] = _Histogram(metric.value.buckets)
        histogram.observe(seconds)

    def register_reader(self, metric: PageMetric, reader: Callable[[], Values]) -> None:
        """Register a callback that reads a gauge, or a counter kept elsewhere."""
        self._readers[metric] = reader

    def render(self) -> bytes:
        """Return the page in the format of ``CONTENT_TYPE``."""
        from prometheus_client import (  # noqa: PLC0415
            CollectorRegistry,
            generate_latest,
        )

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def collect(
        self,
    ) -> Iterator[CounterMetricFamily | GaugeMetricFamily | HistogramMetricFamily]:
        """Yield all metrics; called by the registry."""
        for metric, values in self._counts.items():
            yield _family(metric.value, values)
        for metric, histograms in self._histograms.items():
            yield _histogram_family(metric.value, histograms)
        for metric, reader in self._readers.items():
            yield _family(metric.value, reader())


def _bounded_label(series: Mapping[str, object], label_value: str) -> str:
    # Bounds memory: names of former endpoints and services stay label values.
    if label_value in series or len(series) < _MAX_LABEL_VALUES:
        return label_value
    return _OVERFLOW_LABEL_VALUE


def _name_and_text(metric: PageMetricSpec) -> tuple[str, str]:
    return _PREFIX + metric.name, metric.name.replace("_", " ")


def _label_names(metric: PageMetricSpec) -> tuple[str, ...]:
    return (metric.label,) if metric.label else ()


def _family(
    metric: PageMetricSpec, values: Values
) -> CounterMetricFamily | GaugeMetricFamily:
    from prometheus_client.core import (  # noqa: PLC0415
        CounterMetricFamily,
        GaugeMetricFamily,
    )

    kinds = {
        PageKind.COUNTER: CounterMetricFamily,
        PageKind.GAUGE: GaugeMetricFamily,
    }
    labels = _label_names(metric)
    family = kinds[metric.kind](*_name_and_text(metric), labels=labels)
    rows = values if isinstance(values, Mapping) else {"": values}
    for label_value, value in rows.items():
        family.add_metric((label_value,) if labels else (), value)
    return family


def _histogram_family(
    metric: PageMetricSpec, histograms: Mapping[str, _Histogram]
) -> HistogramMetricFamily:
    from prometheus_client.core import HistogramMetricFamily  # noqa: PLC0415

    labels = _label_names(metric)
    family = HistogramMetricFamily(*_name_and_text(metric), labels=labels)
    for label_value, histogram in histograms.items():
        family.add_metric(
            (label_value,) if labels else (),
            histogram.cumulative_buckets,
            histogram.total_s,
        )
    return family
