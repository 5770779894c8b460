"""Faults that ``POST /fault`` injects into a stand-in."""

from dataclasses import dataclass, fields, replace


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults of a stand-in, as set by ``POST /fault``; all off by default.

    Args:
        down: Respond with 503 without executing the request.
        delay_s: Delay before the request takes effect, in seconds.
        answer_delay_s: Delay between the effect and the response, in seconds.
        lose_answers: Number of requests that take effect and whose connection is
            then cut without a response.
        only: Operation that the four faults above and ``backoff_s`` are restricted to.
        contains: Text that a request body must contain for these faults to apply.
        skip: Number of matching requests to handle normally first.
        cut_after: Engine: cut a stream after this many pieces.
        cut_times: Engine: number of streams that ``cut_after`` cuts.
        duplicate: Engine: send every piece twice.
        cross: Engine: send a piece of another request before each piece.
        late: Engine: send every piece again one step later.
        stall: Engine: stop generating tokens.
        slow_start_s: Engine: seconds added before a request's first piece.
        says_leaving: Announce in each response that the server is draining.
        backoff_s: Respond with 503 and a ``Retry-After`` of this many seconds.
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

    def after_lost_answer(self) -> "Faults":
        """Return the faults that remain after one response was dropped."""
        return replace(self, lose_answers=self.lose_answers - 1)

    def after_skip(self) -> "Faults":
        """Return the faults that remain after one request was skipped."""
        return replace(self, skip=self.skip - 1)

    def after_cut(self) -> "Faults":
        """Return the faults that remain after one stream was cut."""
        remaining = self.cut_times - 1
        after = self.cut_after if remaining > 0 else None
        return replace(self, cut_times=remaining, cut_after=after)


FAULT_NAMES = frozenset(fault.name for fault in fields(Faults))
