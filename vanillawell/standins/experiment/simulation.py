"""Simulate one day of a deployment: real decisions, machines that take time to move.

Queues share machines, some of which start on standby. Jobs are as callers declare them: several
steps in sequence, each of several tasks, with estimates that are far off.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from vanillawell.protocol.executor_calls import HoldReport, ReportedEnd
from vanillawell.standins.experiment.least import StepDemand
from vanillawell.standins.experiment.outcome import DayOutcome, SubmittedJob
from vanillawell.state.end_proofs import EndProof
from vanillawell.state.executors import ExecutorFacts
from vanillawell.state.pool_sizing import (
    PoolDemand,
    PoolSizer,
    demanded_cores,
    min_long_running_machines,
)
from vanillawell.state.progress import RunPhase, StepProgress
from vanillawell.state.shard import Shard
from vanillawell.state.work import MILLICORES_PER_CORE, Ending, Job, JobState, Resources, Step
from vanillawell.state.work_policy import OrganisationLimits, Queue, Service, WorkPolicy

if TYPE_CHECKING:
    from vanillawell.standins.experiment.workload import JobKind, LongRunningJob, Workload
    from vanillawell.state.executors import Executor
    from vanillawell.state.progress import Run

TICK = 0.05
"""Seconds between two decisions."""

START_DELAY = 0.03
"""Seconds from a decision to the start of its task: one write and one call."""

MOVE_SECONDS = 1.6
"""Seconds until a moved machine has registered in its new pool."""

FINISH_SECONDS = 8.0
"""Seconds after the end of traffic in which the last jobs may end."""

RETENTION = 120.0
"""Seconds for which final jobs are kept."""

SLACK_FACTOR = 1.6
"""Multiple of its critical path that a job's objective allows."""

OBJECTIVE = 0.6
"""Seconds that the objective allows in addition."""

STANDBY = "standby"
ORGANISATION = "north"


