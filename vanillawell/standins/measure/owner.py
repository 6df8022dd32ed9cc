"""Measure how long single computations of a shard's owner hold its event loop.

Between two of them the owner renews its lease, answers callers and reads reports, so that the
longest one bounds how late all of that may be.
"""

from __future__ import annotations

import functools
import itertools
import time
import tracemalloc
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from vanillawell.coordination.pool_demand import DemandMeter, MachineSnapshot
from vanillawell.coordination.shard_owner import PLACEMENT_SLICE
from vanillawell.protocol.executor_calls import HoldReport, ReportedRun
from vanillawell.protocol.work_documents import write_record
from vanillawell.state.executors import ExecutorFacts
from vanillawell.state.progress import RunPhase
from vanillawell.state.shard import Shard
from vanillawell.state.work import Job, Resources, Step
from vanillawell.state.work_policy import OrganisationLimits, Queue, Service, WorkPolicy

POOL, QUEUE, LABEL = "pool", "queue", "special"

TASKS_PER_JOB = 64

CORES = 32
"""Cores of an executor."""

RETENTION = 120.0
"""Seconds for which final jobs are kept."""

MILLISECONDS = 1_000
"""Factor from seconds to milliseconds."""

TASK_COUNTS = (1_000, 4_000, 16_000, 64_000)

EXECUTOR_COUNTS = (30, 300, 1_000)


def _steps(kind: str) -> tuple[Step, ...]:
    """Return the steps of one job of a kind, with `TASKS_PER_JOB` tasks that may start at once."""
    need = Resources(1_000, 100)
    if kind == "ordered":
        first = Step(TASKS_PER_JOB, need, 1.0)
        return (first, Step(TASKS_PER_JOB, need, 1.0, after=(0,)))
    fields: dict[str, dict[str, Any]] = {
        "short": {},
        "lasting": {"long_running": True},
        "gang": {"gang": True},
        "labelled": {"required_label": LABEL},
        "occurrences": {},
    }
    return (Step(TASKS_PER_JOB, need, 1.0, **fields[kind]),)


KINDS = ("short", "lasting", "gang", "labelled", "ordered", "occurrences")


def _policy() -> WorkPolicy:
    return WorkPolicy(
        version=1,
        queues={QUEUE: Queue(QUEUE, "h", "/q/", POOL, 0, 3, 1.6, 0.6, False)},
        services={POOL: Service(POOL, False, False)},
        organisations={
            name: OrganisationLimits(name, 1, Resources()) for name in ("north", "south")
        },
        key_owners={},
    )


def _executors(count: int) -> Iterable[ExecutorFacts]:
    for number in range(count):
        labels = {f"r{number // 4}"} | ({LABEL} if number % 2 else set())
        yield ExecutorFacts(
            executor=f"i-{number:04}",
            incarnation=1,
            service=POOL,
            address="127.0.0.1:1",
            zone="abc"[number % 3],
            rack=f"r{number // 4}",
            machine=f"m-{number:04}",
            labels=frozenset(labels),
            capacity=Resources(CORES * 1_000, 256_000),
            draining=False,
        )


def _jobs(kind: str, tasks: int) -> Iterable[Job]:
    numbers = range(tasks // TASKS_PER_JOB)
    organisations = itertools.cycle(("north", "south"))
    times = 4 if kind == "occurrences" else 0
    for number in numbers[:: max(1, times)]:
        yield Job(
            f"{number:016x}", QUEUE, next(organisations), "", _steps(kind), 0.0, times, 0.0, 0.001
        )


@dataclass(slots=True)
class OwnerWork:
    """An owner's shard with some executors and open tasks, and its computations."""

    shard: Shard
    now: float = 100.0

    @classmethod
    def build(cls, kind: str, tasks: int, executors: int) -> OwnerWork:
        """Build a shard whose tasks wait for their first placement."""
        shard = Shard(RETENTION)
        shard.apply_policy(_policy())
        work = cls(shard)
        for facts in _executors(executors):
            shard.register(facts, work.now)
            shard.ledger.executors[facts.executor].contacted = True
        for job in _jobs(kind, tasks):
            shard.admit(job, work.now)
        return work

    def place(self) -> list[float]:
        """Place in slices, as an owner does, until all tasks have had their turn; return the
        milliseconds of each slice."""
        slices, is_complete = [], False
        while not is_complete:
            started = time.process_time()
            until = started + PLACEMENT_SLICE
            is_complete = self.shard.place(self.now, self.now, functools.partial(_is_before, until))
            slices.append((time.process_time() - started) * MILLISECONDS)
        return slices

    def confirm_starts(self) -> None:
        """Let all executors confirm the starts; not measured."""
        for run in self.shard.outbox.planned:
            run.enter_phase(RunPhase.RUNNING, self.now)
            run.started = self.now
        self.shard.outbox.planned = []

    def apply_largest_report(self) -> None:
        """Read the report of the executor with the most runs."""
        executor = max(self.shard.ledger.executors.values(), key=lambda item: len(item.runs))
        rows = [
            ReportedRun(run.task.task_id, run.number, "", 10, 0.0) for run in executor.runs.values()
        ]
        report = HoldReport(0.0, executor.facts.incarnation, rows, [])
        self.shard.apply_report(executor, report, self.now, self.now, self.now)

    def measure_demand(self) -> None:
        """Determine how many machines the pool needs."""
        seen = MachineSnapshot(self.shard.ledger.by_machine(), {}, {}, set())
        DemandMeter(self.shard, self.now).measure(_policy(), "standby", seen, 0, self.now)

    def write_records(self) -> None:
        """Encode the records of all jobs, as a cycle does with those that have changed."""
        for record in self.shard.job_table.jobs.values():
            write_record(record)


def measure_owner() -> dict[str, Any]:
    """Return the milliseconds of each computation, by kind, tasks and executors."""
    return {
        f"{kind}, {tasks} tasks, {executors} executors": _measure(kind, tasks, executors)
        for kind in KINDS
        for tasks in TASK_COUNTS
        for executors in EXECUTOR_COUNTS
    }


def _measure(kind: str, tasks: int, executors: int) -> dict[str, float]:
    work = OwnerWork.build(kind, tasks, executors)
    first = work.place()
    work.confirm_starts()
    following = work.place()
    times = {
        "first placement": round(sum(first), 1),
        "its longest slice": round(max(first), 1),
        "next placement": round(sum(following), 1),
        "its longest slice, too": round(max(following), 1),
    }
    times["largest report"] = _milliseconds(work.apply_largest_report)
    times["demand"] = _milliseconds(work.measure_demand)
    times["all records"] = _milliseconds(work.write_records)
    times["memory, MB"] = _megabytes(kind, tasks)
    return times


def _is_before(until: float) -> bool:
    return time.process_time() < until


def _milliseconds(action: Callable[[], None]) -> float:
    started = time.process_time()
    action()
    return round((time.process_time() - started) * MILLISECONDS, 1)


def _megabytes(kind: str, tasks: int) -> float:
    """Return the memory of the open tasks, without executors."""
    tracemalloc.start()
    kept = OwnerWork.build(kind, tasks, 0)
    kept.place()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return round(size / 1e6, 1)
