"""Notice executors on which all work stands still, though they answer and look sound.

Such an executor accepts orders, lists its tasks as running and ends none of them. Its jobs would
wait until it recovers, seconds later, and new tasks would join them. How far each task has come is
in every report, so a stall shows within a second.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from vanillawell.state.work import RunPhase

if TYPE_CHECKING:
    from vanillawell.state.executors import Executor
    from vanillawell.state.work import Run

STALL = 0.8
"""Seconds without progress after which a task counts as standing still: more than the time between
two reports where short tasks run."""

STALL_PART = 0.05
"""Part of its expected run time for which a long task may show no progress: that is told in whole
per cent, so this is five of its steps."""

COMPLETE = 100
"""Percentage at which a task has done its work and is about to end."""

STALLED_TOGETHER = 2
"""Tasks that must stand still, and all others with them: one alone may be the task's own fault."""


def stalled_runs(executor: Executor, now: float) -> list[Run]:
    """Return the short tasks of an executor that stand still if none moves, else none.

    Tasks that were first reported a moment ago say nothing yet; new ones join a stall all the time.
    """
    runs = [run for run in executor.runs.values() if _shows_progress(run)]
    if any(_moves(run, now) for run in runs):
        return []
    still = [run for run in runs if _stands_still(run, now)]
    return still if len(still) >= STALLED_TOGETHER else []


def _shows_progress(run: Run) -> bool:
    """Tell whether progress can be expected: gangs wait for members, paced tasks for others."""
    spec = run.task.step.spec
    waits = spec.long_running or spec.gang or spec.fills
    return run.phase is RunPhase.RUNNING and not waits and not run.stop_requested


def _patience(run: Run) -> float:
    return max(STALL, STALL_PART * run.task.step.spec.estimate)


def _moves(run: Run, now: float) -> bool:
    """Tell whether a task has come further lately, or has done its work."""
    if run.percent >= COMPLETE:
        return True
    if run.progressed_at is None or run.progressed_at == run.first_reported_at:
        return False
    return now - run.progressed_at <= _patience(run)


def _stands_still(run: Run, now: float) -> bool:
    return run.progressed_at is not None and now - run.progressed_at > _patience(run)
