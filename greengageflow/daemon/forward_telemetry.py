"""Log lines and metrics of forwarded requests."""

from greengageflow.core.endpoint_choice import Choice
from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.forward_request import ForwardRequest, request_fingerprint
from greengageflow.core.quarantine import short_digest
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.daemon.forward_flight import ForwardFlight, Phase
from greengageflow.errors import Ran, RouterError
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.net.decision_log import DecisionLog
from greengageflow.net.metrics_page import MetricsPage, PageMetric

OUT_OF_BUDGET_LOG_INTERVAL_S = 1.0
"""Minimum time between two ``OUT_OF_BUDGET`` log lines of a service, in seconds."""


def _ms(seconds: float) -> int:
    return round(1000 * seconds)


class ForwardTelemetry:
    """Writes log lines and metrics for each decision on a request.

    Args:
        log: Decision log.
        page: Metrics page.
        dispatcher: Source of the queue lengths, usage and budget figures in log lines.

    Attributes:
        config_version: Version of the configuration in use.
        totals_at: Time of the last fleet totals.
    """

    def __init__(
        self, log: DecisionLog, page: MetricsPage, dispatcher: ServiceDispatcher
    ) -> None:
        self.config_version = 0
        self.totals_at = 0.0
        self._log = log
        self._page = page
        self._dispatcher = dispatcher
        self._out_of_budget_at: dict[str, float] = {}

    def on_not_admitted(self, req: ForwardRequest, exc: RouterError) -> None:
        """Record a request that was refused at admission."""
        self._count_refusal(exc)
        self._log.write(
            DecisionEvent.REFUSED,
            request=req.id,
            digest=short_digest(request_fingerprint(req, "")),
            why=exc.kind.value,
            text=exc.message,
            retry_after_ms=_ms(exc.retry_after_s or 0.0),
            config=self.config_version,
        )

    def on_sent(
        self, now: float, flight: ForwardFlight, choice: Choice, placer: str
    ) -> None:
        """Record that a request is first sent, as decided by the host ``placer``."""
        self._page.observe(
            PageMetric.WAITING_TIME, now - flight.arrived_at, flight.service
        )
        self._log.write(
            DecisionEvent.SENT,
            request=flight.req.id,
            digest=short_digest(flight.fingerprint),
            account=flight.account,
            route=flight.route.name,
            endpoint=choice.endpoint.id,
            fetch_from=choice.fetch_from.id if choice.fetch_from else "",
            prompt=flight.req.prompt.tokens_in if flight.req.prompt else 0,
            reading=round(choice.reading),
            waited_ms=_ms(now - flight.arrived_at),
            predicted_ms=_ms(choice.wait_s),
            placer=placer,
            **self._decision_inputs(now, flight),
        )

    def _decision_inputs(self, now: float, flight: ForwardFlight) -> dict[str, int]:
        return {
            "queued": self._dispatcher.queue_length(flight.service),
            "level": int(self._dispatcher.recent_usage(flight.service, flight.account)),
            "report_age_ms": _ms(now - self.totals_at),
            "config": self.config_version,
        }

    def on_retry(
        self, flight: ForwardFlight, before: str, choice: Choice, why: str
    ) -> None:
        """Record a retry or a resumption of a request."""
        streaming = flight.phase is Phase.STREAMING
        event = DecisionEvent.RESUMED if streaming else DecisionEvent.RETRIED
        metric = PageMetric.RESUMED if streaming else PageMetric.RETRIES
        self._page.count(metric, flight.service)
        stream_fields = {"pieces": flight.pieces} if streaming else {}
        self._log.write(
            event,
            request=flight.req.id,
            before=before,
            endpoint=choice.endpoint.id,
            why=why,
            config=self.config_version,
            **stream_fields,
        )

    def on_budget_exhausted(self, now: float, service: str) -> None:
        """Record a retry that was refused as the retry budget is exhausted."""
        self._page.count(PageMetric.REPEATS_REFUSED, service)
        before = self._out_of_budget_at.get(service, float("-inf"))
        if now - before < OUT_OF_BUDGET_LOG_INTERVAL_S:
            return
        self._out_of_budget_at[service] = now
        use = self._dispatcher.budget_usage(now, service)
        self._log.write(
            DecisionEvent.OUT_OF_BUDGET,
            service=service,
            requests=use.requests,
            repeats=use.retries,
            hosts=use.hosts,
        )

    def on_first_event(self, now: float, flight: ForwardFlight) -> None:
        """Record the time to the first event of a stream."""
        self._page.observe(
            PageMetric.FIRST_EVENT_TIME, now - flight.arrived_at, flight.service
        )

    def record_longest_pause(self, flight: ForwardFlight) -> None:
        """Record the longest time between two events of a stream that has ended."""
        self._page.observe(
            PageMetric.PAUSE_TIME, flight.longest_pause_s, flight.service
        )

    def on_finished(self, now: float, flight: ForwardFlight, status: int) -> None:
        """Record a complete answer, and whether it met the route's objective."""
        self._page.count(PageMetric.REQUESTS, "answered")
        first_at = flight.first_event_at or now
        first_event_s = first_at - flight.arrived_at
        late = first_event_s > flight.route.target_s
        fields: dict[str, int | str] = {
            "request": flight.req.id,
            "endpoint": flight.attempt.endpoint.id,
            "status": status,
            "first_ms": _ms(first_event_s),
            "total_ms": _ms(now - flight.arrived_at),
        }
        if not late:
            self._log.write(DecisionEvent.FINISHED, **fields)
            return
        self._log.write(
            DecisionEvent.FINISHED_LATE,
            waited_ms=_ms(flight.first_sent_at - flight.arrived_at),
            predicted_ms=_ms(flight.predicted_wait_s),
            objective_ms=_ms(flight.route.target_s),
            **fields,
        )

    def on_refused(self, now: float, flight: ForwardFlight, exc: RouterError) -> None:
        """Record a request that is answered with an error."""
        if flight.attempt_count and exc.ran is not Ran.NO:
            self._on_failed(now, flight, exc)
            return
        self._count_refusal(exc)
        self._log.write(
            DecisionEvent.REFUSED,
            request=flight.req.id,
            digest=short_digest(flight.fingerprint),
            account=flight.account,
            route=flight.route.name,
            why=exc.kind.value,
            text=exc.message,
            retry_after_ms=_ms(exc.retry_after_s or 0.0),
            waited_ms=_ms(now - flight.arrived_at),
            **self._decision_inputs(now, flight),
        )

    def _count_refusal(self, exc: RouterError) -> None:
        self._page.count(PageMetric.REQUESTS, "refused")
        self._page.count(PageMetric.REFUSALS, exc.kind.value)

    def _on_failed(self, now: float, flight: ForwardFlight, exc: RouterError) -> None:
        self._page.count(PageMetric.REQUESTS, "failed")
        self._log.write(
            DecisionEvent.FAILED,
            request=flight.req.id,
            endpoint=flight.attempt.endpoint.id,
            status=exc.status,
            why=exc.message,
            ran=exc.ran.value,
            total_ms=_ms(now - flight.arrived_at),
        )

    def on_cut(self, now: float, flight: ForwardFlight, why: str) -> None:
        """Record a stream that was cut off at its caller."""
        self._page.count(PageMetric.REQUESTS, "cut")
        self._log.write(
            DecisionEvent.CUT,
            request=flight.req.id,
            endpoint=flight.attempt.endpoint.id,
            why=why,
            pieces=flight.pieces,
            ran=Ran.YES.value,
            total_ms=_ms(now - flight.arrived_at),
        )

    def on_caller_left(self, now: float, flight: ForwardFlight) -> None:
        """Record a caller that disconnected before its answer was complete."""
        self._page.count(PageMetric.CANCELLED, flight.service)
        self._log.write(
            DecisionEvent.CALLER_LEFT,
            request=flight.req.id,
            endpoint=flight.attempt.endpoint.id if flight.attempt else "",
            stage=flight.phase.name.lower(),
            total_ms=_ms(now - flight.arrived_at),
        )

    def on_backoff(self, endpoint: ListedEndpoint, seconds: float) -> None:
        """Record that an endpoint asked for a backoff."""
        self._page.count(PageMetric.BACKOFFS, endpoint.service)
        self._log.write(
            DecisionEvent.ENDPOINT_BACKOFF, endpoint=endpoint.id, for_ms=_ms(seconds)
        )

    def on_endpoint_failure(
        self, flight: ForwardFlight, why: str, suspended: bool
    ) -> None:
        """Record that an endpoint failed to answer; logged only if suspended."""
        self._page.count(PageMetric.ENDPOINT_FAILURES, flight.service)
        if suspended:
            self._log.write(
                DecisionEvent.ENDPOINT_SUSPECT,
                endpoint=flight.attempt.endpoint.id,
                why=why,
                failures=self._dispatcher.consecutive_failures(flight.attempt.endpoint),
            )
