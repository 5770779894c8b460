"""Keeps account keys trusted by what this host and its peers hear of the store."""

from collections.abc import Iterable

from greengageflow.core.store_duty import StoreReport, peer_config_state
from greengageflow.core.trust import KeyTrust
from greengageflow.daemon.store_view import StoreView
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.net.decision_log import DecisionLog

ASLEEP_S = 0.5
PEER_MARGIN_S = 0.3


class KeyWatch:
    """Confirms keys, and logs when they are trusted and when not.

    Args:
        trust: What is decided by.
        store: What this host heard of the store.
        log: Takes a line for each change.
        now: Present time, by a clock that goes on while the host is suspended.
    """

    def __init__(
        self, trust: KeyTrust, store: StoreView, log: DecisionLog, now: float
    ) -> None:
        self._trust = trust
        self._store = store
        self._log = log
        self._awake_at = self._untrusted_at = now
        self._doubt_until = 0.0
        self._trusted = False

    def awake(self, now: float) -> None:
        """Note that the process runs."""
        # After a pause the socket holds reports of before it, whose ages would be
        # taken for fresh and keys trusted that were taken away meanwhile.
        if now - self._awake_at > ASLEEP_S:
            self._doubt_until = now + ASLEEP_S
        self._awake_at = now

    def confirm(self, now: float, told: float, words: Iterable[StoreReport]) -> None:
        """Take what is known of the store now.

        Args:
            now: Present time, by the clock that counts suspension.
            told: Present time, by the clock of ``words``.
            words: What peers know.
        """
        self._trust.confirm(self._store.confirmed)
        words = list(words)
        if words and now >= self._doubt_until:
            known = peer_config_state(told, self._store.version, words)
            self._trust.confirm(now - known.age_s - PEER_MARGIN_S)
        trusted = self._trust.is_trusted(now)
        if trusted != self._trusted:
            self._trusted = trusted
            self._note(now)

    def _note(self, now: float) -> None:
        version = self._store.version
        if self._trusted:
            after_ms = round(1000 * (now - self._untrusted_at))
            self._log.write(
                DecisionEvent.KEYS_TRUSTED, config=version, after_ms=after_ms
            )
            return
        self._untrusted_at = now
        unheard_ms = round(1000 * min(self._trust.age_s(now), 1e6))
        self._log.write(
            DecisionEvent.KEYS_UNTRUSTED, config=version, unheard_ms=unheard_ms
        )
