"""Summarizes the results of an overload run as the callers saw them."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from greengageflow.lab._overload_callers import REFUSED, CallRow
from greengageflow.lab.measures import percentile

SETTLE_S = 2.0
"""Warm-up time at the start of each phase, excluded from its means, in seconds."""

BIN_S = 0.5
CALM_BINS = 6
NORMAL_FACTOR, NORMAL_SLACK_S = 2.0, 0.02


@dataclass(frozen=True, slots=True)
class Span:
    """One phase of constant load.

    Args:
        name: Load as a multiple of the capacity, as text.
        begin: Start of the phase, in seconds from the start of the run.
        end: End of the phase, in seconds from the start of the run.
        rate: Offered load in requests per second.
    """

    name: str
    begin: float
    end: float
    rate: float


class OverloadSums:
    """Outcome rates and queue waits of all attempts.

    Args:
        rows: All attempts.
        begun: When endpoints started to execute requests, in seconds from the start
            of the run, by request id.
        target_s: Latency target for an answer, in seconds.
    """

    def __init__(
        self, rows: Sequence[CallRow], begun: Mapping[str, float], target_s: float
    ) -> None:
        self._rows = rows
        self._target_s = target_s
        self._waits = [
            (row.due, begun[row.id] - row.due) for row in rows if row.id in begun
        ]

    def _outcome(self, row: CallRow) -> str:
        if row.ended is None:
            return "failed"
        if row.status in REFUSED:
            return "refused"
        if row.status != 200 or not row.whole or row.first is None:
            return "failed"
        return "in_time" if row.first - row.due <= self._target_s else "late"

    def between(self, begin: float, end: float) -> dict[str, float]:
        """Return rates per second and wait percentiles for a time interval.

        Answers are assigned by the time they end; arrivals and waits by the time the
        request was due.
        """
        seconds = end - begin
        came = [row for row in self._rows if begin <= row.due < end]
        sums = dict.fromkeys(("in_time", "late", "refused", "failed"), 0.0)
        for row in self._rows:
            if row.ended is not None and begin <= row.ended < end:
                sums[self._outcome(row)] += 1 / seconds
        waits = [wait for due, wait in self._waits if begin <= due < end]
        return {
            "fresh": sum(not row.again for row in came) / seconds,
            "again": sum(row.again for row in came) / seconds,
            **sums,
            "wait_p50_ms": 1000 * percentile(waits, 0.5) if waits else 0.0,
            "wait_p95_ms": 1000 * percentile(waits, 0.95) if waits else 0.0,
            "refused_after_p95_ms": self._refused_after_ms(came),
        }

    @staticmethod
    def _refused_after_ms(rows: Iterable[CallRow]) -> float:
        took = [r.ended - r.due for r in rows if r.ended and r.status in REFUSED]
        return 1000 * percentile(took, 0.95) if took else 0.0

    def seconds(self, length: float) -> Iterator[dict[str, float]]:
        """Yield the summary of each whole second of a run."""
        for second in range(int(length)):
            row = {"second": float(second), **self.between(second, second + 1)}
            yield {name: round(value, 2) for name, value in row.items()}

    def phase(self, span: Span) -> dict[str, Any]:
        """Return the means of a phase, excluding its warm-up time."""
        means = self.between(span.begin + SETTLE_S, span.end)
        return {"load": span.name, "asked": round(span.rate, 2)} | {
            name: round(value, 2) for name, value in means.items()
        }

    @property
    def unanswered(self) -> int:
        """Number of attempts that failed or got an incomplete answer."""
        return sum(self._outcome(row) == "failed" for row in self._rows)

    def normal_s(self, quiet: Span) -> float:
        """Return the longest queue wait that counts as normal, in seconds.

        This is twice the p95 wait of an unloaded phase plus a fixed slack.

        Args:
            quiet: A phase before the overload.
        """
        quiet_ms = self.between(quiet.begin + SETTLE_S, quiet.end)["wait_p95_ms"]
        return NORMAL_FACTOR * quiet_ms / 1000 + NORMAL_SLACK_S

    def recovery_s(self, after: Span, normal_s: float) -> float | None:
        """Return the seconds until the p95 wait stays normal for 3 s.

        Args:
            after: The phase after the overload.
            normal_s: Highest p95 wait that counts as normal, in seconds.

        Returns:
            Seconds from the start of the phase, or None if waits stay above normal.
        """
        calm = 0
        for number in range(int((after.end - after.begin) / BIN_S)):
            at = after.begin + number * BIN_S
            waits = [wait for due, wait in self._waits if at <= due < at + BIN_S]
            slow = waits and percentile(waits, 0.95) > normal_s
            calm = 0 if slow else calm + 1
            if calm == CALM_BINS:
                return (number + 1 - CALM_BINS) * BIN_S
        return None
