"""Decide when and where deferrable jobs run.

Jobs run on the platform's workers between peaks of urgent work. They are checkpointed and stopped
to make way for urgent work, but must finish by their deadline: as it nears, a job runs regardless
of the load. Declared sizes are inaccurate, so placement uses measured ones.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Any

import orjson

STOP_UTILISATION = 0.8
"""Demand as a part of a pool's slots above which jobs are stopped."""

START_UTILISATION = 0.5
"""Demand as a part of a pool's slots below which jobs start again; the gap between the limits
prevents oscillation."""

SAFETY_FACTOR = 1.5
"""Multiple of the estimated run time that is reserved before a job's deadline."""

USABLE_PART = 0.9
"""Part of a worker's cores that jobs may use, since usage reports lag behind."""

MAX_JOB_FAILURES = 3
"""Number of distinct workers on which a job fails before the job itself is considered faulty."""

MAX_WORKER_FAILURES = 3
"""Number of distinct jobs that fail on a worker, with no success, before it is excluded."""


class JobState(StrEnum):
    """State of a job."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Job:
    """A deferrable job."""

    job_id: str
    organisation: str
    kind: str
    core_seconds: float
    """Declared amount of work."""

    cores: float
    """Declared number of cores."""

    finish_by: float
    """Deadline in seconds since the epoch."""

    state: JobState = JobState.WAITING
    worker: str = ""
    attempt: int = 0
    checkpoint: float = 0.0
    """Core-seconds completed at the last checkpoint."""

    failed_on: tuple[str, ...] = ()
    error: str = ""

    @property
    def task_id(self) -> str:
        """Return the platform's id of the present attempt, which is the same each time it is
        started."""
        return f"{self.job_id}-{self.attempt}"


@dataclass(frozen=True, slots=True)
class JobRegistry:
    """All jobs, and statistics about kinds of jobs and workers, as stored."""

    version: int = 0
    jobs: Mapping[str, Job] = field(default_factory=dict)
    size_ratio: Mapping[str, float] = field(default_factory=dict)
    """Ratio of measured to declared cores, by kind."""

    succeeded_on: Mapping[str, int] = field(default_factory=dict)
    """Number of jobs that have succeeded, by worker."""

    def to_bytes(self) -> bytes:
        """Serialise the document."""
        return orjson.dumps(self)

    @classmethod
    def from_bytes(cls, data: bytes) -> JobRegistry:
        """Parse the document."""
        document: dict[str, Any] = orjson.loads(data)
        jobs = {name: _read_job(item) for name, item in document["jobs"].items()}
        return cls(document["version"], jobs, document["size_ratio"], document["succeeded_on"])

    def with_job(self, job: Job) -> JobRegistry:
        """Return the next version with one job changed."""
        return replace(self, version=self.version + 1, jobs={**self.jobs, job.job_id: job})

    def expected_cores(self, job: Job) -> float:
        """Return the cores that a job is expected to use, from the measurements of its kind."""
        return job.cores * self.size_ratio.get(job.kind, 1.0)

    def excluded_workers(self) -> set[str]:
        """Return the workers on which several jobs failed and none succeeded."""
        failures = Counter(worker for job in self.jobs.values() for worker in set(job.failed_on))
        return {
            worker
            for worker, count in failures.items()
            if count >= MAX_WORKER_FAILURES and not self.succeeded_on.get(worker)
        }


def _read_job(item: dict[str, Any]) -> Job:
    state = JobState(item["state"])
    return Job(**{**item, "state": state, "failed_on": tuple(item["failed_on"])})


@dataclass(frozen=True, slots=True)
class Worker:
    """A worker as reported by the platform, with some delay."""

    name: str
    cores: float
    used: float
    live: bool


class TaskState(StrEnum):
    """State of a task as reported by the platform."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"
    """Its lease has expired or its worker has terminated."""


@dataclass(frozen=True, slots=True)
class TaskReport:
    """A task as reported by the platform."""

    state: TaskState
    done: float
    """Core-seconds completed so far."""

    checkpoint: float
    """Core-seconds saved at the last checkpoint."""

    used_cores: float


def slack(job: Job, registry: JobRegistry, now: float) -> float:
    """Return the seconds for which a job can still wait, including a safety margin."""
    remaining = max(0.0, job.core_seconds - job.checkpoint)
    run_time = remaining / max(job.cores, 0.1) * max(1.0, registry.size_ratio.get(job.kind, 1.0))
    return job.finish_by - now - SAFETY_FACTOR * run_time


