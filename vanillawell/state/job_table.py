"""Follow jobs from acceptance to their end: which steps may start, and what each end means."""

from __future__ import annotations

from typing import TYPE_CHECKING

from vanillawell.state.work import Ending, JobRecord, JobState, StepProgress, Task, TaskId

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

ROOM_FOR_FINAL = 60.0
"""Seconds that a final job is kept beyond the time for which its state must be told."""


class JobTable:
    """Own all jobs of a shard."""

    def __init__(self, attempts: Callable[[str], int], kept: float) -> None:
        self._attempts = attempts
        self._kept = kept + ROOM_FOR_FINAL
        self.jobs: dict[str, JobRecord] = {}
        self.open_steps: dict[StepProgress, None] = {}
        """Steps whose earlier steps are done and that are not done themselves."""
        self._timed: dict[str, JobRecord] = {}
        self.changed: dict[str, JobRecord] = {}
        """Jobs whose record is newer than what is stored."""

    def find(self, task_id: TaskId) -> Task | None:
        """Return a task of a job that is not final, or still has runs."""
        record = self.jobs.get(task_id.job_id)
        return record.find(task_id) if record else None

    def add(self, record: JobRecord) -> None:
        """Begin to follow a job."""
        self.jobs[record.job.job_id] = record
        if record.state.final:
            return
        if record.job.times:
            self._timed[record.job.job_id] = record
        else:
            record.open(0)
        for occurrence in list(record.occurrences):
            self._open_steps(record, occurrence)

    def begin_due(self, wall: float) -> None:
        """Open the occurrences of timed jobs that are due at `wall` seconds since the epoch."""
        for record in list(self._timed.values()):
            job = record.job
            while record.next_occurrence < job.occurrences:
                occurrence = record.next_occurrence
                if job.due(occurrence) > wall:
                    break
                record.open(occurrence)
                self.changed[job.job_id] = record
                self._open_steps(record, occurrence)
            else:
                del self._timed[job.job_id]

    def next_due(self) -> float | None:
        """Return when the next occurrence is due, in seconds since the epoch."""
        times = (record.job.due(record.next_occurrence) for record in self._timed.values())
        return min(times, default=None)

    def _open_steps(self, record: JobRecord, occurrence: int) -> None:
        """List the steps that may start now."""
        steps = record.occurrences[occurrence]
        for step in steps:
            earlier = (steps[number] for number in step.spec.after if number < len(steps))
            if step.left and all(not item.left for item in earlier):
                self.open_steps[step] = None

    def begun(self, task: Task) -> None:
        """Note that a run of a task was decided."""
        record = task.step.record
        if record.state is JobState.QUEUED:
            record.state = JobState.RUNNING
        self.changed[record.job.job_id] = record

    def ended(self, task: Task, ending: Ending, checkpoint: str, now: float, wall: float) -> None:
        """Take in how the latest run of a task ended."""
        record = task.step.record
        self.changed[record.job.job_id] = record
        task.changed = now
        if checkpoint:
            self._keep_checkpoint(task, checkpoint)
        if record.state.final or task.done:
            return
        if ending is Ending.DONE and not task.step.spec.long_running:
            self._done(task, wall)
        elif ending is Ending.FAILED:
            self._failed(task, wall)

    @staticmethod
    def _keep_checkpoint(task: Task, checkpoint: str) -> None:
        members = task.step.tasks if task.step.spec.gang else [task]
        for member in members:
            member.checkpoint = checkpoint

    def _done(self, task: Task, wall: float) -> None:
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

    def _failed(self, task: Task, wall: float) -> None:
        task.failures += 1
        step = task.step
        if step.spec.gang and task.number > step.failed_number:
            step.failed_gangs += 1
            step.failed_number = task.number
        if step.spec.long_running:
            return
        bound = self._attempts(step.record.job.queue)
        if max(task.failures, step.failed_gangs) >= bound:
            self._finish(step.record, JobState.FAILED, wall)

    def cancel(self, job_id: str, wall: float) -> JobRecord | None:
        """Cancel a job; returns its record if that changed anything."""
        record = self.jobs.get(job_id)
        if record is None or record.state.final:
            return None
        self._finish(record, JobState.CANCELLED, wall)
        return record

    def _finish(self, record: JobRecord, state: JobState, wall: float) -> None:
        record.state = state
        record.ended = wall
        self.changed[record.job.job_id] = record
        self._timed.pop(record.job.job_id, None)
        for steps in record.occurrences.values():
            for step in steps:
                self.open_steps.pop(step, None)

    def pending(self) -> dict[str, int]:
        """Return the number of untimed jobs without a start, by queue."""
        counts: dict[str, int] = {}
        for record in self.jobs.values():
            if record.state is JobState.QUEUED and not record.job.times:
                counts[record.job.queue] = counts.get(record.job.queue, 0) + 1
        return counts

    def forgettable(self, wall: float) -> Iterator[JobRecord]:
        """Iterate over final jobs that nobody may ask about any more."""
        return (
            record
            for record in self.jobs.values()
            if record.ended is not None
            and not record.open_runs
            and wall > record.ended + self._kept
        )

    def forget(self, job_id: str) -> None:
        """Drop a job."""
        self.jobs.pop(job_id, None)
        self.changed.pop(job_id, None)
