"""Decide when lasting tasks leave an executor that said that it ends.

While time remains they are moved like tasks off machines that are due for upkeep: only where
another executor has a place, and within what their step lets be away at once. What would be lost
with the executor anyway is stopped shortly before: a task that was stopped has a certain end and
can begin elsewhere at once, while a lost one is waited for until its lease is surely over. That
goes for tasks that end by themselves, too, if they save their progress and surely need longer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from vanillawell.state.upkeep import runs_to_move

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from vanillawell.state.executors import Executor
    from vanillawell.state.work import Run

REPORTING = 0.5
"""Seconds from a decision to stop until the end is known, beside the stop itself: a look, an order
that may have to be repeated once, and a report."""


OVERTIME = 0.5
"""Seconds for which executors often go on beyond the time they named; some stay much longer, but a
task with a checkpoint loses little by a needless stop."""

COMPLETE = 100
"""Percentage at which a task has done its work and is about to end."""


def draining_executors(executors: Iterable[Executor]) -> list[Executor]:
    """Return the executors that said that they end, in the same order for each owner."""
    found = [item for item in executors if item.registered and item.earliest_departure is not None]
    return sorted(found, key=lambda item: item.name)


def time_left(executor: Executor, now: float) -> float:
    """Return the least seconds for which an executor that leaves goes on."""
    return max(0.0, (executor.earliest_departure or 0.0) - now)


def stop_deadline_reached(executor: Executor, kill_grace: float, now: float) -> bool:
    """Tell whether stops must go out now for their ends to be known before an executor leaves."""
    return time_left(executor, now) <= kill_grace + REPORTING


def long_running_runs(executor: Executor) -> list[Run]:
    """Return the long-running tasks that are charged to an executor."""
    return [run for run in executor.runs.values() if run.task.step.spec.long_running]


def least_rest(run: Run, now: float) -> float:
    """Return the least seconds that a task still takes, going by the progress shown so far.

    Progress is told in whole per cent, so a task may have come one further than it seems. What it
    had done when it was first reported may be the work of earlier runs, or of a former term.
    """
    if (
        run.first_reported_at is None
        or run.progressed_at is None
        or run.progressed_at <= run.first_reported_at
    ):
        return 0.0
    most_a_second = (run.percent - run.first_reported_percent + 1) / (
        run.progressed_at - run.first_reported_at
    )
    return (COMPLETE - run.percent) / most_a_second - (now - run.progressed_at)


def _outlasts(run: Run, executor: Executor, now: float) -> bool:
    """Tell whether a task surely needs longer than its executor goes on, and saves what it did."""
    spec = run.task.step.spec
    if spec.long_running or not spec.saves_progress:
        return False
    return least_rest(run, now) > time_left(executor, now) + OVERTIME


def runs_to_stop(
    executor: Executor, can_place_elsewhere: Callable[[Run], bool], kill_grace: float, now: float
) -> list[Run]:
    """Return the runs on an executor that leaves that have to be stopped now."""
    if not stop_deadline_reached(executor, kill_grace, now):
        return runs_to_move(executor, can_place_elsewhere)
    lost = long_running_runs(executor)
    lost += [run for run in executor.runs.values() if _outlasts(run, executor, now)]
    return [run for run in lost if not run.stop_requested]
