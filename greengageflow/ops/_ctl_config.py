"""Configuration commands of ``greengage-ctl``."""

import os
from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Any

from greengageflow.core.catalog import FleetConfig
from greengageflow.core.decisions import Accepted, Decision
from greengageflow.core.fold import CONFIG_STREAM, Fold, State
from greengageflow.core.schema import (
    SCHEMAS,
    RecordKind,
    SnapshotRecord,
    parse_config,
    snapshot_document,
)
from greengageflow.ops._ctl_files import read_config_file
from greengageflow.ops._ctl_text import (
    Report,
    decision_row,
    decision_text,
    differences,
    history_text,
    rollout_text,
)
from greengageflow.ops._platform_http import (
    BlockingLog,
    CallError,
    parse_address,
    router_status,
)
from greengageflow.ops.ctl_publish import Publisher, PublishError, await_in_force
from greengageflow.settings_file import Address

IN_FORCE_TIMEOUT_S = 12.0
LOG_VARIABLE = "GREENGAGE_LOG"
ROUTERS_VARIABLE = "GREENGAGE_ROUTERS"


class BadInputError(Exception):
    """A command-line argument is missing or invalid."""


def router_addresses(routers: str | None, *, required: bool = True) -> list[Address]:
    """Parse router addresses from ``IP:PORT,IP:PORT`` or from the environment.

    Raises:
        BadInputError: An address is invalid, or addresses are required but missing.
    """
    text = routers or os.environ.get(ROUTERS_VARIABLE, "")
    if not text and required:
        raise BadInputError(f"--routers=IP:PORT,... or {ROUTERS_VARIABLE} is required")
    return [_address(part) for part in text.split(",") if part.strip()]


def _address(text: str) -> Address:
    try:
        return parse_address(text)
    except ValueError as exc:
        raise BadInputError(str(exc)) from None


def log_client(log: str | None, stream: str) -> BlockingLog:
    """Return a client of a log stream, addressed by ``log`` or the environment.

    Raises:
        BadInputError: The address is invalid or missing.
    """
    text = log or os.environ.get(LOG_VARIABLE, "")
    if not text:
        raise BadInputError(f"--log=IP:PORT or {LOG_VARIABLE} is required")
    return BlockingLog(_address(text), stream)


def _publisher(log: str | None) -> Publisher:
    author = os.environ.get("USER") or "greengage-ctl"
    return Publisher(log_client(log, CONFIG_STREAM), author)


def _synced_publisher(log: str | None) -> Publisher:
    publisher = _publisher(log)
    publisher.refresh()
    publisher.check_complete()
    return publisher


def _merge_document(current: FleetConfig, document: Mapping[str, Any]) -> FleetConfig:
    schema = SCHEMAS[document["schema"]]
    parsed = parse_config(document["config"], schema.number)
    return schema.merge(current, parsed)


def diff(file: str, log: str | None) -> Report:
    """Compare a configuration file with the configuration in force."""
    document = read_config_file(file)
    old = _synced_publisher(log).fold.config
    lines = list(differences(old, _merge_document(old, document)))
    return Report("\n".join(lines) or "no difference", lines)


def show(log: str | None) -> Report:
    """Return the configuration in force in the format that ``publish`` reads."""
    fold = _synced_publisher(log).fold
    document = _config_document(fold, fold.config)
    return Report("", document)


def publish(file: str, log: str | None, routers: str | None, within_s: float) -> Report:
    """Publish a configuration file and wait until it is in force."""
    if type(within_s) not in (int, float):
        raise BadInputError(f"--within_s: expected seconds, found {within_s!r}")
    document = read_config_file(file)
    addresses = router_addresses(routers, required=False)
    publisher = _synced_publisher(log)
    _check_allowed(publisher.fold.state, document["schema"])
    revision = publisher.fold.config.revision
    decision = publisher.publish({"replaces": revision, **document})
    return _publish_report(decision, addresses, within_s)


def _check_allowed(state: State, schema: int) -> None:
    if schema > state.highest:
        raise PublishError(
            f"schema {schema} is not allowed yet, the highest is {state.highest}; see"
            f" `greengage-ctl allow-schema {schema}`"
        )


def _publish_report(
    decision: Decision, addresses: list[Address], within_s: float
) -> Report:
    text = decision_text(decision)
    data = decision_row(decision, None)
    if not isinstance(decision.outcome, Accepted):
        return Report(text, data, ok=False)
    if not addresses:
        return Report(f"{text}; no routers given, rollout not checked", data)
    rollout = await_in_force(addresses, decision.outcome.revision, within_s)
    data["in_force"] = len(rollout.in_force)
    data["asked"] = len(addresses)
    data["waiting"] = {str(address): why for address, why in rollout.pending.items()}
    return Report(f"{text}\n{rollout_text(rollout)}", data, ok=not rollout.pending)


