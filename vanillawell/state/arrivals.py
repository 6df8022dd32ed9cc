"""Measure how much work arrives for each service, and what that says of the next seconds.

A machine that is called takes about 1.5 s to come, and objectives leave too little slack to catch
up afterwards; so a pool is sized by what will arrive by then.
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
"""Seconds over which arriving work is averaged: short, so that a peak shows as it begins, and
long enough that a single large job does not look like one."""

MARGIN = 1.1
"""Multiple of the work that arrives for which there is to be room in any case."""

MARGIN_OF_COUNT = 1.5
"""Further part by which room exceeds it, over the root of the number of jobs that were counted: few
jobs say little of how many come next."""

PRIOR_JOBS = 3
"""Jobs added to the counts of both windows, so that a handful more is not taken for a peak."""

TREND_EXPONENT = 0.6
"""Power of the ratio of two windows by which arrivals go on growing until a machine has come."""

MOST_GROWTH = 3.0
"""Multiple of what arrives now beyond which no growth is provided for."""

WEIGHT_OF_A_JOB = 0.03
"""Weight of a job in the mean of its service's work once some thirty were taken in."""

ALONE = 3
"""Multiple of the cores that a single job can use at once for which it alone makes room.

Lower, a peak that begins with few jobs finds no room; without a bound one job would bring as many
machines as a peak."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """One job that was accepted."""

    at: float
    work: float
    """Core-seconds that it will probably take."""

    widest: float
    """Cores that it can use at once."""


@dataclass(slots=True)
class MeanWork:
    """Mean of the work of jobs, the later ones counting more."""

    jobs: int = 0
    core_seconds: float = 0.0

    def add(self, work: float) -> None:
        """Take in one job."""
        self.jobs += 1
        weight = max(1 / self.jobs, WEIGHT_OF_A_JOB)
        self.core_seconds += weight * (work - self.core_seconds)


@dataclass(slots=True)
class ArrivalMeter:
    """Measure by service how much work arrives, and how that changes."""

    _arrivals: dict[str, deque[Arrival]] = field(default_factory=dict)
    _work: dict[str, MeanWork] = field(default_factory=dict)

    def note(self, service: str, job: Job, durations: DurationStatistics, now: float) -> None:
        """Take in an accepted job."""
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
        """Return the cores that keep up with what will arrive by the time that a machine can come.

        Jobs are counted and taken for as large as those of the service are on average: sizes are
        uneven, and a few large ones within a window look like a peak. The largest stands for itself
        up to a bound; without one, a single job called all idle machines into its pool.
        """
        arrivals = self._arrivals.get(service, deque())
        while arrivals and arrivals[0].at < now - 2 * ARRIVAL_WINDOW:
            arrivals.popleft()
        recent = [item for item in arrivals if item.at >= now - ARRIVAL_WINDOW]
        if not recent:
            return 0.0
        growth = expected_growth(len(recent), len(arrivals) - len(recent)) / ARRIVAL_WINDOW
        largest = max(recent, key=lambda item: item.work)
        alone = min(ALONE * largest.widest, growth * largest.work)
        return alone + growth * (len(recent) - 1) * self._work[service].core_seconds


def expected_growth(recent: int, before: int) -> float:
    """Return the multiple of what arrives now that there should be room for.

    It follows how the jobs of the last window compare with those of the one before: a peak that
    begins grows threefold in the time of a move, and one at its height no more.
    """
    ratio = (recent + PRIOR_JOBS) / (before + PRIOR_JOBS)
    trend = min(MOST_GROWTH, max(1.0, math.pow(ratio, TREND_EXPONENT)))
    return trend * (MARGIN + MARGIN_OF_COUNT / math.sqrt(recent + 1))
