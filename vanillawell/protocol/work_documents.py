"""Define the formats of jobs and job records in the store.

The store holds three values for each job. The *order* is the job as submitted by the caller, and
the *rules* are those that its queue had then (`queue_documents`); both are written once, by the
entry that accepted it. The *record* holds the progress of the job; only the owner of its shard
writes it, in the chain of transactions that `TermDocument` guards.
"""

from __future__ import annotations

import itertools
import logging
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

import orjson

from vanillawell.protocol.checked_values import flag, mapping, number, position, text, whole
from vanillawell.state.job_access import JobOrigin
from vanillawell.state.progress import JobRecord, Run, RunPhase, StepProgress, Task
from vanillawell.state.work import Job, JobState, Resources, Step

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

log = logging.getLogger(__name__)

MAX_READ_TASKS = 100_000
"""Tasks of a stored job that are read; earlier versions accepted more than this one does."""


def write_job(job: Job) -> bytes:
    """Serialise a job as submitted, without step fields that have their default."""
    document = asdict(job)
    document["steps"] = [_without_defaults(step) for step in job.steps]
    return orjson.dumps(document)


def _without_defaults(step: Step) -> dict[str, Any]:
    return {
        name: value
        for name, value in asdict(step).items()
        if value not in (0, False, "", (), 0.0) or name in ("count", "need", "estimate")
    }


def read_job(data: bytes, job_id: str) -> Job:
    """Parse the job that was submitted under an id; raises ValueError if the data is malformed."""
    try:
        document = mapping(orjson.loads(data))
        checked = _checked(document, _JOB_FIELDS)
        checked["steps"] = tuple(_read_step(item) for item in document["steps"])
        job = Job(**checked)
    except (TypeError, KeyError) as error:
        raise ValueError(f"malformed job: {error}") from error
    if job.job_id != job_id:
        raise ValueError(f"the document is that of job {job.job_id:.40}")
    tasks = sum(step.count for step in job.steps)
    if not 0 < tasks <= MAX_READ_TASKS:
        raise ValueError(f"the job has {tasks} tasks")
    return job


def read_origin(data: bytes) -> JobOrigin:
    """Parse only the origin of a submitted job; raises ValueError if the data is malformed."""
    try:
        document = mapping(orjson.loads(data))
        return JobOrigin(text(document["queue"]), text(document["organisation"]))
    except (TypeError, KeyError) as error:
        raise ValueError(f"malformed job: {error!r}") from error


def _read_step(item: Any) -> Step:
    checked = _checked(mapping(item), _STEP_FIELDS)
    checked["need"] = Resources(**_checked(mapping(item["need"]), _NEED_FIELDS))
    checked["after"] = tuple(whole(earlier) for earlier in item.get("after", ()))
    return Step(**checked)


def _checked(document: dict[str, Any], readers: dict[str, Callable[[Any], Any]]) -> dict[str, Any]:
    """Return the fields of a document for which there are readers; others are ignored, since a
    later version may add some."""
    return {name: reader(document[name]) for name, reader in readers.items() if name in document}


_NEED_FIELDS: dict[str, Callable[[Any], Any]] = {"cpu": whole, "memory": whole, "gpu": whole}

_STEP_FIELDS: dict[str, Callable[[Any], Any]] = {
    "count": whole,
    "estimate": number,
    "saves_progress": flag,
    "gang": flag,
    "same_rack": flag,
    "required_label": text,
    "data_rack": text,
    "most_per_executor": whole,
    "speculative": flag,
    "long_running": flag,
    "image": text,
    "tail_target": number,
    "fills": flag,
    "most_away": whole,
}

_JOB_FIELDS: dict[str, Callable[[Any], Any]] = {
    "job_id": text,
    "queue": text,
    "organisation": text,
    "payload": text,
    "accepted_at": number,
    "times": whole,
    "first_due": number,
    "interval": number,
}


def write_record(record: JobRecord, with_checkpoints: bool = True) -> bytes:
    """Serialise the progress of a job."""
    occurrences = {
        str(number): [_write_step(step, with_checkpoints) for step in steps]
        for number, steps in record.occurrences.items()
    }
    return orjson.dumps(
        {
            "state": record.state,
            "queue": record.job.queue,
            "organisation": record.job.organisation,
            "next": record.next_occurrence,
            "ended": record.ended,
            "occurrences": occurrences,
        }
    )


