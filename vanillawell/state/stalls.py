"""Detect executors on which no task makes progress although they answer and look healthy.

Such an executor accepts orders and lists its tasks as running, but none of them ends. Its jobs
would wait until it recovers, seconds later, and new tasks would be placed on it. Every report
contains the progress of each task, so a stall is detected within a second.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from vanillawell.state.progress import RunPhase

if TYPE_CHECKING:
    from vanillawell.state.executors import Executor
    from vanillawell.state.progress import Run

MIN_STALL_TIME = 0.8
"""Seconds without progress after which a task counts as stalled: more than the interval between two
reports where short tasks run."""

STALL_PART_OF_ESTIMATE = 0.05
"""Part of its expected run time for which a long task may show no progress. Progress is reported in
whole per cent, so this is five of its steps."""

STOP_TIMEOUT_GROWTH = 4
"""Multiple of the time without progress that a task gets each time it was stopped as stalled: one
that stands still alike elsewhere is slow itself."""

COMPLETE_PERCENT = 100
"""Percentage at which a task has finished its work and is about to end."""

MIN_STALLED_TASKS = 2
"""Number of stalled tasks, with no other task progressing, that make an executor count as stalled.
A single one may be the fault of the task itself."""


def stalled_runs(executor: Executor, now: float) -> list[Run]:
    """Return the stalled runs of an executor on which no task makes progress, else none.

    Recently reported tasks are ignored: they show nothing yet, and new tasks may be placed on a
    stalled executor at any time. An executor that has announced to be slow after its start is not
    stalled.
    """
    if executor.is_cold(now):
        return []
    runs = [run for run in executor.runs.values() if _should_progress(run)]
    if any(_is_progressing(run, now) for run in runs):
        return []
    stalled = [run for run in runs if _is_stalled(run, now)]
    return stalled if len(stalled) >= MIN_STALLED_TASKS else []


def _should_progress(run: Run) -> bool:
    """Return whether progress is expected of a run.

    Members of a gang wait for each other, and background tasks for idle processor time.
    """
    spec = run.task.step.spec
    may_wait = spec.long_running or spec.gang or spec.fills
    return run.phase is RunPhase.RUNNING and not may_wait and not run.stop_requested


def _stall_timeout(run: Run) -> float:
    """Return the seconds without progress that the caller's estimate makes likely."""
    return max(MIN_STALL_TIME, STALL_PART_OF_ESTIMATE * run.task.step.spec.estimate)


def _stop_timeout(run: Run) -> float:
    """Return the seconds without progress after which a run is stopped."""
    return float(_stall_timeout(run) * STOP_TIMEOUT_GROWTH**run.task.stalls)


def _is_progressing(run: Run, now: float) -> bool:
    """Return whether a run has progressed within its stall timeout, or has finished its work."""
    if run.percent >= COMPLETE_PERCENT:
        return True
    if run.progressed_at is None or run.progressed_at == run.first_reported_at:
        return False
    return now - run.progressed_at <= _stall_timeout(run)


def _is_stalled(run: Run, now: float) -> bool:
    return run.progressed_at is not None and now - run.progressed_at > _stop_timeout(run)
