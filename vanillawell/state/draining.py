"""Decide when tasks are stopped on an executor that has announced its shutdown.

While time remains, long-running tasks are moved as they are off machines that are due for upkeep:
only if another executor can take them, and within the number of tasks that their step allows to be
away at once. Tasks that would be lost with the executor are stopped shortly before it ends. A
stopped task has a confirmed end and can start elsewhere at once, whereas a lost one can only be
restarted after its lease has expired. The same applies to tasks of limited duration that save their
progress and cannot finish before the executor ends.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from vanillawell.state.upkeep import runs_to_move

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from vanillawell.state.executors import Executor
    from vanillawell.state.progress import Run

STOP_CONFIRMATION_TIME = 0.5
"""Seconds from a decision to stop until the end is confirmed, not counting the stop itself: one
poll interval, an order that may have to be repeated once, and a report."""


TYPICAL_OVERRUN = 0.5
"""Seconds for which executors often continue beyond the time they announced. Some continue much
longer, but a task with a checkpoint loses little by a needless stop."""

COMPLETE_PERCENT = 100
"""Progress in per cent of a task that has finished its work and is about to end."""


def draining_executors(executors: Iterable[Executor]) -> list[Executor]:
    """Return the executors that have announced their shutdown, in the same order for each owner."""
    draining = [
        item for item in executors if item.registered and item.earliest_departure is not None
    ]
    return sorted(draining, key=lambda item: item.name)


def time_left(executor: Executor, now: float) -> float:
    """Return the minimum number of seconds for which a draining executor continues to run."""
    return max(0.0, (executor.earliest_departure or 0.0) - now)


def stop_deadline_reached(executor: Executor, kill_grace: float, now: float) -> bool:
    """Return whether stop orders must go out now to be confirmed before the executor ends."""
    return time_left(executor, now) <= kill_grace + STOP_CONFIRMATION_TIME


def long_running_runs(executor: Executor) -> list[Run]:
    """Return the runs of long-running tasks that are charged to an executor."""
    return [run for run in executor.runs.values() if run.task.step.spec.long_running]


def min_remaining_time(run: Run, now: float) -> float:
    """Return the minimum number of seconds until a task ends, extrapolated from its progress.

    Progress is reported in whole per cent, so the real value may be up to one per cent higher. The
    progress in the first report is not used as a rate: it may be the work of earlier runs, or of
    the time before this owner took over.
    """
    if (
        run.first_reported_at is None
        or run.progressed_at is None
        or run.progressed_at <= run.first_reported_at
    ):
        return 0.0
    max_rate = (run.percent - run.first_reported_percent + 1) / (
        run.progressed_at - run.first_reported_at
    )
    return (COMPLETE_PERCENT - run.percent) / max_rate - (now - run.progressed_at)


def _cannot_end_in_time(run: Run, executor: Executor, now: float) -> bool:
    """Return whether a task saves its progress and cannot end before its executor does."""
    spec = run.task.step.spec
    if spec.long_running or not spec.saves_progress:
        return False
    return min_remaining_time(run, now) > time_left(executor, now) + TYPICAL_OVERRUN


def runs_to_stop(
    executor: Executor, can_place_elsewhere: Callable[[Run], bool], kill_grace: float, now: float
) -> list[Run]:
    """Return the runs that must be stopped now on a draining executor."""
    if not stop_deadline_reached(executor, kill_grace, now):
        return runs_to_move(executor, can_place_elsewhere)
    expected_losses = long_running_runs(executor)
    expected_losses += [
        run for run in executor.runs.values() if _cannot_end_in_time(run, executor, now)
    ]
    return [run for run in expected_losses if not run.stop_requested]
