"""Tell what became of the jobs of a simulated day."""

from __future__ import annotations

import math
import statistics
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from vanillawell.standins.experiment.least import StepDemand


@dataclass(slots=True)
class SubmittedJob:
    """One submitted job, and when it was completed."""

    at: float
    queue: int
    work: float
    """Core-seconds."""

    objective: float
    """Seconds."""

    done: float | None = None

    @property
    def in_time(self) -> bool:
        """Return whether the job was completed within its objective."""
        return self.done is not None and self.done <= self.at + self.objective


@dataclass(slots=True)
class DayOutcome:
    """The result of a day."""

    jobs: list[SubmittedJob]
    machine_seconds: float
    moves: int
    earliest: list[list[StepDemand]]
    """For each queue, the demand of each step if it runs as early as it can."""

    def in_time(self, begin: float = 0.0, end: float = math.inf, queue: int | None = None) -> float:
        """Return the share of work in time, for the jobs submitted between two times."""
        jobs = [job for job in self.jobs if begin <= job.at < end and queue in (None, job.queue)]
        submitted = sum(job.work for job in jobs)
        return sum(job.work for job in jobs if job.in_time) / submitted if jobs else 1.0

    def worst_windows(self, seconds: float, day_seconds: float) -> float:
        """Return the share of the work in time, as a mean of the day's two worst windows."""
        begins = [number * seconds for number in range(int(day_seconds / seconds))]
        shares = sorted(self.in_time(begin, begin + seconds) for begin in begins)
        return statistics.mean(shares[:2])
