"""Decide when and where work that may wait runs.

Jobs run on the platform's workers in the troughs between peaks. They give way to urgent work by a
checkpoint, and must still finish by their hour: as it nears, a job runs whatever the pressure.
Declared sizes are far off, so placement goes by what was measured.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Any

import orjson

HIGH_PRESSURE = 0.8
"""Part of a pool's slots in demand above which jobs give way."""

LOW_PRESSURE = 0.5
"""Part below which they start again; the gap keeps them from flapping."""

SAFETY_FACTOR = 1.5
"""Times the estimated run time that is kept free before a job's finish time."""

USABLE_PART = 0.9
"""Part of a worker's cores that jobs may fill, since usage reports lag."""

FAILURES_OF_A_JOB = 3
"""Different workers on which a job may fail before it is the job's own fault."""

FAILURES_OF_A_WORKER = 3
"""Different jobs that may fail on a worker, with none that succeeded, before it is left out."""


class JobState(StrEnum):
    """How far a job has come."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Job:
    """One piece of work that may wait."""

    job_id: str
    organisation: str
    kind: str
    core_seconds: float
    """Declared amount of work."""

    cores: float
    """Declared processors."""

    finish_by: float
    """Seconds since the epoch by which it must be done."""

    state: JobState = JobState.WAITING
    worker: str = ""
    attempt: int = 0
    checkpoint: float = 0.0
    """Core-seconds done at the last checkpoint."""

    failed_on: tuple[str, ...] = ()
    error: str = ""

    @property
    def task_id(self) -> str:
        """Return the platform's id of the present attempt, the same at every try to start it."""
        return f"{self.job_id}-{self.attempt}"


@dataclass(frozen=True, slots=True)
class JobRegistry:
    """All jobs, and what was learned about kinds and workers, as stored."""

    version: int = 0
    jobs: Mapping[str, Job] = field(default_factory=dict)
    size_ratio: Mapping[str, float] = field(default_factory=dict)
    """Measured over declared cores by kind."""

    succeeded_on: Mapping[str, int] = field(default_factory=dict)
    """Jobs that have succeeded by worker."""

    def to_bytes(self) -> bytes:
        """Write the document."""
        return orjson.dumps(self)

    @classmethod
    def from_bytes(cls, data: bytes) -> JobRegistry:
        """Read the document."""
        document: dict[str, Any] = orjson.loads(data)
        jobs = {name: _read_job(item) for name, item in document["jobs"].items()}
        return cls(document["version"], jobs, document["size_ratio"], document["succeeded_on"])

    def with_job(self, job: Job) -> JobRegistry:
        """Return the next version with one job changed."""
        return replace(self, version=self.version + 1, jobs={**self.jobs, job.job_id: job})

    def expected_cores(self, job: Job) -> float:
        """Return the cores a job will use, by what its kind has used so far."""
        return job.cores * self.size_ratio.get(job.kind, 1.0)

    def left_out(self) -> set[str]:
        """Return workers on which several jobs failed and none succeeded."""
        failures = Counter(worker for job in self.jobs.values() for worker in set(job.failed_on))
        return {
            worker
            for worker, count in failures.items()
            if count >= FAILURES_OF_A_WORKER and not self.succeeded_on.get(worker)
        }


def _read_job(item: dict[str, Any]) -> Job:
    state = JobState(item["state"])
    return Job(**{**item, "state": state, "failed_on": tuple(item["failed_on"])})


@dataclass(frozen=True, slots=True)
class Worker:
    """One worker as the platform's lagging report shows it."""

    name: str
    cores: float
    used: float
    live: bool


