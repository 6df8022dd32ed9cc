"""Describe jobs as plain data: steps of tasks, and the runs of a task on executors."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

MILLICORES_PER_CORE = 1000
"""Thousandths of a core in a core."""


@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of what executors offer and tasks need."""

    cpu: int = 0
    """Thousandths of a core."""

    memory: int = 0
    """Megabytes."""

    gpu: int = 0
    """Whole devices."""

    def __add__(self, other: Resources) -> Resources:
        return Resources(self.cpu + other.cpu, self.memory + other.memory, self.gpu + other.gpu)

    def __sub__(self, other: Resources) -> Resources:
        return Resources(self.cpu - other.cpu, self.memory - other.memory, self.gpu - other.gpu)

    def fits(self, room: Resources) -> bool:
        """Tell whether this amount is within `room`."""
        return self.cpu <= room.cpu and self.memory <= room.memory and self.gpu <= room.gpu


NO_RESOURCES = Resources()
"""No resources at all."""


@dataclass(frozen=True, slots=True)
class Step:
    """A number of equal tasks of a job, and where and how they may run."""

    count: int
    need: Resources
    """What each task needs."""

    estimate: float
    """Seconds that the caller expects a task to take; often far off."""

    after: tuple[int, ...] = ()
    """Earlier steps all of whose tasks must be done first."""

    saves_progress: bool = False
    """Whether tasks leave checkpoints from which a later run can resume."""

    gang: bool = False
    """Whether the tasks work only while all of them run, and end together."""

    same_rack: bool = False
    """Whether the tasks are slower when they run on more than one rack."""

    required_label: str = ""
    """Label that an executor must have; empty for any."""

    data_rack: str = ""
    """Rack on which the tasks are fastest; empty for none."""

    most_per_executor: int = 0
    """Most tasks of the step on one executor; 0 for no bound."""

    speculative: bool = False
    """Whether copies of a task may run side by side; the first that is done counts."""

    long_running: bool = False
    """Whether tasks run until the job is cancelled, and are restarted whenever they end."""

    image: str = ""
    """Program that the tasks run; tasks of one image behave alike."""

    tail_target: float = 0.0
    """Seconds below which the tail of the tasks' own response times must stay; 0 for none."""

    fills: bool = False
    """Whether the tasks use only processor time that others leave, and so reserve none."""

    most_away: int = 0
    """Tasks that planned work may take away at the same time; 0 for no bound."""

    @property
    def reserved(self) -> Resources:
        """Return what a task takes from an executor's capacity."""
        if self.fills:
            return Resources(0, self.need.memory, self.need.gpu)
        return self.need


@dataclass(frozen=True, slots=True)
class Job:
    """What a caller handed in, as accepted."""

    job_id: str
    queue: str
    organisation: str
    """Empty for a job that came without a key."""

    payload: str
    """Text that every task gets; it means nothing here."""

    steps: tuple[Step, ...]
    accepted_at: float
    """Seconds since the epoch."""

    times: int = 0
    """How often the steps run; 0 for once, as soon as possible."""

    first_due: float = 0.0
    """Seconds since the epoch at which the first occurrence is due."""

    interval: float = 0.0
    """Seconds between two occurrences."""

    def due(self, occurrence: int) -> float:
        """Return the time at which an occurrence is due, in seconds since the epoch."""
        return self.first_due + occurrence * self.interval if self.times else self.accepted_at

    @property
    def occurrences(self) -> int:
        """Return how often the steps run."""
        return max(1, self.times)


class TaskId(NamedTuple):
    """Name one task of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    task: int


class JobState(StrEnum):
    """How far a job has come."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Tell whether the job will never change again."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


