"""What hosts tell each other of endpoints that said that they leave."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeavingSign:
    """An endpoint said in an answer that it leaves.

    Args:
        endpoint: Its id.
        born: Its start, in Unix milliseconds; 0 when not said.
    """

    endpoint: str
    born: int


@dataclass(frozen=True, slots=True)
class LeavingReport:
    """A message between hosts."""

    signs: tuple[LeavingSign, ...]
