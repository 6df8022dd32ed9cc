"""Define where jobs lie in the store and how their records are written there.

Two values belong to a job. The *order* is what the caller handed in; it is written once, by the
entry that accepted it. The *record* says how far the job has come; only the owner of its shard
writes it, in the chain of transactions that `TermDocument` guards.
"""

from __future__ import annotations

import logging
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

import orjson

from vanillawell.state.work import (
    Job,
    JobRecord,
    JobState,
    Resources,
    Run,
    RunPhase,
    Step,
    StepProgress,
    Task,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class WorkKeys:
    """Name the keys of the scheduler under one prefix of the store."""

    prefix: str = "vanillawell/"

    @property
    def inbox(self) -> str:
        """Return the prefix of everything that callers ask for and the owner has not taken in."""
        return f"{self.prefix}inbox/"

    def new_job(self, job_id: str) -> str:
        """Return the key that tells the owner of a job; it is gone once the job has a record."""
        return f"{self.inbox}job/{job_id}"

    def cancel(self, job_id: str) -> str:
        """Return the key that asks for a job to be cancelled; gone once that is recorded."""
        return f"{self.inbox}cancel/{job_id}"

    @property
    def submitted_jobs(self) -> str:
        """Return the prefix of all jobs as handed in."""
        return f"{self.prefix}order/"

    def submitted_job(self, job_id: str) -> str:
        """Return the key of a job as handed in."""
        return self.submitted_jobs + job_id

    @property
    def records(self) -> str:
        """Return the prefix of all records."""
        return f"{self.prefix}record/"

    def record(self, job_id: str) -> str:
        """Return the key of a job's record."""
        return self.records + job_id

    def queues(self, shard: str) -> str:
        """Return the key of the rules of queues that have jobs, for the owner's successors."""
        return f"{self.prefix}queues/{shard}"

    def pending(self, shard: str) -> str:
        """Return the key of the counts of jobs that wait for their first start, by queue."""
        return f"{self.prefix}pending/{shard}"

    @property
    def holders(self) -> str:
        """Return the prefix of the keys that say who owns a shard, each under a lease."""
        return f"{self.prefix}holder/"

    def holder(self, shard: str) -> str:
        """Return the key that the owner of a shard keeps under its lease."""
        return self.holders + shard

    def bid(self, shard: str) -> str:
        """Return the key under which an entry asks a weaker owner for its shard."""
        return f"{self.holders}{shard}/bid"

    def term(self, shard: str) -> str:
        """Return the key that each write of a shard's owner must find unchanged."""
        return f"{self.prefix}term/{shard}"

    def wave(self, number: int) -> str:
        """Return the key that says which machines of a wave have had their upkeep."""
        return f"{self.prefix}wave/{number}"

    def machine_orders(self, shard: str) -> str:
        """Return the key that says which machines an owner has lately given orders for."""
        return f"{self.prefix}machines/{shard}"

    def lease_bounds(self, shard: str) -> str:
        """Return the key that says how long executors that nobody renews may hold leases."""
        return f"{self.prefix}leases/{shard}"

    def new_job_id(self, key: str) -> str:
        """Return the job id if the key tells of a new job, else an empty string."""
        head = f"{self.inbox}job/"
        return key[len(head) :] if key.startswith(head) else ""

    def cancelled_job_id(self, key: str) -> str:
        """Return the job id if the key asks for a cancellation, else an empty string."""
        head = f"{self.inbox}cancel/"
        return key[len(head) :] if key.startswith(head) else ""


@dataclass(frozen=True, slots=True)
class TermDocument:
    """Who owned a shard last, and the number of its latest write.

    Every write of an owner replaces this value and requires its former revision. So a write whose
    answer was lost cannot take effect after a later one, and a former owner cannot write at all.
    """

    token: int
    """Fencing token; it rises with each change of owner."""

    holder: str
    sequence: int = 0

    def to_bytes(self) -> bytes:
        """Write the document."""
        return orjson.dumps(self)

    @classmethod
    def from_bytes(cls, data: bytes) -> TermDocument:
        """Read the document."""
        return cls(**orjson.loads(data))


@dataclass(frozen=True, slots=True)
class Contender:
    """An entry that owns a shard or asks for it, and how far it falls short of what that takes."""

    name: str
    weakness: float
    """From 0 for an entry that can carry any shard to 1."""

    def to_bytes(self) -> bytes:
        """Write the document."""
        return orjson.dumps(self)

    @classmethod
    def from_bytes(cls, data: bytes) -> Contender:
        """Read the document; raises ValueError if it is none."""
        found = orjson.loads(data)
        if not isinstance(found, dict):
            raise ValueError("not an object")
        name, weakness = found.get("name"), found.get("weakness")
        if not isinstance(name, str) or not isinstance(weakness, int | float):
            raise ValueError("no name or no weakness")
        return cls(name, float(weakness))


def write_job(job: Job) -> bytes:
    """Write a job as handed in, without the fields that have their default."""
    document = asdict(job)
    document["steps"] = [_without_defaults(step) for step in job.steps]
    return orjson.dumps(document)


def _without_defaults(step: Step) -> dict[str, Any]:
    return {
        name: value
        for name, value in asdict(step).items()
        if value not in (0, False, "", (), 0.0) or name in ("count", "need", "estimate")
    }


def read_job(data: bytes) -> Job:
    """Read a job as handed in; raises ValueError if it is none."""
    try:
        document = orjson.loads(data)
        steps = tuple(_read_step(item) for item in document["steps"])
        return Job(**{**document, "steps": steps})
    except (TypeError, KeyError, AttributeError) as error:
        raise ValueError(f"not a job: {error}") from error


def _read_step(item: dict[str, Any]) -> Step:
    need = Resources(**item["need"])
    return Step(**{**item, "need": need, "after": tuple(item.get("after", ()))})


def write_record(record: JobRecord) -> bytes:
    """Write how far a job has come."""
    occurrences = {
        str(number): [_write_step(step) for step in steps]
        for number, steps in record.occurrences.items()
    }
    return orjson.dumps(
        {
            "state": record.state,
            "next": record.next_occurrence,
            "ended": record.ended,
            "occurrences": occurrences,
        }
    )


def _write_step(step: StepProgress) -> dict[str, Any]:
    """Write the done tasks as a list of indexes, and the touched ones with their latest run.

    Where tasks failed, and their superseded runs, have fields of their own: former versions, which
    may own the shard once more while entries are replaced, pass over them, but take a longer row of
    a task for no record.
    """
    touched = {
        str(task.task_id.task): _write_task(task)
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
        str(task.task_id.task): [_write_place(run) for run in task.superseded_runs]
        for task in step.tasks
        if task.superseded_runs
    }
    optional = {
        "failed_on": failed_on,
        "older": superseded_runs,
        "failed_number": step.failed_number,
    }
    return {**document, **{name: value for name, value in optional.items() if value}}


def _write_place(run: Run) -> list[Any]:
    return [run.executor, run.incarnation, run.number]


def _write_task(task: Task) -> list[Any]:
    where = _write_place(task.run) if task.run else None
    return [task.number, task.failures, task.checkpoint, where]


def read_state(data: bytes) -> JobState:
    """Read only the state from a record; raises ValueError if it is none."""
    try:
        return JobState(orjson.loads(data)["state"])
    except (TypeError, KeyError) as error:
        raise ValueError(f"not a record: {error!r}") from error


def read_record(job: Job, data: bytes, now: float, wall: float) -> tuple[JobRecord, list[Run]]:
    """Read a record, and the runs that were open when it was written.

    The job counts as seen when it was accepted, not when this process read of it: a change of owner
    must not make a job that is nearly late look like a new one.

    Raises:
        ValueError: The bytes are no record of this job.
    """
    try:
        return _read_record(job, data, now, wall)
    except (TypeError, KeyError, IndexError, AttributeError) as error:
        raise ValueError(f"not a record: {error!r}") from error


def _read_record(job: Job, data: bytes, now: float, wall: float) -> tuple[JobRecord, list[Run]]:
    record = JobRecord(job, now - max(0.0, wall - job.accepted_at))
    document = orjson.loads(data)
    record.state = JobState(document["state"])
    record.ended = document["ended"]
    runs: list[Run] = []
    for number, steps in document["occurrences"].items():
        progress = record.open(int(number))
        for step, item in zip(progress, steps, strict=True):
            runs.extend(_read_progress(step, item, now))
    record.next_occurrence = document["next"]
    return record, runs


def _read_progress(step: StepProgress, item: dict[str, Any], now: float) -> Iterable[Run]:
    for index in item["done"]:
        step.tasks[index].done = True
    step.left = sum(not task.done for task in step.tasks)
    step.failed_gangs = item["failed_gangs"]
    step.failed_number = item.get("failed_number", 0)
    for index, executor in item.get("failed_on", {}).items():
        step.tasks[int(index)].failed_on = executor
    for index, (number, failures, checkpoint, where) in item["tasks"].items():
        task = step.tasks[int(index)]
        task.number, task.failures, task.checkpoint = number, failures, checkpoint
        if where is not None:
            yield _read_place(task, where, now)
    for index, places in item.get("older", {}).items():
        for where in places:
            run = _read_place(step.tasks[int(index)], where, now)
            run.superseded = True
            yield run


def _read_place(task: Task, where: list[Any], now: float) -> Run:
    executor, incarnation, number = where
    return Run(task, number, executor, incarnation, RunPhase.INHERITED, now)
