"""Test that runs which no task is charged for use capacity until they have ended."""

from __future__ import annotations

from vanillawell.protocol.executor_calls import HoldReport, ReportedEnd, ReportedRun
from vanillawell.state.progress import Run
from vanillawell.state.work import Ending, TaskId
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

ORPHANS = 3
"""Orphaned tasks of one core each."""


def orphaned_runs() -> tuple[ShardHarness, list[Run]]:
    """Return runs on an executor of 8 cores that were closed and are reported all the same."""
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(ORPHANS, cpu=1_000)))
    runs = harness.place()
    for run in runs:
        harness.shard.ledger.close(run)
        run.task.done = True
    return harness, runs


def report(harness: ShardHarness, rows: list[ReportedRun], sent: float) -> None:
    """Let the executor report `rows` as running, on a call that was sent at `sent`."""
    apply(harness, HoldReport(0.0, 1, rows, []), sent)


def report_part_of_ends(harness: ShardHarness, *ended: Run) -> None:
    """Let the executor report no run as running, and some of the ends that it has to list."""
    rows = [
        ReportedEnd(number, run.task.task_id, run.number, Ending.STOPPED, "")
        for number, run in enumerate(ended, 1)
    ]
    apply(harness, HoldReport(0.0, 1, [], rows, lists_all_ends=False), harness.now)


def apply(harness: ShardHarness, content: HoldReport, sent: float) -> None:
    """Let the executor answer a call that was sent at `sent`."""
    harness.now += 1.0
    harness.shard.apply_report(
        harness.shard.ledger.executors["i-0"], content, sent, harness.now, 0.0
    )


def row(task_id: TaskId, number: int = 1) -> ReportedRun:
    """Return a run that is reported as running."""
    return ReportedRun(task_id, number, "", 0, 0.0)


# Guards against filling an executor beyond its capacity beside runs that are being stopped.
def test_orphans_use_capacity_until_a_report_leaves_them_out() -> None:
    harness, runs = orphaned_runs()
    report(harness, [row(run.task.task_id) for run in runs], harness.now)
    harness.admit(job(step(8, cpu=1_000)))
    assert len(harness.place()) == 8 - ORPHANS
    report(harness, [], harness.now)
    assert len(harness.place()) == ORPHANS


# Guards against giving the room away on a report that is older than the one that lists them.
def test_earlier_report_does_not_end_an_orphan() -> None:
    harness, runs = orphaned_runs()
    before = harness.now
    report(harness, [row(run.task.task_id) for run in runs], harness.now)
    report(harness, [], before)
    harness.admit(job(step(8, cpu=1_000)))
    assert len(harness.place()) == 8 - ORPHANS


# Guards against giving room away whose end the executor has yet to list, behind hundreds of others.
def test_report_that_may_leave_out_ends_frees_only_the_room_of_those_it_lists() -> None:
    harness, runs = orphaned_runs()
    report(harness, [row(run.task.task_id) for run in runs], harness.now)
    report_part_of_ends(harness, runs[0])
    harness.admit(job(step(8, cpu=1_000)))
    assert len(harness.place()) == 8 - ORPHANS + 1
    report(harness, [], harness.now)
    assert len(harness.place()) == ORPHANS - 1


# Guards against taking a run of unknown size for one that uses nothing.
def test_executor_with_an_orphan_of_an_unknown_job_gets_no_tasks() -> None:
    harness = ShardHarness(facts("i-0"))
    report(harness, [row(TaskId("f" * 16, 0, 0, 0))], harness.now)
    harness.admit(job(step(8, cpu=1_000)))
    assert harness.place() == []
    report(harness, [], harness.now)
    assert len(harness.place()) == 8
