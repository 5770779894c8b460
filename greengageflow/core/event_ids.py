"""Ids of the events of a stream, by which it is resumed."""

MAX_EVENT_ID_DIGITS = 64
"""Maximum length of an event id; a 128-bit number has 39 digits."""


def parse_event_id(text: str) -> int | None:
    """Return an event id as a number, or None if it is not a decimal number.

    Longer ids than ``MAX_EVENT_ID_DIGITS`` give None.
    """
    is_number = text.isascii() and text.isdigit()
    return int(text) if is_number and len(text) <= MAX_EVENT_ID_DIGITS else None
