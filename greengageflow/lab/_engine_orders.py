"""Orders to the engine stand-in, with a check of fencing tokens."""

from dataclasses import asdict, dataclass

from greengageflow.lab._standin_http import BadCallError, Reply

ORDERS = ("load", "role")


@dataclass(frozen=True, slots=True)
class ReceivedOrder:
    """A received order and its response status; ``time`` is in Unix seconds."""

    order: dict
    status: int
    time: float


class Orders:
    """All orders that an engine received.

    Args:
        checks_fencing: Refuse an order whose fencing token is lower than the highest
            accepted one.
    """

    def __init__(self, checks_fencing: bool) -> None:
        self._checks_fencing = checks_fencing
        self._highest_fencing = -1
        self._orders: list[ReceivedOrder] = []

    @property
    def wire(self) -> list[dict]:
        """All orders as ``GET /orders`` reports them."""
        return [asdict(order) for order in self._orders]

    def receive(self, order: dict, now: float) -> Reply:
        """Accept or refuse an order.

        Raises:
            BadCallError: The order is malformed.
        """
        fencing = order.get("fencing")
        if order.get("order") not in ORDERS or not isinstance(fencing, int):
            raise BadCallError("order must be load or role, with an integer fencing")
        stale = self._checks_fencing and fencing < self._highest_fencing
        status = 409 if stale else 200
        self._orders.append(ReceivedOrder(order, status, now))
        if not stale:
            self._highest_fencing = max(self._highest_fencing, fencing)
        return Reply(status, {"taken": not stale, "fencing": self._highest_fencing})
