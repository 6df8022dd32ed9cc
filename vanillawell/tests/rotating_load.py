"""Simulate queues with rotating peaks on plain data: real decisions, machines that take time to
move.

Four queues share thirty machines, six of which start on standby. Each queue in turn grows within
five seconds to five times its mean load and falls again; in between it has a twentieth of the mean.
Jobs are as callers declare them: several steps in sequence, each of several tasks, with estimates
that are far off. A pool's own six machines hold about half of what its peak needs.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from vanillawell.state.pool_sizing import (
    PoolDemand,
    PoolSizer,
    demanded_cores,
    min_long_running_machines,
)
from vanillawell.state.work import Job, JobState, Resources, Step, StepProgress
from vanillawell.state.work_policy import Queue, Service
from vanillawell.tests.scheduling_builders import ShardHarness, facts

if TYPE_CHECKING:
    from vanillawell.state.executors import Executor
    from vanillawell.state.work import Run

TICK = 0.05
"""Seconds between two decisions."""

SIZING_INTERVAL = 1
"""Ticks between two sizings of the pools."""

START_DELAY = 0.03
"""Seconds from a decision to the start of its task: one write and one call."""

MOVE_SECONDS = 1.6
"""Seconds until a moved machine has registered in its new pool."""

PEAK_SECONDS = 10.0
DAY_SECONDS = 41.0
STANDBY = "standby"
CORES_PER_MACHINE = 32


@dataclass(frozen=True, slots=True)
class JobKind:
    """One kind of job; figures are means, the spreads are those of the users' sheets."""

    per_second: float
    steps: float
    width: float
    seconds: float
    cores: float


JOB_KINDS = (
    JobKind(3.6, 1.6, 6, 0.8, 1.8),
    JobKind(0.708, 2, 8, 1.3, 3.8),
    JobKind(4.5, 1.6, 6, 0.8, 1.8),
    JobKind(0.866, 2, 8, 1.3, 3.8),
)


@dataclass(slots=True)
class SubmittedJob:
    """One submitted job, and when it was completed."""

    at: float
    work: float
    """Core-seconds."""

    objective: float
    """Seconds."""

    done: float | None = None

    @property
    def in_time(self) -> bool:
        return self.done is not None and self.done <= self.at + self.objective


@dataclass(slots=True)
class DayOutcome:
    """The result of a day."""

    jobs: list[SubmittedJob]
    machine_seconds: float
    moves: int

    def in_time(self, begin: float = 0.0, end: float = math.inf) -> float:
        """Return the share of work in time, for the jobs submitted between two times."""
        jobs = [job for job in self.jobs if begin <= job.at < end]
        submitted = sum(job.work for job in jobs)
        return sum(job.work for job in jobs if job.in_time) / submitted if jobs else 1.0


