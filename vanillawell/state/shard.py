"""Decide for one shard of jobs: what starts where, what stops, and what each report means.

A shard is a set of services with their queues, jobs and executors; one entry owns it at a time.
Nothing here does I/O. Decisions are collected in an `Outbox`; starts and confirmed ends leave it
only after the jobs they concern have been stored.
"""

from __future__ import annotations

import itertools
import logging
from collections import Counter
from operator import itemgetter
from typing import TYPE_CHECKING

from vanillawell.state.arrivals import ArrivalMeter
from vanillawell.state.copies import to_copy
from vanillawell.state.durations import DurationStatistics
from vanillawell.state.executors import QUARANTINE_TIME, Executor, by_service
from vanillawell.state.job_table import JobTable
from vanillawell.state.ledger import EndedRun, InheritedLeaseBound, Ledger
from vanillawell.state.outbox import CompletedTask, EndConfirmation, OrphanedRun, Outbox
from vanillawell.state.placement import StepPlacer
from vanillawell.state.placement_pass import PlacementPass
from vanillawell.state.ranking import rank_of
from vanillawell.state.shares import in_shares
from vanillawell.state.stalls import stalled_runs
from vanillawell.state.work import (
    Ending,
    Job,
    JobRecord,
    Run,
    RunPhase,
    StepProgress,
    Task,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from vanillawell.protocol.executor_calls import HoldReport, ReportedEnd
    from vanillawell.state.executors import ExecutorFacts
    from vanillawell.state.ranking import Rank
    from vanillawell.state.work_policy import Queue, WorkPolicy

log = logging.getLogger(__name__)

DEFAULT_ATTEMPTS = 3
"""Failed runs that fail a job whose queue is no longer configured."""


class Shard:
    """Own the state of one shard."""

    def __init__(self, kept: float) -> None:
        self.ledger = Ledger()
        self.job_table = JobTable(self._attempts, kept)
        self.durations = DurationStatistics()
        self.arrivals = ArrivalMeter()
        self.outbox = Outbox()
        self.tickets: dict[tuple[str, int, int], Mapping[str, str]] = {}
        """Tickets by executor for steps of queues that need advice."""
        self._policy: WorkPolicy | None = None
        self._queues: dict[str, Queue] = {}
        self._names_in_use: set[str] = set()
        """Queues of the jobs that were followed so far."""

    def _attempts(self, queue: str) -> int:
        known = self._queues.get(queue)
        return known.attempts if known else DEFAULT_ATTEMPTS

    @property
    def policy(self) -> WorkPolicy | None:
        """Return the configuration in force."""
        return self._policy

    def apply_policy(self, policy: WorkPolicy) -> None:
        """Use a newer configuration; queues that it drops keep their last rules."""
        self._policy = policy
        self._queues.update(policy.queues)

    def queues_in_use(self) -> dict[str, Queue]:
        """Return the rules, as far as known, of the queues of all jobs that were followed."""
        return {
            name: self._queues[name] for name in sorted(self._names_in_use) if name in self._queues
        }

    def lacks_queue_rules(self) -> bool:
        """Tell whether there are jobs of queues whose rules are not known."""
        return not self._names_in_use <= self._queues.keys()

    def restore_queue_rules(self, queues: Mapping[str, Queue]) -> None:
        """Take over the rules of queues that the configuration has dropped since."""
        self._queues = {**queues, **self._queues}
        for record in self.job_table.jobs.values():
            self._set_objective(record)

    def queue_of(self, job: Job) -> Queue | None:
        """Return the rules of a job's queue."""
        return self._queues.get(job.queue)

    def admit(self, job: Job, now: float, is_backlog: bool = False) -> JobRecord | None:
        """Begin to follow an accepted job; None if it is known already.

        `is_backlog` says that it was accepted before this process owned the shard.
        """
        if job.job_id in self.job_table.jobs:
            return None
        record = JobRecord(job, now)
        self._names_in_use.add(job.queue)
        self._set_objective(record)
        self.job_table.add(record)
        self.job_table.changed[job.job_id] = record
        queue = self.queue_of(job)
        if queue is not None and not is_backlog:
            self.arrivals.note(queue.service, job, self.durations, now)
        return record

    def _set_objective(self, record: JobRecord) -> None:
        queue = self.queue_of(record.job)
        record.critical_paths = self.durations.critical_paths(record.job)
        if queue is None:
            record.deadline = record.seen_at
            return
        path = max(record.critical_paths, default=0.0)
        record.deadline = record.seen_at + queue.slack_factor * path + queue.objective

    def restore(
        self, record: JobRecord, runs: Iterable[Run], bound: Callable[[str], InheritedLeaseBound]
    ) -> None:
        """Take over a job with the runs that the store tells of; `bound` is called by executor."""
        if not record.state.final:
            self._names_in_use.add(record.job.queue)
        self._set_objective(record)
        self.job_table.add(record)
        for run in runs:
            self.ledger.recall(run.task, run, bound(run.executor))
            if record.state.final or run.task.done:
                self.request_stop(run)

    def cancel(self, job_id: str, wall: float) -> bool:
        """Cancel a job and ask for all its runs to be stopped; False if it was final."""
        record = self.job_table.cancel(job_id, wall)
        if record is None:
            return False
        self._stop_runs(record)
        return True

    def _stop_runs(self, record: JobRecord) -> None:
        steps = itertools.chain.from_iterable(record.occurrences.values())
        for task in itertools.chain.from_iterable(step.tasks for step in steps):
            for run in task.open_runs:
                self.request_stop(run)

    def request_stop(self, run: Run) -> None:
        """Ask for a run to be stopped."""
        if run.stop_requested:
            return
        run.stop_requested = True
        if run.phase is not RunPhase.PLANNED:
            self.outbox.stop(run)

    def register(self, facts: ExecutorFacts, now: float, wall: float) -> None:
        """Take in a change in the registry of executors."""
        self._settle(self.ledger.register(facts, now), now, wall)

    def mark_terminated(self, name: str, incarnation: int, now: float, wall: float) -> None:
        """Take in the proof that a life of an executor is over."""
        self._settle(self.ledger.mark_terminated(name, incarnation), now, wall)

    def expire(self, now: float, wall: float) -> None:
        """Give up runs whose lease has surely expired."""
        ended = self.ledger.expire(now)
        for name, runs in Counter(item.run.executor for item in ended).items():
            log.warning("leases expired", extra={"executor": name, "runs": runs})
        self._settle(ended, now, wall)

    def take_report(
        self, executor: Executor, report: HoldReport, sent: float, now: float, wall: float
    ) -> None:
        """Take in a report of an executor on a call that was sent at `sent`."""
        outcome = self.ledger.take_report(executor, report, sent, now, self.job_table.find)
        numbers = [end.sequence for end in report.ended if end.sequence in executor.unsaved_ends]
        self.outbox.ends.extend(EndConfirmation(executor, number) for number in numbers)
        self._settle(outcome.ended, now, wall)
        for end in outcome.late_ends:
            self._take_late_end(end, now, wall)
        for run in outcome.recheck:
            self.request_stop(run)
        for run in executor.runs.values():
            if run.superseded and (run.task.done or run.task.step.record.state.final):
                self.request_stop(run)
        for row in outcome.orphans:
            if row.task_id is not None:
                self.outbox.stop_orphan(OrphanedRun(executor.name, row.task_id, row.run))
        self._leave_stalled(executor, now)

    def _leave_stalled(self, executor: Executor, now: float) -> None:
        """Start the tasks of an executor elsewhere if all of them stand still there."""
        stalled = stalled_runs(executor, now)
        if not stalled:
            return
        executor.block_placement(now + QUARANTINE_TIME)
        oldest = max(now - run.progressed_at for run in stalled if run.progressed_at is not None)
        fields = {"executor": executor.name, "runs": len(stalled), "still": round(oldest, 3)}
        log.warning("executor stalled", extra=fields)
        for run in stalled:
            self.request_stop(run)

    def _take_late_end(self, end: ReportedEnd, now: float, wall: float) -> None:
        """Take in the end of a run that had been given up."""
        task = self.job_table.find(end.task_id) if end.task_id else None
        if task is None:
            return
        self.job_table.changed[task.step.record.job.job_id] = task.step.record
        if end.ending is not Ending.DONE or task.done:
            return
        if task.run is not None:
            self.request_stop(task.run)
        self.job_table.ended(task, Ending.DONE, end.checkpoint, now, wall)

    def _settle(self, ended: Iterable[EndedRun], now: float, wall: float) -> None:
        """Let the jobs of ended runs go on."""
        for item in ended:
            self._settle_one(item, now, wall)

    def _settle_one(self, item: EndedRun, now: float, wall: float) -> None:
        run, task = item.run, item.run.task
        record = task.step.record
        was_final = record.state.final
        if item.ending is Ending.DONE and run.started is not None:
            self.durations.learn(record.job.queue, task.step.spec, now - run.started)
        if item.ending is Ending.FAILED:
            task.failed_on = run.executor
        self.job_table.ended(task, item.ending, item.checkpoint, now, wall)
        self._tell_end(item, now)
        if task.done:
            self._stop_copies(task)
        if record.state.final and not was_final:
            self._stop_runs(record)
            log.info(
                "job ended",
                extra={
                    "job": record.job.job_id,
                    "state": record.state,
                    "seconds": round(now - record.seen_at, 3),
                    "late_by": round(now - record.deadline, 3),
                },
            )

    def _stop_copies(self, task: Task) -> None:
        """Stop what still runs of a done task; silent executors are told once they answer."""
        for run in task.open_runs:
            if not self.ledger.executors[run.executor].is_unconfirmed:
                self.request_stop(run)

    def _copy_from_silent(self, now: float) -> None:
        """Let tasks that may run twice begin elsewhere while their executors are silent."""
        for run in to_copy(self.ledger.executors.values(), now):
            record = run.task.step.record
            self.ledger.supersede(run)
            self.job_table.changed[record.job.job_id] = record
            unresponsive_since = self.ledger.executors[run.executor].unresponsive_since or now
            log.info(
                "task copied",
                extra={
                    "job": record.job.job_id,
                    "task": run.task.task_id[1:],
                    "run": run.number,
                    "executor": run.executor,
                    "silent": round(now - unresponsive_since, 3),
                },
            )

    def _tell_end(self, item: EndedRun, now: float) -> None:
        """Tell of an end: of tasks that are done with the next turn, of all others at once."""
        run, step = item.run, item.run.task.step
        seconds = round(now - run.started, 3) if run.started else None
        if item.ending is Ending.DONE and not step.spec.long_running:
            self.outbox.done.append(
                CompletedTask(run.task.task_id, run.number, run.executor, seconds)
            )
            return
        log.info(
            "run ended",
            extra={
                "job": run.task.task_id.job_id,
                "task": run.task.task_id[1:],
                "run": run.number,
                "executor": run.executor,
                "ending": item.ending,
                "failures": run.task.failures,
                "seconds": seconds,
            },
        )

    def mark_not_started(self, run: Run, now: float, wall: float) -> None:
        """Take in the proof that a run was not and will not be started."""
        if self.ledger.close(run):
            self._settle_one(EndedRun(run, Ending.LOST), now, wall)

    def place(self, now: float, wall: float) -> None:
        """Start what can be started now."""
        if self._policy is None:
            return
        self.job_table.begin_due(wall)
        self._copy_from_silent(now)
        pass_ = PlacementPass(self, self._policy, now)
        waiting = [step for step in self.job_table.open_steps if step.has_waiting]
        waiting.sort(key=lambda step: step.record.deadline)
        ranked = sorted(((self._rank(step, now), step) for step in waiting), key=itemgetter(0))
        for rank, group in itertools.groupby(ranked, key=itemgetter(0)):
            steps = [step for _, step in group]
            for step in in_shares(steps, self._standing) if rank.shared else steps:
                pass_.place(step)

    def _rank(self, step: StepProgress, now: float) -> Rank:
        queue = self.queue_of(step.record.job)
        return rank_of(step, queue.priority if queue else 0, now)

    def _standing(self, organisation: str) -> float:
        """Return what an organisation has running for its weight, in thousandths of a core."""
        limits = self._policy.organisations.get(organisation) if self._policy else None
        weight = limits.share if limits and limits.share > 0 else 1.0
        return self.ledger.usage(organisation).cpu / weight

    def can_place_elsewhere(self, run: Run, now: float) -> bool:
        """Tell whether another executor of its pool has a place for the task of a run.

        None has as long as it is not known which of them may run it.
        """
        executor = self.ledger.executors[run.executor]
        step = run.task.step
        queue = self.queue_of(step.record.job)
        key = (step.record.job.job_id, step.occurrence, step.position)
        tickets = self.tickets.get(key)
        if tickets is None and queue is not None and queue.advice:
            return False
        others = [
            item
            for item in by_service(self.ledger.executors.values(), executor.facts.service)
            if item is not executor and item.accepts_tasks(now)
        ]
        return StepPlacer(step, others, tickets).choose(run.task) is not None

    def plan(self, task: Task, executor: Executor, number: int, ticket: str, now: float) -> Run:
        """Decide on a run; it is charged from this moment."""
        task.number = number
        life = executor.facts.incarnation
        run = Run(task, number, executor.name, life, RunPhase.PLANNED, now, ticket=ticket)
        self.ledger.charge(executor, run)
        return run

    def settle_plan(self, run: Run) -> None:
        """Let a planned run go out once it is stored."""
        self.job_table.begun(run.task)
        self.outbox.planned.append(run)

    def unplan(self, run: Run) -> None:
        """Take a plan back that was not settled."""
        self.ledger.close(run)
