"""Scheduling state of one shard: place tasks, stop runs and apply executor reports.

A shard is a set of services with their queues, jobs and executors; one entry owns it at a time.
This module does no I/O. Decisions are collected in an `Outbox`; starts and confirmations of ends
are sent only after the job records they concern have been stored.
"""

from __future__ import annotations

import itertools
import logging
from collections import Counter
from typing import TYPE_CHECKING

from vanillawell.state.arrivals import ArrivalMeter
from vanillawell.state.availability import may_interrupt
from vanillawell.state.contention.agreed_rates import AgreedRates
from vanillawell.state.copies import runs_to_copy
from vanillawell.state.durations import DurationStatistics, set_objective
from vanillawell.state.end_proofs import EndProof
from vanillawell.state.executors import QUARANTINE_TIME, Executor, by_service
from vanillawell.state.job_table import JobTable
from vanillawell.state.ledger import EndedRun, InheritedLeaseBound, Ledger
from vanillawell.state.outbox import EndConfirmation, OrphanedRun, Outbox
from vanillawell.state.placement import StepPlacer
from vanillawell.state.placement_pass import HELD_BY_MAXIMUM
from vanillawell.state.placement_rounds import PlacementRounds
from vanillawell.state.progress import JobRecord, Run, RunPhase, Task
from vanillawell.state.queue_rules import QueueRules
from vanillawell.state.registrations import Registrations
from vanillawell.state.shard_log import log_end, log_job_ended, log_task_copied
from vanillawell.state.stalls import stalled_runs
from vanillawell.state.work import Ending, Job

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from vanillawell.protocol.executor_calls import HoldReport, ReportedEnd
    from vanillawell.state.executors import ExecutorFacts
    from vanillawell.state.work import Resources
    from vanillawell.state.work_policy import Queue, WorkPolicy

log = logging.getLogger(__name__)

UNOBSERVED_ENDINGS = frozenset({Ending.LOST, Ending.LEASE_EXPIRED})
"""Endings that may be inferred, of runs that may never have begun."""


