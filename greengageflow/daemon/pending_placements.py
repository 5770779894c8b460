"""Requests of this host that placers were asked for, or placed."""

from dataclasses import dataclass
from typing import Protocol

from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.place_messages import PlacementMessage
from greengageflow.core.router_table import Hello
from greengageflow.core.service_scheduler import Job


class PlaceSender(Protocol):
    """Carries messages to other hosts."""

    def routers(self) -> list[Hello]:
        """Return the live hosts that are not stopping, this one with them."""

    def send_to(self, to: tuple[str, int], message: PlacementMessage) -> None:
        """Send a message, at best effort."""


@dataclass(slots=True)
class PendingPlacement:
    """A request that a placer was asked for, or that is held back.

    Args:
        placer: The host that was asked; empty while none was.
        service: Service that runs it.
        job: The request.
        account: Client account.
        at: Time at which it was asked for.
        queued: The placer has it in its queue.
    """

    placer: str
    service: str
    job: Job
    account: str
    at: float
    queued: bool = False


@dataclass(slots=True)
class Run:
    """A request that an endpoint was sent by a placer's word.

    Args:
        placer: The host that placed it.
        endpoint: Where it was sent.
        reading: Prompt tokens of it to read.
        memory: Tokens that it takes in the endpoint's memory.
        live: The endpoint works on it.
    """

    placer: str
    endpoint: ListedEndpoint
    reading: float
    memory: float
    live: bool = True
