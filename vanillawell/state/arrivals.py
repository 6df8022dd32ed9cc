"""Measure the work arriving for each service, and forecast it for the next seconds.

A requested machine takes about 1.5 s to become ready, and objectives leave too little slack to
catch up afterwards. A pool is therefore sized for the work expected by then.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from vanillawell.state.work import MILLICORES_PER_CORE

if TYPE_CHECKING:
    from vanillawell.state.durations import DurationStatistics
    from vanillawell.state.work import Job

ARRIVAL_WINDOW = 0.7
"""Seconds over which arriving work is averaged: short enough to detect a peak as it begins, and
long enough that a single large job does not look like one."""

BASE_MARGIN = 1.1
"""Multiple of the expected arrivals for which capacity is always provided."""

MIN_CHANGE = 1.0
"""Difference between the counts of two windows that counts as a change of the load, in standard
deviations of a difference that is due to chance alone."""

LEAD_WINDOWS = 2.3
"""Windows by which a growing load is extrapolated: until a requested machine is ready."""

MAX_GROWTH = 6.0
"""Maximum of the expected arrivals, as a multiple of those in the last window."""

COUNT_MARGIN = 0.7
"""Standard deviations of the expected number of jobs that are added to it."""

MIN_JOB_WEIGHT = 0.03
"""Weight of a new job in the moving mean of its service's work, after the first thirty or so."""

LARGEST_JOB_FACTOR = 3
"""Maximum capacity provided for the largest job, as a multiple of the cores it can use at once.

With a lower factor a peak that begins with few jobs finds no capacity; without a maximum a single
job would request as many machines as a peak."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """An accepted job."""

    time: float
    work: float
    """Expected work in core-seconds."""

    max_cores: float
    """Maximum number of cores that it can use at once."""


@dataclass(slots=True)
class MeanWork:
    """Moving mean of the work of jobs."""

    jobs: int = 0
    core_seconds: float = 0.0

    def add(self, work: float) -> None:
        """Add one job."""
        self.jobs += 1
        weight = max(1 / self.jobs, MIN_JOB_WEIGHT)
        self.core_seconds += weight * (work - self.core_seconds)


@dataclass(slots=True)
class ArrivalMeter:
    """Measure the arriving work of each service and its trend."""

    _arrivals: dict[str, deque[Arrival]] = field(default_factory=dict)
    _work: dict[str, MeanWork] = field(default_factory=dict)

    def record(self, service: str, job: Job, durations: DurationStatistics, now: float) -> None:
        """Record an accepted job; long-running tasks do not count."""
        steps = [step for step in job.steps if not step.long_running]
        sizes = [step.count * step.reserved.cpu / MILLICORES_PER_CORE for step in steps]
        work = sum(
            size * durations.mean(job.queue, step) for size, step in zip(sizes, steps, strict=True)
        )
        if not work:
            return
        self._arrivals.setdefault(service, deque()).append(Arrival(now, work, max(sizes)))
        self._work.setdefault(service, MeanWork()).add(work)

    def required_cores(self, service: str, now: float) -> float:
        """Return the cores needed for the work expected by the time a requested machine is ready.

        Jobs are counted, and each counts with the mean work of the service: sizes vary, and a few
        large jobs within a window would look like a peak. The largest job counts with its own work
        up to a maximum; without it, a single job would request all idle machines for its pool.
        """
        arrivals = self._arrivals.get(service, deque())
        while arrivals and arrivals[0].time < now - 2 * ARRIVAL_WINDOW:
            arrivals.popleft()
        recent = [item for item in arrivals if item.time >= now - ARRIVAL_WINDOW]
        if not recent:
            return 0.0
        rate_factor = expected_growth(len(recent), len(arrivals) - len(recent)) / ARRIVAL_WINDOW
        largest = max(recent, key=lambda item: item.work)
        for_largest = min(LARGEST_JOB_FACTOR * largest.max_cores, rate_factor * largest.work)
        return for_largest + rate_factor * (len(recent) - 1) * self._work[service].core_seconds


def expected_growth(recent: int, previous: int) -> float:
    """Return the multiple of the current arrivals for which capacity should be provided.

    Args:
        recent: Jobs in the last window; at least one.
        previous: Jobs in the window before it.
    """
    expected = expected_arrivals(recent, previous)
    return max(1.0, BASE_MARGIN * (expected + COUNT_MARGIN * math.sqrt(expected + 1)) / recent)


def expected_arrivals(recent: int, previous: int) -> float:
    """Return the jobs expected in a window by the time a requested machine is ready.

    The counts of two windows differ by chance even if the load does not change. Unless they differ
    by more than that, the load is taken for steady, and both windows count. A load that grows is
    extrapolated, one that falls is taken as it is now.
    """
    change = recent - previous
    if abs(change) <= MIN_CHANGE * math.sqrt(recent + previous):
        return (recent + previous) / 2 if previous else recent
    if change < 0:
        return recent
    return min(MAX_GROWTH * recent, recent + LEAD_WINDOWS * change)