@dataclass(slots=True)
class SimulatedDay:
    """Simulate one day of a workload."""

    workload: Workload
    seed: int
    sizer: PoolSizer = field(default_factory=PoolSizer)
    shard: Shard = field(default_factory=lambda: Shard(RETENTION))
    now: float = 100.0
    pools: dict[str, str] = field(default_factory=dict)
    """Pool of each machine."""

    arrivals: dict[str, float] = field(default_factory=dict)
    """Moving machines, each with the time at which it registers."""

    running: list[tuple[float, int, Run]] = field(default_factory=list)
    jobs: dict[str, SubmittedJob] = field(default_factory=dict)
    seconds: dict[tuple[str, int], float] = field(default_factory=dict)
    """Actual run time of the tasks of each step, by job and position."""

    moves: int = 0
    machine_seconds: float = 0.0
    earliest: list[list[StepDemand]] = field(default_factory=list)
    _arrival_rng: random.Random = field(init=False)
    _run_rng: random.Random = field(init=False)
    """Source of run times; separate, so that other decisions don't change the arrivals."""

    _began: float = 0.0
    _numbers: itertools.count[int] = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        self._arrival_rng = random.Random(self.seed)
        self._run_rng = random.Random(self.seed)

    def simulate(self) -> DayOutcome:
        """Return the result of the day; traffic ends before the day's last jobs do."""
        workload = self.workload
        self.shard.apply_policy(_policy(len(workload.kinds)))
        self._began = self.now
        self._place_machines()
        self.earliest = [[] for _ in workload.kinds]
        for _ in range(int((workload.day_seconds + FINISH_SECONDS) / TICK)):
            at = self.now - self._began
            self._submit_long_running(at)
            if at < workload.day_seconds:
                self._submit_jobs(at)
                self._count_machines()
            self._run_tasks()
            self._size_pools()
            self.now += TICK
        return DayOutcome(list(self.jobs.values()), self.machine_seconds, self.moves, self.earliest)

    def _place_machines(self) -> None:
        size, queues = self.workload.initial_pool_size, len(self.workload.kinds)
        for number in range(self.workload.machines):
            machine = f"m{number:03}"
            self.pools[machine] = f"p{number // size}" if number < size * queues else STANDBY
            self._register_executor(machine)

    def _count_machines(self) -> None:
        self.machine_seconds += TICK * sum(pool != STANDBY for pool in self.pools.values())

    def _register_executor(self, machine: str) -> None:
        pool = self.pools[machine]
        if pool == STANDBY:
            return
        workload = self.workload
        rack = f"r{int(machine[1:]) // workload.rack_size}"
        facts = ExecutorFacts(
            executor=f"{machine}-{next(self._numbers)}",
            incarnation=1 + next(self._numbers),
            service=pool,
            address="127.0.0.1:1",
            zone="a",
            rack=rack,
            machine=machine,
            labels=frozenset({rack}),
            capacity=Resources(workload.cores * MILLICORES_PER_CORE, workload.memory_mb),
            draining=False,
            cold_remaining=workload.cold_seconds if self.now > self._began else 0.0,
        )
        self.shard.register(facts, self.now)
        self.shard.ledger.executors[facts.executor].contacted = True

    def _make_job(self, queue: int, steps: tuple[Step, ...]) -> Job:
        return Job(f"{next(self._numbers):016x}", f"q{queue}", ORGANISATION, "", steps, 0.0)

    def _submit_long_running(self, at: float) -> None:
        for kind in self.workload.long_running:
            for queue in range(len(self.workload.kinds)):
                if 0 <= at - kind.at - queue * kind.offset < TICK:
                    job = self._make_job(queue, (_long_running_step(kind),))
                    self.earliest[queue].append(StepDemand(at, math.inf, kind.tasks * kind.cores))
                    self.shard.admit(job, self.now)

    def _submit_jobs(self, at: float) -> None:
        kinds = self.workload.kinds
        for queue, kind in enumerate(kinds):
            load = self.workload.rhythm.load(queue, len(kinds), at)
            for _ in range(self._draw_count(kind.per_second * load * TICK)):
                self._submit_job(queue, kind, at)

    def _draw_count(self, mean: float) -> int:
        """Return a number of arrivals in one tick."""
        whole = int(mean)
        return sum(self._arrival_rng.random() < mean / (whole + 1) for _ in range(whole + 1))

    def _submit_job(self, queue: int, kind: JobKind, at: float) -> None:
        steps, seconds = [], []
        for position in range(max(1, round(self._draw(kind.steps, 0.4)))):
            seconds.append(self._draw(kind.seconds, 0.5))
            need = Resources(
                int(MILLICORES_PER_CORE * self._draw(kind.cores, 0.45)),
                int(self.workload.task_memory_mb),
            )
            estimate = seconds[-1] * math.exp(self._arrival_rng.gauss(0, kind.estimate_spread))
            width = max(1, round(self._draw(kind.width, 0.6)))
            after = (position - 1,) if position else ()
            image = f"i{queue}-{self._arrival_rng.randrange(6)}"
            steps.append(Step(width, need, estimate, after=after, image=image))
        job = self._make_job(queue, tuple(steps))
        work = sum(
            step.count * step.need.cpu / MILLICORES_PER_CORE * own
            for step, own in zip(steps, seconds, strict=True)
        )
        objective = SLACK_FACTOR * sum(seconds) + OBJECTIVE
        self.jobs[job.job_id] = SubmittedJob(at, queue, work, objective)
        begins = itertools.accumulate(seconds, initial=at)
        self.earliest[queue].extend(
            StepDemand(begin, begin + own, step.count * step.need.cpu / MILLICORES_PER_CORE)
            for begin, own, step in zip(begins, seconds, steps, strict=False)
        )
        self.seconds.update({(job.job_id, number): own for number, own in enumerate(seconds)})
        self.shard.admit(job, self.now)

    def _draw(self, mean: float, spread: float) -> float:
        """Return a log-normal value, at most three times its mean."""
        sigma = math.sqrt(math.log(1 + spread * spread))
        return min(3 * mean, mean * math.exp(self._arrival_rng.gauss(0, sigma) - sigma * sigma / 2))

    def _run_tasks(self) -> None:
        """End and start tasks."""
        while self.running and self.running[0][0] <= self.now:
            _, _, run = heapq.heappop(self.running)
            self._end(run)
            record = run.task.step.record
            if record.state is JobState.COMPLETED:
                self.jobs[record.job.job_id].done = self.now - self._began
        self.shard.place(self.now, self.now)
        planned, self.shard.outbox.planned = self.shard.outbox.planned, []
        for run in planned:
            run.enter_phase(RunPhase.RUNNING, self.now)
            run.started = self.now
            step = run.task.step
            if step.spec.long_running:
                continue
            own = self.seconds[step.record.job.job_id, step.position]
            spread = self.workload.run_time_spread
            factor = self._run_rng.uniform(1 - spread, 1 + spread)
            if self.workload.tail_share and self._run_rng.random() < self.workload.tail_share:
                factor *= self.workload.tail_factor
            if self.shard.ledger.executors[run.executor].is_cold(self.now):
                factor *= self.workload.cold_factor
            ends_at = self.now + START_DELAY + own * factor
            heapq.heappush(self.running, (ends_at, next(self._numbers), run))

    def _end(self, run: Run) -> None:
        """Apply the end of a run as its executor would report it."""
        executor = self.shard.ledger.executors[run.executor]
        number = executor.last_applied_end + 1
        row = ReportedEnd(number, run.task.task_id, run.number, Ending.DONE, "")
        report = HoldReport(0.0, executor.facts.incarnation, [], [row])
        sent = min(self.now, run.phase_since)
        self.shard.apply_report(executor, report, sent, self.now, self.now)

    def _size_pools(self) -> None:
        """Size the pools as their owner does."""
        now, shard = self.now, self.shard
        for machine in [name for name, at in self.arrivals.items() if at <= now]:
            del self.arrivals[machine]
            self._register_executor(machine)
        executors = shard.ledger.by_machine()
        for executor in executors.values():
            executor.unsaved_ends.clear()
        queues = range(len(self.workload.kinds))
        pools = [self._demand(f"p{queue}", executors) for queue in queues]
        spare = [
            name
            for name, pool in self.pools.items()
            if pool == STANDBY and name not in self.arrivals
        ]
        idle: dict[str, list[str]] = {}
        for name, executor in executors.items():
            if not executor.runs:
                idle.setdefault(executor.facts.service, []).append(name)
        for move in self.sizer.plan(pools, STANDBY, spare, idle, now).moves:
            self.moves += 1
            if move.machine in executors:
                previous = executors[move.machine].facts
                shard.mark_terminated(
                    previous.executor, previous.incarnation, EndProof.MACHINE_ORDERED, now, now
                )
            self.pools[move.machine] = move.pool
            self.arrivals[move.machine] = now + MOVE_SECONDS

    def _demand(self, pool: str, executors: dict[str, Executor]) -> PoolDemand:
        shard = self.shard
        own = [item for item in executors.values() if item.facts.service == pool]
        arriving = sum(self.pools[name] == pool for name in self.arrivals)
        steps: list[StepProgress] = [
            step for step in shard.job_table.open_steps if f"p{step.record.job.queue[1:]}" == pool
        ]
        wanted = max(
            demanded_cores(own, steps, shard.durations),
            shard.arrivals.required_cores(pool, self.now),
        )
        floor = min_long_running_machines(steps)
        return PoolDemand(pool, len(own) + arriving, self.workload.cores, wanted, floor)


def _long_running_step(kind: LongRunningJob) -> Step:
    need = Resources(int(MILLICORES_PER_CORE * kind.cores), int(kind.memory_mb))
    return Step(
        kind.tasks,
        need,
        0.9,
        long_running=True,
        most_away=1,
        most_per_executor=kind.most_per_executor,
    )


def _policy(queues: int) -> WorkPolicy:
    pools = [f"p{number}" for number in range(queues)]
    services = {name: Service(name, False, False) for name in pools}
    return WorkPolicy(
        version=1,
        queues={
            f"q{number}": Queue(
                f"q{number}",
                "h",
                f"/q{number}/",
                pool,
                number % 2,
                3,
                SLACK_FACTOR,
                OBJECTIVE,
                False,
            )
            for number, pool in enumerate(pools)
        },
        services={**services, STANDBY: Service(STANDBY, True, False)},
        organisations={ORGANISATION: OrganisationLimits(ORGANISATION, 1, Resources())},
        key_owners={},
    )
