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
"""Multiple of the arriving work for which capacity is always provided."""

SMALL_SAMPLE_MARGIN = 1.5
"""Additional margin, divided by the square root of the number of counted jobs: a few jobs say
little about how many follow."""

PRIOR_JOBS = 3
"""Jobs added to the counts of both windows, so that a few more jobs do not look like a peak."""

TREND_EXPONENT = 0.6
"""Exponent of the ratio of two windows that gives the growth until a requested machine is ready."""

MAX_GROWTH = 3.0
"""Maximum growth for which capacity is provided, as a multiple of current arrivals."""

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
            size * durations.expected(job.queue, step)
            for size, step in zip(sizes, steps, strict=True)
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

    It is derived from the number of jobs in the last window and in the window before it: a
    beginning peak grows threefold while a machine moves, a peak at its height does not grow.
    """
    ratio = (recent + PRIOR_JOBS) / (previous + PRIOR_JOBS)
    trend = min(MAX_GROWTH, max(1.0, math.pow(ratio, TREND_EXPONENT)))
    return trend * (BASE_MARGIN + SMALL_SAMPLE_MARGIN / math.sqrt(recent + 1))
