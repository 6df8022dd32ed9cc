"""Test that tasks which may run twice don't wait for executors that nobody can reach.

The pattern: in the middle of a peak the path to a zone is cut for five seconds. What runs there is
given up once its lease is surely over, as late as the path is back.
"""

from __future__ import annotations

import pytest

from vanillawell.protocol.executor_calls import EndRow, HoldReport, RunningRow
from vanillawell.protocol.work_documents import read_record, write_record
from vanillawell.state.copies import COPIED_AFTER
from vanillawell.state.executors import Executor
from vanillawell.state.work import Ending, JobState, Run, StepProgress
from vanillawell.tests.scheduling_builders import Bench, facts, job, step


class Cut:
    """A job of one task on an executor that falls silent, beside one that answers."""

    def __init__(self, **fields: bool) -> None:
        self.bench = Bench(facts("i-0"))
        self.job = job(step(1, **fields))
        self.bench.admit(self.job)
        (self.first,) = self.bench.place()
        self.bench.register(facts("i-1"))
        self.silent.fall_silent()
        self.silent.silent_since = self.bench.now
        self.silent.lease_over = self.bench.now + 60

    @property
    def silent(self) -> Executor:
        return self.bench.shard.ledger.executors["i-0"]

    @property
    def step(self) -> StepProgress:
        return self.first.task.step

    def pass_time(self, seconds: float) -> list[Run]:
        self.bench.now += seconds
        return self.bench.place()

    def report(self, *rows: RunningRow, ends: tuple[EndRow, ...] = ()) -> None:
        """Let the silent executor answer again."""
        now = self.bench.now
        self.silent.silent_since = None
        report = HoldReport(0.0, 1, list(rows), list(ends))
        self.bench.shard.take_report(self.silent, report, now, now, now)

    def row(self, run: Run) -> RunningRow:
        return RunningRow(run.task.task_id, run.number, "", 50, 0.0)


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
    cut.bench.end(copy)
    record = cut.step.record
    assert record.state is JobState.COMPLETED
    assert cut.bench.shard.outbox.stops == [cut.first]


def test_a_run_that_was_done_behind_the_cut_counts() -> None:
    cut = Cut(speculative=True)
    (copy,) = cut.pass_time(1.0)
    end = EndRow(1, cut.first.task.task_id, cut.first.number, Ending.DONE, "")
    cut.report(ends=(end,))
    assert cut.step.record.state is JobState.COMPLETED
    assert cut.bench.shard.outbox.stops == [copy]


def test_a_run_that_is_back_before_its_copy_has_begun_goes_on_alone() -> None:
    """No other executor has room, so nothing was started when the path is back."""
    cut = Cut(speculative=True)
    cut.bench.shard.ledger.unregister("i-1")
    assert cut.pass_time(1.0) == []
    cut.report(cut.row(cut.first))
    cut.bench.register(facts("i-2"))
    assert cut.pass_time(1.0) == []
    assert cut.first.task.run is cut.first


def test_both_runs_stay_charged_until_they_are_over() -> None:
    """Freed too early, the room and the organisation's maximum would be given away twice."""
    cut = Cut(speculative=True)
    ledger = cut.bench.shard.ledger
    cut.pass_time(1.0)
    assert ledger.usage("north").cpu == 2 * cut.step.spec.need.cpu
    ledger.executors["i-1"].lease_over = cut.bench.now + 60
    cut.silent.lease_over = cut.bench.now
    cut.bench.shard.expire(cut.bench.now, cut.bench.now)
    assert ledger.usage("north").cpu == cut.step.spec.need.cpu


def test_a_cancelled_job_has_both_its_runs_stopped() -> None:
    cut = Cut(speculative=True)
    (copy,) = cut.pass_time(1.0)
    cut.bench.shard.cancel(cut.job.job_id, cut.bench.now)
    assert set(cut.bench.shard.outbox.stops) == {cut.first, copy}


def test_the_next_owner_knows_of_both_runs() -> None:
    """Charged to one executor only, the other would be given work beyond its capacity."""
    cut = Cut(speculative=True)
    (copy,) = cut.pass_time(1.0)
    record, runs = read_record(cut.job, write_record(cut.step.record), 0.0, 0.0)
    found = {(run.executor, run.number): run.superseded for run in runs}
    assert found == {("i-0", cut.first.number): True, ("i-1", copy.number): False}
    assert record.job is cut.job
