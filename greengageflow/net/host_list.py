"""Polls the platform's list of live and leaving hosts, which may be outdated."""

import json
from collections.abc import Callable, Iterator
from random import Random
from typing import Any, Protocol

from greengageflow.core.hosts import HostEntry, HostKind, HostState
from greengageflow.net.http_pool import Failure, HttpRequest, Response
from greengageflow.net.timers import Timers

HOSTS_PATH = "/hosts"
REQUEST_TIMEOUT_S = 2.0
FLEET_READS_PER_S = 5.0
JITTER_FRACTION = 0.1


class HostListError(ValueError):
    """A response of the platform is not a host list."""


class Fetcher(Protocol):
    """Subset of ``HttpPool`` that is used here."""

    def fetch(
        self, request: HttpRequest, on_done: Callable[[Response | Failure], None]
    ) -> Any:
        """Send a request and call ``on_done`` once with the complete response."""


def _parse_entries(rows: list[dict[str, Any]]) -> Iterator[HostEntry]:
    kinds = {kind.value for kind in HostKind}
    for row in rows:
        if row["kind"] not in kinds:
            continue
        leaving = row["state"] == HostState.LEAVING
        yield HostEntry(
            host=str(row["host"]),
            kind=HostKind(row["kind"]),
            state=HostState.LEAVING if leaving else HostState.LIVE,
            ip=str(row["ip"]),
            port=int(row["port"]),
            zone=str(row["zone"]),
        )


def parse_hosts(body: bytes) -> tuple[HostEntry, ...]:
    """Return the hosts in a response body; hosts of unknown kinds are skipped.

    Raises:
        HostListError: The body is not a host list. A partial list is never
            returned, since a missing host is taken as one that has left.
    """
    try:
        return tuple(_parse_entries(json.loads(body)["hosts"]))
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise HostListError(f"not a host list: {exc!r}") from exc


class HostList:
    """Polls the host list and passes on each result.

    The interval grows with the number of listed routers, so that the fleet as a whole
    sends at most ``FLEET_READS_PER_S`` requests per second. This bounds the load on the
    platform and the traffic of each router in a large fleet.

    Args:
        pool: Outbound connections.
        timers: Timer service.
        ip: IP number of the platform's list.
        port: TCP port of the platform's list.
        on_hosts: Called with each list that was read; not called on failures.
        interval_s: Minimum seconds between two reads.
        seed: Seed of the jitter that keeps routers from polling in step.
    """

    def __init__(
        self,
        pool: Fetcher,
        timers: Timers,
        ip: str,
        port: int,
        on_hosts: Callable[[tuple[HostEntry, ...]], None],
        *,
        interval_s: float = 2.0,
        seed: int | None = None,
    ) -> None:
        self._pool = pool
        self._timers = timers
        self._request = HttpRequest(
            "GET",
            ip,
            port,
            HOSTS_PATH,
            connect_timeout_s=REQUEST_TIMEOUT_S,
            idle_timeout_s=REQUEST_TIMEOUT_S,
        )
        self._on_hosts = on_hosts
        self._interval_s = interval_s
        self._random = Random(seed)
        self._routers = 0
        self.failures = 0

    @property
    def interval_s(self) -> float:
        """Seconds between two reads at the current size of the fleet."""
        return max(self._interval_s, self._routers / FLEET_READS_PER_S)

    def start(self) -> None:
        """Read the list now and at intervals from then on."""
        self._pool.fetch(self._request, self._on_done)

    def _on_done(self, result: Response | Failure) -> None:
        jitter = self._random.uniform(1 - JITTER_FRACTION, 1 + JITTER_FRACTION)
        self._timers.after(self.interval_s * jitter, self.start)
        try:
            entries = self._parse(result)
        except HostListError:
            self.failures += 1
            return
        self.failures = 0
        self._routers = sum(entry.kind is HostKind.ROUTER for entry in entries)
        self._on_hosts(entries)

    @staticmethod
    def _parse(result: Response | Failure) -> tuple[HostEntry, ...]:
        if isinstance(result, Failure):
            raise HostListError(result.message)
        if result.status != 200:
            raise HostListError(f"unexpected status {result.status}")
        return parse_hosts(result.body)
