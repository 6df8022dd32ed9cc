"""Reserve executors for waiting long-running tasks, and let short tasks backfill them.

A stream of short tasks would take all capacity that becomes free, so that a larger long-running
task never finds enough of it on one executor.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from vanillawell.state.placement import cpu_utilisation
from vanillawell.state.progress import Run
from vanillawell.state.work import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

    from vanillawell.state.durations import DurationStatistics
    from vanillawell.state.executors import Executor
    from vanillawell.state.progress import StepProgress
    from vanillawell.state.work import Step

log = logging.getLogger(__name__)

MIN_USED_PART = 0.5
"""Part of a pool's capacity in use from which a reservation may last for as long as it takes. In an
emptier pool, callers of short tasks see free capacity and expect to use it."""

MAX_RESERVED_TIME = 2.0
"""Seconds until a reserved executor has to suffice, in an emptier pool."""


class Reservations:
    """Executors that are reserved for long-running tasks, in one pass."""

    def __init__(self, durations: DurationStatistics, now: float) -> None:
        self._durations = durations
        self._now = now
        self._sufficient_at: dict[str, float] = {}
        """Time at which the free capacity of each reserved executor is expected to suffice."""

        self._beside_long_running: dict[str, tuple[Resources, Resources]] = {}
        """What was in use on an executor, and what its long-running tasks leave then."""

    def resume(self, now: float) -> None:
        """Continue a pass at a later time."""
        self._now = now
        self._beside_long_running = {}

    def reserve(
        self, step: StepProgress, candidates: Iterable[Executor], pool: Sequence[Executor]
    ) -> None:
        """Reserve the least utilised executor that can ever hold a task of a long-running step
        beside the long-running tasks that it has; none if there is no such executor.
        """
        need = step.spec.reserved
        large_enough = [item for item in candidates if need.fits(item.facts.capacity)]
        large_enough.sort(key=lambda item: (cpu_utilisation(item), item.name))
        suitable = (
            item for item in large_enough if need.fits(self._capacity_beside_long_running(item))
        )
        chosen = next(suitable, None)
        sufficient_at = self._time_when_sufficient(chosen, need) if chosen else self._now
        is_soon = sufficient_at <= self._now + MAX_RESERVED_TIME
        if chosen is None or not (is_soon or _is_in_use(pool)):
            step.reserved_executor = ""
            return
        self._sufficient_at[chosen.name] = min(
            sufficient_at, self._sufficient_at.get(chosen.name, sufficient_at)
        )
        self._log(step, chosen.name, sufficient_at)

    def kept_from(self, queue: str, spec: Step) -> Collection[str]:
        """Return the executors on which no task of a step may start, since it is not expected to
        end before the capacity there suffices for a long-running task."""
        if spec.long_running or not self._sufficient_at:
            return ()
        ends_at = self._now + self._durations.expected(queue, spec)
        return {
            name for name, sufficient_at in self._sufficient_at.items() if ends_at >= sufficient_at
        }

    def _capacity_beside_long_running(self, executor: Executor) -> Resources:
        """Return what an executor has once its short tasks have ended."""
        used, left = self._beside_long_running.get(executor.name, (None, NO_RESOURCES))
        if used != executor.used:
            runs = (run for run in executor.runs.values() if run.task.step.spec.long_running)
            left = executor.facts.capacity - sum((run.reserved for run in runs), NO_RESOURCES)
            self._beside_long_running[executor.name] = (executor.used, left)
        return left

    def _time_when_sufficient(self, executor: Executor, need: Resources) -> float:
        """Return when enough short tasks on an executor are expected to have ended."""
        runs = [run for run in executor.runs.values() if not run.task.step.spec.long_running]
        free = executor.free
        sufficient_at = self._now
        for remaining, run in sorted(((self._remaining(run), run) for run in runs), key=_seconds):
            if need.fits(free):
                break
            free += run.reserved
            sufficient_at = self._now + remaining
        return sufficient_at

    def _remaining(self, run: Run) -> float:
        """Return the expected seconds until a run ends; one that takes longer than expected is
        taken to need as long again."""
        step = run.task.step
        expected = self._durations.expected(step.record.job.queue, step.spec)
        elapsed = self._now - run.started if run.started is not None else 0.0
        return expected - elapsed if elapsed < expected else elapsed

    def _log(self, step: StepProgress, executor: str, sufficient_at: float) -> None:
        if step.reserved_executor == executor:
            return
        step.reserved_executor = executor
        fields = {"job": step.record.job.job_id, "step": step.position, "executor": executor}
        log.info(
            "executor reserved",
            extra={**fields, "sufficient_in": round(sufficient_at - self._now, 3)},
        )


def _seconds(item: tuple[float, Run]) -> float:
    return item[0]


def _is_in_use(pool: Sequence[Executor]) -> bool:
    """Return whether `MIN_USED_PART` of any kind of resource of a pool is in use."""
    used = sum((item.used for item in pool), NO_RESOURCES)
    capacity = sum((item.facts.capacity for item in pool), NO_RESOURCES)
    pairs = (
        (used.cpu, capacity.cpu),
        (used.memory, capacity.memory),
        (used.gpu, capacity.gpu),
    )
    return any(part >= MIN_USED_PART * whole for part, whole in pairs if whole)
