"""Answer one question for all planned work: may it end tasks that last, now?

Moves, upkeep and drains end tasks; steps say how many of their tasks may be away at once. Whatever
ends a lasting task on purpose asks here, at the moment at which its order goes out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from vanillawell.state.executors import Executor
    from vanillawell.state.work import Run, StepProgress


def others_away(step: StepProgress, run: Run) -> int:
    """Return how many other tasks of a step are not at work."""
    return sum(
        task.run is None or not is_working(task.run) for task in step.tasks if task.run is not run
    )


def is_working(run: Run) -> bool:
    """Tell whether a long-running task is at work, as last reported, and may go on."""
    return run.is_available and not run.stop_requested


def may_interrupt(run: Run) -> bool:
    """Tell whether planned work may end this run now.

    A step says how many of its tasks may be away at once. Tasks that are away for any other cause
    count too: they would be missing all the same. That the run itself was not at work when its
    executor last reported allows nothing: after a change of owner nothing has been reported yet,
    and between two reports a task may have got to work. A new owner that took it for granted
    stopped two tasks of a step of which one might be away.
    """
    bound = run.task.step.spec.most_away
    return not bound or others_away(run.task.step, run) < bound


def has_long_running(executor: Executor) -> bool:
    """Tell whether a long-running task is charged to an executor."""
    return any(run.task.step.spec.long_running for run in executor.runs.values())


def may_interrupt_all(executor: Executor) -> bool:
    """Tell whether planned work may end everything on an executor at once."""
    lasting = [run for run in executor.runs.values() if run.task.step.spec.long_running]
    for step in {run.task.step for run in lasting}:
        here = [run for run in lasting if run.task.step is step]
        bound = step.spec.most_away
        elsewhere = others_away(step, here[0]) - sum(not is_working(run) for run in here[1:])
        if bound and elsewhere + len(here) > bound:
            return False
    return True


def mark_runs_away(executor: Executor) -> None:
    """Count all on an executor as away, since an order that ends it is about to go out.

    Orders go out side by side. Counted only once the first is answered, two tasks of a step of
    which one may be away would end together. A report tells what is at work after all.
    """
    for run in executor.runs.values():
        run.is_available = False
