"""Learn how long tasks really take, since callers' estimates are far off both ways."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from vanillawell.state.work import Job, Step

ENOUGH = 3
"""Measured runs after which the measured mean replaces the caller's estimate."""

WEIGHT = 0.1
"""Weight of a new measurement in the moving mean once ten were taken."""


class DurationStatistics:
    """Hold the mean run time of tasks by queue and image."""

    def __init__(self) -> None:
        self._means: dict[tuple[str, str], tuple[int, float]] = {}

    def learn(self, queue: str, step: Step, seconds: float) -> None:
        """Take in one measured run."""
        key = (queue, step.image)
        count, mean = self._means.get(key, (0, 0.0))
        weight = max(1 / (count + 1), WEIGHT)
        self._means[key] = (count + 1, mean + weight * (seconds - mean))

    def expected(self, queue: str, step: Step) -> float:
        """Return the seconds a task of the step will probably take."""
        count, mean = self._means.get((queue, step.image), (0, 0.0))
        return mean if count >= ENOUGH else step.estimate

    def critical_paths(self, job: Job) -> tuple[float, ...]:
        """Return for each step the seconds of the longest chain that begins with it."""
        critical_paths = [self.expected(job.queue, step) for step in job.steps]
        for position in range(len(job.steps) - 1, -1, -1):
            for earlier in job.steps[position].after:
                own = self.expected(job.queue, job.steps[earlier])
                critical_paths[earlier] = max(
                    critical_paths[earlier], own + critical_paths[position]
                )
        return tuple(critical_paths)
