"""Interface between the fleet exchange and its router."""

from collections.abc import Mapping
from typing import Protocol

from greengageflow.core.endpoint_load import LoadShare
from greengageflow.core.evacuation import EvacuationReport
from greengageflow.core.fleet_sums import FleetTotals
from greengageflow.core.leaving_report import LeavingReport
from greengageflow.core.peer_report import PeerReport
from greengageflow.core.place_messages import PlacementMessage
from greengageflow.core.quarantine import CrashReport
from greengageflow.core.start_report import StartTimesReport
from greengageflow.core.store_updates import StoreUpdate
from greengageflow.core.unproven_starts import (
    UnprovenStartQuery,
    UnprovenStartReport,
)
from greengageflow.core.version_affinity import (
    StreamVersionQuery,
    StreamVersionReport,
)

Placements = tuple[tuple[str, str], ...]


class ExchangeListener(Protocol):
    """Provides this router's state and receives that of its peers."""

    def report(self, number: int, sequence: int) -> PeerReport:
        """Return the current report of this router."""

    def loads(self) -> Mapping[str, LoadShare]:
        """Return the load that this router puts on each endpoint."""

    def recent_placements(self) -> Placements:
        """Return recently sent prompt prefixes and their endpoints."""

    def on_placements(self, placements: Placements) -> None:
        """Handle prompt prefixes that other routers sent to endpoints."""

    def on_loads(self, loads: Mapping[str, LoadShare]) -> None:
        """Handle a change of the load that other routers put on each endpoint."""

    def on_totals(self, totals: FleetTotals) -> None:
        """Handle the totals of all other routers, after each round."""

    def on_store_update(self, update: StoreUpdate) -> None:
        """Handle what another router read from the platform's store."""

    def on_crash_report(self, report: CrashReport) -> None:
        """Handle a report of requests that crashed endpoints."""

    def on_leaving_report(self, report: LeavingReport) -> None:
        """Handle a report of endpoints that announced that they leave."""

    def on_start_times_report(self, report: StartTimesReport) -> None:
        """Handle a report that endpoints state start times which entries lack."""

    def on_evacuation_report(self, report: EvacuationReport) -> None:
        """Handle a report of evacuated zones."""

    def on_version_report(self, report: StreamVersionReport) -> None:
        """Handle a report of the software versions of streams."""

    def on_version_query(self, query: StreamVersionQuery) -> None:
        """Handle a query for the software version of a stream."""

    def on_start_query(self, query: UnprovenStartQuery) -> None:
        """Handle a query for unproven starts of endpoints."""

    def on_start_report(self, report: UnprovenStartReport) -> None:
        """Handle a report of unproven starts of endpoints."""

    def on_placement_message(self, message: PlacementMessage) -> None:
        """Handle a placement message of another router."""
