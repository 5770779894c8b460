"""Creation of engine orders and their submission to the log."""

from collections.abc import Callable, Iterable, Mapping
from getpass import getuser
from typing import Any
from uuid import uuid4

from greengageflow.core.orders import Order, to_json

MAX_APPEND_ATTEMPTS = 5

Append = Callable[[list[Any]], int]
"""Appends records to the order stream and returns the first offset."""


class OrderError(ValueError):
    """The arguments of an order are missing or inconsistent."""


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
        role: Role to switch to.
        author: Author of the order; the user of this process if empty.

    Raises:
        OrderError: Arguments are missing or inconsistent.
    """
    match op:
        case "load" if role:
            raise OrderError("a load order takes no role")
        case "load" if not (model or adapter):
            raise OrderError("a load order requires a model or an adapter")
        case "role" if not role:
            raise OrderError("a role order requires a role")
        case "role" if model or adapter or version:
            raise OrderError("a role order takes no model, adapter or version")
        case "load" | "role":
            pass
        case _:
            raise OrderError(f"expected load or role, found {op!r}")
    if not endpoint:
        raise OrderError("an order requires an endpoint")
    author_name = author or getuser()
    return Order(uuid4().hex, endpoint, op, model, adapter, version, role, author_name)


def append_order(
    order: Order, append: Append, *, max_attempts: int = MAX_APPEND_ATTEMPTS
) -> int:
    """Append an order to the log and return its offset.

    An append with unknown outcome is retried. This is safe because the order keeps
    its id, and duplicates of an order are not executed.

    Args:
        order: The order.
        append: Appends to the order stream. An ``OSError``, or an exception with a
            true ``effect_unknown``, means that the records may be in the log.
        max_attempts: Maximum number of appends.
    """
    for _ in range(max_attempts - 1):
        try:
            return append([to_json(order)])
        except Exception as exc:
            unknown = isinstance(exc, OSError) or getattr(exc, "effect_unknown", False)
            if not unknown:
                raise
    return append([to_json(order)])


def merge_orders(
    statuses: Iterable[Mapping[str, Any]], order_id: str = ""
) -> list[dict]:
    """Merge the orders reported by several routers into one row per order.

    Routers may have read the log up to different offsets. The row with a result
    wins, otherwise the one with the newest claim.

    Args:
        statuses: Responses of the routers' ``/status``.
        order_id: Id of the only order to return; empty for all orders.
    """
    rows: dict[str, dict] = {}
    for status in statuses:
        for row in status.get("orders", ()):
            if order_id not in ("", row["id"]):
                continue
            current = rows.get(row["id"])
            if current is None or _progress(row) > _progress(current):
                rows[row["id"]] = dict(row)
    return sorted(rows.values(), key=lambda row: row["offset"])


def _progress(row: Mapping[str, Any]) -> tuple[bool, bool, int]:
    result = row["result"]
    return bool(result), result != "unknown", row["fencing"]
