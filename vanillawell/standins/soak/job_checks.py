"""Find the jobs that break a rule, by what their callers were told and what executors began."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from vanillawell.standins.soak.record import RunRecord

CANCEL_TIME = 3.0
"""Seconds after an acknowledged cancellation from which no task may start; a bound of the users'
installations."""

FINAL_STATES = ("completed", "failed", "cancelled")


@dataclass(slots=True)
class JobHistory:
    """What the caller of one job was told. Times are on the steady clock of the stand-ins."""

    job_id: str
    statuses: list[int] = field(default_factory=list)
    """Answers to its submission; 0 where none came."""

    asked_to_cancel: bool = False
    """Whether a cancellation was sent, acknowledged or not."""

    cancelled_at: float | None = None
    """When a cancellation was acknowledged."""

    state: str = ""
    """Last state that was told."""

    kind: str = ""
    """Name of the kind of job."""

    accepted_at: float | None = None
    """When the last answer to its submission came."""

    @property
    def is_accepted(self) -> bool:
        """Return whether a submission was acknowledged."""
        return 200 in self.statuses

    @property
    def is_refused(self) -> bool:
        """Return whether every submission was answered, each time as not accepted."""
        return bool(self.statuses) and all(status in (429, 503) for status in self.statuses)


@dataclass(frozen=True, slots=True)
class JobViolation:
    """A job that breaks a rule."""

    rule: str
    job_id: str
    detail: str
    late: bool = False

    def describe(self) -> str:
        """Return a line about the violation."""
        return f"{self.rule}: job {self.job_id}: {self.detail}"


def find_job_violations(
    jobs: Iterable[JobHistory], runs: Iterable[RunRecord]
) -> list[JobViolation]:
    """Return all jobs that break a rule, at the end of a play that left them time to end."""
    runs_by_job: defaultdict[str, list[RunRecord]] = defaultdict(list)
    for run in runs:
        runs_by_job[run.task.partition(".")[0]].append(run)
    return [violation for job in jobs for violation in _violations_of(job, runs_by_job[job.job_id])]


def _violations_of(job: JobHistory, runs: list[RunRecord]) -> Iterator[JobViolation]:
    if job.is_accepted and job.state not in FINAL_STATES:
        begun = "cancelled" if job.cancelled_at is not None else "accepted"
        detail = f"{begun}, but has not ended; last told: {job.state or 'nothing'}"
        yield JobViolation("LOST", job.job_id, detail)
    if job.state == "cancelled" and not job.asked_to_cancel:
        yield JobViolation("LOST", job.job_id, "told as cancelled, and nobody has cancelled it")
    if job.is_refused and runs:
        yield JobViolation("REFUSED", job.job_id, f"refused, but ran: {runs[0].describe()}")
    for run in runs:
        if _is_unasked(job, run):
            detail = f"cancelled {job.cancelled_at:.3f}, then started: {run.describe()}"
            yield JobViolation("UNASKED", job.job_id, detail)


def _is_unasked(job: JobHistory, run: RunRecord) -> bool:
    """Return whether a run began too long after its job's cancellation was acknowledged.

    The bound does not hold for orders that an executor carried out late.
    """
    if job.cancelled_at is None or run.late:
        return False
    return run.began_at > job.cancelled_at + CANCEL_TIME


def first_starts(jobs: Iterable[JobHistory], runs: Iterable[RunRecord]) -> dict[str, float]:
    """Return the seconds from the acceptance of a job to the begin of its first task that 95 of 100
    jobs of each kind do not exceed; jobs that never began are left out."""
    began: dict[str, float] = {}
    for run in runs:
        job_id = run.task.partition(".")[0]
        began[job_id] = min(run.began_at, began.get(job_id, run.began_at))
    waits: defaultdict[str, list[float]] = defaultdict(list)
    for job in jobs:
        if job.accepted_at is not None and job.job_id in began:
            waits[job.kind].append(max(0.0, began[job.job_id] - job.accepted_at))
    return {
        kind: round(sorted(values)[int(0.95 * (len(values) - 1))], 2)
        for kind, values in sorted(waits.items())
    }
