"""Test that tasks are moved away from stalled executors."""

from __future__ import annotations

from vanillawell.protocol.executor_calls import HoldReport, ReportedRun
from vanillawell.state.progress import Run
from vanillawell.state.work import Ending
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step


def _report(harness: ShardHarness, runs: list[Run], percents: list[int]) -> list[Run]:
    """Let an executor report the progress of runs; return the runs to be stopped."""
    executor = harness.shard.ledger.executors[runs[0].executor]
    rows = [
        ReportedRun(run.task.task_id, run.number, "", percent, 0.0)
        for run, percent in zip(runs, percents, strict=True)
    ]
    report = HoldReport(0.0, executor.facts.incarnation, rows, [])
    harness.shard.apply_report(executor, report, harness.now, harness.now, harness.now)
    stops, harness.shard.outbox.stops = harness.shard.outbox.stops, []
    return stops


def test_tasks_of_stalled_executor_are_started_elsewhere() -> None:
    """An executor answers all calls and lists its tasks as running, but none makes progress.

    Without the detection, these tasks and newly placed ones would wait until it recovers.
    """
    harness = ShardHarness(facts("i-0"), facts("i-1"))
    harness.admit(job(step(3)))
    runs = harness.place()
    assert _report(harness, runs, [30, 10, 0]) == []
    harness.now += 0.5
    assert _report(harness, runs, [30, 10, 0]) == []
    harness.now += 0.5
    assert _report(harness, runs, [30, 10, 0]) == runs
    harness.admit(job(step()))
    assert {run.executor for run in harness.place()}.isdisjoint({runs[0].executor})


def test_new_tasks_do_not_hide_a_stall() -> None:
    """New tasks are placed on a stalled executor until the stall is detected."""
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(2)))
    runs = harness.place()
    for number in range(3):
        assert _report(harness, runs, [40, 40, *[0] * number]) == ([] if number < 2 else runs[:2])
        harness.now += 0.5
        harness.admit(job(step()))
        runs += harness.place()


def test_slow_tasks_are_not_stopped() -> None:
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(2)))
    runs = harness.place()
    for percent in range(0, 30, 3):
        assert _report(harness, runs, [percent, 50]) == []
        harness.now += 0.5


def test_single_stalled_task_is_not_stopped() -> None:
    """A single task without progress may wait for something of its own."""
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(2)))
    runs = harness.place()
    for percent in range(0, 60, 20):
        assert _report(harness, runs, [40, percent]) == []
        harness.now += 0.9


def test_long_running_and_long_tasks_do_not_count_as_stalled() -> None:
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(2, long_running=True)), job(step(2, seconds=60.0)))
    runs = harness.place()
    _report(harness, runs, [100, 100, 1, 1])
    harness.now += 2.0
    assert _report(harness, runs, [100, 100, 1, 1]) == []


# Guards against tasks that take many times their estimate and are stopped as stalled for ever, on a
# sound executor.
def test_task_that_stands_still_alike_again_is_slow_itself() -> None:
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(4, seconds=16.0)))
    stopped = 0
    for _ in range(3):
        runs = harness.place()
        for tick in range(100):
            stops = _report(harness, runs, [int(tick * 0.2 / 1.6)] * 4)
            harness.now += 0.2
            if stops:
                break
        else:
            break
        stopped += 1
        for run in runs:
            harness.end(run, Ending.STOPPED)
        harness.now += 4.0
    assert stopped <= 1


# Guards against an executor that is never found stalled, since its tasks were stopped elsewhere.
def test_executor_is_found_stalled_by_new_tasks_beside_slow_ones() -> None:
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(2)), job(step(2)))
    runs = harness.place()
    for run in runs[:2]:
        run.task.stalls = 1
    _report(harness, runs, [10, 10, 10, 10])
    harness.now += 1.0
    assert _report(harness, runs, [10, 10, 10, 10]) == runs[2:]
