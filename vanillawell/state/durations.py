"""Measure the run times of tasks, since callers' estimates are often far too low or too high.

A few tasks in a hundred take several times as long as the others of their program. A mean that
follows the last ten runs would rise by more than half with each of them, and with it the sizes of
pools, objectives and ranks. So the bulk of the runs and the tail beyond it are measured apart.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from vanillawell.state.progress import JobRecord
    from vanillawell.state.work import Job, Step
    from vanillawell.state.work_policy import Queue

MIN_MEASURED_RUNS = 3
"""Measured runs after which the measured mean replaces the caller's estimate."""

MIN_RUN_WEIGHT = 0.1
"""Weight of a new measurement in the moving mean, after the first ten."""

MAX_BULK_FACTOR = 2.5
"""Multiple of the present mean up to which a run counts for the bulk; runs of one program differ by
far less unless they belong to the tail."""

MIN_TAIL_WEIGHT = 0.005
"""Weight of a run in the mean of a queue's tail, after the first two hundred: single long runs
shall not move it."""


@dataclass(slots=True)
class _MovingMean:
    """Mean of the first values, and a moving mean from then on."""

    min_weight: float
    count: int = 0
    value: float = 0.0

    def add(self, value: float) -> None:
        self.count += 1
        self.value += max(1 / self.count, self.min_weight) * (value - self.value)


class DurationStatistics:
    """Run times of tasks: the bulk by queue and image, the tail by queue."""

    def __init__(self) -> None:
        self._bulk: dict[tuple[str, str], _MovingMean] = {}
        self._tails: dict[str, _MovingMean] = {}
        """Run time beyond the bulk, as a part of the bulk's mean."""

    def record(self, queue: str, step: Step, seconds: float) -> None:
        """Record the measured run time of one run."""
        bulk = self._bulk.setdefault((queue, step.image), _MovingMean(MIN_RUN_WEIGHT))
        if bulk.count < MIN_MEASURED_RUNS:
            bulk.add(seconds)
            return
        inside = min(seconds, MAX_BULK_FACTOR * bulk.value)
        tail = self._tails.setdefault(queue, _MovingMean(MIN_TAIL_WEIGHT))
        tail.add((seconds - inside) / bulk.value if bulk.value else 0.0)
        bulk.add(inside)

    def expected(self, queue: str, step: Step) -> float:
        """Return the run time that a task of the step surely needs unless it belongs to the tail,
        in seconds."""
        bulk = self._bulk.get((queue, step.image))
        return bulk.value if bulk and bulk.count >= MIN_MEASURED_RUNS else step.estimate

    def mean(self, queue: str, step: Step) -> float:
        """Return the mean run time of many tasks like those of the step, in seconds."""
        tail = self._tails.get(queue)
        return self.expected(queue, step) * (1.0 + (tail.value if tail else 0.0))

    def critical_paths(self, job: Job) -> tuple[float, ...]:
        """Return the expected seconds of the longest chain that begins with each step."""
        critical_paths = [self.expected(job.queue, step) for step in job.steps]
        for position in range(len(job.steps) - 1, -1, -1):
            for earlier in job.steps[position].after:
                own = self.expected(job.queue, job.steps[earlier])
                critical_paths[earlier] = max(
                    critical_paths[earlier], own + critical_paths[position]
                )
        return tuple(critical_paths)


def set_objective(record: JobRecord, queue: Queue | None, durations: DurationStatistics) -> None:
    """Set the time by which a job should be completed, by the rules of its queue if available."""
    record.critical_paths = durations.critical_paths(record.job)
    if queue is None:
        record.deadline = record.seen_at
        return
    path = max(record.critical_paths, default=0.0)
    record.deadline = record.seen_at + queue.slack_factor * path + queue.objective
