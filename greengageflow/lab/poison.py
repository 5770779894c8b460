"""Poison requests: they crash the stand-in that executes them."""

import json
import os
import sys
from typing import Any

RECORDS_PREFIX = "records: "

CRASH_EXIT_STATUS = 70
"""Exit status of a process that executed a poison request."""


def crash_if_poison(poison: bytes, body: bytes, records: Any = ()) -> None:
    """Exit immediately if a request body contains the poison text.

    Args:
        poison: Text that marks a poison request; empty to disable.
        body: Body of the request.
        records: JSON-compatible data of the process, written to standard error.
    """
    if poison and poison in body:
        crash(records)


def crash(records: Any) -> None:
    """Exit immediately, with the records on standard error."""
    print(RECORDS_PREFIX + json.dumps(records), file=sys.stderr, flush=True)
    os._exit(CRASH_EXIT_STATUS)


def parse_crash_records(errors: str) -> list[Any]:
    """Return the records in the standard error of a crashed process."""
    record_lines = [
        line for line in errors.splitlines() if line.startswith(RECORDS_PREFIX)
    ]
    return (
        json.loads(record_lines[-1].removeprefix(RECORDS_PREFIX))
        if record_lines
        else []
    )
