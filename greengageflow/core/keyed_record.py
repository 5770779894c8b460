"""Record of a keyed topic in the platform's store."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """New value of a key, as one record of a keyed topic.

    Args:
        key: The key.
        value: Its value, or None for a tombstone, which deletes the key.
        offset: Offset of the record in the log.
    """

    key: str
    value: bytes | None
    offset: int = 0