class Shard:
    """Scheduling state of one shard.

    `retention` is the time in seconds for which final jobs can be queried, `remote_factor` the
    multiple of its run time that a task takes away from its data.
    """

    def __init__(self, retention: float, remote_factor: float = 1.0) -> None:
        self.remote_factor = remote_factor
        self.ledger = Ledger()
        self.registrations = Registrations()
        self.queues = QueueRules()
        self.job_table = JobTable(self.queues.attempts, retention)
        self.durations = DurationStatistics()
        self.arrivals = ArrivalMeter()
        self.agreed_rates = AgreedRates()
        self.surplus_jobs = 0
        """Jobs beyond the agreed rate of their organisation, among all that were tracked so far."""

        self.closed_runs: Counter[EndProof] = Counter()
        """Runs that were closed so far, by what proved their end."""

        self.outbox = Outbox()
        self.tickets: dict[tuple[str, int, int], Mapping[str, str]] = {}
        """Tickets by executor, for steps of queues that require advice."""
        self._policy: WorkPolicy | None = None
        self._rounds = PlacementRounds(self)

    @property
    def policy(self) -> WorkPolicy | None:
        """Return the configuration in force; None before the first one was applied."""
        return self._policy

    def apply_policy(self, policy: WorkPolicy) -> None:
        """Apply a newer configuration; queues that it drops keep their last rules."""
        self._policy = policy
        self.queues.apply(policy.queues)

    def restore_queue_rules(self, queues: Mapping[str, Queue]) -> None:
        """Add stored rules of queues that the configuration does not contain."""
        missing = self.queues.missing()
        self.queues.restore(queues)
        for record in self.job_table.jobs.values():
            if record.job.queue in missing:
                self._set_objective(record)

    def queue_of(self, job: Job) -> Queue | None:
        """Return the rules of a job's queue; None if they are unavailable."""
        return self.queues.get(job.queue)

    def admit(
        self, job: Job, now: float, is_backlog: bool = False, age: float = 0.0
    ) -> JobRecord | None:
        """Start tracking an accepted job; return None if it is already tracked.

        Args:
            job: The job.
            now: Present time.
            is_backlog: Whether it was accepted before this process owned the shard. It does not
                count as an arrival then.
            age: Seconds since its acceptance.
        """
        if job.job_id in self.job_table.jobs:
            return None
        record = JobRecord(job, now)
        self.queues.record_use(job.queue)
        self._set_objective(record)
        self._count_against_rate(record, now - age)
        self.job_table.add(record)
        self.job_table.changed[job.job_id] = record
        queue = self.queue_of(job)
        if queue is not None and not is_backlog and not record.surplus:
            self.arrivals.record(queue.service, job, self.durations, now)
        return record

    def _count_against_rate(self, record: JobRecord, accepted: float) -> None:
        """Determine whether a job that was accepted at the given time is surplus."""
        organisation = record.job.organisation
        limits = self._policy.organisations.get(organisation) if self._policy else None
        rate = limits.agreed_rate if limits else None
        record.surplus = self.agreed_rates.is_surplus(organisation, rate, accepted)
        if record.surplus:
            self.surplus_jobs += 1

    def _set_objective(self, record: JobRecord) -> None:
        set_objective(record, self.queue_of(record.job), self.durations)

    def restore(
        self, record: JobRecord, runs: Iterable[Run], bound: Callable[[str], InheritedLeaseBound]
    ) -> None:
        """Restore a stored job with its open runs; jobs are restored in the order of acceptance.

        `bound` returns the inherited lease bound of an executor by its id.
        """
        if not record.state.final:
            self.queues.record_use(record.job.queue)
        self._set_objective(record)
        self._count_against_rate(record, record.seen_at)
        self.job_table.add(record)
        for run in runs:
            self.ledger.restore(run.task, run, bound(run.executor))
            if record.state.final or run.task.done:
                self.request_stop(run)

    def cancel(self, job_id: str, wall: float) -> bool:
        """Cancel a job and request a stop of all its runs; return False if it was final."""
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
        """Request that a run is stopped, unless that was requested before."""
        run.is_move = False
        if run.stop_requested:
            return
        run.stop_requested = True
        if run.phase is not RunPhase.PLANNED:
            self.outbox.stop(run)

    def request_move(self, run: Run) -> None:
        """Request that a long-running task leaves its executor, unless its stop was requested."""
        if not run.stop_requested:
            self.request_stop(run)
            run.is_move = True

    @staticmethod
    def withdraw_move_if_needed(run: Run) -> bool:
        """Withdraw a stop that only moves a task if too many others of its step are away by now;
        return whether it was withdrawn."""
        if not run.is_move or may_interrupt(run):
            return False
        run.stop_requested = run.is_move = False
        return True

    def register(self, facts: ExecutorFacts, now: float) -> None:
        """Apply an executor's registration."""
        self.ledger.register(facts, now)

    def mark_terminated(
        self, name: str, incarnation: int, proof: EndProof, now: float, wall: float
    ) -> None:
        """Close the runs of an incarnation that is confirmed to have terminated."""
        self._apply_ends(self.ledger.mark_terminated(name, incarnation, proof), now, wall)

    def close_replaced(self, now: float, wall: float) -> None:
        """Close the runs of executors that a later one on their machine has replaced."""
        for executor in self.ledger.replaced():
            proof = EndProof.NEXT_ON_MACHINE
            fields = {"executor": executor.name, "machine": executor.facts.machine}
            figures = {"reason": proof, "runs": len(executor.runs)}
            log.warning("executor has ended", extra={**fields, **figures})
            self.mark_terminated(executor.name, executor.facts.incarnation, proof, now, wall)

    def expire(self, now: float, wall: float) -> None:
        """Close runs whose lease has expired for certain."""
        ended = self.ledger.expire(now)
        for name, runs in Counter(item.run.executor for item in ended).items():
            log.warning("leases expired", extra={"executor": name, "runs": runs})
        self._apply_ends(ended, now, wall)

    def apply_report(
        self, executor: Executor, report: HoldReport, sent: float, now: float, wall: float
    ) -> None:
        """Apply an executor's report, the answer to a call that was sent at `sent`."""
        outcome = self.ledger.apply_report(executor, report, sent, now, self.job_table.find)
        incarnation = executor.incarnation
        if incarnation.has_unlisted_ends:
            figures = {"listed": len(report.ended), "runs": len(executor.runs)}
            log.info("ends not all listed", extra={"executor": executor.name, **figures})
        self.outbox.ends.extend(
            EndConfirmation(incarnation, end.sequence, end.task_id.job_id if end.task_id else "")
            for end in report.ended
            if end.sequence in incarnation.unsaved_ends
        )
        self._apply_ends(outcome.ended, now, wall)
        for end in outcome.late_ends:
            self._apply_late_end(end, now, wall)
        for run in outcome.unconfirmed:
            self.request_stop(run)
        for run in executor.runs.values():
            if run.superseded and (run.task.done or run.task.step.record.state.final):
                self.request_stop(run)
        for row in outcome.orphans:
            if row.task_id is not None:
                self.outbox.stop_orphan(OrphanedRun(executor.name, row.task_id, row.run))
        self._stop_stalled(executor, now)

    def _stop_stalled(self, executor: Executor, now: float) -> None:
        """Stop the runs of a stalled executor, so that their tasks start elsewhere."""
        stalled = stalled_runs(executor, now)
        if not stalled:
            return
        executor.block_placement(now + QUARANTINE_TIME)
        oldest = max(now - run.progressed_at for run in stalled if run.progressed_at is not None)
        fields = {"executor": executor.name, "runs": len(stalled), "still": round(oldest, 3)}
        log.warning("executor stalled", extra=fields)
        for run in stalled:
            run.task.stalls += 1
            self.request_stop(run)

    def _apply_late_end(self, end: ReportedEnd, now: float, wall: float) -> None:
        """Apply the end of a run that had already been closed as lost or expired."""
        task = self.job_table.find(end.task_id) if end.task_id else None
        if task is None:
            return
        self.job_table.changed[task.step.record.job.job_id] = task.step.record
        if end.ending is not Ending.DONE or task.done:
            return
        if task.run is not None:
            self.request_stop(task.run)
        self.job_table.record_end(task, Ending.DONE, end.checkpoint, wall)

    def _apply_ends(self, ended: Iterable[EndedRun], now: float, wall: float) -> None:
        """Update the jobs of ended runs."""
        for item in ended:
            self._apply_end(item, now, wall)

    def _apply_end(self, item: EndedRun, now: float, wall: float) -> None:
        run, task = item.run, item.run.task
        record = task.step.record
        was_final = record.state.final
        self.closed_runs[item.proof] += 1
        if item.ending is Ending.DONE and run.started is not None and not run.started_cold:
            self.durations.record(record.job.queue, task.step.spec, now - run.started)
        if item.ending is Ending.FAILED:
            task.failed_on = run.executor
        if run.started is not None or item.ending not in UNOBSERVED_ENDINGS:
            record.begun = True
        self.job_table.record_end(task, item.ending, item.checkpoint, wall)
        self.job_table.requeue_if_not_begun(record)
        log_end(item, self.outbox, now)
        if task.done:
            self._stop_copies(task)
        if record.state.final and not was_final:
            self._stop_runs(record)
            log_job_ended(record, now)

    def _stop_copies(self, task: Task) -> None:
        """Stop the remaining runs of a done task.

        Runs on unresponsive executors are stopped when their executor answers again.
        """
        for run in task.open_runs:
            if not self.ledger.executors[run.executor].is_unconfirmed:
                self.request_stop(run)

    def _copy_from_unresponsive(self, now: float) -> None:
        """Let speculative tasks start elsewhere while their executors are unresponsive."""
        for run in runs_to_copy(self.ledger.executors.values(), now):
            record = run.task.step.record
            self.ledger.supersede(run)
            self.job_table.changed[record.job.job_id] = record
            unresponsive_since = self.ledger.executors[run.executor].unresponsive_since or now
            log_task_copied(run, now - unresponsive_since)

    def mark_not_started(self, run: Run, now: float, wall: float) -> None:
        """Close a run that is confirmed not to have started and cannot start any more."""
        if self.ledger.close(run):
            self._apply_end(EndedRun(run, Ending.LOST, EndProof.NOT_STARTED), now, wall)

    def is_within_maximum(self, organisation: str, running: Resources, need: Resources) -> bool:
        """Return whether an organisation that has `running` may have `need` more, by the
        configuration in force."""
        limits = self._policy.organisations.get(organisation) if self._policy else None
        return limits is None or limits.allows(running, need)

    def reason_to_withdraw(self, run: Run) -> str:
        """Return why a start that was decided must not be ordered any more; empty if it may be."""
        reason = self.ledger.executors[run.executor].unschedulable_reason()
        if reason is not None:
            return reason.value
        organisation = run.task.step.record.job.organisation
        need = run.task.step.spec.need
        others = self.ledger.usage(organisation) - need
        if not self.is_within_maximum(organisation, others, need):
            return HELD_BY_MAXIMUM
        return ""

    def stop_gang_of(self, run: Run) -> None:
        """Stop the other members of a gang that one member does not join, so that they start
        together elsewhere instead of waiting for it."""
        step = run.task.step
        if not step.spec.gang:
            return
        for member in (task.run for task in step.tasks if task.run is not None):
            self.request_stop(member)

    def place(self, now: float, wall: float, has_time: Callable[[], bool] = lambda: True) -> bool:
        """Decide which waiting tasks start now, and on which executors.

        Returns:
            Whether all of them were looked at. If `has_time` returned False before, the next call
            continues with those that are left.
        """
        if self._policy is None:
            return True
        self.job_table.begin_due(wall)
        self._copy_from_unresponsive(now)
        return self._rounds.place(self._policy, now, has_time)

    def can_place_elsewhere(self, run: Run, now: float) -> bool:
        """Return whether another executor of the pool has free capacity for the task of a run.

        False while tickets are required and the executors that may run it are not known yet.
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
        return StepPlacer(step, others, tickets, now).choose(run.task) is not None

    def plan(self, task: Task, executor: Executor, number: int, ticket: str, now: float) -> Run:
        """Create a planned run and charge it to its executor."""
        task.number = number
        incarnation = executor.facts.incarnation
        run = Run(task, number, executor.name, incarnation, RunPhase.PLANNED, now, ticket=ticket)
        run.checkpoint = task.checkpoint
        run.started_cold = executor.is_cold(now)
        self.ledger.charge(executor, run)
        return run

    def commit_plan(self, run: Run) -> None:
        """Put a planned run into the outbox, to be ordered once it is stored."""
        self.job_table.record_start(run.task)
        self.outbox.planned.append(run)

    def discard_plan(self, run: Run) -> None:
        """Discard a planned run that was not committed."""
        self.ledger.close(run)
