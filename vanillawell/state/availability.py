"""Decide whether planned work may interrupt long-running tasks now.

Moves, upkeep and drains stop tasks, while a step limits how many of its tasks may be away at once.
All planned interruptions of long-running tasks are checked here, at the time their order is sent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from vanillawell.state.executors import Executor
    from vanillawell.state.progress import Run, StepProgress


def count_others_away(step: StepProgress, run: Run) -> int:
    """Return how many other tasks of a step are away."""
    return sum(
        task.run is None or not counts_as_available(task.run)
        for task in step.tasks
        if task.run is not run
    )


def counts_as_available(run: Run) -> bool:
    """Return whether a run was last reported as available, and nothing is about to end it."""
    return run.is_available and not run.stop_requested and not run.interruption_ordered


def may_interrupt(run: Run) -> bool:
    """Return whether planned work may interrupt this run now.

    A step limits how many of its tasks may be away at once. Tasks that are away for any other
    reason count too. A run whose last report did not show it at work gets no exemption: after a
    change of owner nothing has been reported yet, and a task may have started its work between two
    reports. With such an exemption, a new owner stopped two tasks of a step that allows only one of
    its tasks to be away.
    """
    bound = run.task.step.spec.most_away
    return not bound or count_others_away(run.task.step, run) < bound


def has_long_running(executor: Executor) -> bool:
    """Return whether a long-running task is charged to an executor."""
    return any(run.task.step.spec.long_running for run in executor.runs.values())


def may_interrupt_all(executor: Executor) -> bool:
    """Return whether planned work may interrupt everything on an executor at once."""
    long_running = [run for run in executor.runs.values() if run.task.step.spec.long_running]
    for step in {run.task.step for run in long_running}:
        here = [run for run in long_running if run.task.step is step]
        bound = step.spec.most_away
        elsewhere = count_others_away(step, here[0]) - sum(
            not counts_as_available(run) for run in here[1:]
        )
        if bound and elsewhere + len(here) > bound:
            return False
    return True


def mark_runs_away(executor: Executor) -> None:
    """Mark all runs on an executor as away because an order that ends it is about to be sent.

    Orders are sent concurrently. If runs were marked only when the order is answered, two tasks of
    a step that allows one of them to be away could be interrupted together. Reports that arrive
    meanwhile still show the runs at work.
    """
    for run in executor.runs.values():
        run.interruption_ordered = True


def unmark_runs_away(executor: Executor) -> None:
    """Let reports tell again whether the runs on an executor are available, since the order that
    was to end it was refused."""
    for run in executor.runs.values():
        run.interruption_ordered = False
