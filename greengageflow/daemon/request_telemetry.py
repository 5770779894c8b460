"""Log lines and metrics of requests."""

from greengageflow.daemon.flight import Flight
from greengageflow.errors import ErrorKind, RouterError
from greengageflow.events import Event, log
from greengageflow.metrics import Metric, Metrics
from greengageflow.net.engine_client import EngineCall


class RequestTelemetry:
    """Writes log lines and metrics for each step of a request.

    Args:
        metrics: Counters and timers.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def on_admitted(self, flight: Flight) -> None:
        """Record a request that was admitted."""
        self._metrics.count(Metric.REQUESTS, part=flight.pool.name)

    def on_started(self, flight: Flight, now: float) -> None:
        """Record that a request was granted a slot, and its time in the queue."""
        pool = flight.pool.name
        self._metrics.timing(Metric.QUEUE_TIME, now - flight.arrived_at, pool)

    def on_retry(self, flight: Flight) -> None:
        """Record that a request is queued again for a retry."""
        endpoint = flight.endpoint.name if flight.endpoint else ""
        self._metrics.count(Metric.RETRIES, part=endpoint)

    def on_stream_end(self, flight: Flight, run: EngineCall) -> None:
        """Record a stream's time to first piece, resumptions and dropped pieces."""
        endpoint = flight.endpoint.name
        if run.first_piece_s is not None:
            first_s = flight.started_at - flight.arrived_at + run.first_piece_s
            self._metrics.timing(Metric.FIRST_PIECE, first_s, flight.pool.name)
        if run.resumed:
            log(
                Event.STREAM_RESUMED,
                request=flight.wire_id,
                endpoint=endpoint,
                pieces=run.pieces,
            )
            self._metrics.count(Metric.STREAMS_RESUMED, run.resumed, endpoint)
        if run.dropped:
            log(
                Event.PIECE_DROPPED,
                count=run.dropped,
                request=flight.wire_id,
                endpoint=endpoint,
            )
            self._metrics.count(Metric.PIECES_DROPPED, run.dropped, endpoint)

    def on_backoff(self, endpoint: str, seconds: float) -> None:
        """Record that an endpoint asked for a backoff."""
        log(Event.ENDPOINT_BACKOFF, endpoint=endpoint, seconds=seconds)
        self._metrics.count(Metric.BACKOFFS, part=endpoint)

    def on_cut(self, flight: Flight) -> None:
        """Record that an endpoint cut an answer off."""
        endpoint = flight.endpoint.name
        log(
            Event.STREAM_CUT,
            request=flight.wire_id,
            endpoint=endpoint,
            pieces=flight.pieces,
        )
        self._metrics.count(Metric.STREAMS_CUT, part=endpoint)

    def on_answered(self, flight: Flight, served: float) -> None:
        """Record a complete answer that cost ``served`` tokens."""
        self._metrics.count(Metric.ANSWERED, part=flight.pool.name)
        self._metrics.count(Metric.SERVED, served, part=flight.account.name)

    def on_replayed(self) -> None:
        """Record a repeated protected action that was answered from its record."""
        self._metrics.count(Metric.ACTIONS, part="replayed")

    def on_outcome_unknown(self, flight: Flight) -> None:
        """Record a protected action whose outcome is unknown."""
        if flight.protected:
            account = flight.account.name
            log(Event.ACTION_UNKNOWN, request=flight.wire_id, account=account)
            self._metrics.count(Metric.ACTIONS, part="unknown")

    def on_refused(self, exc: RouterError, flight: Flight | None = None) -> None:
        """Record an error sent to a caller."""
        self._metrics.count(Metric.REFUSED, part=exc.kind.value)
        if flight and exc.kind is ErrorKind.QUEUE_FULL:
            account = flight.account
            log(Event.QUEUE_FULL, account=account.name, limit=account.queue_limit)

    def on_ended(self, flight: Flight, now: float) -> None:
        """Record the end of a request and its total time."""
        pool = flight.pool.name
        self._metrics.timing(Metric.REQUEST_TIME, now - flight.arrived_at, pool)
