"""What the balancer and who reads metrics get from a gateway."""

from collections.abc import Callable, Mapping

from greengageflow.errors import RouterError
from greengageflow.net.callers import CallerServer
from greengageflow.net.forward_calls import PageCall
from greengageflow.net.metrics_page import CONTENT_TYPE, MetricsPage, PageMetric


class GatewayPages:
    """Answers with readiness and with the metrics page; a caller server's handler.

    Args:
        page: The metrics.
        unready: Returns why the balancer should send nothing here, or None.
        waiting: Returns the requests that wait.
        running: Returns the requests that were sent.
        callers: Tells of callers' connections.
        late: Returns the seconds by which the event loop was late.
        peers: Returns the other routers that are heard.
        version: Returns the version of the configuration.
        unheard: Returns the seconds since it was known to be the newest.
        control_bytes: Returns bytes of reports that came in and went out.
        control_too_long: Returns messages that were left out because of their length.
        store_calls: Returns the calls of the store.
        dropped: Returns the log lines dropped by cause.
        era: Returns the store's era, 0 until it came back older.
        quarantined: Returns the requests that are held back for crashes.
        stale_retries: Returns the requests sent again on a new connection.
    """

    def __init__(
        self,
        page: MetricsPage,
        *,
        unready: Callable[[], RouterError | None],
        waiting: Callable[[], int],
        running: Callable[[], int],
        callers: CallerServer,
        late: Callable[[], float],
        peers: Callable[[], int],
        version: Callable[[], int],
        unheard: Callable[[], float],
        control_bytes: Callable[[], tuple[int, int]],
        control_too_long: Callable[[], int],
        store_calls: Callable[[], int],
        dropped: Callable[[], Mapping[str, int]],
        era: Callable[[], int],
        quarantined: Callable[[], int],
        stale_retries: Callable[[], int],
    ) -> None:
        self.unready = unready
        self._page = page
        page.register_reader(PageMetric.WAITING, waiting)
        page.register_reader(PageMetric.RUNNING, running)
        page.register_reader(PageMetric.CONNECTIONS, lambda: callers.connections)
        page.register_reader(PageMetric.CONNECTIONS_TAKEN, lambda: callers.taken)
        page.register_reader(PageMetric.ABANDONED, lambda: callers.abandoned)
        page.register_reader(PageMetric.CONNECTIONS_WAITING, lambda: callers.unaccepted)
        page.register_reader(PageMetric.LOOP_LATE, late)
        page.register_reader(PageMetric.PEERS_LIVE, peers)
        page.register_reader(PageMetric.CONFIG_VERSION, version)
        page.register_reader(PageMetric.STORE_ERA, era)
        page.register_reader(PageMetric.QUARANTINED, quarantined)
        page.register_reader(PageMetric.STALE_RETRIES, stale_retries)
        page.register_reader(PageMetric.STORE_UNHEARD, unheard)
        page.register_reader(PageMetric.STORE_CALLS, lambda: {"sent": store_calls()})
        page.register_reader(
            PageMetric.CONTROL_BYTES,
            lambda: dict(zip(("in", "out"), control_bytes(), strict=True)),
        )
        page.register_reader(PageMetric.CONTROL_TOO_LONG, control_too_long)
        page.register_reader(PageMetric.LOG_LINES_DROPPED, lambda: dict(dropped()))

    def on_call(self, call: PageCall) -> None:
        """Answer with the metrics page."""
        headers = (("Content-Type", CONTENT_TYPE),)
        call.reply.raw(200, headers, self._page.render())

    def on_gone(self, call: PageCall) -> None:
        """Forget nothing: pages are answered at once."""
