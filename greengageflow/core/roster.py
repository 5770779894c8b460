"""The router hosts among which the slots of endpoints are divided, live or not.

During a partition each side considers the other dead, and both would use all slots of
every endpoint. A side may therefore use only the fraction of slots that its live hosts
have in the roster, and membership changes alone must not shrink the roster.
"""

from collections import Counter
from collections.abc import Iterable

from greengageflow.core.hosts import HostEntry, HostKind, HostState


class Roster:
    """Router hosts that are live members or in the platform's host list.

    A host is removed when it isn't live and ``lists_to_remove`` consecutive host lists
    omit it or have it as leaving. While the list can't be read, no host is removed.

    Args:
        own_host: This router's host.
        lists_to_remove: Number of consecutive lists needed to remove a host.
    """

    def __init__(self, own_host: str, *, lists_to_remove: int = 3) -> None:
        self._own_host = own_host
        self._lists_to_remove = lists_to_remove
        self._hosts = frozenset({own_host})
        self._live = self._hosts
        self._misses: Counter[str] = Counter()

    @property
    def hosts(self) -> frozenset[str]:
        """Hosts in the roster, including this router's own."""
        return self._hosts

    def on_members(self, live: Iterable[str]) -> None:
        """Update the live members; new ones join the roster."""
        self._live = frozenset(live) | {self._own_host}
        if not self._live <= self._hosts:
            self._hosts |= self._live

    def on_hosts(self, entries: Iterable[HostEntry]) -> frozenset[str]:
        """Apply one host list that was read, and return the hosts it removed."""
        routers = [entry for entry in entries if entry.kind is HostKind.ROUTER]
        if not routers:
            # A platform that lost its data answers with an empty list. Applying it
            # would remove every host that a partition currently hides. A list without
            # any router can't be right while this router runs.
            return frozenset()
        present = {e.host for e in routers if e.state is not HostState.LEAVING}
        self._hosts |= present
        for host in self._hosts:
            self._misses[host] = 0 if host in present else self._misses[host] + 1
        removed = frozenset(filter(self._is_removable, self._hosts))
        self._hosts -= removed
        for host in removed:
            del self._misses[host]
        return removed

    def _is_removable(self, host: str) -> bool:
        return host not in self._live and self._misses[host] >= self._lists_to_remove
