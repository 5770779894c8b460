"""Poison requests: they crash the stand-in that executes them."""

import json
import os
import sys
from typing import Any

RECORDS = "records: "

CRASHED = 70
"""Exit status of a process that executed a poison request."""


def crash_if_poison(poison: bytes, body: bytes, records: Any = ()) -> None:
    """Exit immediately if a request body contains the poison text.

    Args:
        poison: Text that marks a poison request; empty to disable.
        body: Body of the request.
        records: JSON-compatible data of the process, written to standard error.
    """
    if not poison or poison not in body:
        return
    print(RECORDS + json.dumps(records), file=sys.stderr, flush=True)
    os._exit(CRASHED)


def records_of(errors: str) -> list[Any]:
    """Return the records in the standard error of a crashed process."""
    found = [line for line in errors.splitlines() if line.startswith(RECORDS)]
    return json.loads(found[-1].removeprefix(RECORDS)) if found else []
