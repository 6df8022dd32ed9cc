"""Keep room free for waiting long-running tasks, without costing others more than it helps.

A stream of short tasks would take all room that becomes free, so that a larger long-running task
never finds a place.
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
"""Part of a pool's capacity from which others may wait for as long as it takes. In an emptier pool
most of the room that they see is for them."""

MAX_WAIT_FOR_ROOM = 2.0
"""Seconds for which room is kept free in an emptier pool."""


class Reservations:
    """Executors whose room is kept for long-running tasks, in one pass."""

    def __init__(self, durations: DurationStatistics, now: float) -> None:
        self._durations = durations
        self._now = now
        self._room_at: dict[str, float] = {}
        """Time at which the room on each executor is expected to suffice, by name."""

    def resume(self, now: float) -> None:
        """Go on with a pass at a later time."""
        self._now = now

    def reserve(
        self, step: StepProgress, candidates: Iterable[Executor], pool: Sequence[Executor]
    ) -> None:
        """Keep room for a long-running step on the least utilised executor that can ever hold a
        task of it beside the long-running tasks that it has; on none if there is no such executor.
        """
        need = step.spec.reserved
        suitable = [
            item for item in candidates if need.fits(_capacity_beside_long_running_tasks(item))
        ]
        chosen = min(suitable, key=lambda item: (cpu_utilisation(item), item.name), default=None)
        room_at = self._time_of_room(chosen, need) if chosen else self._now
        is_soon = room_at <= self._now + MAX_WAIT_FOR_ROOM
        if chosen is None or not (is_soon or _is_in_use(pool)):
            step.reserved_executor = ""
            return
        self._room_at[chosen.name] = min(room_at, self._room_at.get(chosen.name, room_at))
        self._log(step, chosen.name, room_at)

    def kept_from(self, queue: str, spec: Step) -> Collection[str]:
        """Return the executors on which no task of a step may start, since it is not expected to
        end before the room there suffices for a long-running task."""
        if spec.long_running or not self._room_at:
            return ()
        ends_at = self._now + self._durations.expected(queue, spec)
        return {name for name, room_at in self._room_at.items() if ends_at >= room_at}

    def _time_of_room(self, executor: Executor, need: Resources) -> float:
        """Return when enough short tasks on an executor are expected to have ended."""
        runs = [run for run in executor.runs.values() if not run.task.step.spec.long_running]
        free = executor.free
        room_at = self._now
        for remaining, run in sorted(((self._remaining(run), run) for run in runs), key=_seconds):
            if need.fits(free):
                break
            free += run.reserved
            room_at = self._now + remaining
        return room_at

    def _remaining(self, run: Run) -> float:
        """Return the expected seconds until a run ends; one that takes longer than expected is
        taken to need as long again."""
        step = run.task.step
        expected = self._durations.expected(step.record.job.queue, step.spec)
        elapsed = self._now - run.started if run.started is not None else 0.0
        return expected - elapsed if elapsed < expected else elapsed

    def _log(self, step: StepProgress, executor: str, room_at: float) -> None:
        if step.reserved_executor == executor:
            return
        step.reserved_executor = executor
        fields = {"job": step.record.job.job_id, "step": step.position, "executor": executor}
        log.info("room kept", extra={**fields, "room_in": round(room_at - self._now, 3)})


def _seconds(item: tuple[float, Run]) -> float:
    return item[0]


def _capacity_beside_long_running_tasks(executor: Executor) -> Resources:
    """Return what an executor has once its short tasks have ended."""
    runs = (run for run in executor.runs.values() if run.task.step.spec.long_running)
    return executor.facts.capacity - sum((run.reserved for run in runs), NO_RESOURCES)


def _is_in_use(pool: Sequence[Executor]) -> bool:
    """Return whether so much of any kind of resource of a pool is in use that room may be kept."""
    used = sum((item.used for item in pool), NO_RESOURCES)
    capacity = sum((item.facts.capacity for item in pool), NO_RESOURCES)
    pairs = (
        (used.cpu, capacity.cpu),
        (used.memory, capacity.memory),
        (used.gpu, capacity.gpu),
    )
    return any(part >= MIN_USED_PART * whole for part, whole in pairs if whole)
