"""Fit a straight line through measured points and say how far they lie from it."""

from __future__ import annotations

from dataclasses import dataclass
from statistics import linear_regression
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class Fit:
    """A line through measured points."""

    unit: str
    slope: float
    """Units for each further item of the size that was varied."""

    base: float
    """Units at size zero."""

    residual: float
    """Largest distance of a point from the line, as part of the largest value."""

    points: dict[int, float]

    def at(self, size: int) -> float:
        """Return the line's value at a size."""
        return self.base + self.slope * size


def fit(points: Mapping[int, float], unit: str) -> Fit:
    """Fit a line through values by size."""
    line = linear_regression(list(points), list(points.values()))
    worst = max(abs(line.intercept + line.slope * x - y) for x, y in points.items())
    largest = max(points.values()) or 1.0
    return Fit(unit, line.slope, line.intercept, worst / largest, dict(points))
