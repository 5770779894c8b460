"""Log lines and metrics of requests."""

from greengageflow.daemon.request_context import RequestContext
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

    def on_admitted(self, ctx: RequestContext) -> None:
        """Record a request that was admitted."""
        self._metrics.count(Metric.REQUESTS, label=ctx.pool.name)

    def on_started(self, ctx: RequestContext, now: float) -> None:
        """Record that a request was granted a slot, and its time in the queue."""
        pool = ctx.pool.name
        self._metrics.timing(Metric.QUEUE_TIME, now - ctx.arrived_at, pool)

    def on_retry(self, ctx: RequestContext) -> None:
        """Record that a request is queued again for a retry."""
        endpoint = ctx.endpoint.name if ctx.endpoint else ""
        self._metrics.count(Metric.RETRIES, label=endpoint)

    def on_stream_end(self, ctx: RequestContext, run: EngineCall) -> None:
        """Record a stream's time to first piece, resumptions and dropped pieces."""
        endpoint = ctx.endpoint.name
        if run.first_piece_s is not None:
            first_s = ctx.started_at - ctx.arrived_at + run.first_piece_s
            self._metrics.timing(Metric.FIRST_PIECE, first_s, ctx.pool.name)
        if run.resumed:
            log(
                Event.STREAM_RESUMED,
                request=ctx.wire_id,
                endpoint=endpoint,
                pieces=run.pieces,
            )
            self._metrics.count(Metric.STREAMS_RESUMED, run.resumed, endpoint)
        if run.dropped:
            log(
                Event.PIECE_DROPPED,
                count=run.dropped,
                request=ctx.wire_id,
                endpoint=endpoint,
            )
            self._metrics.count(Metric.PIECES_DROPPED, run.dropped, endpoint)

    def on_backoff(self, endpoint: str, seconds: float) -> None:
        """Record that an endpoint asked for a backoff."""
        log(Event.ENDPOINT_BACKOFF, endpoint=endpoint, seconds=seconds)
        self._metrics.count(Metric.BACKOFFS, label=endpoint)

    def on_cut(self, ctx: RequestContext) -> None:
        """Record that an endpoint cut an answer off."""
        endpoint = ctx.endpoint.name
        log(
            Event.STREAM_CUT,
            request=ctx.wire_id,
            endpoint=endpoint,
            pieces=ctx.pieces,
        )
        self._metrics.count(Metric.STREAMS_CUT, label=endpoint)

    def on_answered(self, ctx: RequestContext, served: float) -> None:
        """Record a complete answer that cost ``served`` tokens."""
        self._metrics.count(Metric.ANSWERED, label=ctx.pool.name)
        self._metrics.count(Metric.SERVED, served, label=ctx.account.name)

    def on_replayed(self) -> None:
        """Record a repeated protected action that was answered from its record."""
        self._metrics.count(Metric.ACTIONS, label="replayed")

    def on_outcome_unknown(self, ctx: RequestContext) -> None:
        """Record a protected action whose outcome is unknown."""
        if ctx.protected:
            account = ctx.account.name
            log(Event.ACTION_UNKNOWN, request=ctx.wire_id, account=account)
            self._metrics.count(Metric.ACTIONS, label="unknown")

    def on_refused(self, exc: RouterError, ctx: RequestContext | None = None) -> None:
        """Record an error sent to a caller."""
        self._metrics.count(Metric.REFUSED, label=exc.kind.value)
        if ctx and exc.kind is ErrorKind.QUEUE_FULL:
            account = ctx.account
            log(Event.QUEUE_FULL, account=account.name, limit=account.queue_limit)

    def on_ended(self, ctx: RequestContext, now: float) -> None:
        """Record the end of a request and its total time."""
        pool = ctx.pool.name
        self._metrics.timing(Metric.REQUEST_TIME, now - ctx.arrived_at, pool)
