"""A record of a keyed topic of the platform's store."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The value of a key, as one record of a keyed topic.

    Args:
        key: The key.
        value: Its value, or None when the key was dropped.
        offset: Its place in the log.
    """

    key: str
    value: bytes | None
    offset: int = 0
