"""Fairness gap, utilisation and waiting times from the records of a run."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import ceil
from statistics import fmean

from greengageflow.lab.load_plan import Result


@dataclass(frozen=True, slots=True)
class Window:
    """A span of Unix time, in seconds."""

    start: float
    end: float

    @property
    def seconds(self) -> float:
        """Length in seconds."""
        return self.end - self.start

    def contains(self, time: float) -> bool:
        """Whether ``time`` lies in the window."""
        return self.start <= time < self.end


def fairness_gap(
    results: Iterable[Result], weights: Mapping[str, float], window: Window
) -> float:
    """Return the largest difference of weighted service between any two accounts.

    Args:
        results: Results of the callers; each part of an answer counts as one token
            at its arrival time.
        weights: Weights of the accounts that were backlogged throughout.
        window: Span over which service is counted, starting from zero.

    Returns:
        Largest |W_i/w_i - W_j/w_j| at any time, in tokens.
    """
    arrivals = sorted(
        (time, result.account)
        for result in results
        if result.account in weights
        for time in result.times
        if window.contains(time)
    )
    served = dict.fromkeys(weights, 0.0)
    worst = 0.0
    for _, account in arrivals:
        served[account] += 1.0 / weights[account]
        worst = max(worst, max(served.values()) - min(served.values()))
    return worst


def utilisation(
    executions: Iterable[Mapping[str, object]], slots: int, window: Window
) -> float:
    """Return the share of slot time in use during ``window``.

    Args:
        executions: ``GET /executions`` of all engines.
        slots: Total number of slots of all engines.
        window: Span in which requests were queued throughout.
    """
    busy = sum(_overlap_s(one, window) for one in executions)
    return busy / (slots * window.seconds)


def _overlap_s(execution: Mapping[str, object], window: Window) -> float:
    started = execution["started"]
    if started is None:
        return 0.0
    ended = execution["ended"] or window.end
    return max(0.0, min(ended, window.end) - max(started, window.start))


def percentile(values: Iterable[float], share: float) -> float:
    """Return the nearest-rank percentile, or 0 without values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[max(0, ceil(share * len(ordered)) - 1)]


def waiting_times_s(results: Iterable[Result], account: str) -> list[float]:
    """Return the seconds from due time to first part of an account's answers.

    Only complete answers count.
    """
    return [
        result.first - result.due
        for result in results
        if result.account == account and result.complete and result.first is not None
    ]


def mean(values: Iterable[float]) -> float:
    """Return the mean, or 0 without values."""
    values = list(values)
    return fmean(values) if values else 0.0
