"""Admission control of an overloaded host: which requests are rejected unread."""

from dataclasses import dataclass
from math import exp

from greengageflow.core.routes import Routing

ROUND_TARGET_FRACTION = 0.1
"""Overload round, as a fraction of the target, where targets are short.

An answer begins after about five rounds: reading the request, its placement, sending
it, and the answer's head and first event. They may take half of the target.
"""
READ_TARGET_FRACTION = 1 / 30
RETRY_TARGET_FRACTION = 1 / 15
"""Retry delay, as a fraction of the target, where targets are short."""

MIN_READ_REQUESTS = 1.0
"""Requests of each account that are read even under overload."""

DECAY_S = 1.0
"""Time constant with which the counts of read requests decay, in seconds."""

MIN_COUNT = 0.05
"""Count from which an account is deleted."""

UPDATE_INTERVAL_S = 0.05
"""Least seconds between two updates of the counts and of the fair share."""


@dataclass(frozen=True, slots=True)
class ShedLimits:
    """When a host sheds requests, and when the shed callers may retry.

    Args:
        read_all_s: Time since the start of an event loop round in which all requests
            are read, in seconds.
        overload_s: Average round from which the host counts as overloaded, in seconds.
        retry_after_s: Retry delay of shed callers, in seconds; the overload may be
            over by then.
    """

    read_all_s: float = 0.03
    overload_s: float = 0.08
    retry_after_s: float = 0.5


def shed_limits(routing: Routing) -> ShedLimits:
    """Return the limits for a configuration.

    Callers of a stream with a short target are late if they come back after the
    default retry delay, and also if a host reads them whose rounds are just below the
    default limit. Where there is such a stream, the host sheds earlier and sends
    callers on at once: the balancer directs a retry to another host.
    """
    if not routing.has_short_targets:
        return ShedLimits()
    target_s = routing.shortest_stream_target_s
    return ShedLimits(
        read_all_s=READ_TARGET_FRACTION * target_s,
        overload_s=ROUND_TARGET_FRACTION * target_s,
        retry_after_s=RETRY_TARGET_FRACTION * target_s,
    )


class ArrivalGate:
    """Rejects the requests of accounts beyond their fair share under overload.

    Reading and scheduling a request costs several times as much as rejecting it. A
    host that receives more than it can read falls behind for all accounts, until
    callers leave before their requests are read. An overloaded host therefore reads
    no request of an account that has had its even share of those read lately.

    Attributes:
        limits: When requests are rejected.
    """

    def __init__(self) -> None:
        self.limits = ShedLimits()
        self._read_counts: dict[str, float] = {}
        self._decayed_at = 0.0
        self._share = MIN_READ_REQUESTS
        self._share_at = float("-inf")

    def admits(
        self, now: float, account: str, *, present_s: float, average_s: float
    ) -> bool:
        """Return whether a request is read; if so, count it for its account.

        Args:
            now: Current time.
            account: Client account, as far as the first bytes identify it.
            present_s: Seconds since the current round of the event loop began.
            average_s: Average round of the event loop, in seconds.
        """
        self._decay(now)
        read = self._read_counts.get(account, 0.0)
        if (
            present_s > self.limits.read_all_s
            and average_s > self.limits.overload_s
            and read >= self._fair_share(now)
        ):
            return False
        self._read_counts[account] = read + 1.0
        return True

    def _decay(self, now: float) -> None:
        since_s = now - self._decayed_at
        if since_s < UPDATE_INTERVAL_S:
            return
        self._decayed_at = now
        factor = exp(-since_s / DECAY_S)
        decayed = (
            (account, read * factor) for account, read in self._read_counts.items()
        )
        self._read_counts = {
            account: read for account, read in decayed if read > MIN_COUNT
        }

    def _fair_share(self, now: float) -> float:
        if now - self._share_at >= UPDATE_INTERVAL_S:
            self._share_at = now
            share = sum(self._read_counts.values()) / max(1, len(self._read_counts))
            self._share = max(MIN_READ_REQUESTS, share)
        return self._share
