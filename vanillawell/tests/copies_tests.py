"""Test that tasks which may run twice don't wait for executors that nobody can reach.

The pattern: in the middle of a peak the path to a zone is cut for five seconds. What runs there is
given up once its lease is surely over, as late as the path is back.
"""

from __future__ import annotations

import pytest

from vanillawell.protocol.executor_calls import HoldReport, ReportedEnd, ReportedRun
from vanillawell.protocol.work_documents import read_record, write_record
from vanillawell.state.copies import COPIED_AFTER
from vanillawell.state.executors import Executor
from vanillawell.state.work import Ending, JobState, Run, StepProgress
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step


class Cut:
    """A job of one task on an executor that falls silent, beside one that answers."""

    def __init__(self, **fields: bool) -> None:
        self.harness = ShardHarness(facts("i-0"))
        self.job = job(step(1, **fields))
        self.harness.admit(self.job)
        (self.first,) = self.harness.place()
        self.harness.register(facts("i-1"))
        self.silent.mark_unresponsive()
        self.silent.unresponsive_since = self.harness.now
        self.silent.lease_expires_at = self.harness.now + 60

    @property
    def silent(self) -> Executor:
        return self.harness.shard.ledger.executors["i-0"]

    @property
    def step(self) -> StepProgress:
        return self.first.task.step

    def pass_time(self, seconds: float) -> list[Run]:
        self.harness.now += seconds
        return self.harness.place()

    def report(self, *rows: ReportedRun, ends: tuple[ReportedEnd, ...] = ()) -> None:
        """Let the silent executor answer again."""
        now = self.harness.now
        self.silent.unresponsive_since = None
        report = HoldReport(0.0, 1, list(rows), list(ends))
        self.harness.shard.take_report(self.silent, report, now, now, now)

    def row(self, run: Run) -> ReportedRun:
        return ReportedRun(run.task.task_id, run.number, "", 50, 0.0)


def test_a_task_that_may_run_twice_begins_elsewhere() -> None:
    cut = Cut(speculative=True)
    assert cut.pass_time(COPIED_AFTER / 2) == []
    (copy,) = cut.pass_time(COPIED_AFTER)
    assert (copy.executor, copy.number) == ("i-1", cut.first.number + 1)
    assert cut.pass_time(10.0) == [], "one copy is enough"


@pytest.mark.parametrize("fields", [{}, {"speculative": True, "gang": True}])
def test_other_tasks_wait_until_their_run_is_over_for_certain(fields: dict[str, bool]) -> None:
    """A stamp that is set twice counts as fraud."""
    assert Cut(**fields).pass_time(10.0) == []


def test_the_first_copy_that_is_done_counts_and_the_other_is_stopped() -> None:
    cut = Cut(speculative=True)
    (copy,) = cut.pass_time(1.0)
    cut.report(cut.row(cut.first))
    cut.harness.end(copy)
    record = cut.step.record
    assert record.state is JobState.COMPLETED
    assert cut.harness.shard.outbox.stops == [cut.first]


def test_a_run_that_was_done_behind_the_cut_counts() -> None:
    cut = Cut(speculative=True)
    (copy,) = cut.pass_time(1.0)
    end = ReportedEnd(1, cut.first.task.task_id, cut.first.number, Ending.DONE, "")
    cut.report(ends=(end,))
    assert cut.step.record.state is JobState.COMPLETED
    assert cut.harness.shard.outbox.stops == [copy]


def test_a_run_that_is_back_before_its_copy_has_begun_goes_on_alone() -> None:
    """No other executor has room, so nothing was started when the path is back."""
    cut = Cut(speculative=True)
    cut.harness.shard.ledger.unregister("i-1")
    assert cut.pass_time(1.0) == []
    cut.report(cut.row(cut.first))
    cut.harness.register(facts("i-2"))
    assert cut.pass_time(1.0) == []
    assert cut.first.task.run is cut.first


def test_both_runs_stay_charged_until_they_are_over() -> None:
    """Freed too early, the room and the organisation's maximum would be given away twice."""
    cut = Cut(speculative=True)
    ledger = cut.harness.shard.ledger
    cut.pass_time(1.0)
    assert ledger.usage("north").cpu == 2 * cut.step.spec.need.cpu
    ledger.executors["i-1"].lease_expires_at = cut.harness.now + 60
    cut.silent.lease_expires_at = cut.harness.now
    cut.harness.shard.expire(cut.harness.now, cut.harness.now)
    assert ledger.usage("north").cpu == cut.step.spec.need.cpu


def test_a_cancelled_job_has_both_its_runs_stopped() -> None:
    cut = Cut(speculative=True)
    (copy,) = cut.pass_time(1.0)
    cut.harness.shard.cancel(cut.job.job_id, cut.harness.now)
    assert set(cut.harness.shard.outbox.stops) == {cut.first, copy}


def test_the_next_owner_knows_of_both_runs() -> None:
    """Charged to one executor only, the other would be given work beyond its capacity."""
    cut = Cut(speculative=True)
    (copy,) = cut.pass_time(1.0)
    record, runs = read_record(cut.job, write_record(cut.step.record), 0.0, 0.0)
    found = {(run.executor, run.number): run.superseded for run in runs}
    assert found == {("i-0", cut.first.number): True, ("i-1", copy.number): False}
    assert record.job is cut.job
