"""Data model of jobs as they are submitted, and the states that they and their tasks may have.

Times are seconds on the monotonic clock (`vanillawell.clock`) unless stated otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

MILLICORES_PER_CORE = 1000
"""Thousandths of a core (the unit of `Resources.cpu`) in one core."""


@dataclass(frozen=True, slots=True)
class Resources:
    """Amounts of processors, memory and devices, offered by an executor or needed by a task."""

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

    def fits(self, free: Resources) -> bool:
        """Return whether this amount fits into `free` in every dimension."""
        return self.cpu <= free.cpu and self.memory <= free.memory and self.gpu <= free.gpu


NO_RESOURCES = Resources()
"""The empty amount."""


@dataclass(frozen=True, slots=True)
class Step:
    """A group of identical tasks of a job, with their requirements and placement constraints."""

    count: int
    need: Resources
    """Resources that each task needs."""

    estimate: float
    """Caller's estimate of a task's run time, in seconds; often inaccurate."""

    after: tuple[int, ...] = ()
    """Positions of earlier steps that must be completed before this one may start."""

    saves_progress: bool = False
    """Whether tasks write checkpoints from which a later run can resume."""

    gang: bool = False
    """Whether the tasks make progress only while all of them run, and end together."""

    same_rack: bool = False
    """Whether the tasks run slower when they are spread over more than one rack."""

    required_label: str = ""
    """Label that an executor must have; empty if none is required."""

    data_rack: str = ""
    """Rack that holds the input data, where the tasks run fastest; empty for none."""

    most_per_executor: int = 0
    """Maximum number of the step's tasks on one executor; 0 for no limit."""

    speculative: bool = False
    """Whether several runs of a task may execute concurrently; the first to complete counts."""

    long_running: bool = False
    """Whether tasks run until the job is cancelled, and are restarted whenever they end."""

    image: str = ""
    """Program that the tasks run. Run times are measured by image, since tasks of one image behave
    alike."""

    tail_target: float = 0.0
    """Upper limit for the tail latency of the tasks' own responses, in seconds; 0 for none."""

    fills: bool = False
    """Whether these are background tasks, which use only idle processor time and reserve no
    processors."""

    most_away: int = 0
    """Maximum number of tasks that planned maintenance may interrupt at once; 0 for no limit."""

    @property
    def reserved(self) -> Resources:
        """Return the resources that a task reserves on its executor."""
        if self.fills:
            return Resources(0, self.need.memory, self.need.gpu)
        return self.need


@dataclass(frozen=True, slots=True)
class Job:
    """A job as submitted by a caller and accepted."""

    job_id: str
    queue: str
    organisation: str
    """Empty for a job that was submitted without a key."""

    payload: str
    """Opaque text that is passed to every task."""

    steps: tuple[Step, ...]
    accepted_at: float
    """Seconds since the epoch."""

    times: int = 0
    """Number of scheduled occurrences; 0 for a job that runs once, as soon as possible."""

    first_due: float = 0.0
    """Seconds since the epoch at which the first occurrence is due."""

    interval: float = 0.0
    """Seconds between two occurrences."""

    def due(self, occurrence: int) -> float:
        """Return the time at which an occurrence is due, in seconds since the epoch."""
        return self.first_due + occurrence * self.interval if self.times else self.accepted_at

    @property
    def occurrences(self) -> int:
        """Return the number of times that the steps run."""
        return max(1, self.times)


class TaskId(NamedTuple):
    """Identifier of one task of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    task: int


class JobState(StrEnum):
    """Lifecycle state of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Return whether the state is terminal."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


class Ending(StrEnum):
    """Outcome of a run."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    """The lease of its executor expired."""
    GANG_BROKEN = "broken"
    """Another member of its gang ended before it."""
    GANG_INCOMPLETE = "alone"
    """The other members of its gang did not start in time."""
    LOST = "lost"
    """The run is confirmed not to be running, and its outcome is unknown."""
