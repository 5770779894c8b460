"""Version affinity: a stream goes on only at the software version that began it.

Endpoints of several software versions may serve side by side during a rolling upgrade,
and their output must not be mixed in one stream. A caller may resume its stream at any
host, so each host reports the versions of the streams that it began to a few other
hosts, its keepers, which any host can determine from the id of the request.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator, Mapping, Set
from dataclasses import dataclass, replace
from itertools import groupby
from operator import attrgetter

from greengageflow.core.rendezvous import uncached_rank
from greengageflow.core.router_table import Hello

UNPROVEN_VERSION = "\0"
"""Stands for the version of a stream whose endpoint did not prove its start.

No endpoint has this version, so such a stream goes on nowhere.
"""
RETENTION_S = 120.0
MAX_STREAMS = 32_768
KEEPERS = 3
HISTORY_MAX_GAP_S = 5.0
"""Longest time between two observations of an uninterrupted history, in seconds."""


@dataclass(frozen=True, slots=True)
class StreamVersion:
    """The software version that began a stream.

    Args:
        request: Caller's id of the request that began it.
        service: Service of the endpoint.
        version: Software version of the endpoint, or ``UNPROVEN_VERSION``.
    """

    request: str
    service: str
    version: str


@dataclass(frozen=True, slots=True)
class StreamVersionReport:
    """Message with the versions of streams."""

    streams: tuple[StreamVersion, ...]


@dataclass(frozen=True, slots=True)
class StreamVersionQuery:
    """Message that asks for the version of a stream.

    Args:
        ip: IP address for the answer.
        port: UDP port for the answer.
        request: Id of the request that began the stream.
    """

    ip: str
    port: int
    request: str


class StreamVersionTable:
    """Versions of the streams that this host began or keeps for others."""

    def __init__(self) -> None:
        self._streams: OrderedDict[str, tuple[float, StreamVersion]] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._streams)

    def add(self, now: float, stream: StreamVersion) -> None:
        """Add a stream; the first report on a stream holds, unless it has no proof."""
        while self._streams and self._is_expired(now, next(iter(self._streams))):
            self._streams.popitem(last=False)
        if stream.request in self._streams:
            began_at, before = self._streams[stream.request]
            if before.version == UNPROVEN_VERSION:
                self._streams[stream.request] = began_at, stream
            return
        self._streams[stream.request] = now, stream
        if len(self._streams) > MAX_STREAMS:
            self._streams.popitem(last=False)

    def mark_unproven(self, service: str) -> None:
        """Record that the version of no stream of a service is proven any more."""
        for request, (at, stream) in self._streams.items():
            if stream.service == service:
                unproven = replace(stream, version=UNPROVEN_VERSION)
                self._streams[request] = at, unproven

    def get(self, now: float, request: str) -> StreamVersion | None:
        """Return the version of the stream that a request began, or None."""
        if request not in self._streams or self._is_expired(now, request):
            return None
        return self._streams[request][1]

    def streams(self, now: float) -> Iterator[StreamVersion]:
        """Yield all streams, oldest first."""
        for request, (_, stream) in self._streams.items():
            if not self._is_expired(now, request):
                yield stream

    def _is_expired(self, now: float, request: str) -> bool:
        return now - self._streams[request][0] >= RETENTION_S


class UnlistedStreams:
    """Streams that began at proven starts whose versions are not listed yet."""

    def __init__(self) -> None:
        self._streams: OrderedDict[str, tuple[float, str, StreamVersion]] = (
            OrderedDict()
        )

    def add(self, now: float, start: str, stream: StreamVersion) -> None:
        """Add a stream that began at a start of an endpoint."""
        self._streams[stream.request] = now, start, stream
        while self._is_oldest_expired(now) or len(self._streams) > MAX_STREAMS:
            self._streams.popitem(last=False)

    def _is_oldest_expired(self, now: float) -> bool:
        began_at, _, _ = next(iter(self._streams.values()))
        return now - began_at >= RETENTION_S

    def on_listed(self, start: str, version: str) -> list[StreamVersion]:
        """Remove the streams of a start that is listed now; return their versions."""
        found = [name for name, row in self._streams.items() if row[1] == start]
        streams = [self._streams.pop(name)[2] for name in found]
        return [replace(stream, version=version) for stream in streams]


def keepers_of(request: str, hosts: Iterable[Hello], count: int) -> list[Hello]:
    """Return the hosts that keep the version of a request's stream.

    The first of each availability zone come first, so that the loss of a zone does not
    take all of them.
    """
    ranked = sorted(
        hosts, key=lambda host: uncached_rank(f"{request} {host.host}"), reverse=True
    )
    by_zone = sorted(ranked, key=attrgetter("zone"))
    positions = {
        host.host: position
        for _, group in groupby(by_zone, key=attrgetter("zone"))
        for position, host in enumerate(group)
    }
    return sorted(ranked, key=lambda host: positions[host.host])[:count]


class VersionHistory:
    """Software versions that were listed for each service over time.

    If a service had a single version for as long as a stream can last, that version
    began each stream whose own version is unknown, unless a stream began at a start
    that was not verified to be the listed one; see ``core.unproven_starts``.
    """

    def __init__(self) -> None:
        self._since: dict[str, float] = {}
        self._observed_at: dict[str, float] = {}
        self._last_seen: dict[str, dict[str, float]] = {}
        self._starts: dict[str, tuple[str, float]] = {}

    def observe(
        self,
        now: float,
        versions: Mapping[str, Set[str]],
        starts: Mapping[str, str] | None = None,
    ) -> None:
        """Record what a recent list has now.

        Args:
            now: The time.
            versions: Software versions by service.
            starts: Software version of each start.
        """
        for start, version in (starts or {}).items():
            self._starts[start] = version, now
        for start, (_, last_seen_at) in list(self._starts.items()):
            if now - last_seen_at > RETENTION_S:
                del self._starts[start]
        for service, listed in versions.items():
            observed_at = self._observed_at.get(service, float("-inf"))
            if now - observed_at > HISTORY_MAX_GAP_S:
                self._since[service] = now
            self._observed_at[service] = now
            seen = self._last_seen.setdefault(service, {})
            seen.update(dict.fromkeys(listed, now))
            for version, last_seen_at in list(seen.items()):
                if now - last_seen_at > RETENTION_S:
                    del seen[version]

    def only_version(
        self,
        now: float,
        service: str,
        within_s: float,
        unproven_starts: Iterable[str] = (),
    ) -> str | None:
        """Return the only version within a time, or None if there are several.

        Returns None also if this host has not observed the list for all that time, or
        if the version of an unproven start is not known.

        Args:
            now: The time.
            service: Name of the service.
            within_s: Time for which there must have been no other version, in seconds.
            unproven_starts: Starts at which streams began before they were listed.
        """
        if now - self._observed_at.get(service, float("-inf")) > HISTORY_MAX_GAP_S:
            return None
        if within_s > RETENTION_S or now - self._since[service] < within_s:
            return None
        seen = self._last_seen[service].items()
        recent = {version for version, at in seen if now - at <= within_s}
        recent.update(self._starts.get(s, ("", now))[0] for s in unproven_starts)
        only = recent.pop() if len(recent) == 1 else None
        return only or None
