"""Section of docs/CAPACITY.md from a sweep of fleet sizes with ``fleetbench``."""

import re
from collections.abc import Iterator
from dataclasses import dataclass
from math import exp, log

from greengageflow.lab._processes import ROOT
from greengageflow.lab.slopes_fit import fit_line

SAVED_PATH = ROOT / "docs" / "sweep-large.txt"
NODES = 360
BUDGETS = {"processor %": 2.0, "memory MB": 32.0, "kB a second": 30.0}

HEAD = """# Capacity

Made by `greengage-bench capacity` from [sweep-large.txt](sweep-large.txt),
[gateway-slopes.json](gateway-slopes.json) and [slopes.json](slopes.json); do not edit
it, change `greengageflow/lab/capacity.py` and the modules `_capacity_*.py` beside it.

## One host, by sweep

`fleetbench sweep` of the large deployment at {sizes} hosts, ten endpoints a host, with
faults and a restart of all. A cell holds the middle host and the busiest one.
Requests and faults are in the figures as well as control: the budget of the
design size is for control alone, so that what fits here fits, and what does not may.
The last columns carry the line through the logarithms on to {nodes} hosts.
Run: {origin}.

| a host | {columns} | at {nodes}, carried on | budget | fits |
| --- | {rules} | --- | --- | --- |"""


@dataclass(frozen=True, slots=True)
class SweepRow:
    """One measured quantity of a sweep.

    Args:
        name: Name of the quantity.
        cells: Values of the median and of the busiest host at each size.
    """

    name: str
    cells: tuple[tuple[float, float], ...]


@dataclass(frozen=True, slots=True)
class Sweep:
    """Results parsed from the output of a sweep.

    Args:
        origin: First line of the output: code version and date.
        sizes: Fleet sizes, in hosts.
        rows: Measured quantities.
    """

    origin: str
    sizes: tuple[int, ...]
    rows: tuple[SweepRow, ...]


def read_sweep(text: str) -> Sweep:
    """Parse the table in the output of a sweep.

    Raises:
        ValueError: The output has no table of fleet sizes.
    """
    lines = text.splitlines()
    header_lines = [
        index for index, line in enumerate(lines) if line.lstrip().startswith("30 ")
    ]
    if not header_lines:
        raise ValueError("no table of fleet sizes in the sweep output")
    sizes = tuple(int(size) for size in re.findall(r"\d+", lines[header_lines[0]])[:-1])
    rows = []
    for line in lines[header_lines[0] + 1 :]:
        cells = re.findall(r"(\d+(?:\.\d+)?) / (\d+(?:\.\d+)?)", line)
        if len(cells) == len(sizes):
            name = re.split(r"\s{2,}", line.strip())[0].removeprefix("router: ")
            rows.append(SweepRow(name, tuple((float(a), float(b)) for a, b in cells)))
    return Sweep(lines[0], sizes, tuple(rows))


def extrapolate(sizes: tuple[int, ...], values: tuple[float, ...], to: int) -> float:
    """Extrapolate values to another fleet size by a power-law fit.

    Where a value is not positive, the last value is returned unchanged.
    """
    if min(values) <= 0:
        return values[-1]
    points = [(log(x), log(y)) for x, y in zip(sizes, values, strict=True)]
    return exp(fit_line(points).predict(log(to)))


def sweep_part() -> Iterator[str]:
    """Yield the lines of the section."""
    sweep = read_sweep(SAVED_PATH.read_text())
    yield HEAD.format(
        sizes=", ".join(map(str, sweep.sizes)),
        origin=sweep.origin,
        nodes=NODES,
        columns=" | ".join(map(str, sweep.sizes)),
        rules=" | ".join("---" for _ in sweep.sizes),
    )
    for row in sweep.rows:
        yield _line(sweep.sizes, row)
    yield ""


def _line(sizes: tuple[int, ...], row: SweepRow) -> str:
    extrapolated = [
        extrapolate(sizes, values, NODES) for values in zip(*row.cells, strict=True)
    ]
    cells = [f"{median:g}, {busiest:g}" for median, busiest in row.cells]
    budget = BUDGETS.get(row.name)
    fits = (
        ["", ""] if budget is None else [f"{budget:g}", _verdict(budget, *extrapolated)]
    )
    columns = [row.name, *cells, f"{extrapolated[0]:.3g}, {extrapolated[1]:.3g}", *fits]
    return f"| {' | '.join(columns)} |"


def _verdict(budget: float, median: float, busiest: float) -> str:
    if busiest <= budget:
        return "yes"
    return "the middle one" if median <= budget else "**no**"
