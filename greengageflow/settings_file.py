"""Settings shared by the router and the gateway."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from greengageflow.core.check import Check, optional, record
from greengageflow.core.json_text import parse_json
from greengageflow.core.quarantine import (
    MAX_CRASHES_PER_RECORD,
    QUARANTINE_CRASHES,
    QUARANTINE_S,
)
from greengageflow.core.value_checks import integer, number


@dataclass(frozen=True, slots=True)
class Address:
    """IP address and port of a listener."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return ``ip:port``."""
        return (
            f"[{self.ip}]:{self.port}" if ":" in self.ip else f"{self.ip}:{self.port}"
        )


@dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Quarantine of requests that crash endpoints.

    Args:
        crashes: Number of endpoint crashes after which a request is quarantined.
        hold_s: Duration of the quarantine from the last crash, in seconds.
    """

    crashes: int = QUARANTINE_CRASHES
    hold_s: float = QUARANTINE_S


def quarantine_settings() -> Check:
    """Return the validator for ``QuarantineSettings``."""
    defaults = QuarantineSettings()
    return record(
        QuarantineSettings,
        crashes=optional(integer(1, MAX_CRASHES_PER_RECORD), defaults.crashes),
        hold_s=optional(number(0.0, 86_400.0), defaults.hold_s),
    )


def read_document(path: str) -> Any:
    """Return the JSON value in a settings file.

    Raises:
        ExceptionGroup: Contains the ``Fault`` for invalid JSON, or the ``OSError``
            of a file that cannot be read.
    """
    try:
        text = Path(path).read_bytes()
    except OSError as exc:
        raise ExceptionGroup(path or "settings", [exc]) from None
    return parse_json(text, path)
