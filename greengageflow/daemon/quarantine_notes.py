"""Writes down crashes of endpoints and requests that are held back for them."""

from greengageflow.core.quarantine import Fingerprint, short
from greengageflow.daemon.crash_watch import Endpoint
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.net.decision_log import DecisionLog
from greengageflow.net.metrics_page import MetricsPage, PageMetric

MOST_DIGESTS = 8


class QuarantineNotes:
    """Notes of ``CrashWatch`` in the decision log and on the metrics page.

    Args:
        log: Takes the lines.
        page: Takes the counts.
    """

    def __init__(self, log: DecisionLog, page: MetricsPage) -> None:
        self._log = log
        self._page = page

    def crashed(self, endpoint: Endpoint, requests: frozenset[Fingerprint]) -> None:
        """Note a crash and the requests that may have caused it."""
        self._page.count(PageMetric.ENDPOINT_CRASHES, endpoint.service)
        digests = sorted(map(short, requests))
        self._log.write(
            DecisionEvent.ENDPOINT_CRASHED,
            endpoint=endpoint.id,
            requests=len(digests),
            digests=" ".join(digests[:MOST_DIGESTS]),
        )

    def held(self, fingerprint: Fingerprint, source: str, for_s: float) -> None:
        """Note that a request is held back."""
        self._log.write(
            DecisionEvent.QUARANTINED,
            digest=short(fingerprint),
            source=source,
            for_ms=round(1000 * for_s),
        )

    def cleared(self, fingerprint: Fingerprint) -> None:
        """Note that a good answer has cleared a request."""
        self._log.write(DecisionEvent.QUARANTINE_CLEARED, digest=short(fingerprint))
