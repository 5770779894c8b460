"""Scores a simulated day: earned worth, its losses and costs."""

from collections import defaultdict
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from statistics import fmean

from greengageflow.core.max_min import max_min_shares
from greengageflow.lab.policy_deployments import Deployment
from greengageflow.lab.policy_simulation import RequestOutcome, SimulationResult

SHARE_WINDOW_S = 4.0
"""Length of the windows in which fair shares of accounts are computed, in seconds."""
TIME_SLICE_S = 2.0
"""Length of the time slices of which the two worst enter the score, in seconds."""
SCORE_WEIGHTS = {"day": 0.45, "accounts": 0.3, "seconds": 0.15, "kind": 0.1}
RECOMPUTED_TOKEN_COST = 8e-5
FETCHED_TOKEN_COST = 2.3e-5
CROSS_ZONE_BYTE_COST = 4.7e-6
"""Costs per recomputed shared token, per fetched token and per cross-zone byte."""


@dataclass(slots=True)
class Credit:
    """Worth of requests within the fair share, and the part of it that was earned."""

    owed: float = 0.0
    earned: float = 0.0

    @property
    def fraction(self) -> float:
        """Earned fraction of the owed worth, 0 to 1."""
        return self.earned / self.owed if self.owed else 1.0


def score_day(result: SimulationResult, deployment: Deployment) -> dict[str, float]:
    """Return the figures of one day; fractions of worth are 0 to 1."""
    rows = [row for row in result.rows if row.end != "left"]
    credits = list(_credits(rows, deployment))
    owed = sum(credit.owed for _, credit in credits)
    day = _total(credit for _, credit in credits).fraction
    by_second = _group_credits(credits, lambda row: int(row.request.at // TIME_SLICE_S))
    by_account = _group_credits(credits, lambda row: row.request.account)
    by_kind = _group_credits(credits, lambda row: row.request.kind.name)
    scores = {
        "day": day,
        "seconds": fmean(sorted(c.fraction for c in by_second.values())[:2]),
        "accounts": fmean(sorted(c.fraction for c in by_account.values())[:2]),
        "kind": min(c.fraction for c in by_kind.values()),
    }
    costs = {
        "read again": result.recomputed_tokens * RECOMPUTED_TOKEN_COST / owed,
        "moved": result.fetched_tokens * FETCHED_TOKEN_COST / owed,
        "away": sum(row.cross_zone_bytes for row in rows) * CROSS_ZONE_BYTE_COST / owed,
    }
    worth = sum(SCORE_WEIGHTS[name] * fraction for name, fraction in scores.items())
    outcome_fractions = {
        end: sum(row.end == end for row in rows) / len(rows)
        for end in ("in_time", "late", "refused", "failed")
    }
    kinds = {f"kind {name}": credit.fraction for name, credit in by_kind.items()}
    return {
        "net worth": worth - sum(costs.values()),
        **scores,
        **costs,
        **outcome_fractions,
        "late by a pause": sum(row.gap_exceeded for row in rows) / len(rows),
        "came back": sum(row.retries > 0 for row in rows) / len(rows),
        **kinds,
    }


def worth_by_time(
    result: SimulationResult, deployment: Deployment
) -> list[tuple[float, float]]:
    """Return the earned fraction of worth by time slice, as (start, fraction)."""
    rows = [row for row in result.rows if row.end != "left"]
    credits = list(_credits(rows, deployment))
    groups = _group_credits(credits, lambda row: int(row.request.at // TIME_SLICE_S))
    return [
        (TIME_SLICE_S * second, groups[second].fraction) for second in sorted(groups)
    ]


def _credits(
    rows: Iterable[RequestOutcome], deployment: Deployment
) -> Iterable[tuple[RequestOutcome, Credit]]:
    """Yield the worth that each request is owed and earns.

    In each window an account is owed its max-min fair share of the engines' capacity.
    Demand above that share is neither owed nor earned.
    """
    windows: dict[int, dict[str, list[RequestOutcome]]] = defaultdict(
        lambda: defaultdict(list)
    )
    for row in rows:
        windows[int(row.request.at // SHARE_WINDOW_S)][row.request.account].append(row)
    for by_account in windows.values():
        demand = {
            a: sum(_work(r) for r in account_rows)
            for a, account_rows in by_account.items()
        }
        shares = max_min_shares(demand, deployment.tokens_per_s * SHARE_WINDOW_S)
        for account, account_rows in by_account.items():
            owed = (
                sum(_worth(row) for row in account_rows)
                * shares[account]
                / demand[account]
            )
            earned = min(owed, sum(_earned(row) for row in account_rows))
            total = sum(_worth(row) for row in account_rows)
            for row in account_rows:
                fraction = _worth(row) / total
                yield row, Credit(owed * fraction, earned * fraction)


def _work(row: RequestOutcome) -> float:
    return row.request.prompt.tokens_in + 2 * row.request.out


def _size(row: RequestOutcome) -> float:
    kind = row.request.kind
    mean = kind.shared.mean + kind.own.mean + 10 * kind.out.mean
    size = row.request.prompt.tokens_in + 10 * row.request.out
    return min(4.0, 0.3 + 0.7 * size / mean)


def _worth(row: RequestOutcome) -> float:
    return row.request.kind.worth * _size(row)


def _earned(row: RequestOutcome) -> float:
    match row.end:
        case "in_time":
            return _worth(row)
        case "late":
            return row.request.kind.late_worth * _size(row)
    return 0.0


def _total(credits: Iterable[Credit]) -> Credit:
    total = Credit()
    for credit in credits:
        total.owed += credit.owed
        total.earned += credit.earned
    return total


def _group_credits(
    credits: Iterable[tuple[RequestOutcome, Credit]],
    key: Callable[[RequestOutcome], Hashable],
) -> dict[Hashable, Credit]:
    groups: dict[Hashable, list[Credit]] = defaultdict(list)
    for row, credit in credits:
        groups[key(row)].append(credit)
    return {name: _total(group) for name, group in groups.items()}
