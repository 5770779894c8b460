"""JSON formats of configuration records, by schema version.

Every record is a JSON object with a ``schema`` field and, unless it holds a
configuration, a ``kind`` field. These two mean the same in all schema versions,
including future ones; each version defines the rest. The checks of a released
version never change, because routers of different releases must reach the same
decision on a record. A stricter check needs a new schema version.

``docs/design/configuration.md`` describes the formats.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType
from typing import Any

from greengageflow.core import _schema1, _schema2
from greengageflow.core.catalog import FleetConfig
from greengageflow.core.check import Check, optional, record, required, run
from greengageflow.core.value_checks import choice, integer, string

BASE_SCHEMA = 1
"""Schema version that is allowed from the first record on."""

MAX_INTEGER = 2**53
"""Largest integer that every JSON library represents exactly."""


class RecordKind(StrEnum):
    """Kind of a record in the configuration log."""

    CONFIG = "config"
    ALLOW_SCHEMA = "allow_schema"
    SNAPSHOT = "snapshot"


@dataclass(frozen=True, slots=True)
class Schema:
    """One schema version.

    Args:
        number: The version number.
        check: Check for a configuration; returns the form that ``merge`` takes.
        merge: Builds the new configuration from the current one and a checked form.
        dump: Returns the JSON form of a configuration, without its revision and
            offset.
    """

    number: int
    check: Check
    merge: Callable[[FleetConfig, Any], FleetConfig]
    dump: Callable[[FleetConfig], dict[str, Any]]


SCHEMAS: Mapping[int, Schema] = MappingProxyType(
    {
        module.NUMBER: Schema(module.NUMBER, module.CHECK, module.merge, module.dump)
        for module in (_schema1, _schema2)
    }
)


@dataclass(frozen=True, slots=True)
class Head:
    """Fields of a record that all schema versions share."""

    schema: int
    kind: RecordKind


@dataclass(frozen=True, slots=True)
class ConfigRecord:
    """A complete new configuration.

    Args:
        schema: Schema version of ``form``.
        replaces: Revision that this record replaces.
        form: The configuration as returned by the check of its schema.
        author: Publisher.
        nonce: Unique text by which the publisher recognizes its record, or empty.
    """

    schema: int
    replaces: int
    form: Any
    author: str = ""
    nonce: str = ""


@dataclass(frozen=True, slots=True)
class AllowSchemaRecord:
    """Raises the highest schema version that may be published.

    Args:
        replaces: Revision that this record replaces.
        highest: The highest allowed schema version from now on.
        author: Publisher.
        nonce: Unique text by which the publisher recognizes its record, or empty.
    """

    replaces: int
    highest: int
    author: str = ""
    nonce: str = ""


@dataclass(frozen=True, slots=True)
class SnapshotRecord:
    """The complete state after one offset, for routers that start later.

    Args:
        revision: Revision of the state.
        through_offset: Offset of the last record folded into it, -1 for none.
        config_offset: Offset of the record that set the configuration, or -1.
        highest: Highest schema version that may be published.
        schema: Schema version of ``form``.
        form: The configuration as returned by the check of its schema.
        author: Host of the router that wrote the snapshot.
    """

    revision: int
    through_offset: int
    config_offset: int
    highest: int
    schema: int
    form: Any
    author: str = ""


Record = ConfigRecord | AllowSchemaRecord | SnapshotRecord

_TITLE = "configuration record"


def _integer_from(low: int) -> Check:
    return integer(low, MAX_INTEGER)


def _any_value(value: Any, path: str) -> Any:
    return value
    yield


def _head(schema: int, kind: str, **_rest: Any) -> Head:
    return Head(schema, RecordKind(kind))


def parse_head(value: Any) -> Head:
    """Return the fields of a record that all schema versions share.

    Raises:
        ExceptionGroup: Holds one ``Fault`` for each error.
    """
    fields = {"schema": required(_integer_from(1))}
    fields["kind"] = optional(choice(RecordKind), RecordKind.CONFIG.value)
    if type(value) is dict:
        unknown = {key: optional(_any_value) for key in value if key not in fields}
        fields.update(unknown)
    return run(record(_head, **fields), value, _TITLE)


def parse_record(value: Any, head: Head) -> Record:
    """Return a record after checking it against its schema.

    Raises:
        KeyError: The schema version is not in ``SCHEMAS``.
        ExceptionGroup: Holds one ``Fault`` for each error.
    """
    return run(_record_check(SCHEMAS[head.schema], head.kind), value, _TITLE)


def parse_config(value: Any, schema: int) -> Any:
    """Return the checked form of a configuration that is not part of a record.

    Raises:
        KeyError: The schema version is not in ``SCHEMAS``.
        ExceptionGroup: Holds one ``Fault`` for each error.
    """
    return run(SCHEMAS[schema].check, value, "configuration")


def _record_check(schema: Schema, kind: RecordKind) -> Check:
    head = {"schema": required(_integer_from(1)), "kind": optional(choice(RecordKind))}
    published = {
        "replaces": required(_integer_from(0)),
        "author": optional(string(), ""),
        "nonce": optional(string(), ""),
    }
    match kind:
        case RecordKind.CONFIG:
            fields = {**published, "config": required(schema.check)}
            make = _config_record
        case RecordKind.ALLOW_SCHEMA:
            fields = {**published, "highest": required(_integer_from(1))}
            make = _allow_schema_record
        case RecordKind.SNAPSHOT:
            fields = {
                "revision": required(_integer_from(0)),
                "through_offset": required(_integer_from(-1)),
                "config_offset": required(_integer_from(-1)),
                "highest": required(_integer_from(1)),
                "author": optional(string(), ""),
                "config": required(schema.check),
            }
            make = _snapshot_record
    return record(make, **head, **fields)


def _config_record(kind: Any, config: Any, **rest: Any) -> ConfigRecord:
    return ConfigRecord(form=config, **rest)


def _allow_schema_record(kind: Any, schema: int, **rest: Any) -> AllowSchemaRecord:
    return AllowSchemaRecord(**rest)


def _snapshot_record(kind: Any, config: Any, **rest: Any) -> SnapshotRecord:
    return SnapshotRecord(form=config, **rest)


def snapshot_document(snapshot: SnapshotRecord, config: FleetConfig) -> dict[str, Any]:
    """Return the JSON form of a snapshot of ``config``; its ``form`` is ignored."""
    return {
        "schema": snapshot.schema,
        "kind": RecordKind.SNAPSHOT.value,
        "revision": snapshot.revision,
        "through_offset": snapshot.through_offset,
        "config_offset": snapshot.config_offset,
        "highest": snapshot.highest,
        "author": snapshot.author,
        "config": SCHEMAS[snapshot.schema].dump(config),
    }
