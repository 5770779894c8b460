"""Snapshots of this host's requests for the placers that have them."""

from collections.abc import Callable, Mapping

from greengageflow.core.place_messages import PlacementEntry, PlacementSnapshot
from greengageflow.daemon.pending_placements import PendingPlacement, PlacedRun

SNAPSHOT_INTERVAL_S = 0.5
SNAPSHOT_LINGER_S = 2.0


class SnapshotSchedule:
    """Knows which placers get a snapshot.

    Args:
        host: This host.
        boot: Start time of its process.
    """

    def __init__(self, host: str, boot: int) -> None:
        self._host = host
        self._boot = boot
        self._until: dict[str, float] = {}

    def extend(self, now: float, placer: str) -> None:
        """Send a placer snapshots from now on, since it is asked for a request."""
        self._until[placer] = now + SNAPSHOT_LINGER_S

    def due(
        self,
        now: float,
        pending: Mapping[str, PendingPlacement],
        runs: Mapping[str, PlacedRun],
        owner: Callable[[str], str],
    ) -> dict[str, PlacementSnapshot]:
        """Return the snapshots to send, by placer.

        Args:
            now: The time.
            pending: Requests that wait for a placer's answer, by id.
            runs: Requests that were placed, by id.
            owner: Returns the placer of an engine.
        """
        # A lost answer leaves a reservation at the placer that this host does not know
        # of. Snapshots therefore continue for a while, even if they are empty.
        snapshots: dict[str, list[PlacementEntry]] = {
            host: [] for host, until in self._until.items() if now < until
        }
        for request, placement in pending.items():
            if placement.placer:
                entry = PlacementEntry(request)
                snapshots.setdefault(placement.placer, []).append(entry)
        for request, run in runs.items():
            if run.active:
                endpoint = run.endpoint
                entry = PlacementEntry(
                    request,
                    endpoint.id,
                    run.prefill_tokens,
                    run.memory,
                    endpoint.born,
                )
                snapshots.setdefault(owner(endpoint.id), []).append(entry)
        self._until = {
            host: now + SNAPSHOT_LINGER_S if entries else self._until[host]
            for host, entries in snapshots.items()
        }
        return {
            host: PlacementSnapshot(
                host=self._host, boot=self._boot, entries=tuple(entries)
            )
            for host, entries in snapshots.items()
        }
