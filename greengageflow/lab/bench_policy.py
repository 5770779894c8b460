"""Ablation benchmark of scheduling and placement with simulated engines."""

from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from math import inf
from pathlib import Path
from statistics import fmean, stdev

from greengageflow.core import (
    endpoint_choice,
    prefill_model,
    service_dispatcher,
    service_scheduler,
    work_model,
)
from greengageflow.lab._slopes_svg import draw
from greengageflow.lab.policy_deployments import DEPLOYMENTS
from greengageflow.lab.policy_scores import score_day, worth_by_time
from greengageflow.lab.policy_simulation import Simulation

PROCESSES = 6

Figures = Mapping[str, float]
TimeSeries = list[tuple[float, float]]


def _set_constants(module: object, **values: object) -> Callable[[], None]:
    def patch() -> None:
        for name, value in values.items():
            if not hasattr(module, name):
                raise AttributeError(f"{module} has no {name}")
            setattr(module, name, value)

    return patch


def _no_fixed_time() -> None:
    fit = prefill_model.PrefillModel._fit

    def patched(model: prefill_model.PrefillModel) -> None:
        fit(model)
        model.fixed_s = 0.0

    prefill_model.PrefillModel._fit = patched


def _no_mirror() -> None:
    service_dispatcher.CacheMirror.touch = lambda _mirror, _parts: ()


def _no_asking() -> None:
    service_dispatcher.ServiceDispatcher.on_cached_parts = lambda *_args: None


def _no_stated_shares() -> None:
    service_dispatcher.ServiceDispatcher._fair_share_capacity = (
        lambda _dispatcher, done: max(done, 50_000.0)
    )


def _no_fetch() -> None:
    choose = endpoint_choice.EndpointChooser.choose

    def patched(*args: object, **options: object) -> object:
        return choose(*args, **(options | {"transfers": False}))

    endpoint_choice.EndpointChooser.choose = patched


def _no_estimates() -> None:
    work_model.WorkModel.estimate = lambda *_args: None


def _no_speeds() -> None:
    work_model.WorkModel.slowness = lambda *_args: 1.0


def _no_forecast() -> None:
    service_scheduler.ServiceScheduler.refuse_hopeless = lambda *_args: None


MECHANISMS: Mapping[str, Callable[[], None]] = {
    "fixed-time": _no_fixed_time,
    "zones": _set_constants(endpoint_choice, CROSS_ZONE_PENALTY_S=0.0),
    "homes": _set_constants(endpoint_choice, HOME_BONUS_S=0.0),
    "fetch": _no_fetch,
    "copy-price": _set_constants(endpoint_choice, COPY_COST_FRACTION=0.0),
    "mirror": _no_mirror,
    "asking": _no_asking,
    "stated-shares": _no_stated_shares,
    "levels": _set_constants(service_dispatcher, FAIR_SHARE_TOLERANCE=inf),
    "slack": _set_constants(
        service_scheduler, SPARE_WAIT_TARGET_FRACTION=inf, SPARE_FILL_FRACTION=1.0
    ),
    "first-by": _set_constants(service_scheduler, FIRST_EVENT_TARGET_FRACTION=inf),
    "estimates": _no_estimates,
    "speeds": _no_speeds,
    "forecast": _no_forecast,
    "queue": _set_constants(service_scheduler, QUEUE_TARGET_FRACTION=0.1),
}
"""Functions that disable a mechanism, by name."""


def _simulate(without: str, sheet: str, seed: int) -> tuple[Figures, TimeSeries]:
    if without:
        MECHANISMS[without]()
    result = Simulation(DEPLOYMENTS[sheet], seed).run()
    return score_day(result, DEPLOYMENTS[sheet]), worth_by_time(
        result, DEPLOYMENTS[sheet]
    )


def simulate_seeds(
    sheet: str, seeds: range, without: str = ""
) -> list[tuple[Figures, TimeSeries]]:
    """Simulate one day per seed and return figures and time series, in order.

    Args:
        sheet: Name of a deployment.
        seeds: Seeds.
        without: Mechanism to disable; empty for none.
    """
    job = partial(_simulate, without, sheet)
    with ProcessPoolExecutor(PROCESSES) as pool:
        return list(pool.map(job, seeds))


def run_policy(sheet: str, seeds: range, without: tuple[str, ...], out: str) -> None:
    """Print the figures with all mechanisms and the effect of disabling each.

    Args:
        sheet: Name of a deployment.
        seeds: Seeds.
        without: Mechanisms to disable, one at a time.
        out: SVG file for the time series; empty for none.
    """
    base = simulate_seeds(sheet, seeds)
    time_series = {"all": _mean_series([series for _, series in base])}
    columns = {"all": [figures for figures, _ in base]}
    for name in without:
        days = simulate_seeds(sheet, seeds, name)
        columns[f"no {name}"] = [figures for figures, _ in days]
        time_series[f"no {name}"] = _mean_series([series for _, series in days])
    print("\n".join(_table(columns)))
    if out:
        panels = {name: {"points": points} for name, points in time_series.items()}
        Path(out).write_text(draw(panels))


def _table(columns: Mapping[str, list[Figures]]) -> Iterator[str]:
    """Yield lines with means, and for other columns the mean paired difference.

    Each mean is followed by its standard error.
    """
    base = columns["all"]
    others = [name for name in columns if name != "all"]
    yield " ".join([f"{'':17}", f"{'all':>15}", *(f"{n:>17}" for n in others)])
    for figure in base[0]:
        base_values = [day.get(figure, 0.0) for day in base]
        cells = [f"{fmean(base_values):7.3f} +-{_standard_error(base_values):5.3f}"]
        for name in others:
            pairs = zip(columns[name], base_values, strict=True)
            differences = [day.get(figure, 0.0) - before for day, before in pairs]
            mean, error = fmean(differences), _standard_error(differences)
            cells.append(f"{mean:+8.3f} +-{error:5.3f}")
        yield " ".join([f"{figure:17}", *cells])


def _standard_error(values: list[float]) -> float:
    """Return the standard error of the mean."""
    return stdev(values) / len(values) ** 0.5 if len(values) > 1 else 0.0


def _mean_series(time_series: list[TimeSeries]) -> TimeSeries:
    seconds = sorted({second for series in time_series for second, _ in series})
    by_second = [dict(series) for series in time_series]
    return [(s, fmean(c[s] for c in by_second if s in c)) for s in seconds]
