"""The slots of one endpoint, as its owner counts them."""

from dataclasses import dataclass

from greengageflow.catalog import Endpoint
from greengageflow.limits import SlotLimit
from greengageflow.messages import PeerId
from greengageflow.placement import FleetView


@dataclass(slots=True)
class Hold:
    """One slot that is given away.

    Args:
        peer: Entry router that holds it.
        account: Client account that it is for.
        ends_at: Time at which the request will have ended at the latest.
        ask_at: Time to send the grant again; None once it was answered.
    """

    peer: PeerId
    account: str
    ends_at: float
    ask_at: float | None = None


class EndpointSlots:
    """Counts the slots of one endpoint.

    Args:
        endpoint: The endpoint as configured.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.limit = SlotLimit(endpoint.slots)
        self.holds: dict[str, Hold] = {}
        self.left_generation = 0
        self.owned = False
        self._usable = 0
        self._growing: tuple[float, int] | None = None
        self._doubt_until = float("-inf")
        self._known = 0

    @property
    def leaving(self) -> bool:
        """Whether the endpoint gets no new work."""
        gone = self.left_generation >= self.endpoint.generation
        return gone or self.endpoint.leaving

    def configure(self, endpoint: Endpoint) -> None:
        """Take over a changed configuration of the endpoint."""
        if endpoint.generation != self.endpoint.generation:
            self.limit = SlotLimit(endpoint.slots)
        self.endpoint = endpoint
        self.limit.resize(endpoint.slots)

    def lose(self) -> None:
        """Another router owns the endpoint now."""
        self.owned = False
        self._usable = 0
        self._growing = None

    def own(self, now: float, borne: int, ready_at: float, doubt_until: float) -> None:
        """Use ``borne`` slots from ``ready_at`` on.

        More slots than before wait for ``ready_at``: requests that other routers
        started under another owner run in them, and their ``GrantTaken`` is still
        under way. Fewer count at once.

        Args:
            now: The time.
            borne: Slots that this side may use.
            ready_at: Time by which running requests are registered here.
            doubt_until: Until when routers that are out of reach may run requests
                that nobody here knows of.
        """
        if not self.owned:
            self.owned = True
            self._doubt_until = doubt_until
            self._known = len(self.holds)
        self._usable = min(self._usable, borne)
        if borne <= self._usable:
            self._growing = None
        elif self._growing is None or self._growing[1] != borne:
            self._growing = (ready_at, borne)
        self.settle(now)

    def clear_doubt(self) -> None:
        """No router is out of reach any more."""
        self._doubt_until = float("-inf")

    def settle(self, now: float) -> None:
        """Let slots grow whose time has come."""
        if self._growing and self._growing[0] <= now:
            self._usable = self._growing[1]
            self._growing = None

    @property
    def settles_at(self) -> float | None:
        """Time at which more slots may be used, if that is to come."""
        return self._growing[0] if self._growing else None

    def free(self, now: float) -> int:
        """Return how many slots may be granted now."""
        if self.leaving:
            return 0
        self.settle(now)
        usable = min(self._usable, self.limit.allowed(now))
        # A router that is cut off may run requests that the owner before us
        # granted. Granting their slots too would overload the endpoint; as many
        # as were ever registered here at once are surely not among them.
        if now < self._doubt_until:
            usable = min(usable, self._known)
        return max(0, usable - len(self.holds))

    def hold(self, grant: str, hold: Hold) -> None:
        """Count a slot as given away."""
        self.holds[grant] = hold
        self._known = max(self._known, len(self.holds))

    def expire(self, now: float, view: FleetView) -> None:
        """Take back slots whose requests have surely ended."""
        for grant, hold in list(self.holds.items()):
            if hold.ends_at <= now or view.is_gone(hold.peer):
                del self.holds[grant]
