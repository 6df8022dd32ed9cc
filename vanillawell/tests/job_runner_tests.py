"""Test what the runner of deferrable jobs concludes from reports that lack a task."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio

from vanillawell.coordination.job_runner import JobRunner
from vanillawell.protocol.platform_calls import PlatformUnavailableError
from vanillawell.protocol.store import Compare, Transaction, TransactionResult
from vanillawell.state.jobs import Job, JobRegistry, JobState, TaskReport, TaskState

JOB = Job("job-1", "guild", "report", 10.0, 1.0, 0.0, JobState.RUNNING, "worker-1", attempt=1)
"""A job whose start was recorded."""


class Tasks:
    """Platform that loses answers, carries out starts late, and leaves tasks out of its reports."""

    def __init__(self) -> None:
        self.known: set[str] = set()
        self.hidden: set[str] = set()
        self.starts: list[str] = []
        self.is_silent = False

    async def start_task(self, job: Job, *_: object) -> None:
        if self.is_silent:
            raise PlatformUnavailableError("no answer")
        self.starts.append(job.task_id)
        self.known.add(job.task_id)

    async def tasks(self, ids: list[str], _: float) -> dict[str, TaskReport]:
        reported = [name for name in ids if name in self.known - self.hidden]
        return {name: TaskReport(TaskState.RUNNING, 1.0, 0.0, 1.0) for name in reported}


class Accepting:
    """Store that carries out every write."""

    async def transact(self, _: Transaction) -> TransactionResult:
        return TransactionResult(True, 1)


def runner(platform: Tasks) -> Any:
    """Return the runner of a fleet with one running job."""
    keys: Any = SimpleNamespace(jobs="jobs", job_runner="role")
    unused: Any = None
    built: Any = JobRunner(
        Accepting(), keys, platform, unused, lambda: 0.0, unused  # type: ignore[arg-type]
    )
    built._registry = JobRegistry(1, {JOB.job_id: JOB})
    built._role = SimpleNamespace(guard=Compare("role", 1))
    return built


# Guards against a job that runs twice: its start was not answered and is carried out after a report
# that lacks it, when the job has begun again under another id.
def test_task_that_a_report_lacks_is_started_again_under_the_same_id() -> None:
    platform = Tasks()
    built = runner(platform)
    anyio.run(built._sync_running_tasks)
    assert platform.starts == [JOB.task_id]
    assert built._registry.jobs[JOB.job_id] == JOB


# Guards against giving up a task because the platform answers nothing just then.
def test_task_stays_while_its_repeated_start_is_not_answered() -> None:
    platform = Tasks()
    platform.is_silent = True
    built = runner(platform)
    try:
        anyio.run(built._sync_running_tasks)
    except PlatformUnavailableError:
        pass
    assert built._registry.jobs[JOB.job_id] == JOB


# Guards against a job that never ends, since the platform has lost its task.
def test_task_that_a_report_lacks_after_its_start_was_confirmed_is_lost() -> None:
    platform = Tasks()
    built = runner(platform)
    anyio.run(built._sync_running_tasks)
    platform.hidden.add(JOB.task_id)
    anyio.run(built._sync_running_tasks)
    assert platform.starts == [JOB.task_id]
    assert built._registry.jobs[JOB.job_id].state is JobState.WAITING