def must_run_now(job: Job, registry: JobRegistry, now: float) -> bool:
    """Return whether a job cannot wait any longer."""
    return slack(job, registry, now) <= 0


def jobs_to_stop(registry: JobRegistry, utilisation: float, now: float) -> list[Job]:
    """Return the running jobs that may be stopped for urgent work, those with the most slack
    first."""
    if utilisation < STOP_UTILISATION:
        return []
    running = [job for job in registry.jobs.values() if job.state is JobState.RUNNING]
    preemptible = [job for job in running if not must_run_now(job, registry, now)]
    return sorted(preemptible, key=lambda job: -slack(job, registry, now))


def jobs_to_start(
    registry: JobRegistry, workers: list[Worker], utilisation: float, now: float
) -> list[tuple[Job, str]]:
    """Return the jobs to start and their workers, those with the least slack first."""
    free = _free_cores(registry, workers)
    waiting = [job for job in registry.jobs.values() if job.state is JobState.WAITING]
    started = []
    for job in sorted(waiting, key=lambda item: (slack(item, registry, now), item.job_id)):
        if utilisation > START_UTILISATION and not must_run_now(job, registry, now):
            continue
        worker = _place(job, registry, free)
        if worker:
            free[worker] -= registry.expected_cores(job)
            started.append((job, worker))
    return started


def _free_cores(registry: JobRegistry, workers: list[Worker]) -> dict[str, float]:
    """Return the free cores by worker, using the larger of measured and expected use."""
    expected: Counter[str] = Counter()
    for job in registry.jobs.values():
        if job.state is JobState.RUNNING:
            expected[job.worker] += registry.expected_cores(job)  # type: ignore[assignment]
    excluded_workers = registry.excluded_workers()
    return {
        item.name: item.cores * USABLE_PART - max(item.used, expected[item.name])
        for item in workers
        if item.live and item.name not in excluded_workers
    }


def _place(job: Job, registry: JobRegistry, free: Mapping[str, float]) -> str | None:
    """Return the worker with the most free cores on which the job has not failed, or None.

    Workers with fewer free cores than the job is expected to use are not considered.
    """
    wanted = registry.expected_cores(job)
    eligible = [name for name in free if name not in job.failed_on and free[name] >= wanted]
    return max(eligible, key=lambda name: (free[name], name), default=None)


def apply_report(registry: JobRegistry, job: Job, report: TaskReport) -> JobRegistry:
    """Update the registry from the platform's report about a running job's task."""
    match report.state:
        case TaskState.DONE:
            return _record_success(registry.with_job(replace(job, state=JobState.DONE)), job)
        case TaskState.FAILED:
            return _record_failure(registry, job)
        case TaskState.STOPPED | TaskState.LOST:
            saved = max(job.checkpoint, report.checkpoint)
            return registry.with_job(replace(job, state=JobState.WAITING, checkpoint=saved))
        case _:
            return _update_size_ratio(registry, job, report)


def _record_success(registry: JobRegistry, job: Job) -> JobRegistry:
    count = registry.succeeded_on.get(job.worker, 0) + 1
    return replace(registry, succeeded_on={**registry.succeeded_on, job.worker: count})


def _record_failure(registry: JobRegistry, job: Job) -> JobRegistry:
    """Let the job wait for another worker, or fail it after failures on several workers."""
    failed_on = (*job.failed_on, job.worker)
    if len(set(failed_on)) >= MAX_JOB_FAILURES:
        error = f"failed on {len(set(failed_on))} workers: {', '.join(sorted(set(failed_on)))}"
        return registry.with_job(
            replace(job, state=JobState.FAILED, failed_on=failed_on, error=error)
        )
    return registry.with_job(replace(job, state=JobState.WAITING, failed_on=failed_on))


def _update_size_ratio(registry: JobRegistry, job: Job, report: TaskReport) -> JobRegistry:
    """Update the size ratio of a kind if the measured use differs from it by a fifth or more."""
    ratio = report.used_cores / max(job.cores, 0.1)
    expected = registry.size_ratio.get(job.kind, 1.0)
    if report.used_cores <= 0 or abs(ratio - expected) < 0.2 * expected:
        return registry
    size_ratio = {**registry.size_ratio, job.kind: round((expected + ratio) / 2, 3)}
    return replace(registry, version=registry.version + 1, size_ratio=size_ratio)
