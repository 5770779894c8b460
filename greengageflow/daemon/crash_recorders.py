"""Logs and counts endpoint crashes and the requests quarantined for them."""

from greengageflow.core.fingerprint import Fingerprint, is_part, short_digest
from greengageflow.daemon.crash_watch import EndpointStart
from greengageflow.events import Event, log
from greengageflow.metrics import Metric, Metrics
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.net.decision_log import DecisionLog
from greengageflow.net.metrics_page import MetricsPage, PageMetric

MAX_LOGGED_DIGESTS = 8


def _what(fingerprint: Fingerprint) -> str:
    return "part" if is_part(fingerprint) else "request"


class GatewayCrashRecorder:
    """Reports on ``CrashWatch`` in the decision log and on the metrics page.

    Args:
        log: Gets the events.
        page: Gets the counts.
    """

    def __init__(self, log: DecisionLog, page: MetricsPage) -> None:
        self._log = log
        self._page = page

    def record_crash(
        self, endpoint: EndpointStart, requests: frozenset[Fingerprint]
    ) -> None:
        """Record a crash and the requests that may have caused it."""
        self._page.count(PageMetric.ENDPOINT_CRASHES, endpoint.service)
        digests = sorted(short_digest(r) for r in requests if not is_part(r))
        self._log.write(
            DecisionEvent.ENDPOINT_CRASHED,
            endpoint=endpoint.id,
            requests=len(digests),
            digests=" ".join(digests[:MAX_LOGGED_DIGESTS]),
        )

    def record_quarantine(
        self, fingerprint: Fingerprint, source: str, for_s: float
    ) -> None:
        """Record that a request is quarantined."""
        self._log.write(
            DecisionEvent.QUARANTINED,
            digest=short_digest(fingerprint),
            what=_what(fingerprint),
            source=source,
            for_ms=round(1000 * for_s),
        )

    def record_clearance(self, fingerprint: Fingerprint) -> None:
        """Record that a successful answer has cleared a request."""
        self._log.write(
            DecisionEvent.QUARANTINE_CLEARED,
            digest=short_digest(fingerprint),
            what=_what(fingerprint),
        )


class RouterCrashRecorder:
    """Reports on ``CrashWatch`` as log events and by statsd, for the product's own API.

    Args:
        metrics: Gets the counts.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def record_crash(
        self, endpoint: EndpointStart, requests: frozenset[Fingerprint]
    ) -> None:
        """Record a crash and the requests that may have caused it."""
        self._metrics.count(Metric.ENDPOINT_CRASHES, label=endpoint.id)
        digests = sorted(short_digest(r) for r in requests if not is_part(r))
        log(
            Event.ENDPOINT_CRASHED,
            endpoint=endpoint.id,
            requests=len(digests),
            digests=" ".join(digests[:MAX_LOGGED_DIGESTS]),
        )

    def record_quarantine(
        self, fingerprint: Fingerprint, source: str, for_s: float
    ) -> None:
        """Record that a request is quarantined."""
        log(
            Event.QUARANTINED,
            digest=short_digest(fingerprint),
            source=source,
            seconds=for_s,
        )

    def record_clearance(self, fingerprint: Fingerprint) -> None:
        """Record that a successful answer has cleared a request."""
        log(Event.QUARANTINE_CLEARED, digest=short_digest(fingerprint))
