"""``greengage-ctl order``: orders to engines, appended to the log."""

from collections.abc import Callable, Iterable, Mapping
from getpass import getuser
from typing import Any
from uuid import uuid4

from greengageflow.core.orders import Order, to_json

APPEND_TRIES = 5

Append = Callable[[list[Any]], int]
"""Appends records to the stream of orders and returns the first offset."""


class OrderError(ValueError):
    """An order that cannot be given."""


def make_order(
    endpoint: str,
    op: str,
    *,
    model: str = "",
    adapter: str = "",
    version: str = "",
    role: str = "",
    author: str = "",
) -> Order:
    """Return a new order.

    Args:
        endpoint: Name of the endpoint.
        op: ``load`` or ``role``.
        model: Model to load.
        adapter: Adapter to load.
        version: Version to load.
        role: Role to take.
        author: Who orders it; the user of this process when empty.

    Raises:
        OrderError: Something is missing or does not belong together.
    """
    match op:
        case "load" if role:
            raise OrderError("a load has no role")
        case "load" if not (model or adapter):
            raise OrderError("a load needs a model or an adapter")
        case "role" if not role:
            raise OrderError("a change of role needs the role")
        case "role" if model or adapter or version:
            raise OrderError("a change of role loads nothing")
        case "load" | "role":
            pass
        case _:
            raise OrderError(f"expected load or role, found {op!r}")
    if not endpoint:
        raise OrderError("an order needs an endpoint")
    who = author or getuser()
    return Order(uuid4().hex, endpoint, op, model, adapter, version, role, who)


def give(order: Order, append: Append, *, tries: int = APPEND_TRIES) -> int:
    """Append an order and return its offset.

    An append whose answer is lost is repeated: the order keeps its id, and a copy
    is not run again.

    Args:
        order: The order.
        append: Appends to the stream of orders; ``OSError`` or an exception with
            a true ``effect_unknown`` says that the records may be in the log.
        tries: Most appends.
    """
    for _ in range(tries - 1):
        try:
            return append([to_json(order)])
        except Exception as exc:
            unknown = isinstance(exc, OSError) or getattr(exc, "effect_unknown", False)
            if not unknown:
                raise
    return append([to_json(order)])


def merged(statuses: Iterable[Mapping[str, Any]], id_: str = "") -> list[dict]:
    """Return the orders in the status of several routers, one row an order.

    The routers differ in how far they have read; a result, and else the newest
    claim, tells more.

    Args:
        statuses: What ``/status`` of routers told.
        id_: The only order to return, or empty.
    """
    rows: dict[str, dict] = {}
    for status in statuses:
        for row in status.get("orders", ()):
            if id_ not in ("", row["id"]):
                continue
            known = rows.get(row["id"])
            if known is None or _told(row) > _told(known):
                rows[row["id"]] = dict(row)
    return sorted(rows.values(), key=lambda row: row["offset"])


def _told(row: Mapping[str, Any]) -> tuple[bool, bool, int]:
    result = row["result"]
    return bool(result), result != "unknown", row["fencing"]
