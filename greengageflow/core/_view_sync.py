"""Anti-entropy of ``membership``: pacing of the exchange of whole views."""

# Token bucket for the rows of views that are sent.
ROWS_PER_S = 200.0
ROWS_BURST = 200.0


class ViewSync:
    """Paces the exchange of whole views and tracks whether the own view is stale.

    Gossip alone resolves nearly all differences within seconds. A whole view is
    requested when two views keep differing, or at once by a router that hasn't synced
    with any other yet.

    Args:
        settle_s: Seconds for which a difference must last before a view is requested,
            and shortest time between two requests.
        stale_s: Seconds after a pause within which this router's own timers detect
            every failure.

    Attributes:
        synced: Whether any other router has had the same view.
        confirmed: Whether the view has been confirmed since the last pause of this
            process.
    """

    def __init__(self, settle_s: float, stale_s: float) -> None:
        self._settle_s = settle_s
        self._stale_s = stale_s
        self._stale_until = float("inf")
        self._paused_at_seq = 0
        self._differs_since: float | None = None
        self._requested_at = float("-inf")
        self._tokens = ROWS_BURST
        self._refilled_at: float | None = None
        self.synced = False
        self.confirmed = True

    def on_same_view(self) -> None:
        """Record that another router has the same view."""
        self.synced = True
        self._differs_since = None

    def on_pause(self, now: float, seq: int) -> None:
        """Record a pause of this process, which makes its view stale.

        Args:
            now: Monotonic time in seconds.
            seq: Unused sequence number; only acks of later probes confirm the view.
        """
        self._differs_since = None
        self._paused_at_seq = seq
        if self.confirmed:
            # A further pause doesn't extend this. Otherwise a process so slow that
            # every turn of its event loop counts as a pause would stay unconfirmed
            # forever.
            self._stale_until = now + self._stale_s
        self.confirmed = False

    def on_ack(self, seq: int) -> None:
        """Handle an ack whose sender has the same view."""
        if seq > self._paused_at_seq:
            self.confirmed = True

    def on_tick(self, now: float, *, alone: bool) -> None:
        """Confirm the view if there is no peer to do so, or after ``stale_s``."""
        if alone or now >= self._stale_until:
            self.confirmed = True

    def should_request(self, now: float) -> bool:
        """Record that a peer's view differs; return whether to request it."""
        if self._differs_since is None:
            self._differs_since = now
        if now - self._requested_at < self._settle_s:
            return False
        if self.synced and now - self._differs_since < self._settle_s:
            return False
        self._requested_at = now
        return True

    def allow_send(self, now: float, rows: int) -> bool:
        """Return whether a view of ``rows`` rows may be sent now.

        The token bucket bounds this router's traffic while many routers start at the
        same time. Refused routers request the view again, from any router.
        """
        refilled_at = now if self._refilled_at is None else self._refilled_at
        refill = (now - refilled_at) * ROWS_PER_S
        self._tokens = min(ROWS_BURST, self._tokens + refill)
        self._refilled_at = now
        if self._tokens <= 0:
            return False
        self._tokens -= rows
        return True
