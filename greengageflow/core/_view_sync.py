"""When ``membership`` asks another router for its whole view, and gives its own."""

ROWS_PER_S = 200.0
ROWS_BURST = 200.0


class ViewSync:
    """Paces the exchange of whole views, and tells when the own one may be stale.

    News alone mends nearly every difference within seconds; a view is asked for when
    two routers keep differing, or at once by a router that knows nothing yet.

    Args:
        settle_s: Seconds for which a difference must last, and between two requests.
        stale_s: Seconds after a pause in which the own timers find every death.

    Attributes:
        synced: Another router has had the same view.
        confirmed: The view is not older than the last pause of this process.
    """

    def __init__(self, settle_s: float, stale_s: float) -> None:
        self._settle_s = settle_s
        self._stale_s = stale_s
        self._stale_until = float("inf")
        self._asked_before = 0
        self._differs_since: float | None = None
        self._asked_at = float("-inf")
        self._rows = ROWS_BURST
        self._rows_at: float | None = None
        self.synced = False
        self.confirmed = True

    def on_equal(self) -> None:
        """Note that another router has the same view."""
        self.synced = True
        self._differs_since = None

    def on_pause(self, now: float, seq: int) -> None:
        """Note that this process stood still: what was noticed before is stale.

        Args:
            now: The time.
            seq: Number of a probe that is not sent; answers to later ones count.
        """
        self._differs_since = None
        self._asked_before = seq
        if self.confirmed:
            # Kept by a further pause, or a process so slow that each turn of its
            # loop looks like one would never start anything again.
            self._stale_until = now + self._stale_s
        self.confirmed = False

    def on_answer(self, seq: int) -> None:
        """Note the same view in the answer to a probe."""
        if seq > self._asked_before:
            self.confirmed = True

    def on_tick(self, now: float, *, alone: bool) -> None:
        """Let the doubt end when nobody can end it, or time has done so."""
        if alone or now >= self._stale_until:
            self.confirmed = True

    def asks(self, now: float) -> bool:
        """Note a differing view; return whether to ask for it."""
        if self._differs_since is None:
            self._differs_since = now
        if now - self._asked_at < self._settle_s:
            return False
        if self.synced and now - self._differs_since < self._settle_s:
            return False
        self._asked_at = now
        return True

    def gives(self, now: float, rows: int) -> bool:
        """Return whether a view of that many rows may be sent now.

        The rate keeps a router within its traffic while many start together; they
        ask again, and meanwhile others have views to give.
        """
        since = now if self._rows_at is None else self._rows_at
        earned = (now - since) * ROWS_PER_S
        self._rows = min(ROWS_BURST, self._rows + earned)
        self._rows_at = now
        if self._rows <= 0:
            return False
        self._rows -= rows
        return True
