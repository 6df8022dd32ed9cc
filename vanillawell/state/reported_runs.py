"""Tell from an executor's report what became of the runs that are charged to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from vanillawell.state.progress import RunPhase

if TYPE_CHECKING:
    from vanillawell.protocol.executor_calls import HoldReport, ReportedRun
    from vanillawell.state.executors import Executor
    from vanillawell.state.progress import Run


def update_run(run: Run, row: ReportedRun, now: float) -> None:
    """Update a run from the row of a report that lists it as running."""
    if run.phase is not RunPhase.RUNNING:
        run.enter_phase(RunPhase.RUNNING, now)
    if run.started is None:
        run.started = now
    run.is_available = row.percent >= 100
    if run.first_reported_at is None:
        run.first_reported_at, run.first_reported_percent = now, row.percent
    if run.progressed_at is None or row.percent > run.percent:
        run.percent, run.progressed_at = row.percent, now
    if row.checkpoint:
        run.task.save_checkpoint(row.checkpoint)
    if run.task.step.spec.tail_target:
        run.tail = row.measure / 1000


def has_ended(executor: Executor, run: Run, report: HoldReport, sent: float) -> bool:
    """Return whether a run missing from a report is neither running nor able to start.

    A report that may leave out ends proves nothing: the run's outcome may be among these.
    """
    if not report.lists_all_ends:
        return False
    if run.phase is RunPhase.INHERITED:
        return True
    if run.phase is RunPhase.RUNNING and executor.restarted_at >= run.phase_since:
        return sent > run.phase_since
    stopped = run.stop_confirmed
    return stopped is not None and sent >= stopped


def may_still_start(run: Run, report: HoldReport, sent: float) -> bool:
    """Return whether a run missing from a report can only be resolved by a stop order."""
    if not report.lists_all_ends:
        return False
    is_open = run.phase in (RunPhase.UNCERTAIN, RunPhase.RUNNING)
    return is_open and sent > run.phase_since and run.stop_confirmed is None
