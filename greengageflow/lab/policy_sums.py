"""Scores a simulated day: earned worth, its losses and costs."""

from collections import defaultdict
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from statistics import fmean

from greengageflow.core.max_min import max_min_shares
from greengageflow.lab.policy_load import Sheet
from greengageflow.lab.policy_play import Played, Row

WINDOW_S = 4.0
"""Length of the windows in which fair shares of accounts are computed, in seconds."""
SECONDS = 2.0
"""Length of the time slices of which the two worst enter the score, in seconds."""
SHARE_WEIGHTS = {"day": 0.45, "accounts": 0.3, "seconds": 0.15, "kind": 0.1}
READ_AGAIN_PRICE = 8e-5
FETCH_PRICE = 2.3e-5
AWAY_PRICE = 4.7e-6
"""Costs per recomputed shared token, per fetched token and per cross-zone byte."""


@dataclass(slots=True)
class Credit:
    """Worth of requests within the fair share, and the part of it that was earned."""

    owed: float = 0.0
    earned: float = 0.0

    @property
    def part(self) -> float:
        """Earned fraction of the owed worth, 0 to 1."""
        return self.earned / self.owed if self.owed else 1.0


def sums_of(played: Played, sheet: Sheet) -> dict[str, float]:
    """Return the figures of one day; fractions of worth are 0 to 1."""
    rows = [row for row in played.rows if row.end != "left"]
    credits = list(_credits(rows, sheet))
    owed = sum(credit.owed for _, credit in credits)
    day = _total(credit for _, credit in credits).part
    by_second = _by(credits, lambda row: int(row.asked.at // SECONDS))
    by_account = _by(credits, lambda row: row.asked.account)
    by_kind = _by(credits, lambda row: row.asked.kind.name)
    parts = {
        "day": day,
        "seconds": fmean(sorted(c.part for c in by_second.values())[:2]),
        "accounts": fmean(sorted(c.part for c in by_account.values())[:2]),
        "kind": min(c.part for c in by_kind.values()),
    }
    prices = {
        "read again": played.read_again * READ_AGAIN_PRICE / owed,
        "moved": played.fetched * FETCH_PRICE / owed,
        "away": sum(row.away_bytes for row in rows) * AWAY_PRICE / owed,
    }
    worth = sum(SHARE_WEIGHTS[name] * part for name, part in parts.items())
    ends = {
        end: sum(row.end == end for row in rows) / len(rows)
        for end in ("in_time", "late", "refused", "failed")
    }
    kinds = {f"kind {name}": credit.part for name, credit in by_kind.items()}
    return {
        "net worth": worth - sum(prices.values()),
        **parts,
        **prices,
        **ends,
        "late by a pause": sum(row.paused for row in rows) / len(rows),
        "came back": sum(row.tries > 0 for row in rows) / len(rows),
        **kinds,
    }


def seconds_of(played: Played, sheet: Sheet) -> list[tuple[float, float]]:
    """Return the earned fraction of worth by time slice, as (start, fraction)."""
    rows = [row for row in played.rows if row.end != "left"]
    credits = list(_credits(rows, sheet))
    found = _by(credits, lambda row: int(row.asked.at // SECONDS))
    return [(SECONDS * second, found[second].part) for second in sorted(found)]


def _credits(rows: Iterable[Row], sheet: Sheet) -> Iterable[tuple[Row, Credit]]:
    """Yield the worth that each request is owed and earns.

    In each window an account is owed its max-min fair share of the engines' capacity.
    Demand above that share is neither owed nor earned.
    """
    windows: dict[int, dict[str, list[Row]]] = defaultdict(lambda: defaultdict(list))
    for row in rows:
        windows[int(row.asked.at // WINDOW_S)][row.asked.account].append(row)
    for by_account in windows.values():
        asked = {a: sum(_work(r) for r in found) for a, found in by_account.items()}
        shares = max_min_shares(asked, sheet.tokens_per_s * WINDOW_S)
        for account, found in by_account.items():
            owed = sum(_worth(row) for row in found) * shares[account] / asked[account]
            earned = min(owed, sum(_earned(row) for row in found))
            total = sum(_worth(row) for row in found)
            for row in found:
                part = _worth(row) / total
                yield row, Credit(owed * part, earned * part)


def _work(row: Row) -> float:
    return row.asked.prompt.tokens_in + 2 * row.asked.out


def _size(row: Row) -> float:
    kind = row.asked.kind
    mean = kind.shared.mean + kind.own.mean + 10 * kind.out.mean
    size = row.asked.prompt.tokens_in + 10 * row.asked.out
    return min(4.0, 0.3 + 0.7 * size / mean)


def _worth(row: Row) -> float:
    return row.asked.kind.worth * _size(row)


def _earned(row: Row) -> float:
    match row.end:
        case "in_time":
            return _worth(row)
        case "late":
            return row.asked.kind.late_worth * _size(row)
    return 0.0


def _total(credits: Iterable[Credit]) -> Credit:
    total = Credit()
    for credit in credits:
        total.owed += credit.owed
        total.earned += credit.earned
    return total


def _by(
    credits: Iterable[tuple[Row, Credit]], key: Callable[[Row], Hashable]
) -> dict[Hashable, Credit]:
    found: dict[Hashable, list[Credit]] = defaultdict(list)
    for row, credit in credits:
        found[key(row)].append(credit)
    return {name: _total(some) for name, some in found.items()}
