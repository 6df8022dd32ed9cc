"""Track jobs from acceptance to their end: which steps may start, and the effect of each end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from vanillawell.state.job_size import max_open_occurrences
from vanillawell.state.progress import JobRecord, StepProgress, Task
from vanillawell.state.work import Ending, JobState, TaskId

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

FINAL_RETENTION_MARGIN = 60.0
"""Seconds for which a final job is kept beyond the time for which it can be queried."""


class JobTable:
    """Table of all jobs of a shard.

    `attempts` returns the failed runs that a queue allows a task, `retention` is the time in
    seconds for which final jobs can be queried.
    """

    def __init__(self, attempts: Callable[[str], int], retention: float) -> None:
        self._attempts = attempts
        self._retention = retention + FINAL_RETENTION_MARGIN
        self.jobs: dict[str, JobRecord] = {}
        self.open_steps: dict[StepProgress, None] = {}
        """Steps that are not done and whose earlier steps are done."""
        self._scheduled: dict[str, JobRecord] = {}
        """Jobs with occurrences that have not started yet."""
        self.changed: dict[str, JobRecord] = {}
        """Jobs whose record is newer than the stored one."""

    def find(self, task_id: TaskId) -> Task | None:
        """Return a task of a tracked job; None if it is not tracked or its occurrence is over."""
        record = self.jobs.get(task_id.job_id)
        return record.find(task_id) if record else None

    def add(self, record: JobRecord) -> None:
        """Start tracking a job."""
        self.jobs[record.job.job_id] = record
        if record.state.final:
            return
        if record.job.times:
            self._scheduled[record.job.job_id] = record
        else:
            record.open(0)
        for occurrence in list(record.occurrences):
            self._open_steps(record, occurrence)

    def begin_due(self, wall: float) -> None:
        """Open the occurrences of scheduled jobs that are due at `wall` seconds since the epoch.

        Those that are overdue in large numbers open one after the other, as earlier ones end.
        """
        for record in list(self._scheduled.values()):
            job = record.job
            while record.next_occurrence < job.occurrences:
                occurrence = record.next_occurrence
                if job.due(occurrence) > wall or not self._may_open(record):
                    break
                record.open(occurrence)
                self.changed[job.job_id] = record
                self._open_steps(record, occurrence)
            else:
                del self._scheduled[job.job_id]

    @staticmethod
    def _may_open(record: JobRecord) -> bool:
        """Return whether a job may have one more open occurrence."""
        return len(record.occurrences) < max_open_occurrences(record.job)

    def next_due(self) -> float | None:
        """Return when the next occurrence may open, in seconds since the epoch; None if none may
        before another one ends."""
        records = self._scheduled.values()
        times = (item.job.due(item.next_occurrence) for item in records if self._may_open(item))
        return min(times, default=None)

    def _open_steps(self, record: JobRecord, occurrence: int) -> None:
        """Open the steps of an occurrence that may start now."""
        steps = record.occurrences[occurrence]
        for step in steps:
            earlier = (steps[number] for number in step.spec.after if number < len(steps))
            if step.left and all(not item.left for item in earlier):
                self.open_steps[step] = None

    def record_start(self, task: Task) -> None:
        """Record that a run of a task was planned."""
        record = task.step.record
        if record.state is JobState.QUEUED:
            record.state = JobState.RUNNING
        self.changed[record.job.job_id] = record

    def record_end(self, task: Task, ending: Ending, checkpoint: str, wall: float) -> None:
        """Record how a run of a task ended, and update its job."""
        record = task.step.record
        self.changed[record.job.job_id] = record
        if checkpoint:
            task.save_checkpoint(checkpoint)
        if record.state.final or task.done:
            return
        if ending is Ending.DONE and not task.step.spec.long_running:
            self._complete_task(task, wall)
        elif ending is Ending.FAILED:
            self._record_failure(task, wall)

    def _complete_task(self, task: Task, wall: float) -> None:
        step = task.step
        members = step.tasks if step.spec.gang else [task]
        for member in members:
            member.done = True
        step.left -= len(members)
        if step.left:
            return
        self.open_steps.pop(step, None)
        record = step.record
        if any(other.left for other in record.occurrences[step.occurrence]):
            self._open_steps(record, step.occurrence)
            return
        self._finish_occurrence(record, step.occurrence, wall)

    def _finish_occurrence(self, record: JobRecord, occurrence: int, wall: float) -> None:
        unfinished = record.next_occurrence < record.job.occurrences or any(
            step.left for steps in record.occurrences.values() for step in steps
        )
        if not unfinished:
            self._finish(record, JobState.COMPLETED, wall)
        elif record.job.times:
            del record.occurrences[occurrence]

    def _record_failure(self, task: Task, wall: float) -> None:
        task.failures += 1
        step = task.step
        if step.spec.gang and task.number > step.failed_number:
            step.failed_gangs += 1
            step.failed_number = task.number
        if step.spec.long_running:
            return
        attempts = self._attempts(step.record.job.queue)
        if max(task.failures, step.failed_gangs) >= attempts:
            self._finish(step.record, JobState.FAILED, wall)

    def requeue_if_not_begun(self, record: JobRecord) -> None:
        """Set a job back to queued once its starts are all known to have failed."""
        if record.state is JobState.RUNNING and not record.begun and not record.open_runs:
            record.state = JobState.QUEUED

    def cancel(self, job_id: str, wall: float) -> JobRecord | None:
        """Cancel a job; return its record, or None if it is unknown or final."""
        record = self.jobs.get(job_id)
        if record is None or record.state.final:
            return None
        self._finish(record, JobState.CANCELLED, wall)
        return record

    def _finish(self, record: JobRecord, state: JobState, wall: float) -> None:
        record.state = state
        record.ended = wall
        self.changed[record.job.job_id] = record
        self._scheduled.pop(record.job.job_id, None)
        for steps in record.occurrences.values():
            for step in steps:
                self.open_steps.pop(step, None)

    def pending(self) -> dict[str, int]:
        """Return the number of jobs that have not begun, by queue, without scheduled jobs.

        A job whose start got no answer from an unreachable executor is still one of them.
        """
        counts: dict[str, int] = {}
        for record in self.jobs.values():
            if record.begun or record.job.times:
                continue
            if record.state is JobState.QUEUED or (
                record.state is JobState.RUNNING and not record.may_have_begun()
            ):
                counts[record.job.queue] = counts.get(record.job.queue, 0) + 1
        return counts

    def removable(self, wall: float) -> Iterator[JobRecord]:
        """Iterate over final jobs whose retention time has passed."""
        return (
            record
            for record in self.jobs.values()
            if record.ended is not None
            and not record.open_runs
            and wall > record.ended + self._retention
        )

    def remove(self, job_id: str) -> None:
        """Remove a job."""
        self.jobs.pop(job_id, None)
        self.changed.pop(job_id, None)
