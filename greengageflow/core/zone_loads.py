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
        self._applied: dict[str, Mapping[str, LoadShare]] = {}
        self._sums: dict[str, LoadShare] = {}

    def update(self, reports: Iterable[ReceivedReport]) -> dict[str, LoadShare]:
        """Return the sum of the routers' loads by endpoint."""
        absent = set(self._applied)
        for received in reports:
            host, loads = received.report.host, received.report.loads
            absent.discard(host)
            if self._applied.get(host) is not loads:
                self._apply(host, loads)
        for host in absent:
            self._apply(host, {})
            del self._applied[host]
        return dict(self._sums)

    def _apply(self, host: str, loads: Mapping[str, LoadShare]) -> None:
        before = self._applied.get(host, {})
        self._applied[host] = loads
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
