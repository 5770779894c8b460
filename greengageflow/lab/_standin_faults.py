"""The faults that ``POST /fault`` sets on a stand-in."""

from dataclasses import dataclass, fields, replace


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults of a stand-in, as set by ``POST /fault``; all off by default.

    Args:
        down: Answer 503 and do nothing.
        delay_s: Seconds to wait before the effect.
        answer_delay_s: Seconds to wait between the effect and the answer.
        lose_answers: Number of requests that take effect and whose connection is
            then cut without an answer.
        only: Operation that the four faults above are restricted to.
        contains: Text that a request body must hold for them to apply.
        skip: Number of matching requests to leave alone first.
        cut_after: Engine: cut a stream after this many pieces.
        cut_times: Engine: number of streams that ``cut_after`` cuts.
        duplicate: Engine: send every piece twice.
        cross: Engine: send a piece of another request before each piece.
        late: Engine: send every piece again one step later.
        stall: Engine: stop advancing.
        slow_start_s: Engine: seconds added before a request's first piece.
        says_leaving: Say in each answer that it leaves.
        backoff_s: Turn each request away and ask for so many seconds of backoff.
    """

    down: bool = False
    delay_s: float = 0.0
    answer_delay_s: float = 0.0
    lose_answers: int = 0
    only: str = ""
    contains: str = ""
    skip: int = 0
    cut_after: int | None = None
    cut_times: int = 1
    duplicate: bool = False
    cross: bool = False
    late: bool = False
    stall: bool = False
    slow_start_s: float = 0.0
    says_leaving: bool = False
    backoff_s: float = 0.0

    def lost(self) -> "Faults":
        """Return the faults after one answer was lost."""
        return replace(self, lose_answers=self.lose_answers - 1)

    def skipped(self) -> "Faults":
        """Return the faults after one request was left alone."""
        return replace(self, skip=self.skip - 1)

    def cut(self) -> "Faults":
        """Return the faults after one stream was cut."""
        left = self.cut_times - 1
        after = self.cut_after if left > 0 else None
        return replace(self, cut_times=left, cut_after=after)


FAULT_NAMES = frozenset(item.name for item in fields(Faults))
