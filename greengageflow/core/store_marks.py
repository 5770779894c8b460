"""Positions in the platform's store that stay ordered when it is restored.

A store restored from a backup assigns the same offsets again to other records. A mark
combines the offset with the store's era, which increases with each restore and is the
more significant part. So positions of two eras never compare as equal, wherever they
are stored, compared or sent.
"""

MAX_ERA = 2**20
_OFFSETS_PER_ERA = 2**40


def mark_of(era: int, offset: int) -> int:
    """Return the mark of an offset in an era."""
    return era * _OFFSETS_PER_ERA + offset


def era_of(mark: int) -> int:
    """Return the era of a mark."""
    return mark // _OFFSETS_PER_ERA


def offset_of(mark: int) -> int:
    """Return the offset of a mark within its era."""
    return mark % _OFFSETS_PER_ERA
