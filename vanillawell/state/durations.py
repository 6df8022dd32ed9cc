"""Measure the run times of tasks, since callers' estimates are often far too low or too high."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from vanillawell.state.work import Job, Step

MIN_MEASURED_RUNS = 3
"""Measured runs after which the measured mean replaces the caller's estimate."""

MIN_RUN_WEIGHT = 0.1
"""Weight of a new measurement in the moving mean, after the first ten."""


class DurationStatistics:
    """Moving mean of the run times of tasks, by queue and image."""

    def __init__(self) -> None:
        self._means: dict[tuple[str, str], tuple[int, float]] = {}

    def record(self, queue: str, step: Step, seconds: float) -> None:
        """Record the measured run time of one run."""
        key = (queue, step.image)
        count, mean = self._means.get(key, (0, 0.0))
        weight = max(1 / (count + 1), MIN_RUN_WEIGHT)
        self._means[key] = (count + 1, mean + weight * (seconds - mean))

    def expected(self, queue: str, step: Step) -> float:
        """Return the expected run time of a task of the step, in seconds."""
        count, mean = self._means.get((queue, step.image), (0, 0.0))
        return mean if count >= MIN_MEASURED_RUNS else step.estimate

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
