"""Which software version a stream began with, and whether that is proven."""

from collections.abc import Callable, Iterable

from greengageflow.core.endpoint_list import EndpointList, ListedEndpoint
from greengageflow.core.unproven_starts import UNKNOWN_START
from greengageflow.core.version_affinity import (
    UNPROVEN_VERSION,
    StreamVersion,
    UnlistedStreams,
    VersionHistory,
)
from greengageflow.daemon.current_list import CurrentList
from greengageflow.daemon.forward_context import ForwardContext
from greengageflow.daemon.held_reply import HeldReply
from greengageflow.daemon.unproven_starts import UnprovenStarts
from greengageflow.daemon.version_affinity import VersionAffinity
from greengageflow.net.timers import Timers

STREAM_TIMEOUTS = 2.0
"""Time after which no stream that began before goes on, in timeouts of its route."""


class StreamVersions:
    """Finds and records the software versions of streams that may be resumed.

    Args:
        timers: Timer service.
        endpoints: Listed endpoints.
        history: Software versions of each service over time.
        affinity: Shares between hosts which version began a stream.
        unproven_starts: Shares between hosts which starts of unknown version did.
        current_list: Waits until the list of endpoints has been read again.
    """

    def __init__(
        self,
        timers: Timers,
        endpoints: EndpointList,
        history: VersionHistory,
        affinity: VersionAffinity,
        unproven_starts: UnprovenStarts,
        current_list: CurrentList,
    ) -> None:
        self._timers = timers
        self._endpoints = endpoints
        self._history = history
        self._affinity = affinity
        self._unproven_starts = unproven_starts
        self._current_list = current_list
        self._unlisted = UnlistedStreams()

    # Streams that callers take up.

    def find(self, ctx: ForwardContext, on_done: Callable[[], None]) -> None:
        """Set the service and version of a stream that a request takes up.

        If no host knows the version, it is the only one that the service had all the
        time, also at unlisted starts. With several versions it stays empty.

        Args:
            ctx: The request.
            on_done: Called once, perhaps before this method returns.
        """

        def on_found(stream: StreamVersion | None) -> None:
            if stream is None:
                self._find_only_version(ctx, on_done)
                return
            services = [backend.service for backend in ctx.route.backends]
            if stream.service in services:
                ctx.service, ctx.version = stream.service, stream.version
            on_done()

        self._affinity.find(ctx.stream_request, on_found)

    def _find_only_version(
        self, ctx: ForwardContext, on_done: Callable[[], None]
    ) -> None:
        def on_shared(shared: bool) -> None:
            if shared and self._only_version(ctx):
                # The host that began the stream may have read a later list.
                self._current_list.wait(on_list)
            else:
                on_done()

        def on_list(current: bool) -> None:
            versions = self._endpoints.versions().get(ctx.service, set())
            only = self._only_version(ctx)
            if current and versions <= {only}:
                ctx.version = only or ""
            on_done()

        if ctx.service in self._endpoints.stating:
            self._unproven_starts.share(ctx.service, on_shared)
        else:
            # Each start has an id of its own, so each stream began at a listed one.
            on_shared(True)

    def _only_version(self, ctx: ForwardContext) -> str | None:
        within_s = STREAM_TIMEOUTS * ctx.route.timeout_s
        starts = self._unproven_starts.starts(ctx.service, within_s)
        return self._history.only_version(
            self._timers.now, ctx.service, within_s, starts
        )

    # Streams that begin here.

    def on_begun(
        self, ctx: ForwardContext, on_not_recorded: Callable[[], None]
    ) -> None:
        """Record the version of a stream at its first event.

        Args:
            ctx: The request.
            on_not_recorded: Called if its start is not proven, and other hosts have
                not recorded that in time. No event reaches the caller then.
        """
        attempt = ctx.attempt
        version = self._endpoints.version_of(attempt.endpoint)
        is_proven = bool(attempt.is_start_proven and version)
        ctx.version = version if is_proven else UNPROVEN_VERSION
        stream = StreamVersion(ctx.req.id, ctx.service, ctx.version)
        self._affinity.on_begun(stream)
        if is_proven:
            return
        start = attempt.verified_start
        if start:
            self._unlisted.add(self._timers.now, start, stream)
        self._hold_until_recorded(ctx, start or UNKNOWN_START, on_not_recorded)

    def _hold_until_recorded(
        self, ctx: ForwardContext, start: str, on_not_recorded: Callable[[], None]
    ) -> None:
        """Hold a stream's first events until other hosts have its unproven start.

        This host may end at any time, and another one would take the version for that
        of the list.
        """
        reply = ctx.reply
        held = ctx.reply = HeldReply(reply)

        def on_recorded(recorded: bool) -> None:
            ctx.reply = reply
            if recorded or (held.is_finished and not held.until_close):
                held.release()
            else:
                on_not_recorded()

        self._unproven_starts.record(ctx.service, start, on_recorded)

    # Changes of the list.

    def on_start_listed(
        self, endpoint: ListedEndpoint, active: Iterable[ForwardContext]
    ) -> None:
        """Let streams go on that began at a start whose version is listed now."""
        found = self._unlisted.on_listed(endpoint.start, endpoint.version)
        for stream in found:
            self._affinity.on_begun(stream)
        versions = {stream.request: stream.version for stream in found}
        for ctx in active:
            if ctx.version == UNPROVEN_VERSION:
                ctx.version = versions.get(ctx.req.id, UNPROVEN_VERSION)

    def on_versions_unproven(
        self, service: str, active: Iterable[ForwardContext]
    ) -> None:
        """Let no stream of a service go on: ids do not identify starts."""
        for ctx in active:
            if ctx.version and ctx.service == service:
                ctx.version = UNPROVEN_VERSION
        self._affinity.on_versions_unproven(service)