def drain(endpoint: str, leaving: bool, log: str | None, routers: str | None) -> Report:
    """Set or clear the ``leaving`` flag of an endpoint.

    Routers exclude a leaving endpoint for the rest of its generation, so clearing
    the flag increments the generation.
    """
    addresses = router_addresses(routers, required=False)
    publisher = _synced_publisher(log)

    def make_record(fold: Fold) -> dict[str, Any]:
        config = fold.config
        item = config.endpoints.get(endpoint)
        if item is None:
            names = ", ".join(config.endpoints) or "none"
            raise BadInputError(f"no endpoint {endpoint}; known: {names}")
        generation = item.generation + (item.leaving and not leaving)
        item = replace(item, leaving=leaving, generation=generation)
        endpoints = {**config.endpoints, endpoint: item}
        document = _config_document(fold, replace(config, endpoints=endpoints))
        return {**document, "replaces": config.revision}

    decision = publisher.change(make_record)
    return _publish_report(decision, addresses, IN_FORCE_TIMEOUT_S)


def _config_document(fold: Fold, config: FleetConfig) -> dict[str, Any]:
    schema = max(number for number in SCHEMAS if number <= fold.state.highest)
    return {"schema": schema, "config": SCHEMAS[schema].dump(config)}


def allow_schema(highest: int, log: str | None, routers: str | None) -> Report:
    """Raise the highest allowed schema if all routers support it."""
    if type(highest) is not int or highest < 1:
        raise BadInputError(f"expected a schema number, found {highest!r}")
    addresses = router_addresses(routers)
    objections = list(_objections(addresses, highest))
    if objections:
        text = "\n".join(["nothing was published:", *objections])
        return Report(text, {"objections": objections}, ok=False)
    publisher = _synced_publisher(log)
    decision = publisher.publish(
        {
            "schema": 1,
            "kind": RecordKind.ALLOW_SCHEMA.value,
            "highest": highest,
            "replaces": publisher.fold.config.revision,
        }
    )
    return _publish_report(decision, addresses, IN_FORCE_TIMEOUT_S)


def _objections(addresses: Iterable[Address], highest: int) -> Iterable[str]:
    """Yield the reasons why the schema cannot be raised yet.

    A router running an old release would stop following the configuration. So all
    members that the queried routers report must be among the queried routers.
    """
    members: set[str] = set()
    hosts: set[str] = set()
    for address in addresses:
        try:
            status = router_status(address)
            schemas = status["config"]["schemas"]
            hosts.add(status["host"])
            members.update(status.get("members", ()))
        except CallError as exc:
            yield f"{address}: {exc}"
            continue
        except (KeyError, TypeError):
            yield f"{address}: its status does not list the schemas it supports"
            continue
        if highest not in schemas:
            yield f"{address}: {status['host']} supports only schemas {schemas}"
    for host in sorted(members - hosts):
        yield f"{host}: a member of the fleet that was not queried; add it to --routers"


def restore(file: str, log: str | None, routers: str | None) -> Report:
    """Restore the configuration from a file when it is lost everywhere.

    Raises:
        PublishError: The log or a router still has the configuration in force.
    """
    document = read_config_file(file)
    addresses = router_addresses(routers)
    for address in addresses:
        if router_status(address).get("config", {}).get("complete", True):
            raise PublishError(
                f"{address} knows the configuration in force and will append a"
                " snapshot; use `greengage-ctl publish` after that"
            )
    publisher = _publisher(log)
    publisher.refresh()
    if publisher.fold.complete:
        raise PublishError("the log has the configuration in force; use `publish`")
    # A revision never exceeds the number of records, so this one is newer than all.
    revision = publisher.end_offset
    record = SnapshotRecord(
        revision,
        publisher.end_offset - 1,
        publisher.end_offset - 1,
        document["schema"],
        document["schema"],
        None,
        "greengage-ctl",
    )
    config = _merge_document(State().config, document)
    publisher.append(snapshot_document(record, config))
    rollout = await_in_force(addresses, revision, IN_FORCE_TIMEOUT_S)
    data = {
        "revision": revision,
        "in_force": len(rollout.in_force),
        "asked": len(addresses),
    }
    text = f"restored as revision {revision}\n{rollout_text(rollout)}"
    return Report(text, data, ok=not rollout.pending)


def history(log: str | None, last: int) -> Report:
    """List the outcomes of the last configuration records."""
    if type(last) is not int or last < 1:
        raise BadInputError(f"--last: expected a number above 0, found {last!r}")
    publisher = _publisher(log)
    publisher.refresh()
    decisions = publisher.fold.history[-last:]
    rows = [decision_row(item, publisher.times.get(item.offset)) for item in decisions]
    return Report(history_text(rows, decisions), rows)
