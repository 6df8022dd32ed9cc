"""Charge runs to executors and organisations until it is proved that they are over.

An order without an answer may be carried out seconds later, and an executor that cannot be reached
may go on working. Whoever frees their capacity too early starts a task twice, or passes an upper
limit. So a run stays charged until one of these is known: the executor lists its end; the executor
confirmed a stop and does not list it any more; the executor began a new life; its lease has surely
expired; or a hold with a newer fencing token than the order's does not list it.
"""

from __future__ import annotations

import itertools
import logging
from collections import defaultdict
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from vanillawell.state.executors import (
    QUARANTINE_TIME,
    Executor,
    ExecutorFacts,
    by_service,
    may_quarantine,
)
from vanillawell.state.work import NO_RESOURCES, Ending, Resources, Run, RunPhase, Task, TaskId

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from vanillawell.protocol.executor_calls import HoldReport, ReportedEnd, ReportedRun

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class EndedRun:
    """One run that is over."""

    run: Run
    ending: Ending
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class InheritedLeaseBound:
    """What is known of an executor from former terms, on the clock of decisions."""

    lease_expires_at: float
    """When all leases there are surely over, unless they are extended."""

    tracked_since: float
    machine: str = ""
    """Where its latest known life is; empty if that is not known."""

    life: int = 0
    """Start time of that life, in milliseconds since the epoch; 0 if it is not known."""


@dataclass(slots=True)
class ReportOutcome:
    """What a report changed."""

    ended: list[EndedRun] = field(default_factory=list)
    late_ends: list[ReportedEnd] = field(default_factory=list)
    """Ends of runs that are not the present run of their task."""

    orphans: list[ReportedRun] = field(default_factory=list)
    """Runs that nobody wants and that have to be stopped."""

    recheck: list[Run] = field(default_factory=list)
    """Runs whose order may still be on its way; a stop order settles that."""


