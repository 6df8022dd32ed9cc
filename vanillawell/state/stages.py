"""Measure from logs how long jobs spend in each stage between acceptance and their end."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from vanillawell.state.explain import JobTimeline

STAGES = ("accepted", "admitted", "first start", "last end", "ended", "told")
"""The moments between which the stages lie, in order."""

QUANTILES = (0.5, 0.95, 0.99)


def stage_rows(timelines: Iterable[JobTimeline]) -> list[dict[str, Any]]:
    """Return a row for each stage: the number of jobs, and quantiles of the seconds they took.

    Jobs that were cancelled or have long-running tasks are left out, since their end is the
    callers' decision. Moments of different processes are compared by their own clocks, so a stage
    that begins in one and ends in another may look negative; it counts as zero.
    """
    moments = [_moments(item) for item in timelines if item.outcome == "completed"]
    rows = (_row(before, after, moments) for before, after in itertools.pairwise(STAGES))
    return [row for row in rows if row["jobs"]]


def _moments(timeline: JobTimeline) -> dict[str, float]:
    """Return when a job reached each moment, as far as it was logged."""
    starts = [line.at for line in timeline.all("tasks started")]
    ends = [line.at for line in timeline.all("tasks done")]
    told = [
        line.at for line in timeline.all("state told") if line.fields.get("state") == "completed"
    ]
    first_lines = {
        "accepted": timeline.first("job accepted"),
        "admitted": timeline.first("job admitted"),
        "ended": timeline.first("job ended"),
    }
    found = {name: line.at for name, line in first_lines.items() if line is not None}
    if starts:
        found["first start"] = min(starts)
    if ends:
        found["last end"] = max(ends)
    if told:
        found["told"] = min(told)
    return found


def _row(before: str, after: str, moments: Sequence[Mapping[str, float]]) -> dict[str, Any]:
    seconds = sorted(
        max(0.0, item[after] - item[before]) for item in moments if before in item and after in item
    )
    quantiles = {
        f"p{round(100 * quantile)}": round(_quantile(seconds, quantile), 3)
        for quantile in QUANTILES
        if seconds
    }
    return {"stage": f"{before} to {after}", "jobs": len(seconds), **quantiles}


def _quantile(values: Sequence[float], quantile: float) -> float:
    """Return a quantile of sorted values, by the nearest rank."""
    return values[min(len(values) - 1, int(quantile * len(values)))]
