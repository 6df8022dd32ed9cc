"""Charge runs to executors and organisations until they are confirmed to have ended.

An unanswered order may still be executed seconds later, and an unreachable executor may continue to
work. Freeing the capacity of such runs too early would start a task twice or exceed a limit. A run
therefore stays charged until one of the following is known:

- the executor lists its end;
- the executor confirmed a stop and no longer lists the run;
- the executor has restarted (a new incarnation);
- the executor's lease has expired for certain;
- the executor's answer to a hold with a newer fencing token than the order's does not list the run.
"""

from __future__ import annotations

import itertools
import logging
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from vanillawell.state.end_proofs import EndProof
from vanillawell.state.executors import (
    QUARANTINE_TIME,
    Executor,
    ExecutorFacts,
    by_service,
    may_quarantine,
)
from vanillawell.state.incarnations import Incarnation
from vanillawell.state.open_orders import OpenOrders
from vanillawell.state.placement_restrictions import PlacementRestrictions
from vanillawell.state.progress import Run, RunPhase, Task
from vanillawell.state.reliability.failure_evidence import PoolFailureRate
from vanillawell.state.replaced_executors import find_earlier, find_replaced
from vanillawell.state.reported_runs import has_ended, may_still_start, update_run
from vanillawell.state.work import NO_RESOURCES, Ending, Resources, TaskId

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from vanillawell.protocol.executor_calls import HoldReport, ReportedEnd, ReportedRun

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run that has ended."""

    run: Run
    ending: Ending
    proof: EndProof
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class InheritedLeaseBound:
    """Lease bound of an executor inherited from previous owners of the shard, in monotonic time."""

    lease_expires_at: float
    """Time after which all leases on it have expired for certain, unless they are extended."""

    tracked_since: float
    machine: str = ""
    """Machine of its latest known incarnation; empty if unknown."""

    incarnation: int = 0
    """Start time of that incarnation, in milliseconds since the epoch; 0 if unknown."""


@dataclass(slots=True)
class ReportOutcome:
    """Changes that follow from an executor's report."""

    ended: list[EndedRun] = field(default_factory=list)
    late_ends: list[ReportedEnd] = field(default_factory=list)
    """Ends of runs that are no longer charged."""

    orphans: list[ReportedRun] = field(default_factory=list)
    """Reported runs that are not charged to any task and have to be stopped."""

    unconfirmed: list[Run] = field(default_factory=list)
    """Runs whose start order may still be in flight; only a stop order can resolve them."""


