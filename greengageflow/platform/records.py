"""Parsers for configuration and endpoint records of the platform's store."""

import json
from collections.abc import Iterator
from ipaddress import IPv4Address
from typing import Any

from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.forward_request import PromptPart
from greengageflow.core.routes import (
    Backend,
    CallerLimits,
    RetryPolicy,
    Route,
    Routing,
    Service,
)
from greengageflow.net.http_messages import Response
from greengageflow.platform.names import (
    COLD_MS,
    DRAINING,
    EVACUATION_PREFIX,
    IDEMPOTENT,
    READY,
    STREAM,
)

_REPEAT_BY_KIND = {IDEMPOTENT: RetryPolicy.ANY}
_MAX_COLD_MS = 3_600_000
_MAX_SLOTS = 1_048_576
_MAX_BORN_MS = 2**53
_MAX_TEXT_LENGTH = 255
_MAX_PART_TOKENS = 2**40
_MAX_ERROR_LENGTH = 200

_PARSE_ERRORS = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""Exceptions that parsing malformed or deeply nested records raises."""


class RecordError(ValueError):
    """A record of the store is malformed."""


def parse_config(value: bytes) -> Routing:
    """Return the routing configuration in a configuration record.

    Raises:
        RecordError: The record is not a configuration.
    """
    try:
        return _parse_routing(json.loads(value))
    except _PARSE_ERRORS as exc:
        raise RecordError(f"configuration: {exc!r}") from exc


def _parse_routing(doc: dict[str, Any]) -> Routing:
    limits = doc.get("limits") or {}
    tenants = doc.get("tenants") or []
    return Routing(
        version=int(doc["version"]),
        routes=tuple(map(_parse_route, doc.get("routes") or [])),
        services={s.name: s for s in map(_parse_service, doc.get("services") or [])},
        accounts=dict(_account_keys(tenants)),
        keyed=doc.get("tenants") is not None,
        bounds=CallerLimits(
            header_bytes=int(limits.get("max_header_bytes", 16_384)),
            body_bytes=int(limits.get("max_body_bytes", 4_194_304)),
            header_s=limits.get("header_timeout_ms", 10_000) / 1000,
            idle_s=limits.get("idle_timeout_ms", 60_000) / 1000,
        ),
        tokens_per_s=float(limits.get("tokens_per_s") or 0),
        account_regions=dict(_account_regions(tenants)),
    )


def _account_keys(tenants: list[dict[str, Any]]) -> Iterator[tuple[str, str]]:
    for tenant in tenants:
        for key in tenant.get("api_keys") or []:
            yield key, tenant["name"]


def _account_regions(
    tenants: list[dict[str, Any]],
) -> Iterator[tuple[str, frozenset[str]]]:
    for tenant in tenants:
        if regions := _regions(tenant):
            yield tenant["name"], regions


def _regions(doc: dict[str, Any]) -> frozenset[str]:
    regions = doc.get("allowed_regions") or []
    if not isinstance(regions, list) or not all(isinstance(r, str) for r in regions):
        raise ValueError(f"invalid regions {regions!r}")
    return frozenset(regions)


def _parse_route(doc: dict[str, Any]) -> Route:
    stream = doc["kind"] == STREAM
    retry_policy = _REPEAT_BY_KIND.get(doc["kind"], RetryPolicy.ONCE)
    if stream and doc.get("resumable"):
        retry_policy = RetryPolicy.RESUME
    backends = doc.get("backends") or [{"service": doc["service"], "weight": 1}]
    return Route(
        name=doc.get("name", ""),
        host=doc["host"],
        prefix=doc["path_prefix"],
        retry_policy=retry_policy,
        stream=stream,
        timeout_s=doc.get("timeout_ms", 30_000) / 1000,
        target_s=doc.get("target_latency_ms", 1000) / 1000,
        gap_s=doc.get("gap_target_ms", 1000) / 1000,
        attempts=max(1, int(doc.get("max_attempts", 1))),
        priority=int(doc.get("priority", 0)),
        public=bool(doc.get("public")),
        backends=tuple(Backend(b["service"], b.get("weight", 1)) for b in backends),
        regions=_regions(doc),
    )


def _parse_service(doc: dict[str, Any]) -> Service:
    engine = doc.get("engine") or {}
    return Service(
        name=doc["name"],
        slots=int(engine.get("slots", 0)),
        memory_tokens=int(engine.get("kv_capacity", 0)),
        max_conns=int(doc.get("max_conns", 100)),
        transfers=bool(engine.get("link_mbps")),
        warmup_per_s=max(0.0, float(doc.get("warmup_per_s") or 0)),
        cold_start_s=max(0.0, float(doc.get("cold_start_s") or 0)),
    )


def evacuated_zone(key: str) -> str:
    """Return the zone that a record of this key evacuates, or an empty string."""
    prefix, _, zone = key.partition(EVACUATION_PREFIX)
    return "" if prefix else zone


def parse_endpoint(key: str, value: bytes) -> ListedEndpoint:
    """Return the endpoint in a record of the endpoint list.

    Raises:
        RecordError: The record does not describe an endpoint.
    """
    try:
        doc = json.loads(value)
        _check_id(key)
        ip, port = _parse_address(_non_empty_text(doc, "address"))
        state = _non_empty_text(doc, "state")
        if state not in (READY, DRAINING):
            raise ValueError(f"unknown state {state!r}")
        return ListedEndpoint(
            id=key,
            service=_non_empty_text(doc, "service"),
            ip=ip,
            port=port,
            zone=_non_empty_text(doc, "zone"),
            slots=_bounded_int(doc, "slots", _MAX_SLOTS),
            leaving=state == DRAINING,
            born=_bounded_int(doc, "born", _MAX_BORN_MS) if "born" in doc else 0,
            cold_s=_cold_s(doc),
            version=_non_empty_text(doc, "version"),
        )
    except _PARSE_ERRORS as exc:
        text = f"{exc!r:.{_MAX_ERROR_LENGTH}}"
        raise RecordError(f"endpoint {key}: {text}") from exc


def _check_id(key: str) -> None:
    # Requests name their endpoint in a header.
    if not (key.isascii() and key.isprintable() and key.strip()):
        raise ValueError("invalid id")


def _non_empty_text(doc: dict[str, Any], name: str) -> str:
    value = doc[name]
    if not isinstance(value, str) or not 0 < len(value) <= _MAX_TEXT_LENGTH:
        raise ValueError(f"invalid {name} {value!r}")
    # Lone surrogates, which JSON can express, fit in no message to other routers.
    if not value.isprintable():
        raise ValueError(f"unprintable {name} {value!r}")
    return value


def _bounded_int(doc: dict[str, Any], name: str, maximum: int) -> int:
    value = doc[name]
    # Arithmetic and messages to other routers fail on integers without a bound.
    if type(value) is not int or not 0 <= value <= maximum:
        raise ValueError(f"invalid {name}")
    return value


def _cold_s(doc: dict[str, Any]) -> float:
    return _bounded_int(doc, COLD_MS, _MAX_COLD_MS) / 1000 if COLD_MS in doc else 0.0


def _parse_address(text: str) -> tuple[str, int]:
    ip, _, port = text.rpartition(":")
    number = int(port) if port.isascii() and port.isdigit() else 0
    if not 0 < number < 65_536:
        raise ValueError(f"invalid port {port!r}")
    return str(IPv4Address(ip)), number


def parse_cached_parts(response: Response) -> tuple[PromptPart, ...]:
    """Return the prompt parts that an engine reports in its prefix cache.

    Raises:
        RecordError: The response is not a list of prompt parts.
    """
    if response.status != 200:
        raise RecordError(f"unexpected status {response.status}")
    try:
        entries = json.loads(response.body)["held"]
        return tuple(map(_parse_cached_part, entries))
    except _PARSE_ERRORS as exc:
        text = f"{exc!r:.{_MAX_ERROR_LENGTH}}"
        raise RecordError(f"cached prompt parts: {text}") from exc


def _parse_cached_part(entry: list[Any]) -> PromptPart:
    # An entry has an empty string, the part's id, its tokens and the model.
    _, name, tokens, _ = entry
    is_name = isinstance(name, str) and len(name) <= _MAX_TEXT_LENGTH
    if not is_name or type(tokens) is not int or not 0 <= tokens <= _MAX_PART_TOKENS:
        raise ValueError("invalid prompt part")
    return PromptPart(name, tokens)
