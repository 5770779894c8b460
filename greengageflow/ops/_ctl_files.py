"""Reading of the files given to ``greengage-ctl``."""

import json
import sys
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from greengageflow.core.check import optional, record, required, run
from greengageflow.core.json_text import parse_json
from greengageflow.core.schema import SCHEMAS, parse_config
from greengageflow.core.value_checks import integer

_SPAN_FIELDS = frozenset({"trace", "span", "parent", "name", "host"})


def read_text(path: str) -> str:
    """Return the text of a file, or of standard input for ``-``.

    Raises:
        ExceptionGroup: Contains the ``OSError`` or ``ValueError`` of a file that
            cannot be read or decoded.
    """
    if path == "-":
        return sys.stdin.read()
    try:
        return Path(path).read_text()
    except (OSError, ValueError) as exc:
        raise ExceptionGroup(path, [exc]) from None


def _document(schema: int, config: Any, replaces: int | None) -> dict[str, Any]:
    document = {"schema": schema, "config": config}
    return document if replaces is None else {**document, "replaces": replaces}


def _any_value(value: Any, path: str) -> Any:
    return value
    yield  # Makes this a generator, as checks are.


_any_value.expected = "an object"
_CHECK = record(
    _document,
    schema=required(integer(min(SCHEMAS), max(SCHEMAS))),
    config=required(_any_value),
    replaces=optional(integer(0, 2**53)),
)


def read_config_file(path: str) -> dict[str, Any]:
    """Read and validate a configuration file.

    Returns:
        A dict with the keys ``schema`` and ``config``, and ``replaces`` if given.

    Raises:
        ExceptionGroup: Contains one ``Fault`` per validation error, or the error of
            a file that cannot be read.
    """
    document = run(_CHECK, parse_json(read_text(path), path), path)
    parse_config(document["config"], document["schema"])
    return document


def read_spans(path: str, trace_or_request: str) -> list[Mapping[str, Any]]:
    """Return the spans of one trace, selected by trace id or request id.

    Raises:
        ExceptionGroup: Contains the error of a file that cannot be read.
    """
    spans = list(_spans(read_text(path)))
    traces = {span["trace"] for span in spans if _matches(span, trace_or_request)}
    return [span for span in spans if span["trace"] in traces]


def _matches(span: Mapping[str, Any], trace_or_request: str) -> bool:
    attributes = span.get("attributes") or {}
    return trace_or_request in (span["trace"], attributes.get("request"))


def _spans(text: str) -> Iterator[Mapping[str, Any]]:
    """Yield spans, skipping other lines such as truncated ones."""
    for line in text.splitlines():
        try:
            span = json.loads(line)
        except (ValueError, RecursionError):
            continue
        if isinstance(span, dict) and span.keys() >= _SPAN_FIELDS:
            times = span.get("start_ns"), span.get("end_ns")
            if all(type(time) is int for time in times):
                yield span
