"""Commands of ``greengage-ctl`` that query routers, orders and trace spans."""

from collections.abc import Mapping
from dataclasses import asdict
from typing import Any

from greengageflow.core.orders import ORDER_STREAM, Order
from greengageflow.ops._ctl_config import BadInputError, log_client, router_addresses
from greengageflow.ops._ctl_files import read_spans
from greengageflow.ops._ctl_text import Report, status_text, trace_text
from greengageflow.ops._platform_http import CallError, router_status
from greengageflow.ops.ctl_orders import append_order, merge_orders
from greengageflow.settings_file import Address


def _fetch_status(address: Address, request: str = "") -> Mapping[str, Any] | str:
    try:
        return router_status(address, request)
    except CallError as exc:
        return str(exc)


def status(routers: str | None) -> Report:
    """Show the status of each router; ok if all report the same revision."""
    rows = {
        str(address): _fetch_status(address) for address in router_addresses(routers)
    }
    revisions = {
        None if isinstance(row, str) else row.get("config", {}).get("revision")
        for row in rows.values()
    }
    agreed = len(revisions) == 1 and None not in revisions
    return Report(status_text(rows), rows, ok=agreed)


def explain(request: str, routers: str | None) -> Report:
    """Show the state of one request on each router."""
    rows = {
        str(address): _fetch_status(address, request)
        for address in router_addresses(routers)
    }
    found = {
        address: row["request"]
        for address, row in rows.items()
        if not isinstance(row, str) and row.get("request")
    }
    unreachable = {
        address: row for address, row in rows.items() if isinstance(row, str)
    }
    lines = [
        f"{address} {key}: {value}"
        for address, details in found.items()
        for key, value in (
            details.items() if isinstance(details, dict) else [("", details)]
        )
    ]
    lines += [
        f"{address} did not answer: {why}" for address, why in unreachable.items()
    ]
    if not found:
        lines.append(f"request {request} is unknown to all routers that answered")
    data = {"found": found, "silent": unreachable}
    return Report("\n".join(lines), data, ok=bool(found))


def trace(trace_or_request: str, file: str) -> Report:
    """Show the spans of one trace as a tree."""
    spans = read_spans(file, trace_or_request)
    if not spans:
        raise BadInputError(f"{file}: no span of trace or request {trace_or_request}")
    return Report(trace_text(spans), spans)


def order(order: Order, log: str | None) -> Report:
    """Append an order to the log."""
    offset = append_order(order, log_client(log, ORDER_STREAM).append)
    text = f"order {order.id} for {order.endpoint} appended at offset {offset}"
    return Report(text, {"offset": offset, **asdict(order)})


def orders(routers: str | None) -> Report:
    """List the orders that routers report."""
    rows = [_fetch_status(address) for address in router_addresses(routers)]
    merged_rows = merge_orders(row for row in rows if not isinstance(row, str))
    lines = [
        f"{row['offset']} {row['id']} {row['endpoint']}: {row['result'] or 'open'}"
        for row in merged_rows
    ]
    return Report("\n".join(lines) or "no orders", merged_rows)