class Ledger:
    """Registry of a shard's executors and of the runs charged to them."""

    def __init__(self) -> None:
        self.executors: dict[str, Executor] = {}
        self._terminated: dict[str, int] = {}
        """Latest terminated incarnation of each executor whose registration may still exist."""

        self._usage: defaultdict[str, Resources] = defaultdict(Resources)
        self._open_orders = OpenOrders()
        self._restrictions = PlacementRestrictions()
        self._failure_rates: defaultdict[str, PoolFailureRate] = defaultdict(PoolFailureRate)
        """Failure rate of each service's executors."""

    def cordon_machine(self, machine: str, joins: str = "") -> None:
        """Keep new tasks off a machine, including executors that have yet to register there.

        Executors of the pool that it `joins` do get tasks: they have come by the machine's move.
        """
        self._restrictions.cordon(machine, self.executors.values(), joins)

    def uncordon_machine(self, machine: str) -> None:
        """Allow new tasks on a machine again."""
        self._restrictions.uncordon(machine, self.executors.values())

    def withhold(self, machines: Mapping[str, str]) -> None:
        """Keep new tasks off machines that a previous owner's orders may still take away.

        `machines` maps each machine to the pool that it moves to, or to "" for other orders.
        """
        self._restrictions.withhold(machines, self.executors.values())

    def release_machine(self, machine: str, now: float) -> None:
        """Allow new tasks on a withheld machine once its executor has answered a later call."""
        self._restrictions.release(machine, self.executors.values(), now)

    def evacuate(self, zones: frozenset[str]) -> None:
        """Keep new tasks off the executors of `zones`, including those that register later."""
        self._restrictions.evacuate(zones, self.executors.values())

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Return the zones whose executors get no new tasks."""
        return self._restrictions.evacuated_zones

    def count_evacuated(self) -> int:
        """Return the number of registered executors in evacuated zones."""
        return sum(item.registered and item.evacuated for item in self.executors.values())

    def usage(self, organisation: str) -> Resources:
        """Return the resources of all runs charged to an organisation."""
        return self._usage[organisation]

    def runs(self) -> Iterator[Run]:
        """Iterate over all charged runs."""
        return itertools.chain.from_iterable(
            list(executor.runs.values()) for executor in self.executors.values()
        )

    def by_machine(self) -> dict[str, Executor]:
        """Return the registered executors by machine, the latest incarnation for each."""
        registered = (item for item in self.executors.values() if item.registered)
        ordered = sorted(registered, key=lambda item: item.facts.incarnation)
        return {item.facts.machine: item for item in ordered}

    def is_terminated(self, facts: ExecutorFacts) -> bool:
        """Return whether a registration belongs to an incarnation known to have terminated."""
        return facts.incarnation == self._terminated.get(facts.executor)

    def tracked_registrations(self) -> set[str]:
        """Return the executors whose registration exists as far as known."""
        registered = {name for name, item in self.executors.items() if item.registered}
        return registered | self._terminated.keys()

    def register(self, facts: ExecutorFacts, now: float) -> None:
        """Apply an executor's registration.

        A machine runs one executor at a time, so an earlier executor on the same machine gets no
        new tasks until it has answered once more. A terminated incarnation's registration remains
        for a few seconds and may be read again; it is ignored, since its executor would look idle
        and healthy.
        """
        if self.is_terminated(facts):
            return
        tracked = self.executors.get(facts.executor)
        if tracked is not None:
            self._update(tracked, facts, now)
            self._restrictions.apply(tracked, is_new=False)
            return
        executor = Executor(facts, now, registered=False)
        executor.update_facts(facts, now)
        executor.incarnation.open_orders |= self._open_orders.take(facts.executor, now)
        self._restrictions.apply(executor, is_new=True)
        self.executors[facts.executor] = executor
        for earlier in find_earlier(self.executors.values(), facts):
            earlier.require_answer(now)

    def replaced(self) -> list[Executor]:
        """Return the executors that a later one on their machine has certainly replaced."""
        return find_replaced(self.executors.values())

    def _update(self, tracked: Executor, facts: ExecutorFacts, now: float) -> None:
        if facts.incarnation < tracked.facts.incarnation:
            return
        if facts.incarnation > tracked.facts.incarnation:
            self._begin_incarnation(tracked, facts.incarnation, now)
        tracked.update_facts(facts, now)

    def _begin_incarnation(self, executor: Executor, started: int, now: float) -> None:
        executor.begin_incarnation(started, now)
        executor.incarnation.open_orders |= self._open_orders.take(executor.name, now)

    def _close_all(self, executor: Executor, proof: EndProof) -> list[EndedRun]:
        runs = list(executor.runs.values())
        for run in runs:
            self._open_orders.add(run)
            self._discharge(executor, run)
        return [EndedRun(run, Ending.LOST, proof) for run in runs]

    def unregister(self, name: str) -> None:
        """Mark an executor as unregistered: it gets no new tasks, and its runs stay charged."""
        self._terminated.pop(name, None)
        executor = self.executors.get(name)
        if executor is None:
            return
        executor.registered = False
        self._remove_if_unused(executor)

    def mark_terminated(self, name: str, incarnation: int, proof: EndProof) -> list[EndedRun]:
        """Record that an incarnation has terminated; return its runs, which ended with it."""
        self._terminated[name] = max(incarnation, self._terminated.get(name, incarnation))
        executor = self.executors.get(name)
        if executor is None or executor.facts.incarnation != incarnation:
            return []
        executor.registered = False
        ended = self._close_all(executor, proof)
        self._remove_if_unused(executor)
        return ended

    def _remove_if_unused(self, executor: Executor) -> None:
        """Remove an unregistered executor without runs, unless it was replaced meanwhile."""
        is_current = self.executors.get(executor.name) is executor
        if is_current and not executor.registered and not executor.runs:
            del self.executors[executor.name]

    def charge(self, executor: Executor, run: Run) -> None:
        """Charge a run to its executor and its organisation."""
        executor.charge(run)
        record = run.task.step.record
        record.open_runs += 1
        if run.superseded:
            run.task.superseded_runs.append(run)
        else:
            run.task.run = run
        self._usage[record.job.organisation] += run.task.step.spec.need

    def _discharge(self, executor: Executor, run: Run) -> None:
        executor.release(run)
        record = run.task.step.record
        record.open_runs -= 1
        if run.superseded:
            run.task.superseded_runs.remove(run)
        elif run.task.run is run:
            run.task.run = None
        self._usage[record.job.organisation] -= run.task.step.spec.need

    @staticmethod
    def supersede(run: Run) -> None:
        """Allow another run of the task beside this one, which stays charged to its executor."""
        run.superseded = True
        run.task.run = None
        run.task.superseded_runs.append(run)

    @staticmethod
    def _reinstate(run: Run) -> None:
        """Make a superseded run the task's current run again, since no other run was started."""
        run.task.superseded_runs.remove(run)
        run.superseded = False
        run.task.run = run

    def is_charged(self, run: Run) -> bool:
        """Return whether a run is still charged to its executor."""
        executor = self.executors.get(run.executor)
        return executor is not None and executor.runs.get((run.task.task_id, run.number)) is run

    def close(self, run: Run) -> bool:
        """Stop charging a run; return False if it was closed before."""
        executor = self.executors.get(run.executor)
        if executor is None or not self.is_charged(run):
            return False
        self._discharge(executor, run)
        self._remove_if_unused(executor)
        return True

    def restore(self, task: Task, run: Run, bound: InheritedLeaseBound) -> None:
        """Charge a stored run until its executor reports its outcome.

        The executor's registration may have expired by now. Its machine is still needed: the next
        executor on that machine proves that this one has terminated. A run that was planned in an
        earlier incarnation may have started in the latest one, so the run has ended for certain
        only when the latest incarnation has.
        """
        executor = self.executors.get(run.executor)
        if executor is None:
            facts = _inherited_facts(run.executor, bound.incarnation, bound.machine)
            executor = Executor(facts, bound.tracked_since, registered=False)
            self.executors[run.executor] = executor
        if run.incarnation > executor.facts.incarnation:
            executor.facts = _inherited_facts(run.executor, run.incarnation, "")
            executor.incarnation = Incarnation(run.executor, run.incarnation)
        executor.lease_expires_at = max(executor.lease_expires_at, bound.lease_expires_at)
        self.charge(executor, run)

    def expire(self, now: float) -> list[EndedRun]:
        """Close and return the runs of executors whose lease has expired for certain."""
        ended: list[EndedRun] = []
        for executor in list(self.executors.values()):
            if not executor.runs or now < executor.lease_expires_at:
                continue
            expired = [run for run in executor.runs.values() if run.phase is not RunPhase.PLANNED]
            for run in expired:
                self._open_orders.add(run)
                self._discharge(executor, run)
                ended.append(EndedRun(run, Ending.LEASE_EXPIRED, EndProof.LEASE_EXPIRED))
            self._remove_if_unused(executor)
        return ended

    def apply_report(
        self,
        executor: Executor,
        report: HoldReport,
        sent: float,
        now: float,
        find: Callable[[TaskId], Task | None],
    ) -> ReportOutcome:
        """Apply an executor's report, the answer to a call that was sent at `sent`.

        `find` returns the task with an id, None if it is not tracked.
        """
        outcome = ReportOutcome()
        if executor.is_from_earlier_incarnation(report.incarnation, sent):
            return outcome
        if report.incarnation != executor.facts.incarnation:
            self._begin_incarnation(executor, report.incarnation, now)
        executor.record_answer(sent)
        executor.incarnation.has_unlisted_ends = not report.lists_all_ends
        for end in report.ended:
            if end.sequence > executor.last_applied_end:
                self._apply_end(executor, end, outcome, now, find)
        rows_by_run = {
            (row.task_id, row.run): row for row in report.running if row.task_id is not None
        }
        for run in list(executor.runs.values()):
            row = rows_by_run.pop((run.task.task_id, run.number), None)
            if row is not None:
                update_run(run, row, now)
                if run.superseded and run.task.run is None and not run.task.done:
                    self._reinstate(run)
            elif has_ended(executor, run, report, sent):
                self._discharge(executor, run)
                outcome.ended.append(EndedRun(run, Ending.LOST, EndProof.ABSENT))
            elif may_still_start(run, report, sent):
                outcome.unconfirmed.append(run)
        outcome.orphans.extend(rows_by_run.values())
        executor.incarnation.orphans.update(outcome.orphans, report, sent, now, find)
        self._remove_if_unused(executor)
        return outcome

    def _quarantine_if_allowed(self, executor: Executor, now: float) -> None:
        """Quarantine an executor whose tasks fail, unless too much of its pool is quarantined."""
        registered = [item for item in self.executors.values() if item.registered]
        is_allowed = may_quarantine(by_service(registered, executor.facts.service), now)
        fields = {
            "executor": executor.name,
            "score": round(executor.evidence.score, 2),
            "jobs": len(executor.evidence.failed_jobs),
            "pool_rate": round(self._failure_rates[executor.facts.service].rate, 4),
            "quarantine": QUARANTINE_TIME if is_allowed else 0.0,
        }
        log.warning("executor fails its work", extra=fields)
        if is_allowed:
            executor.quarantine(now)

    def _apply_end(
        self,
        executor: Executor,
        end: ReportedEnd,
        outcome: ReportOutcome,
        now: float,
        find: Callable[[TaskId], Task | None],
    ) -> None:
        executor.incarnation.last_applied_end = end.sequence
        if end.task_id is None:
            return
        run = executor.runs.get((end.task_id, end.run))
        if run is None:
            if find(end.task_id) is not None:
                executor.unsaved_ends.add(end.sequence)
                outcome.late_ends.append(end)
            return
        executor.unsaved_ends.add(end.sequence)
        rate = self._failure_rates[executor.facts.service]
        if executor.record_ending(run, end.ending, rate):
            self._quarantine_if_allowed(executor, now)
        self._discharge(executor, run)
        outcome.ended.append(EndedRun(run, end.ending, EndProof.REPORTED, end.checkpoint))


def _inherited_facts(name: str, incarnation: int, machine: str) -> ExecutorFacts:
    """Return the facts known from previous terms; the registration supplies the rest."""
    return ExecutorFacts(
        name, incarnation, "", "", "", "", machine, frozenset(), NO_RESOURCES, True
    )
