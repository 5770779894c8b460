"""Decides whether account keys are trusted, by how fresh the configuration is."""

from collections.abc import Iterable

from greengageflow.core.store_duty import StoreReport, peer_config_state
from greengageflow.core.trust import KeyTrust
from greengageflow.daemon.store_view import StoreView
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.net.decision_log import DecisionLog


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
        self._untrusted_at = now
        self._trusted = False

    def confirm(self, now: float, reports: Iterable[StoreReport]) -> None:
        """Update the trust in keys.

        Args:
            now: Current time, by the clock that includes suspension.
            reports: Store reports of the peers.
        """
        self._trust.confirm(self._store.config_confirmed_at)
        peer_state = peer_config_state(now, self._store.version, reports)
        self._trust.confirm(now - peer_state.age_s)
        trusted = self._trust.is_trusted(now)
        if trusted != self._trusted:
            self._trusted = trusted
            self._log_change(now)

    def _log_change(self, now: float) -> None:
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
