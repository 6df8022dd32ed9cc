"""Log what becomes of the jobs and runs of a shard."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from vanillawell.state.outbox import CompletedTask
from vanillawell.state.work import Ending

if TYPE_CHECKING:
    from vanillawell.state.ledger import EndedRun
    from vanillawell.state.outbox import Outbox
    from vanillawell.state.progress import JobRecord, Run

log = logging.getLogger(__name__)


def log_job_ended(record: JobRecord, now: float) -> None:
    """Log that a job has reached its final state, and by how much it missed its deadline."""
    log.info(
        "job ended",
        extra={
            "job": record.job.job_id,
            "state": record.state,
            "seconds": round(now - record.seen_at, 3),
            "late_by": round(now - record.deadline, 3),
        },
    )


def log_task_copied(run: Run, unresponsive_for: float) -> None:
    """Log that a task may start again beside a run whose executor does not answer."""
    log.info(
        "task copied",
        extra={
            "job": run.task.step.record.job.job_id,
            "task": run.task.task_id[1:],
            "run": run.number,
            "executor": run.executor,
            "silent": round(unresponsive_for, 3),
        },
    )


def log_run_ended(item: EndedRun, seconds: float | None) -> None:
    """Log how a run ended; `seconds` is its run time, None if its start was not confirmed."""
    run = item.run
    log.info(
        "run ended",
        extra={
            "job": run.task.task_id.job_id,
            "task": run.task.task_id[1:],
            "run": run.number,
            "executor": run.executor,
            "ending": item.ending,
            "proof": item.proof,
            "life": run.incarnation,
            "failures": run.task.failures,
            "seconds": seconds,
        },
    )


def log_end(item: EndedRun, outbox: Outbox, now: float) -> None:
    """Log the end of a run.

    Completed tasks are logged together in the next scheduling cycle, other ends immediately.
    """
    run, step = item.run, item.run.task.step
    seconds = round(now - run.started, 3) if run.started else None
    if item.ending is Ending.DONE and not step.spec.long_running:
        outbox.done.append(CompletedTask(run.task.task_id, run.number, run.executor, seconds))
        return
    log_run_ended(item, seconds)