def _write_step(step: StepProgress, with_checkpoints: bool) -> dict[str, Any]:
    """Return the done tasks, and a row for each started task that is not done or has a current run.

    The executors on which tasks failed and the superseded runs are separate fields, since earlier
    versions ignore unknown fields but reject the record if a task's row is longer. An earlier
    version may own the shard again during a rolling update.
    """
    touched = {
        str(task.task_id.task): _write_task(task, task.checkpoint if with_checkpoints else "")
        for task in step.tasks
        if task.number and (not task.done or task.run is not None)
    }
    done = [task.task_id.task for task in step.tasks if task.done]
    document = {"done": done, "tasks": touched, "failed_gangs": step.failed_gangs}
    failed_on = {
        str(task.task_id.task): task.failed_on
        for task in step.tasks
        if task.failed_on and not task.done
    }
    superseded_runs = {
        str(task.task_id.task): [_write_run(run) for run in task.superseded_runs]
        for task in step.tasks
        if task.superseded_runs
    }
    optional = {
        "failed_on": failed_on,
        "older": superseded_runs,
        "failed_number": step.failed_number,
    }
    return {**document, **{name: value for name, value in optional.items() if value}}


def _write_run(run: Run) -> list[Any]:
    return [run.executor, run.incarnation, run.number]


def _write_task(task: Task, checkpoint: str) -> list[Any]:
    run_row = _write_run(task.run) if task.run else None
    return [task.number, task.failures, checkpoint, run_row]


@dataclass(frozen=True, slots=True)
class RecordSummary:
    """What callers are told of a record, and who may be told."""

    state: JobState
    origin: JobOrigin | None
    """None for a record that does not name it: one in parts, or of an earlier version."""


def read_summary(data: bytes) -> RecordSummary:
    """Parse only the summary of a record; raises ValueError if the data is malformed."""
    try:
        document = mapping(orjson.loads(data))
        state = JobState(document["state"])
        if "organisation" not in document:
            return RecordSummary(state, None)
        origin = JobOrigin(text(document["queue"]), text(document["organisation"]))
        return RecordSummary(state, origin)
    except (TypeError, KeyError) as error:
        raise ValueError(f"malformed job record: {error!r}") from error


def read_record(job: Job, data: bytes, now: float, wall: float) -> tuple[JobRecord, list[Run]]:
    """Parse a record and return it with the runs that were open when it was written.

    The time at which the job was first seen is the time of its acceptance, not that of this call;
    otherwise a job close to its deadline would look new after a change of owner.

    Raises:
        ValueError: The data is malformed or does not match the job.
    """
    try:
        return _read_record(job, data, now, wall)
    except (TypeError, KeyError, IndexError, AttributeError) as error:
        raise ValueError(f"malformed job record: {error!r}") from error


def _read_record(job: Job, data: bytes, now: float, wall: float) -> tuple[JobRecord, list[Run]]:
    record = JobRecord(job, now - max(0.0, wall - job.accepted_at))
    document = mapping(orjson.loads(data))
    record.state = JobState(document["state"])
    record.ended = None if document["ended"] is None else number(document["ended"])
    runs: list[Run] = []
    for occurrence, steps in document["occurrences"].items():
        progress = record.open(position(occurrence))
        for step, item in zip(progress, steps, strict=True):
            runs.extend(_read_progress(step, item, now))
    record.next_occurrence = whole(document["next"])
    record.begun = any(map(_has_begun, itertools.chain.from_iterable(record.occurrences.values())))
    return record, runs


def _has_begun(step: StepProgress) -> bool:
    """Return whether the stored progress of a step shows that a run of it has begun."""
    return bool(step.failed_gangs) or any(
        task.done or task.failures or task.checkpoint for task in step.tasks
    )


def _read_progress(step: StepProgress, item: dict[str, Any], now: float) -> Iterable[Run]:
    for done in item["done"]:
        step.tasks[whole(done)].done = True
    step.left = sum(not task.done for task in step.tasks)
    step.failed_gangs = whole(item["failed_gangs"])
    step.failed_number = whole(item.get("failed_number", 0))
    for index, executor in item.get("failed_on", {}).items():
        step.tasks[position(index)].failed_on = text(executor)
    for index, (latest, failures, checkpoint, run_row) in item["tasks"].items():
        task = step.tasks[position(index)]
        task.number, task.failures = whole(latest), whole(failures)
        task.checkpoint = text(checkpoint)
        if run_row is not None:
            yield _read_run(task, run_row, now)
    for index, run_rows in item.get("older", {}).items():
        for run_row in run_rows:
            run = _read_run(step.tasks[position(index)], run_row, now)
            run.superseded = True
            yield run


def _read_run(task: Task, run_row: list[Any], now: float) -> Run:
    executor, incarnation, run = run_row
    return Run(
        task, whole(run), text(executor), whole(incarnation), RunPhase.INHERITED, now, pace=None
    )
