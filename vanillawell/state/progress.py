"""Data model of the progress of jobs: their tasks, and the runs of tasks on executors.

Times are seconds on the monotonic clock (`vanillawell.clock`) unless stated otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from vanillawell.state.work import Job, JobState, Resources, Step, TaskId


class RunPhase(StrEnum):
    """Phase of a run that is charged to an executor."""

    PLANNED = "planned"
    """Decided; the start order must not be sent before the decision is stored."""
    ORDERED = "ordered"
    """The start order is being sent."""
    UNCERTAIN = "uncertain"
    """The start order got no answer; the executor may still execute it seconds later."""
    INHERITED = "recalled"
    """Read from the store after a change of owner; not yet reported by the executor."""
    RUNNING = "running"
    """Confirmed by the executor."""


@dataclass(slots=True, eq=False)
class Run:
    """One attempt to run a task on one executor.

    It is charged to the executor until it is confirmed to have ended.
    """

    task: Task
    number: int
    executor: str
    incarnation: int
    phase: RunPhase
    phase_since: float
    """When the present phase began."""

    stop_requested: bool = False
    is_move: bool = False
    """Whether the requested stop only moves the task, so that it is withdrawn if too many others of
    its step are away by the time it can be sent."""

    stop_confirmed: float | None = None
    """When the executor confirmed a stop order; after that the run cannot start there any more."""

    started: float | None = None
    """When the executor confirmed the start."""

    percent: int = 0
    """Progress in per cent, as last reported."""

    first_reported_at: float | None = None
    """When it first appeared in a report."""

    first_reported_percent: int = 0
    """Progress in that first report, which may include work of earlier runs (checkpoints)."""

    progressed_at: float | None = None
    """When a report last showed progress; initially the time of the first report."""

    is_available: bool = False
    """Whether a long-running task has finished its start-up and runs at full pace, as last reported
    by an executor that still answers."""

    interruption_ordered: bool = False
    """Whether an order that ends everything on its executor was sent and has not been refused."""

    tail: float = 0.0
    """Last reported tail latency of a task that has a target for it, in seconds."""

    pace: int | None = 100
    """Percentage of full pace that was last set for the run; None if it is unknown since a previous
    owner may have set it."""

    superseded: bool = False
    """Whether a newer run of its task may execute concurrently on another executor."""

    started_cold: bool = False
    """Whether its executor was slow after its own start, so that its run time teaches nothing."""

    checkpoint: str = ""
    """Checkpoint that it resumes from, as decided when it was planned; empty for none. It stays
    the same in each order: the members of a gang must all carry the same one."""

    ticket: str = ""
    """Ticket that allows the run's step to use this executor, where the queue requires one."""

    @property
    def reserved(self) -> Resources:
        """Return the resources that the run reserves on its executor."""
        return self.task.step.spec.reserved

    def enter_phase(self, phase: RunPhase, now: float) -> None:
        """Set the phase and the time at which it began."""
        self.phase = phase
        self.phase_since = now


@dataclass(slots=True, eq=False)
class Task:
    """One task; at most one run of it is open at a time, unless its step is speculative."""

    task_id: TaskId
    step: StepProgress
    number: int = 0
    """Number of its latest run; strictly increasing."""

    run: Run | None = None
    superseded_runs: list[Run] = field(default_factory=list)
    """Superseded runs of a speculative task that may still be executing."""

    failures: int = 0
    stalls: int = 0
    """Number of its runs that were stopped since their executor made no progress."""

    checkpoint: str = ""
    done: bool = False
    failed_on: str = ""
    """Executor of the most recent failed run."""

    def save_checkpoint(self, checkpoint: str) -> None:
        """Record a new checkpoint; that of any member of a gang is valid for all of them."""
        if checkpoint == self.checkpoint:
            return
        for member in self.step.tasks if self.step.spec.gang else (self,):
            member.checkpoint = checkpoint

    @property
    def open_runs(self) -> list[Run]:
        """Return the runs that are not confirmed to have ended."""
        return [*self.superseded_runs, self.run] if self.run else list(self.superseded_runs)


