"""Bound what one job may hold, so that its record can be stored and others' jobs are served.

Progress is kept for each task of each occurrence that is open. A job's record has one row for each,
and so has the memory of the owner.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from vanillawell.state.work import Job

MAX_OPEN_TASKS = 4_096
"""Tasks of one job that may be open at once: one for each worker of the largest fleets."""


def tasks_per_occurrence(job: Job) -> int:
    """Return the number of tasks of all steps, which are all open while an occurrence is."""
    return sum(step.count for step in job.steps)


def max_open_occurrences(job: Job) -> int:
    """Return how many occurrences of a job may be open at once; those due later wait for them."""
    return max(1, MAX_OPEN_TASKS // tasks_per_occurrence(job))


def exceeded_bound(job: Job) -> str:
    """Return which bound a job exceeds, and by what; empty if it exceeds none."""
    tasks = tasks_per_occurrence(job)
    if tasks > MAX_OPEN_TASKS:
        return f"steps: {tasks} tasks in all; at most {MAX_OPEN_TASKS}"
    never_end = any(step.long_running for step in job.steps)
    if never_end and job.occurrences > max_open_occurrences(job):
        return (
            f"times: {job.times} occurrences of {tasks} tasks, some of which never end; "
            f"at most {MAX_OPEN_TASKS} tasks in all"
        )
    return ""
