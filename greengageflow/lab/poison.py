"""Requests that crash the stand-ins that run them."""

import json
import os
import sys
from typing import Any

RECORDS = "records: "

CRASHED = 70
"""Exit status of a process that ran a poison request."""


def crash_if_poison(poison: bytes, body: bytes, records: Any = ()) -> None:
    """End the process at once if the text of a poison request is in a body.

    Args:
        poison: The text; empty for none.
        body: Body of a request.
        records: What the process has seen, as JSON; left in its standard error.
    """
    if not poison or poison not in body:
        return
    print(RECORDS + json.dumps(records), file=sys.stderr, flush=True)
    os._exit(CRASHED)


def records_of(errors: str) -> list[Any]:
    """Return what a process that crashed has left in its standard error."""
    found = [line for line in errors.splitlines() if line.startswith(RECORDS)]
    return json.loads(found[-1].removeprefix(RECORDS)) if found else []