@dataclass(slots=True)
class SimulatedDay:
    """Simulate one day."""

    rng: random.Random
    harness: ShardHarness = field(
        default_factory=lambda: ShardHarness(queues=_queues(), services=_services())
    )
    pools: dict[str, str] = field(default_factory=dict)
    """Pool of each machine."""

    arrivals: dict[str, float] = field(default_factory=dict)
    """Moving machines, each with the time at which it registers."""

    running: list[tuple[float, int, Run]] = field(default_factory=list)
    jobs: dict[str, SubmittedJob] = field(default_factory=dict)
    seconds: dict[tuple[str, int], float] = field(default_factory=dict)
    """Actual run time of the tasks of each step, by job and position."""

    sizer: PoolSizer = field(default_factory=PoolSizer)
    moves: int = 0
    machine_seconds: float = 0.0
    _numbers: itertools.count[int] = field(default_factory=itertools.count)

    def simulate(self) -> DayOutcome:
        """Return the result of the day; traffic ends before the day's last jobs do."""
        for number in range(30):
            machine = f"m{number:02}"
            self.pools[machine] = f"p{number // 6}" if number < 24 else STANDBY
            self._register_executor(machine)
        long_running = Step(2, Resources(2_700, 14_000), 0.9, long_running=True, most_away=1)
        for queue in range(len(JOB_KINDS)):
            self.harness.admit(self._make_job(queue, (long_running,)))
        began = self.harness.now
        for tick in range(int((DAY_SECONDS + 8) / TICK)):
            at = self.harness.now - began
            if at < DAY_SECONDS:
                self._submit_jobs(at)
                self.machine_seconds += TICK * sum(pool != STANDBY for pool in self.pools.values())
            self._run_tasks(began)
            if tick % SIZING_INTERVAL == 0:
                self._size_pools()
            self.harness.now += TICK
        return DayOutcome(list(self.jobs.values()), self.machine_seconds, self.moves)

    def _register_executor(self, machine: str) -> None:
        pool = self.pools[machine]
        if pool == STANDBY:
            return
        name = f"{machine}-{next(self._numbers)}"
        size = Resources(CORES_PER_MACHINE * 1_000, 131_072)
        rack = f"r{int(machine[1:]) // 4}"
        self.harness.register(
            facts(name, rack=rack, service=pool, machine=machine, capacity=size),
        )

    def _make_job(self, queue: int, steps: tuple[Step, ...]) -> Job:
        return Job(f"{next(self._numbers):016x}", f"q{queue}", "north", "", steps, 0.0)

    def _submit_jobs(self, at: float) -> None:
        peak_number, part = divmod(at / PEAK_SECONDS, 1.0)
        for queue, kind in enumerate(JOB_KINDS):
            peak = 4.95 * math.sin(math.pi * part) ** 2 if int(peak_number) % 4 == queue else 0.0
            if self.rng.random() < kind.per_second * (0.05 + peak) * TICK:
                self._submit_job(queue, kind, at)

    def _submit_job(self, queue: int, kind: JobKind, at: float) -> None:
        steps, seconds = [], []
        for position in range(max(1, round(self._draw(kind.steps, 0.4)))):
            seconds.append(self._draw(kind.seconds, 0.5))
            need = Resources(int(1_000 * self._draw(kind.cores, 0.45)), 3_600)
            estimate = seconds[-1] * math.exp(self.rng.gauss(0, 0.5))
            width = max(1, round(self._draw(kind.width, 0.6)))
            after = (position - 1,) if position else ()
            image = f"i{queue}-{self.rng.randrange(6)}"
            steps.append(Step(width, need, estimate, after=after, image=image))
        job = self._make_job(queue, tuple(steps))
        work = sum(
            step.count * step.need.cpu / 1_000 * own
            for step, own in zip(steps, seconds, strict=True)
        )
        self.jobs[job.job_id] = SubmittedJob(at, work, 1.6 * sum(seconds) + 0.6)
        self.seconds.update({(job.job_id, number): own for number, own in enumerate(seconds)})
        self.harness.admit(job)

    def _draw(self, mean: float, spread: float) -> float:
        """Return a log-normal value, at most three times its mean."""
        sigma = math.sqrt(math.log(1 + spread * spread))
        return min(3 * mean, mean * math.exp(self.rng.gauss(0, sigma) - sigma * sigma / 2))

    def _run_tasks(self, began: float) -> None:
        """End and start tasks."""
        now = self.harness.now
        while self.running and self.running[0][0] <= now:
            _, _, run = heapq.heappop(self.running)
            self.harness.end(run)
            record = run.task.step.record
            if record.state is JobState.COMPLETED:
                self.jobs[record.job.job_id].done = now - began
        for run in self.harness.place():
            step = run.task.step
            if step.spec.long_running:
                continue
            own = self.seconds[step.record.job.job_id, step.position]
            ends_at = now + START_DELAY + own * self.rng.uniform(0.85, 1.15)
            heapq.heappush(self.running, (ends_at, next(self._numbers), run))

    def _size_pools(self) -> None:
        """Size the pools as their owner does."""
        now, shard = self.harness.now, self.harness.shard
        for machine in [name for name, at in self.arrivals.items() if at <= now]:
            del self.arrivals[machine]
            self._register_executor(machine)
        executors = shard.ledger.by_machine()
        for executor in executors.values():
            executor.unsaved_ends.clear()
        pools = [self._demand(f"p{queue}", executors, now) for queue in range(len(JOB_KINDS))]
        spare = [
            name
            for name, pool in self.pools.items()
            if pool == STANDBY and name not in self.arrivals
        ]
        idle: dict[str, list[str]] = {}
        for name, executor in executors.items():
            if not executor.runs:
                idle.setdefault(executor.facts.service, []).append(name)
        for move in self.sizer.plan(pools, STANDBY, spare, idle, now):
            self.moves += 1
            if move.machine in executors:
                previous = executors[move.machine].facts
                shard.mark_terminated(previous.executor, previous.incarnation, now, now)
            self.pools[move.machine] = move.pool
            self.arrivals[move.machine] = now + MOVE_SECONDS

    def _demand(self, pool: str, executors: dict[str, Executor], now: float) -> PoolDemand:
        shard = self.harness.shard
        own = [item for item in executors.values() if item.facts.service == pool]
        arriving = sum(self.pools[name] == pool for name in self.arrivals)
        steps: list[StepProgress] = [
            step for step in shard.job_table.open_steps if f"p{step.record.job.queue[1:]}" == pool
        ]
        wanted = max(
            demanded_cores(own, steps, shard.durations), shard.arrivals.required_cores(pool, now)
        )
        return PoolDemand(
            pool, len(own) + arriving, CORES_PER_MACHINE, wanted, min_long_running_machines(steps)
        )


def _queues() -> dict[str, Queue]:
    return {
        f"q{number}": Queue(
            f"q{number}", "h", f"/q{number}/", f"p{number}", number % 2, 3, 1.6, 0.6, False
        )
        for number in range(len(JOB_KINDS))
    }


def _services() -> dict[str, Service]:
    pools = {f"p{number}": Service(f"p{number}", False, False) for number in range(len(JOB_KINDS))}
    return {**pools, STANDBY: Service(STANDBY, True, False)}
