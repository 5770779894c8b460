"""What the exchange between routers asks of its router and hands to it."""

from collections.abc import Mapping
from typing import Protocol

from greengageflow.core.endpoint_load import LoadShare
from greengageflow.core.fleet_sums import FleetTotals
from greengageflow.core.leaving_report import LeavingReport
from greengageflow.core.peer_report import PeerReport
from greengageflow.core.place_messages import PlacementMessage
from greengageflow.core.quarantine import CrashReport
from greengageflow.core.store_updates import StoreUpdate

Placed = tuple[tuple[str, str], ...]


class ExchangeListener(Protocol):
    """What the exchange asks of the router and hands to it."""

    def report(self, number: int, sequence: int) -> PeerReport:
        """Return the present report of this router."""

    def loads(self) -> Mapping[str, LoadShare]:
        """Return what this router has under way, by endpoint."""

    def placed(self) -> Placed:
        """Return prompt parts and the endpoints that they were sent to lately."""

    def on_placed(self, placed: Placed) -> None:
        """Take where other routers sent prompt parts."""

    def on_loads(self, loads: Mapping[str, LoadShare]) -> None:
        """Take what other routers have under way, when that changed."""

    def on_totals(self, totals: FleetTotals) -> None:
        """Take the sums of all other routers, after each round."""

    def on_store_update(self, update: StoreUpdate) -> None:
        """Take what another router read in the platform's store."""

    def on_crash_report(self, report: CrashReport) -> None:
        """Take which requests crashed endpoints."""

    def on_leaving_report(self, report: LeavingReport) -> None:
        """Take which endpoints said that they leave."""

    def on_place_message(self, message: PlacementMessage) -> None:
        """Take what another router asks or tells of a request's place."""
