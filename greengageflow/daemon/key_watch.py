"""Decides whether account keys are trusted, by how fresh the configuration is."""

from collections.abc import Iterable

from greengageflow.core.store_duty import StoreReport, peer_config_state
from greengageflow.core.trust import KeyTrust
from greengageflow.daemon.store_view import StoreView
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.net.decision_log import DecisionLog

ASLEEP_S = 0.5
PEER_MARGIN_S = 0.3


class KeyWatch:
    """Confirms keys, and logs when trust in them begins and ends.

    Args:
        trust: Decides whether keys are trusted.
        store: This host's view of the store.
        log: Gets an event for each change.
        now: Current time, by a clock that includes suspension.
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
        """Detect that the process was suspended; call this regularly."""
        # After a suspension the socket buffer holds reports from before it. They would
        # pass for fresh, and keys that were revoked meanwhile would be trusted.
        if now - self._awake_at > ASLEEP_S:
            self._doubt_until = now + ASLEEP_S
        self._awake_at = now

    def confirm(self, now: float, told: float, words: Iterable[StoreReport]) -> None:
        """Update the trust in keys.

        Args:
            now: Current time, by the clock that includes suspension.
            told: Current time, by the clock of ``words``.
            words: Store reports of the peers.
        """
        self._trust.confirm(self._store.config_confirmed_at)
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