@dataclass(slots=True, eq=False)
class StepProgress:
    """Progress of one step within one occurrence of its job."""

    record: JobRecord
    occurrence: int
    position: int
    spec: Step
    tasks: list[Task] = field(default_factory=list)
    left: int = 0
    """Number of tasks that are not done."""

    failed_gangs: int = 0
    """Number of failed runs of the whole gang."""

    failed_number: int = 0
    """Run number of the latest failed gang run; all members of a gang run share it."""

    rack_wait_since: float | None = None
    """Since when its tasks have waited for a place on the rack of their data."""

    held_by: str = ""
    """Reason why its waiting tasks cannot start, as last logged; empty if they can."""

    reserved_executor: str = ""
    """Executor that is reserved for its long-running tasks, as last logged."""

    def __post_init__(self) -> None:
        job_id = self.record.job.job_id
        self.left = self.spec.count
        self.tasks = [
            Task(TaskId(job_id, self.occurrence, self.position, index), self)
            for index in range(self.spec.count)
        ]

    @property
    def has_waiting(self) -> bool:
        """Return whether any task is neither running nor done."""
        return any(not task.done and task.run is None for task in self.tasks)

    @property
    def waiting(self) -> list[Task]:
        """Return the tasks that are neither running nor done."""
        return [task for task in self.tasks if not task.done and task.run is None]


@dataclass(slots=True, eq=False)
class JobRecord:
    """A job with its scheduling state."""

    job: Job
    seen_at: float
    """When this process admitted the job, or its acceptance time if it was read from the store."""

    state: JobState = JobState.QUEUED
    occurrences: dict[int, list[StepProgress]] = field(default_factory=dict)
    """Steps of the active occurrences, by occurrence number."""

    next_occurrence: int = 0
    """Number of the first occurrence that has not started yet."""

    ended: float | None = None
    """When the job reached a final state, in seconds since the epoch."""

    stored_parts: int = 0
    """Number of parts that its stored record is divided into; 0 if it is in one value."""

    open_runs: int = 0
    begun: bool = False
    """Whether a run of it is known to have begun; a planned start may be refused or get lost."""

    surplus: bool = False
    """Whether it exceeds the agreed rate of its organisation."""

    deadline: float = 0.0
    """Time by which the job should be completed to meet its objective."""

    critical_paths: tuple[float, ...] = ()
    """Expected seconds of the longest chain of dependent steps that begins with each step, as
    estimated when the deadline was set."""

    def may_have_begun(self) -> bool:
        """Return whether a run of the job has begun or is expected to.

        Starts that are under way count, so that the published number of pending jobs changes with
        the record of the start and not a second time when it is confirmed.
        """
        runs = [
            run
            for steps in self.occurrences.values()
            for step in steps
            for task in step.tasks
            for run in task.open_runs
        ]
        self.begun = self.begun or any(run.started is not None for run in runs)
        return self.begun or any(run.phase is not RunPhase.UNCERTAIN for run in runs)

    def open(self, occurrence: int) -> list[StepProgress]:
        """Return the steps of an occurrence, creating them on first use."""
        steps = self.occurrences.get(occurrence)
        if steps is None:
            steps = [
                StepProgress(self, occurrence, position, spec)
                for position, spec in enumerate(self.job.steps)
            ]
            self.occurrences[occurrence] = steps
            self.next_occurrence = max(self.next_occurrence, occurrence + 1)
        return steps

    def find(self, task_id: TaskId) -> Task | None:
        """Return a task of an active occurrence; None if there is none with this id."""
        steps = self.occurrences.get(task_id.occurrence)
        if steps is None or not 0 <= task_id.step < len(steps):
            return None
        tasks = steps[task_id.step].tasks
        return tasks[task_id.task] if 0 <= task_id.task < len(tasks) else None