class Ending(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    """Its lease expired."""
    GANG_BROKEN = "broken"
    """Another member of its gang ended."""
    GANG_INCOMPLETE = "alone"
    """The other members of its gang did not arrive in time."""
    LOST = "lost"
    """It is proved that it does not run, and nothing says how it ended."""


class RunPhase(StrEnum):
    """What is known of a run that occupies an executor."""

    PLANNED = "planned"
    """Decided; the order must not go out before the decision is stored."""
    ORDERED = "ordered"
    """The order is on its way."""
    UNCERTAIN = "uncertain"
    """The order got no answer; it may be carried out seconds later."""
    INHERITED = "recalled"
    """Read from the store after a change of owner; not yet seen at the executor."""
    RUNNING = "running"
    """The executor has confirmed it."""


@dataclass(slots=True, eq=False)
class Run:
    """One start of a task on one executor; it is charged there until it is proved over."""

    task: Task
    number: int
    executor: str
    incarnation: int
    phase: RunPhase
    phase_since: float
    """When the present phase began, on the clock of decisions."""

    stop_requested: bool = False
    stop_confirmed: float | None = None
    """When the executor confirmed a stop order; from then on this run cannot begin there."""

    started: float | None = None
    """When the executor confirmed the start."""

    percent: int = 0
    """How far it has come, as last reported."""

    first_reported_at: float | None = None
    """When a report first showed it."""

    first_reported_percent: int = 0
    """How far it had come then; not all of it need be its own work."""

    progressed_at: float | None = None
    """When a report first showed it, or last showed it further than before."""

    is_available: bool = False
    """Whether a long-running task is past its start-up and works at full pace, as last reported by
    an executor that still answers."""

    tail: float = 0.0
    """Last reported tail of response times, in seconds, of a task that has a target for it."""

    pace: int = 100
    """Percentage of full pace at which the run was last told to work."""

    superseded: bool = False
    """Whether a newer run of its task may go on beside it, on another executor."""

    ticket: str = ""
    """Proof that the run's step may use this executor, where the queue asks for one."""

    @property
    def reserved(self) -> Resources:
        """Return what the run takes from its executor."""
        return self.task.step.spec.reserved

    def enter_phase(self, phase: RunPhase, now: float) -> None:
        """Change the phase."""
        self.phase = phase
        self.phase_since = now


@dataclass(slots=True, eq=False)
class Task:
    """One task; at most one run of it is open at any time, unless copies of it are allowed."""

    task_id: TaskId
    step: StepProgress
    number: int = 0
    """Number of its latest run; numbers only rise."""

    run: Run | None = None
    superseded_runs: list[Run] = field(default_factory=list)
    """Superseded runs that may still go on, where copies are allowed."""

    failures: int = 0
    checkpoint: str = ""
    done: bool = False
    failed_on: str = ""
    """Executor of the latest failed run."""

    changed: float = 0.0
    """When its latest run ended, on the clock of decisions."""

    @property
    def open_runs(self) -> list[Run]:
        """Return its runs that are not over for certain."""
        return [*self.superseded_runs, self.run] if self.run else list(self.superseded_runs)


@dataclass(slots=True, eq=False)
class StepProgress:
    """How far one occurrence of one step has come."""

    record: JobRecord
    occurrence: int
    position: int
    spec: Step
    tasks: list[Task] = field(default_factory=list)
    left: int = 0
    """Tasks that are not done."""

    failed_gangs: int = 0
    """Runs of the whole gang that failed."""

    failed_number: int = 0
    """Number of the latest of these; members of a gang share their numbers."""

    held_by: str = ""
    """What keeps its waiting tasks from starting, as last logged; empty if nothing does."""

    def __post_init__(self) -> None:
        job_id = self.record.job.job_id
        self.left = self.spec.count
        self.tasks = [
            Task(TaskId(job_id, self.occurrence, self.position, index), self)
            for index in range(self.spec.count)
        ]

    @property
    def has_waiting(self) -> bool:
        """Tell whether there are tasks that neither run nor are done."""
        return any(not task.done and task.run is None for task in self.tasks)

    @property
    def waiting(self) -> list[Task]:
        """Return the tasks that neither run nor are done."""
        return [task for task in self.tasks if not task.done and task.run is None]


@dataclass(slots=True, eq=False)
class JobRecord:
    """A job and everything that has happened to it."""

    job: Job
    seen_at: float
    """When this process learned of the job, on the clock of decisions."""

    state: JobState = JobState.QUEUED
    occurrences: dict[int, list[StepProgress]] = field(default_factory=dict)
    """Occurrences under way, by number."""

    next_occurrence: int = 0
    """First occurrence that has not begun yet."""

    ended: float | None = None
    """When the job became final, in seconds since the epoch."""

    open_runs: int = 0
    deadline: float = 0.0
    """Clock of decisions by which the job should be completed."""

    critical_paths: tuple[float, ...] = ()
    """Seconds of the longest chain of work that begins with each step, as expected at first."""

    @property
    def begun(self) -> bool:
        """Tell whether any task of the job has been started."""
        return self.state is not JobState.QUEUED

    def open(self, occurrence: int) -> list[StepProgress]:
        """Return the steps of an occurrence, made on first use."""
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
        """Return a task of an occurrence that is under way."""
        steps = self.occurrences.get(task_id.occurrence)
        if steps is None or not 0 <= task_id.step < len(steps):
            return None
        tasks = steps[task_id.step].tasks
        return tasks[task_id.task] if 0 <= task_id.task < len(tasks) else None
