"""Incrementally maintained sum of several routers' loads."""

from collections.abc import Iterable, Mapping

from greengageflow.core.endpoint_load import LoadShare
from greengageflow.core.peer_report import ReceivedReport

NO_LOAD = LoadShare(0, 0, 0)


class ZoneLoads:
    """Sums loads by applying only the changes since the last call.

    Loads must be integers, as received ones are: with fractions, rounding errors of
    repeated additions and subtractions would accumulate.
    """

    def __init__(self) -> None:
        self._known: dict[str, Mapping[str, LoadShare]] = {}
        self._sums: dict[str, LoadShare] = {}

    def add_up(self, heard: Iterable[ReceivedReport]) -> dict[str, LoadShare]:
        """Return the sum of the routers' loads by endpoint."""
        gone = set(self._known)
        for one in heard:
            host, loads = one.report.host, one.report.loads
            gone.discard(host)
            if self._known.get(host) is not loads:
                self._change(host, loads)
        for host in gone:
            self._change(host, {})
            del self._known[host]
        return dict(self._sums)

    def _change(self, host: str, loads: Mapping[str, LoadShare]) -> None:
        before = self._known.get(host, {})
        self._known[host] = loads
        sums = self._sums
        # Set operations skip the unchanged entries, which are most of a full report.
        changed = [(name, load) for name, load in loads.items() - before.items()]
        changed += [(name, NO_LOAD) for name in before.keys() - loads.keys()]
        for name, (running, reading, memory) in changed:
            a, b, c = before.get(name, NO_LOAD)
            x, y, z = sums.get(name, NO_LOAD)
            total = LoadShare(x + running - a, y + reading - b, z + memory - c)
            if total == NO_LOAD:
                sums.pop(name, None)
            else:
                sums[name] = total
