"""``make bench-slopes``: measures the cost of each router role as its load grows.

Each experiment runs the real core and codec. It measures the processor time of this
process, the bytes of encoded messages and the memory reported by ``tracemalloc``.
Results are saved as JSON with the seed, the date and the load average, and plotted.
``capacity`` generates docs/CAPACITY.md from them.
"""

import json
import os
from collections.abc import Iterable, Iterator
from datetime import UTC, datetime
from importlib import import_module
from pathlib import Path
from statistics import median
from time import monotonic
from typing import Any

from greengageflow.lab._processes import ROOT
from greengageflow.lab._slopes_members import (
    simulate_region_partition,
    simulate_zone_loss,
)
from greengageflow.lab._slopes_svg import draw
from greengageflow.lab._slopes_world import SEED, Experiment
from greengageflow.lab.slopes_fit import fit_line

SLOPES_PATH = ROOT / "docs" / "slopes.json"
PLOT_PATH = ROOT / "docs" / "slopes.svg"
ROLES = ("requests", "shares", "members", "config", "actions", "view", "link", "stream")
_REPEATS = 3
_REPEAT_LIMIT_S = 3.0
"""Points whose first run takes at least this long are not repeated."""


def measure(experiment: Experiment) -> Iterator[tuple[str, list[list[float]]]]:
    """Yield the name and the (driver, outcome) points of each outcome."""
    rows = [(x, _median_outcomes(experiment, x)) for x in experiment.points]
    for name in rows[0][1]:
        yield name, [[x, outcomes[name]] for x, outcomes in rows]


def _median_outcomes(experiment: Experiment, x: int) -> dict[str, float]:
    start = monotonic()
    runs = [experiment.run(x)]
    if monotonic() - start < _REPEAT_LIMIT_S:
        runs += [experiment.run(x) for _ in range(_REPEATS - 1)]
    return {name: median(run[name] for run in runs) for name in runs[0]}


def run_role(role: str) -> dict[str, Any]:
    """Measure one role and return its entries for the JSON file."""
    entries = {}
    for experiment in import_module(f"greengageflow.lab._slopes_{role}").experiments():
        load = os.getloadavg()[0]
        for name, points in measure(experiment):
            line = fit_line(points)
            entries[f"{experiment.role}/{experiment.driver}/{name}"] = {
                "points": [[x, round(y, 3)] for x, y in points],
                "slope": line.slope,
                "intercept": line.intercept,
                "residual": line.residual,
                "load": round(load, 1),
            }
    return entries


def load(path: Path = SLOPES_PATH) -> dict[str, Any]:
    """Return the saved document."""
    return json.loads(path.read_text())


def save(document: dict[str, Any], path: Path = SLOPES_PATH) -> None:
    """Save the document with one slope per line."""
    metadata = {key: value for key, value in document.items() if key != "slopes"}
    rows = (
        f"{json.dumps(name)}: {json.dumps(entry, sort_keys=True)}"
        for name, entry in sorted(document["slopes"].items())
    )
    head = json.dumps(metadata, sort_keys=True)[:-1] + ", " if metadata else "{"
    slopes = ",\n".join(rows)
    path.write_text(f'{head}"slopes": {{\n{slopes}\n}}}}\n')


def run_events() -> None:
    """Simulate the loss of a zone and a partition of regions; save the results."""
    events = {
        "lost_zone": simulate_zone_loss(),
        "regions_apart": simulate_region_partition(),
    }
    document = load()
    document["events"] = events
    save(document)
    print(json.dumps({"events": events}), flush=True)


def run_slopes(roles: Iterable[str] = ROLES) -> None:
    """Measure the given roles, save and plot them; keep the entries of other roles."""
    for role in roles:
        entries = run_role(role)
        document = load() if SLOPES_PATH.exists() else {"slopes": {}}
        document["seed"] = SEED
        document["date"] = datetime.now(UTC).strftime("%Y-%m-%d %H:%M UTC")
        document["processors"] = os.cpu_count()
        document["slopes"].update(entries)
        save(document)
        for name, entry in entries.items():
            print(
                json.dumps(
                    {
                        "name": name,
                        **{
                            key: round(entry[key], 4)
                            for key in ("slope", "intercept", "residual", "load")
                        },
                    }
                ),
                flush=True,
            )
    PLOT_PATH.write_text(draw(load()["slopes"]))
