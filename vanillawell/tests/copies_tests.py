"""Test that speculative tasks are started again while their executors are unreachable.

Scenario: the connection to a zone is lost for five seconds during a peak. The runs there are closed
only when their lease has expired, which takes as long as the outage.
"""

from __future__ import annotations

import pytest

from vanillawell.protocol.executor_calls import HoldReport, ReportedEnd, ReportedRun
from vanillawell.protocol.work_documents import read_record, write_record
from vanillawell.state.copies import COPY_DELAY
from vanillawell.state.executors import Executor
from vanillawell.state.progress import Run, StepProgress
from vanillawell.state.work import Ending, JobState
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step


class Outage:
    """A job of one task on an unresponsive executor, and another executor that answers."""

    def __init__(self, **fields: bool) -> None:
        self.harness = ShardHarness(facts("i-0"))
        self.job = job(step(1, **fields))
        self.harness.admit(self.job)
        (self.first,) = self.harness.place()
        self.harness.register(facts("i-1"))
        self.unresponsive.mark_unresponsive()
        self.unresponsive.unresponsive_since = self.harness.now
        self.unresponsive.lease_expires_at = self.harness.now + 60

    @property
    def unresponsive(self) -> Executor:
        return self.harness.shard.ledger.executors["i-0"]

    @property
    def step(self) -> StepProgress:
        return self.first.task.step

    def pass_time(self, seconds: float) -> list[Run]:
        self.harness.now += seconds
        return self.harness.place()

    def report(self, *rows: ReportedRun, ends: tuple[ReportedEnd, ...] = ()) -> None:
        """Let the unresponsive executor answer again."""
        now = self.harness.now
        self.unresponsive.unresponsive_since = None
        report = HoldReport(0.0, 1, list(rows), list(ends))
        self.harness.shard.apply_report(self.unresponsive, report, now, now, now)

    def row(self, run: Run) -> ReportedRun:
        return ReportedRun(run.task.task_id, run.number, "", 50, 0.0)


def test_speculative_task_is_started_on_another_executor() -> None:
    outage = Outage(speculative=True)
    assert outage.pass_time(COPY_DELAY / 2) == []
    (copy,) = outage.pass_time(COPY_DELAY)
    assert (copy.executor, copy.number) == ("i-1", outage.first.number + 1)
    assert outage.pass_time(10.0) == [], "one copy is enough"


@pytest.mark.parametrize("fields", [{}, {"speculative": True, "gang": True}])
def test_tasks_that_are_not_speculative_are_not_copied(fields: dict[str, bool]) -> None:
    """Tasks that must not run twice wait until their run is confirmed to have ended.

    Running them twice can do harm: a stamp that is set twice, for example, counts as fraud.
    """
    assert Outage(**fields).pass_time(10.0) == []


def test_first_completed_run_counts_and_the_other_is_stopped() -> None:
    outage = Outage(speculative=True)
    (copy,) = outage.pass_time(1.0)
    outage.report(outage.row(outage.first))
    outage.harness.end(copy)
    record = outage.step.record
    assert record.state is JobState.COMPLETED
    assert outage.harness.shard.outbox.stops == [outage.first]


def test_run_that_completed_during_the_outage_counts() -> None:
    outage = Outage(speculative=True)
    (copy,) = outage.pass_time(1.0)
    end = ReportedEnd(1, outage.first.task.task_id, outage.first.number, Ending.DONE, "")
    outage.report(ends=(end,))
    assert outage.step.record.state is JobState.COMPLETED
    assert outage.harness.shard.outbox.stops == [copy]


def test_run_continues_without_copy_if_its_executor_answers_before_one_starts() -> None:
    """No other executor has free capacity before the connection is restored."""
    outage = Outage(speculative=True)
    outage.harness.shard.ledger.unregister("i-1")
    assert outage.pass_time(1.0) == []
    outage.report(outage.row(outage.first))
    outage.harness.register(facts("i-2"))
    assert outage.pass_time(1.0) == []
    assert outage.first.task.run is outage.first


def test_both_runs_stay_charged_until_they_end() -> None:
    """Freed too early, capacity and the organisation's maximum would be used twice."""
    outage = Outage(speculative=True)
    ledger = outage.harness.shard.ledger
    outage.pass_time(1.0)
    assert ledger.usage("north").cpu == 2 * outage.step.spec.need.cpu
    ledger.executors["i-1"].lease_expires_at = outage.harness.now + 60
    outage.unresponsive.lease_expires_at = outage.harness.now
    outage.harness.shard.expire(outage.harness.now, outage.harness.now)
    assert ledger.usage("north").cpu == outage.step.spec.need.cpu


def test_cancelling_a_job_stops_both_runs() -> None:
    outage = Outage(speculative=True)
    (copy,) = outage.pass_time(1.0)
    outage.harness.shard.cancel(outage.job.job_id, outage.harness.now)
    assert set(outage.harness.shard.outbox.stops) == {outage.first, copy}


def test_new_owner_restores_both_runs() -> None:
    """If only one run was restored, the other's executor would get work beyond its capacity."""
    outage = Outage(speculative=True)
    (copy,) = outage.pass_time(1.0)
    record, runs = read_record(outage.job, write_record(outage.step.record), 0.0, 0.0)
    found = {(run.executor, run.number): run.superseded for run in runs}
    assert found == {("i-0", outage.first.number): True, ("i-1", copy.number): False}
    assert record.job is outage.job
