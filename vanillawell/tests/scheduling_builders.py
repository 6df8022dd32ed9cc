"""Builders of shards, jobs and executors for tests of scheduling decisions."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import Any

from vanillawell.protocol.executor_calls import HoldReport, ReportedEnd
from vanillawell.state.executors import Executor, ExecutorFacts
from vanillawell.state.progress import Run, RunPhase
from vanillawell.state.shard import Shard
from vanillawell.state.work import Ending, Job, Resources, Step
from vanillawell.state.work_policy import OrganisationLimits, Queue, Service, WorkPolicy

QUEUE = "q"
POOL = "pool"
_NUMBERS = itertools.count(1)


def policy(**changes: Any) -> WorkPolicy:
    """Return a configuration with one queue and one pool."""
    queue = Queue(QUEUE, "h", "/q/", POOL, 0, 3, 1.6, 0.6, False)
    fields: dict[str, Any] = {
        "version": 1,
        "queues": {QUEUE: queue},
        "services": {POOL: Service(POOL, False, False)},
        "organisations": {"north": OrganisationLimits("north", 1, Resources())},
        "key_owners": {},
    }
    return WorkPolicy(**{**fields, **changes})


def step(count: int = 1, cpu: int = 1_000, seconds: float = 1.0, **fields: Any) -> Step:
    """Return a step."""
    return Step(count, Resources(cpu, 10), seconds, **fields)


def job(*steps: Step, **fields: Any) -> Job:
    """Return a job with a unique id."""
    job_id = f"{next(_NUMBERS):016x}"
    return Job(**{**_job_fields(job_id, steps), **fields})


def _job_fields(job_id: str, steps: tuple[Step, ...]) -> dict[str, Any]:
    return {
        "job_id": job_id,
        "queue": QUEUE,
        "organisation": "north",
        "payload": "",
        "steps": steps or (step(),),
        "accepted_at": 0.0,
    }


def facts(name: str, cpu: int = 8_000, rack: str = "r1", **changes: Any) -> ExecutorFacts:
    """Return an executor's registration."""
    fields: dict[str, Any] = {
        "executor": name,
        "incarnation": 1,
        "service": POOL,
        "address": "127.0.0.1:1",
        "zone": "a",
        "rack": rack,
        "machine": f"m-{name}",
        "labels": frozenset({rack}),
        "capacity": Resources(cpu, 64_000),
        "draining": False,
    }
    return ExecutorFacts(**{**fields, **changes})


@dataclass
class FixedClocks:
    """Monotonic clocks of executors with fixed readings, by executor incarnation."""

    readings: dict[str, float] = field(default_factory=dict)

    def lower_bound(self, now: float) -> dict[str, float]:
        return self.readings

    def upper_bound(self, now: float) -> dict[str, float]:
        return self.readings


class ShardHarness:
    """A shard with executors that execute all orders immediately."""

    def __init__(self, *executors: ExecutorFacts, **changes: Any) -> None:
        self.shard = Shard(120)
        self.shard.apply_policy(policy(**changes))
        self.now = 100.0
        self._ends = itertools.count(1)
        for item in executors:
            self.register(item)

    def register(self, item: ExecutorFacts) -> Executor:
        """Register an executor and let it report."""
        self.shard.register(item, self.now)
        executor = self.shard.ledger.executors[item.executor]
        executor.contacted = True
        return executor

    def admit(self, *jobs: Job) -> None:
        """Submit jobs."""
        for item in jobs:
            self.shard.admit(item, self.now)

    def plan(self) -> list[Run]:
        """Run one scheduling cycle and return the runs that it planned."""
        self.shard.close_replaced(self.now, self.now)
        self.shard.place(self.now, self.now)
        runs, self.shard.outbox.planned = self.shard.outbox.planned, []
        return runs

    def order(self, planned: list[Run]) -> list[Run]:
        """Start planned runs and return them, without those that are withdrawn instead."""
        started = []
        for run in planned:
            if self.shard.reason_to_withdraw(run) or run.stop_requested:
                self.shard.mark_not_started(run, self.now, self.now)
                self.shard.stop_gang_of(run)
                continue
            run.enter_phase(RunPhase.RUNNING, self.now)
            run.started = self.now
            started.append(run)
        return started

    def place(self) -> list[Run]:
        """Run one scheduling cycle and start all planned runs."""
        return self.order(self.plan())

    def end(self, run: Run, ending: Ending = Ending.DONE) -> None:
        """Let an executor report the end of a run."""
        executor = self.shard.ledger.executors[run.executor]
        row = ReportedEnd(executor.last_applied_end + 1, run.task.task_id, run.number, ending, "")
        report = HoldReport(0.0, executor.facts.incarnation, [], [row])
        sent = min(self.now, run.phase_since)
        self.shard.apply_report(executor, report, sent, self.now, self.now)


def job_ids(runs: list[Run]) -> list[str]:
    """Return the job ids of runs, in the order of the runs."""
    return [run.task.task_id.job_id for run in runs]
