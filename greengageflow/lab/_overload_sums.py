"""Summarizes the results of an overload run as the callers saw them."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from greengageflow.lab._overload_callers import REFUSED_STATUSES, CallRow
from greengageflow.lab.measures import percentile

WARMUP_S = 2.0
"""Warm-up time at the start of each phase, excluded from its means, in seconds."""

RECOVERY_BIN_S = 0.5
RECOVERY_BINS = 6
NORMAL_WAIT_FACTOR, NORMAL_WAIT_SLACK_S = 2.0, 0.02


@dataclass(frozen=True, slots=True)
class LoadPhase:
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


class OverloadSummary:
    """Outcome rates and queue waits of all attempts.

    Args:
        rows: All attempts.
        started_at: When endpoints started to execute requests, by request id, in
            seconds from the start of the run.
        target_s: Latency target for an answer, in seconds.
    """

    def __init__(
        self, rows: Sequence[CallRow], started_at: Mapping[str, float], target_s: float
    ) -> None:
        self._rows = rows
        self._target_s = target_s
        self._waits = [
            (row.due, started_at[row.id] - row.due)
            for row in rows
            if row.id in started_at
        ]

    def _outcome(self, row: CallRow) -> str:
        if row.ended is None:
            return "failed"
        if row.status in REFUSED_STATUSES:
            return "refused"
        if row.status != 200 or not row.whole or row.first is None:
            return "failed"
        return "in_time" if row.first - row.due <= self._target_s else "late"

    def summarize_interval(self, begin: float, end: float) -> dict[str, float]:
        """Return rates per second and wait percentiles for a time interval.

        Answers are assigned by the time they end; arrivals and waits by the time the
        request was due.
        """
        seconds = end - begin
        arrivals = [row for row in self._rows if begin <= row.due < end]
        rates = dict.fromkeys(("in_time", "late", "refused", "failed"), 0.0)
        for row in self._rows:
            if row.ended is not None and begin <= row.ended < end:
                rates[self._outcome(row)] += 1 / seconds
        waits = [wait for due, wait in self._waits if begin <= due < end]
        return {
            "fresh": sum(not row.again for row in arrivals) / seconds,
            "again": sum(row.again for row in arrivals) / seconds,
            **rates,
            "wait_p50_ms": 1000 * percentile(waits, 0.5) if waits else 0.0,
            "wait_p95_ms": 1000 * percentile(waits, 0.95) if waits else 0.0,
            "refused_after_p95_ms": self._refusal_p95_ms(arrivals),
        }

    @staticmethod
    def _refusal_p95_ms(rows: Iterable[CallRow]) -> float:
        durations = [
            r.ended - r.due for r in rows if r.ended and r.status in REFUSED_STATUSES
        ]
        return 1000 * percentile(durations, 0.95) if durations else 0.0

    def per_second(self, length: float) -> Iterator[dict[str, float]]:
        """Yield the summary of each whole second of a run."""
        for second in range(int(length)):
            row = {
                "second": float(second),
                **self.summarize_interval(second, second + 1),
            }
            yield {name: round(value, 2) for name, value in row.items()}

    def phase_means(self, load_phase: LoadPhase) -> dict[str, Any]:
        """Return the means of a phase, excluding its warm-up time."""
        means = self.summarize_interval(load_phase.begin + WARMUP_S, load_phase.end)
        return {"load": load_phase.name, "asked": round(load_phase.rate, 2)} | {
            name: round(value, 2) for name, value in means.items()
        }

    @property
    def failed_attempts(self) -> int:
        """Number of attempts that failed or got an incomplete answer."""
        return sum(self._outcome(row) == "failed" for row in self._rows)

    def normal_wait_s(self, baseline: LoadPhase) -> float:
        """Return the longest queue wait that counts as normal, in seconds.

        This is twice the p95 wait of an unloaded phase plus a fixed slack.

        Args:
            baseline: A phase before the overload.
        """
        baseline_ms = self.summarize_interval(baseline.begin + WARMUP_S, baseline.end)[
            "wait_p95_ms"
        ]
        return NORMAL_WAIT_FACTOR * baseline_ms / 1000 + NORMAL_WAIT_SLACK_S

    def recovery_s(
        self, recovery_phase: LoadPhase, normal_wait_s: float
    ) -> float | None:
        """Return the seconds until the p95 wait stays normal for 3 s.

        Args:
            recovery_phase: The phase after the overload.
            normal_wait_s: Highest p95 wait that counts as normal, in seconds.

        Returns:
            Seconds from the start of the phase, or None if waits stay above normal.
        """
        normal_bins = 0
        for number in range(
            int((recovery_phase.end - recovery_phase.begin) / RECOVERY_BIN_S)
        ):
            bin_start = recovery_phase.begin + number * RECOVERY_BIN_S
            waits = [
                wait
                for due, wait in self._waits
                if bin_start <= due < bin_start + RECOVERY_BIN_S
            ]
            is_slow = waits and percentile(waits, 0.95) > normal_wait_s
            normal_bins = 0 if is_slow else normal_bins + 1
            if normal_bins == RECOVERY_BINS:
                return (number + 1 - RECOVERY_BINS) * RECOVERY_BIN_S
        return None
