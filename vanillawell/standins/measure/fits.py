"""Fit a straight line to measured points and report their largest deviation from it."""

from __future__ import annotations

from dataclasses import dataclass
from statistics import linear_regression
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class Fit:
    """A straight line fitted to measured points."""

    unit: str
    slope: float
    """Increase of the value, in units, for each additional item of the size that was varied."""

    base: float
    """Value of the line at size zero, in units."""

    residual: float
    """Largest deviation of a point from the line, as a fraction of the largest value."""

    points: dict[int, float]

    def at(self, size: int) -> float:
        """Return the value of the line at a size."""
        return self.base + self.slope * size


def fit_line(points: Mapping[int, float], unit: str) -> Fit:
    """Fit a line to measured values by size, by least squares."""
    line = linear_regression(list(points), list(points.values()))
    max_deviation = max(abs(line.intercept + line.slope * x - y) for x, y in points.items())
    max_value = max(points.values()) or 1.0
    return Fit(unit, line.slope, line.intercept, max_deviation / max_value, dict(points))
