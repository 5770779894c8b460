"""Request rate limits of endpoints in warm-up.

An endpoint that has just started, or that lost its caches, is cold for some seconds and
crashes if it gets too many requests. The limit holds for all hosts together, so each
host uses a share of it that does not depend on messages from the others.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from math import inf

from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.fleet_size import FleetSize
from greengageflow.core.rendezvous import rank
from greengageflow.core.routes import Service

WINDOW_S = 1.0
"""Length of the sliding window in which requests are counted, in seconds."""
MAX_ROUND_GAP_S = 1.0
"""Time without a membership round after which a host has been frozen, in seconds."""
USED_FRACTION = 0.5
"""Fraction of the limit that the hosts use.

A host that was frozen or partitioned may still consider itself the placer of an
endpoint while another one has replaced it. Both use their share for a moment.
"""


@dataclass(frozen=True, slots=True)
class WarmupBounds:
    """The operators' limits for requests to a cold endpoint.

    Args:
        overage: Multiple of the service's warm-up rate that is allowed.
        slack: Requests allowed beyond it in each second.
    """

    overage: float = 1.0
    slack: float = 0.0

    def limit(self, service: Service) -> float:
        """Return the requests that a cold endpoint may get in any second."""
        return service.warmup_per_s * self.overage + self.slack


def split_among_hosts(
    total: int, endpoint: str, host: str, hosts: Iterable[str]
) -> int:
    """Return a host's part of ``total`` requests; the parts of all hosts add up to it.

    Different endpoints favour different hosts.
    """
    ranked = sorted(hosts, key=lambda name: rank(f"{endpoint} {name}"), reverse=True)
    if host not in ranked:
        return 0
    share, rest = divmod(total, len(ranked))
    return share + (ranked.index(host) < rest)


class FleetShare:
    """The part of a fleet-wide limit that the hosts in contact with this one may use.

    The hosts of each side of a partition use the fraction that they are of all hosts,
    or of all availability zones if this process has never seen the others.

    Args:
        host: This host.
        zones: All availability zones; empty if they are not known.
        min_hosts: Number of hosts assumed at start-up.
    """

    def __init__(
        self, host: str, zones: Iterable[str] = (), *, min_hosts: int = 1
    ) -> None:
        self.live: tuple[str, ...] = (host,)
        self._zones = frozenset(zones)
        self._seen_zones: set[str] = set()
        self._size = FleetSize(min_hosts)

    def observe(self, now: float, zone_by_host: Mapping[str, str]) -> None:
        """Record the hosts that are live now, including this one."""
        self.live = tuple(sorted(zone_by_host))
        self._seen_zones.update(self._zones.intersection(zone_by_host.values()))
        self._size.observe(now, len(self.live))

    @property
    def fraction(self) -> float:
        """Fraction of a fleet-wide limit for all live hosts together."""
        seen = len(self._seen_zones) / len(self._zones) if self._zones else 1.0
        return seen * min(1.0, len(self.live) / self._size.hosts)


class WarmupLimiter:
    """Tracks which endpoints are cold, and limits the requests that they get.

    Args:
        host: This host.
        bounds: The operators' limits.
        share: This host's view of the fleet.
        service: Returns a service by name.
    """

    def __init__(
        self,
        host: str,
        bounds: WarmupBounds,
        share: FleetShare,
        service: Callable[[str], Service],
    ) -> None:
        self.owned_engines: frozenset[str] | None = None
        self._host = host
        self._bounds = bounds
        self._share = share
        self._service = service
        self._cold_until: dict[str, float] = {}
        self._suspects: set[str] = set()
        self._sent: dict[str, deque[float]] = {}
        self._last_round_at = -inf
        self._held_until = inf

    def on_round(self, now: float) -> None:
        """Record a membership round, of which there are several a second.

        After the start or a freeze, requests are held back for one window: the previous
        process on this host, or the host that replaced this one, may have used its
        share just before.
        """
        if now - self._last_round_at > MAX_ROUND_GAP_S:
            self._held_until = now + WINDOW_S
        self._last_round_at = now
        for endpoint, sent in list(self._sent.items()):
            if sent[-1] <= now - WINDOW_S:
                del self._sent[endpoint]

    def on_cold(self, now: float, endpoint: str, seconds: float) -> None:
        """Record that an endpoint stays cold for the given time."""
        until = now + seconds
        self._cold_until[endpoint] = max(until, self._cold_until.get(endpoint, 0.0))

    def on_suspended(self, endpoint: str) -> None:
        """Record that an endpoint no longer answers.

        It may have crashed, and be cold when it answers again. The platform's list
        reports that seconds later.
        """
        self._suspects.add(endpoint)

    def on_answer(self, now: float, endpoint: ListedEndpoint) -> None:
        """Record an answer of an endpoint, which ends its suspension."""
        if endpoint.id in self._suspects:
            self._suspects.discard(endpoint.id)
            cold_s = self._service(endpoint.service).cold_start_s
            self.on_cold(now, endpoint.id, cold_s)

    def forget(self, endpoint: str) -> None:
        """Remove an endpoint that is no longer listed, or has ended.

        The requests of the last second still count: some may have reached its next
        start, which answers before it is listed.
        """
        self._cold_until.pop(endpoint, None)
        self._suspects.discard(endpoint)

    def is_limited(self, now: float, endpoint: ListedEndpoint) -> bool:
        """Whether an endpoint is cold, or may be, and its service limits requests."""
        if not self._cold_until and not self._suspects:
            return False
        if endpoint.id not in self._suspects:
            until = self._cold_until.get(endpoint.id)
            if until is None:
                return False
            if now >= until:
                del self._cold_until[endpoint.id]
                return False
        return self._service(endpoint.service).warmup_per_s > 0.0

    def cold_endpoints(self, now: float) -> int:
        """Return the number of endpoints that are cold."""
        return sum(until > now for until in self._cold_until.values())

    def may_send(self, now: float, endpoint: ListedEndpoint) -> bool:
        """Whether one more request may be sent to an endpoint now."""
        if not self.is_limited(now, endpoint):
            return True
        if now < self._held_until or now - self._last_round_at > MAX_ROUND_GAP_S:
            return False
        sent = self._sent.get(endpoint.id, ())
        recent = sum(at > now - WINDOW_S for at in sent)
        return recent < self.allowance(endpoint)

    def allowance(self, endpoint: ListedEndpoint) -> int:
        """Return the requests that this host may send a cold endpoint in any second."""
        service = self._service(endpoint.service)
        limit = USED_FRACTION * self._bounds.limit(service) * self._share.fraction
        if service.is_engine:
            owned = self.owned_engines is not None and endpoint.id in self.owned_engines
            return int(limit) if owned else 0
        return split_among_hosts(int(limit), endpoint.id, self._host, self._share.live)

    def on_sent(self, now: float, endpoint: ListedEndpoint) -> None:
        """Count a request that is sent to an endpoint.

        Requests to warm endpoints count as well, since they may turn cold any moment.
        """
        if not self._service(endpoint.service).warmup_per_s:
            return
        sent = self._sent.setdefault(endpoint.id, deque())
        sent.append(now)
        while sent[0] <= now - WINDOW_S:
            sent.popleft()
