"""Parsing of hand-written JSON, with errors that tell the author what to fix."""

import json
from typing import Any

from greengageflow.core.check import Fault


def parse_json(text: str | bytes, title: str) -> Any:
    """Return the value of a JSON text.

    Raises:
        ExceptionGroup: Holds one ``Fault`` with the position of a syntax error or
            the name that occurs twice in an object.
    """
    try:
        return json.loads(text, object_pairs_hook=_reject_duplicates)
    except Fault as exc:
        raise ExceptionGroup(title, [exc]) from None
    except (ValueError, RecursionError) as exc:
        raise ExceptionGroup(title, [Fault("", f"JSON ({exc})")]) from None


def _reject_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result = dict(pairs)
    if len(result) < len(pairs):
        names = [key for key, _ in pairs]
        duplicates = sorted({key for key in names if names.count(key) > 1})
        raise Fault(", ".join(duplicates), "each name once in an object")
    return result
