"""What the settings of both programs have in common."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from greengageflow.core.json_text import parse_json


@dataclass(frozen=True, slots=True)
class Address:
    """Where something listens, by IP number."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return ``ip:port``."""
        return (
            f"[{self.ip}]:{self.port}" if ":" in self.ip else f"{self.ip}:{self.port}"
        )


def read_document(path: str) -> Any:
    """Return the JSON value in a settings file.

    Raises:
        ExceptionGroup: Holds the ``Fault`` of what is no JSON, or the ``OSError``
            of a file that cannot be read.
    """
    try:
        text = Path(path).read_bytes()
    except OSError as exc:
        raise ExceptionGroup(path or "settings", [exc]) from None
    return parse_json(text, path)
