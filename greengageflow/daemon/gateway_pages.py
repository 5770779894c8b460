"""Readiness and metrics pages of a gateway."""

from collections.abc import Callable, Mapping

from greengageflow.errors import RouterError
from greengageflow.net.callers import CallerServer
from greengageflow.net.forward_calls import PageCall, PlacementCall
from greengageflow.net.metrics_page import CONTENT_TYPE, MetricsPage, PageMetric


class GatewayPages:
    """Caller server handler that serves readiness, metrics and explanations.

    Args:
        page: The metrics.
        explain_placement: Answers where a request would go.
        readiness_error: Returns the reason for which the balancer should send no
            requests, or None.
        waiting: Returns the number of queued requests.
        running: Returns the number of requests sent to endpoints.
        callers: Server whose connections are counted.
        loop_delay_s: Returns the event loop's worst delay, in seconds.
        peers: Returns the number of other live routers.
        version: Returns the version of the configuration.
        config_age_s: Returns the seconds since the configuration was last confirmed to
            be the latest.
        control_bytes: Returns the bytes of control messages received and sent.
        control_too_long: Returns the number of control messages that were dropped
            because they exceed the maximum length.
        store_calls: Returns the number of calls to the store.
        dropped: Returns the number of dropped log lines by cause.
        era: Returns the store's era; 0 until the store is first restored to an older
            state.
        quarantined: Returns the number of requests quarantined after crashes.
        cold: Returns the number of endpoints in warm-up.
        evacuated: Returns the number of evacuated zones.
        stale_retries: Returns the number of requests sent again on a new connection.
        verifications: Returns the number of verified connections, by outcome.
        slow: Returns the number of endpoints that are much slower than the others.
    """

    def __init__(
        self,
        page: MetricsPage,
        explain_placement: Callable[[PlacementCall], None],
        *,
        readiness_error: Callable[[], RouterError | None],
        waiting: Callable[[], int],
        running: Callable[[], int],
        callers: CallerServer,
        loop_delay_s: Callable[[], float],
        peers: Callable[[], int],
        version: Callable[[], int],
        config_age_s: Callable[[], float],
        control_bytes: Callable[[], tuple[int, int]],
        control_too_long: Callable[[], int],
        store_calls: Callable[[], int],
        dropped: Callable[[], Mapping[str, int]],
        era: Callable[[], int],
        quarantined: Callable[[], int],
        cold: Callable[[], int],
        evacuated: Callable[[], int],
        stale_retries: Callable[[], int],
        verifications: Callable[[], Mapping[str, int]],
        slow: Callable[[], int],
    ) -> None:
        self.readiness_error = readiness_error
        self._page = page
        self._explain_placement = explain_placement
        page.register_reader(PageMetric.WAITING, waiting)
        page.register_reader(PageMetric.RUNNING, running)
        page.register_reader(PageMetric.CONNECTIONS, lambda: callers.connections)
        page.register_reader(
            PageMetric.CONNECTIONS_TAKEN, lambda: callers.accepted_connections
        )
        page.register_reader(PageMetric.ABANDONED, lambda: callers.abandoned)
        page.register_reader(
            PageMetric.CONNECTIONS_WAITING, lambda: callers.accept_queue_length
        )
        page.register_reader(PageMetric.LOOP_LATE, loop_delay_s)
        page.register_reader(PageMetric.PEERS_LIVE, peers)
        page.register_reader(PageMetric.CONFIG_VERSION, version)
        page.register_reader(PageMetric.STORE_ERA, era)
        page.register_reader(PageMetric.QUARANTINED, quarantined)
        page.register_reader(PageMetric.COLD_ENDPOINTS, cold)
        page.register_reader(PageMetric.EVACUATED_ZONES, evacuated)
        page.register_reader(PageMetric.STALE_RETRIES, stale_retries)
        page.register_reader(PageMetric.VERIFICATIONS, verifications)
        page.register_reader(PageMetric.SLOW_ENDPOINTS, slow)
        page.register_reader(PageMetric.STORE_UNHEARD, config_age_s)
        page.register_reader(PageMetric.STORE_CALLS, lambda: {"sent": store_calls()})
        page.register_reader(
            PageMetric.CONTROL_BYTES,
            lambda: dict(zip(("in", "out"), control_bytes(), strict=True)),
        )
        page.register_reader(PageMetric.CONTROL_TOO_LONG, control_too_long)
        page.register_reader(PageMetric.LOG_LINES_DROPPED, lambda: dict(dropped()))

    def on_call(self, call: PageCall | PlacementCall) -> None:
        """Respond with the metrics page, or with an explanation."""
        if isinstance(call, PlacementCall):
            self._explain_placement(call)
            return
        headers = (("Content-Type", CONTENT_TYPE),)
        call.reply.raw(200, headers, self._page.render())

    def on_caller_disconnect(self, call: PageCall | PlacementCall) -> None:
        """Do nothing: pages are served synchronously, so no state is kept."""
