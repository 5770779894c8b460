"""State of this host's requests that are placed by other hosts."""

from dataclasses import dataclass, replace
from typing import Protocol

from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.place_messages import PlacementMessage
from greengageflow.core.router_table import Hello
from greengageflow.core.second_placer import Redirect
from greengageflow.core.service_scheduler import Job


class PlacementSender(Protocol):
    """Sends placement messages to other hosts."""

    def routers(self) -> list[Hello]:
        """Return the live hosts that are not stopping, including this one."""

    def send_to(self, to: tuple[str, int], message: PlacementMessage) -> None:
        """Send a message without a delivery guarantee."""

    def receive_pending(self) -> None:
        """Receive the messages that have arrived."""


@dataclass(slots=True)
class PendingPlacement:
    """A request that waits for a placer's answer, or for a placer to be chosen.

    Args:
        placer: Host that was asked to place it; empty while it is held back.
        service: Service that runs it.
        job: The request.
        account: Client account.
        requested_at: Time at which the placement was requested.
        queued: Whether the placer has it in its queue.
        redirect: The rejection by another placer that was asked before, or None.
    """

    placer: str
    service: str
    job: Job
    account: str
    requested_at: float
    queued: bool = False
    redirect: Redirect | None = None

    def redirected(self, redirect: Redirect) -> "PendingPlacement":
        """Return the same request as a second placer is asked for it."""
        return replace(
            self,
            placer=redirect.second.host,
            requested_at=redirect.redirected_at,
            queued=False,
            redirect=redirect,
        )


@dataclass(slots=True)
class PlacedRun:
    """A request that was sent to the endpoint chosen by a placer.

    Args:
        placer: Host that placed it.
        endpoint: Endpoint that runs it.
        prefill_tokens: Prompt tokens still to prefill.
        memory: Tokens that it occupies in the endpoint's memory.
        active: Whether the endpoint is working on it.
    """

    placer: str
    endpoint: ListedEndpoint
    prefill_tokens: float
    memory: float
    active: bool = True