class Ledger:
    """Own all executors of a shard and what is charged to them."""

    def __init__(self) -> None:
        self.executors: dict[str, Executor] = {}
        self._over: dict[str, int] = {}
        """Latest life of each executor that is known to be over while its entry may still stand."""

        self._usage: defaultdict[str, Resources] = defaultdict(Resources)
        self._closed: set[str] = set()
        """Machines on which nothing may start, whichever executor lives there."""

        self._withheld: dict[str, str] = {}
        """Machines that a former owner's order may take away yet, each with the pool that it goes
        to; empty if it does not change its pool."""

    def cordon_machine(self, machine: str) -> None:
        """Let nothing start on a machine, not even on an executor that is yet to register there."""
        self._closed.add(machine)
        for executor in self._on_machine(machine):
            executor.cordoned = True

    def uncordon_machine(self, machine: str) -> None:
        """Let a machine take work again."""
        self._closed.discard(machine)
        for executor in self._on_machine(machine):
            executor.cordoned = False

    def withhold(self, machines: Mapping[str, str]) -> None:
        """Let nothing new start on machines that a former owner's orders may take away yet.

        They are given with the pool that each goes to; "" for other orders. An executor in that
        pool has come by the order, and is not ended by it.
        """
        self._withheld.update(machines)
        for executor in self.executors.values():
            self._withhold_if_ordered(executor)

    def release_machine(self, machine: str, now: float) -> None:
        """Let new tasks start on a machine again once its executor has answered a later call."""
        self._withheld.pop(machine, None)
        for executor in self._on_machine(machine):
            if executor.withheld:
                executor.order_void_since = now

    def _withhold_if_ordered(self, executor: Executor) -> None:
        pool = self._withheld.get(executor.facts.machine)
        if pool is not None and executor.facts.service != pool:
            executor.withheld = True
        elif executor.order_void_since is None:
            executor.withheld = False

    def _on_machine(self, machine: str) -> list[Executor]:
        return [item for item in self.executors.values() if item.facts.machine == machine]

    def usage(self, organisation: str) -> Resources:
        """Return what an organisation has running, or may have running."""
        return self._usage[organisation]

    def runs(self) -> Iterator[Run]:
        """Iterate over all charged runs."""
        return itertools.chain.from_iterable(
            list(executor.runs.values()) for executor in self.executors.values()
        )

    def by_machine(self) -> dict[str, Executor]:
        """Return the registered executors by their machine, the latest life of each."""
        registered = (item for item in self.executors.values() if item.registered)
        ordered = sorted(registered, key=lambda item: item.facts.incarnation)
        return {item.facts.machine: item for item in ordered}

    def is_terminated(self, facts: ExecutorFacts) -> bool:
        """Tell whether the life that an entry speaks of is known to be over."""
        return facts.incarnation == self._over.get(facts.executor)

    def tracked_registrations(self) -> set[str]:
        """Return the executors whose entry in the registry stands as far as known."""
        registered = {name for name, item in self.executors.items() if item.registered}
        return registered | self._over.keys()

    def register(self, facts: ExecutorFacts, now: float) -> list[EndedRun]:
        """Take in what an executor says of itself in the registry.

        A machine carries one executor at a time. So the runs of an earlier one on the same machine
        are over; they are returned. The entry of a life that is known to be over stands for some
        seconds more, and may be read again; what it names would look idle and sound.
        """
        if self.is_terminated(facts):
            return []
        known = self.executors.get(facts.executor)
        if known is not None:
            self._renew(known, facts, now)
            self._withhold_if_ordered(known)
            return []
        executor = Executor(facts, now, registered=False)
        executor.update_facts(facts, now)
        executor.cordoned = facts.machine in self._closed
        self._withhold_if_ordered(executor)
        self.executors[facts.executor] = executor
        if not facts.machine:
            return []
        former = [
            item
            for item in self.executors.values()
            if item.facts.machine == facts.machine and item.facts.incarnation < facts.incarnation
        ]
        return [
            ended
            for item in former
            for ended in self.mark_terminated(item.name, item.facts.incarnation)
        ]

    @staticmethod
    def _renew(known: Executor, facts: ExecutorFacts, now: float) -> None:
        if facts.incarnation < known.facts.incarnation:
            return
        if facts.incarnation > known.facts.incarnation:
            known.begin_incarnation(now)
        known.update_facts(facts, now)

    def _abandon(self, executor: Executor) -> list[EndedRun]:
        runs = list(executor.runs.values())
        for run in runs:
            self._discharge(executor, run)
        return [EndedRun(run, Ending.LOST) for run in runs]

    def unregister(self, name: str) -> None:
        """Give an executor no new work; what it runs stays charged."""
        self._over.pop(name, None)
        executor = self.executors.get(name)
        if executor is None:
            return
        executor.registered = False
        self._forget_if_empty(executor)

    def mark_terminated(self, name: str, incarnation: int) -> list[EndedRun]:
        """Take in the proof that a life of an executor is over."""
        self._over[name] = max(incarnation, self._over.get(name, incarnation))
        executor = self.executors.get(name)
        if executor is None or executor.facts.incarnation != incarnation:
            return []
        executor.registered = False
        ended = self._abandon(executor)
        self._forget_if_empty(executor)
        return ended

    def _forget_if_empty(self, executor: Executor) -> None:
        """Drop an executor that has left and runs nothing, unless it has come back meanwhile."""
        present = self.executors.get(executor.name) is executor
        if present and not executor.registered and not executor.runs:
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
        """Let another run of a task begin beside this one, which stays charged where it is."""
        run.superseded = True
        run.task.run = None
        run.task.superseded_runs.append(run)

    @staticmethod
    def _reinstate(run: Run) -> None:
        """Take a superseded run for the task's own again, since no other was begun."""
        run.task.superseded_runs.remove(run)
        run.superseded = False
        run.task.run = run

    def close(self, run: Run) -> bool:
        """Stop charging a run; False if it was closed before."""
        executor = self.executors.get(run.executor)
        if executor is None or (run.task.task_id, run.number) not in executor.runs:
            return False
        self._discharge(executor, run)
        self._forget_if_empty(executor)
        return True

    def recall(self, task: Task, run: Run, bound: InheritedLeaseBound) -> None:
        """Charge a run that the store tells of, until its executor says what became of it.

        The entry of the executor may be gone by now. Where it lived still counts: the next executor
        on that machine proves that it has ended. A run that was decided in an earlier life may have
        begun in the latest one, so only the end of that one is the end of all.
        """
        executor = self.executors.get(run.executor)
        if executor is None:
            facts = _recalled_facts(run.executor, bound.life, bound.machine)
            executor = Executor(facts, bound.tracked_since, registered=False)
            self.executors[run.executor] = executor
        if run.incarnation > executor.facts.incarnation:
            executor.facts = _recalled_facts(run.executor, run.incarnation, "")
        executor.lease_expires_at = max(executor.lease_expires_at, bound.lease_expires_at)
        self.charge(executor, run)

    def expire(self, now: float) -> list[EndedRun]:
        """Close the runs on executors whose lease has surely expired."""
        found: list[EndedRun] = []
        for executor in list(self.executors.values()):
            if not executor.runs or now < executor.lease_expires_at:
                continue
            gone = [run for run in executor.runs.values() if run.phase is not RunPhase.PLANNED]
            for run in gone:
                self._discharge(executor, run)
                found.append(EndedRun(run, Ending.LEASE_EXPIRED))
            self._forget_if_empty(executor)
        return found

    def take_report(
        self,
        executor: Executor,
        report: HoldReport,
        sent: float,
        now: float,
        find: Callable[[TaskId], Task | None],
    ) -> ReportOutcome:
        """Take in what an executor reported on a call that was sent at `sent`."""
        outcome = ReportOutcome()
        if executor.is_from_earlier_incarnation(report.incarnation, sent):
            return outcome
        if report.incarnation != executor.facts.incarnation:
            executor.facts = replace(executor.facts, incarnation=report.incarnation)
            executor.begin_incarnation(now)
        executor.record_answer(sent)
        for end in report.ended:
            if end.sequence > executor.seen_end:
                self._take_end(executor, end, outcome, now, find)
        present = {(row.task_id, row.run): row for row in report.running if row.task_id is not None}
        for run in list(executor.runs.values()):
            row = present.pop((run.task.task_id, run.number), None)
            if row is not None:
                self._confirm(run, row, now)
                if run.superseded and run.task.run is None and not run.task.done:
                    self._reinstate(run)
            elif self._is_over(executor, run, sent):
                self._discharge(executor, run)
                outcome.ended.append(EndedRun(run, Ending.LOST))
            elif self._may_still_begin(run, sent):
                outcome.recheck.append(run)
        outcome.orphans.extend(present.values())
        self._forget_if_empty(executor)
        return outcome

    def _doubt(self, executor: Executor, now: float) -> None:
        """Put an executor that fails what it starts in quarantine, unless its whole pool does."""
        registered = [item for item in self.executors.values() if item.registered]
        is_shut_out = may_quarantine(by_service(registered, executor.facts.service), now)
        fields = {"executor": executor.name, "quarantine": QUARANTINE_TIME if is_shut_out else 0.0}
        log.warning("executor fails its work", extra=fields)
        if is_shut_out:
            executor.quarantine(now)

    def _take_end(
        self,
        executor: Executor,
        end: ReportedEnd,
        outcome: ReportOutcome,
        now: float,
        find: Callable[[TaskId], Task | None],
    ) -> None:
        executor.seen_end = end.sequence
        if end.task_id is None:
            return
        run = executor.runs.get((end.task_id, end.run))
        if run is None:
            if find(end.task_id) is not None:
                executor.unsaved_ends.add(end.sequence)
                outcome.late_ends.append(end)
            return
        executor.unsaved_ends.add(end.sequence)
        if executor.judge(run, end.ending):
            self._doubt(executor, now)
        self._discharge(executor, run)
        outcome.ended.append(EndedRun(run, end.ending, end.checkpoint))

    @staticmethod
    def _confirm(run: Run, row: ReportedRun, now: float) -> None:
        if run.phase is not RunPhase.RUNNING:
            run.enter_phase(RunPhase.RUNNING, now)
        if run.started is None:
            run.started = now
        run.is_available = row.percent >= 100
        if run.first_reported_at is None:
            run.first_reported_at, run.first_reported_percent = now, row.percent
        if run.progressed_at is None or row.percent > run.percent:
            run.percent, run.progressed_at = row.percent, now
        if row.checkpoint:
            run.task.checkpoint = row.checkpoint
        if run.task.step.spec.tail_target:
            run.tail = row.measure / 1000

    @staticmethod
    def _is_over(executor: Executor, run: Run, sent: float) -> bool:
        """Tell whether a run that a report leaves out can neither be there nor begin there."""
        if run.phase is RunPhase.INHERITED:
            return True
        if run.phase is RunPhase.RUNNING and executor.restarted_at >= run.phase_since:
            return sent > run.phase_since
        stopped = run.stop_confirmed
        return stopped is not None and sent >= stopped

    @staticmethod
    def _may_still_begin(run: Run, sent: float) -> bool:
        """Tell whether only a stop order can settle what becomes of a run."""
        lost = run.phase in (RunPhase.UNCERTAIN, RunPhase.RUNNING)
        return lost and sent > run.phase_since and run.stop_confirmed is None


def _recalled_facts(name: str, life: int, machine: str) -> ExecutorFacts:
    """Return all that former terms tell of an executor; its entry tells the rest, if it stands."""
    return ExecutorFacts(name, life, "", "", "", "", machine, frozenset(), NO_RESOURCES, True)
