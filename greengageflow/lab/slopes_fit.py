"""Least-squares line fits of measured points."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import sqrt
from statistics import fmean

Point = tuple[float, float]


@dataclass(frozen=True, slots=True)
class Fit:
    """A least-squares line.

    Args:
        slope: Increase of the outcome per unit of the driver.
        intercept: Outcome at a driver of zero.
        residual: Root mean square error, in the outcome's unit.
    """

    slope: float
    intercept: float
    residual: float

    def predict(self, driver: float) -> float:
        """Return the outcome predicted for a value of the driver."""
        return self.intercept + self.slope * driver


def fit_line(points: Iterable[Point]) -> Fit:
    """Return the least-squares line through (driver, outcome) points.

    Raises:
        ValueError: The points have fewer than two distinct drivers.
    """
    points = tuple(points)
    if len({x for x, _ in points}) < 2:
        raise ValueError("a line fit needs at least two distinct driver values")
    mean_x = fmean(x for x, _ in points)
    mean_y = fmean(y for _, y in points)
    sum_squares_x = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_squares_x
    intercept = mean_y - slope * mean_x
    mean_squared_error = fmean((y - intercept - slope * x) ** 2 for x, y in points)
    return Fit(slope, intercept, sqrt(mean_squared_error))