class TaskState(StrEnum):
    """What the platform says of a task."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"
    """Its lease ran out or its worker is gone."""


@dataclass(frozen=True, slots=True)
class TaskReport:
    """One task as the platform reports it."""

    state: TaskState
    done: float
    """Core-seconds done so far."""

    checkpoint: float
    """Core-seconds saved at the last checkpoint."""

    used_cores: float


def slack(job: Job, book: JobRegistry, now: float) -> float:
    """Return the seconds a job can still wait and be done in time, with some safety."""
    remaining = max(0.0, job.core_seconds - job.checkpoint)
    run_time = remaining / max(job.cores, 0.1) * max(1.0, book.size_ratio.get(job.kind, 1.0))
    return job.finish_by - now - SAFETY_FACTOR * run_time


def must_run(job: Job, book: JobRegistry, now: float) -> bool:
    """Tell whether a job can wait no longer."""
    return slack(job, book, now) <= 0


def jobs_to_stop(book: JobRegistry, pressure: float, now: float) -> list[Job]:
    """Return running jobs that give way, the one with most slack first."""
    if pressure < HIGH_PRESSURE:
        return []
    running = [job for job in book.jobs.values() if job.state is JobState.RUNNING]
    yielding = [job for job in running if not must_run(job, book, now)]
    return sorted(yielding, key=lambda job: -slack(job, book, now))


def jobs_to_start(
    book: JobRegistry, workers: list[Worker], pressure: float, now: float
) -> list[tuple[Job, str]]:
    """Return jobs to start and where, the one with least slack first."""
    free = _free_cores(book, workers)
    waiting = [job for job in book.jobs.values() if job.state is JobState.WAITING]
    started = []
    for job in sorted(waiting, key=lambda item: (slack(item, book, now), item.job_id)):
        if pressure > LOW_PRESSURE and not must_run(job, book, now):
            continue
        worker = _place(job, book, free)
        if worker:
            free[worker] -= book.expected_cores(job)
            started.append((job, worker))
    return started


def _free_cores(book: JobRegistry, workers: list[Worker]) -> dict[str, float]:
    """Return free cores by worker: what is measured or expected as used, whichever is more."""
    expected: Counter[str] = Counter()
    for job in book.jobs.values():
        if job.state is JobState.RUNNING:
            expected[job.worker] += book.expected_cores(job)  # type: ignore[assignment]
    left_out = book.left_out()
    return {
        item.name: item.cores * USABLE_PART - max(item.used, expected[item.name])
        for item in workers
        if item.live and item.name not in left_out
    }


def _place(job: Job, book: JobRegistry, free: Mapping[str, float]) -> str | None:
    """Return the worker with most room on which the job has not failed; it may be too small."""
    wanted = book.expected_cores(job)
    open_ones = [name for name in free if name not in job.failed_on and free[name] >= wanted]
    return max(open_ones, key=lambda name: (free[name], name), default=None)


def apply_report(book: JobRegistry, job: Job, report: TaskReport) -> JobRegistry:
    """Take over what the platform says of a running job's task."""
    match report.state:
        case TaskState.DONE:
            return _note_done(book.with_job(replace(job, state=JobState.DONE)), job)
        case TaskState.FAILED:
            return _note_failed(book, job)
        case TaskState.STOPPED | TaskState.LOST:
            saved = max(job.checkpoint, report.checkpoint)
            return book.with_job(replace(job, state=JobState.WAITING, checkpoint=saved))
        case _:
            return _learn_size(book, job, report)


def _note_done(book: JobRegistry, job: Job) -> JobRegistry:
    count = book.succeeded_on.get(job.worker, 0) + 1
    return replace(book, succeeded_on={**book.succeeded_on, job.worker: count})


def _note_failed(book: JobRegistry, job: Job) -> JobRegistry:
    """Try another worker, or end a job that fails wherever it is started."""
    failed_on = (*job.failed_on, job.worker)
    if len(set(failed_on)) >= FAILURES_OF_A_JOB:
        error = f"failed on {len(set(failed_on))} workers: {', '.join(sorted(set(failed_on)))}"
        return book.with_job(replace(job, state=JobState.FAILED, failed_on=failed_on, error=error))
    return book.with_job(replace(job, state=JobState.WAITING, failed_on=failed_on))


def _learn_size(book: JobRegistry, job: Job, report: TaskReport) -> JobRegistry:
    """Stop trusting a declared size that the measured use contradicts."""
    ratio = report.used_cores / max(job.cores, 0.1)
    known = book.size_ratio.get(job.kind, 1.0)
    if report.used_cores <= 0 or abs(ratio - known) < 0.2 * known:
        return book
    learned = {**book.size_ratio, job.kind: round((known + ratio) / 2, 3)}
    return replace(book, version=book.version + 1, size_ratio=learned)
