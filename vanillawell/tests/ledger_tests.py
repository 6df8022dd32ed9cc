"""Test that runs stay charged until it is proved that they are over."""

from __future__ import annotations

from vanillawell.protocol.executor_calls import HoldReport, ReportedEnd
from vanillawell.state.work import Ending, Resources, RunPhase
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step


def test_a_late_report_for_a_forgotten_executor_leaves_its_return_alone() -> None:
    """An executor leaves the registry while it has nothing to do, and comes back while a report
    that was asked for before is still on its way. That report must not make its runs forgotten:
    the executor would be given twice what it has room for."""
    harness = ShardHarness(facts("i-0"))
    shard = harness.shard
    before = shard.ledger.executors["i-0"]
    shard.ledger.unregister("i-0")
    after = harness.register(facts("i-0"))
    harness.admit(job(step(8)))
    assert len(harness.place()) == 8
    report = HoldReport(0.0, 1, [], [])
    shard.take_report(before, report, harness.now, harness.now, harness.now)
    assert shard.ledger.executors["i-0"] is after
    assert after.free == Resources(0, 64_000 - 80)


def test_a_new_executor_on_a_machine_ends_what_its_former_one_ran() -> None:
    """The upkeep of a machine ends its executor without a word. Once another one is registered
    there, what the former one ran is known to be over and starts again."""
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(2)))
    assert len(harness.place()) == 2
    harness.register(facts("i-1", incarnation=2, machine="m-i-0"))
    assert [run.executor for run in harness.place()] == ["i-1", "i-1"]


def test_the_entry_of_a_life_that_is_over_brings_nothing_back() -> None:
    """The machine of an executor was moved, and the registry is read again before the entry is
    removed. Nothing must be placed there; a new life under the same id is used as soon as it
    registers."""
    harness = ShardHarness(facts("i-0"))
    harness.shard.mark_terminated("i-0", 1, harness.now, harness.now)
    harness.shard.register(facts("i-0"), harness.now, harness.now)
    assert not harness.shard.ledger.executors
    harness.register(facts("i-0", incarnation=2))
    harness.admit(job(step()))
    assert [run.executor for run in harness.place()] == ["i-0"]


def test_the_lease_of_a_silent_executor_ends_its_runs_only_when_it_is_surely_over() -> None:
    harness = ShardHarness(facts("i-0"), facts("i-1"))
    harness.admit(job(step(1)))
    (run,) = harness.place()
    silent = harness.shard.ledger.executors[run.executor]
    silent.lease_expires_at = harness.now + 5.0
    silent.registered = False
    harness.shard.expire(harness.now + 4.9, 0.0)
    assert harness.place() == []
    harness.shard.expire(harness.now + 5.1, 0.0)
    (again,) = harness.place()
    assert (again.number, again.executor != run.executor) == (2, True)


def test_an_order_without_an_answer_stays_charged_until_a_stop_rules_it_out() -> None:
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(1)))
    (run,) = harness.place()
    run.enter_phase(RunPhase.UNCERTAIN, harness.now)
    executor = harness.shard.ledger.executors["i-0"]
    empty = HoldReport(0.0, 1, [], [])
    harness.shard.take_report(executor, empty, harness.now + 1, harness.now + 1, 0.0)
    assert run.stop_requested
    assert run.task.run is run
    run.stop_confirmed = harness.now + 2
    harness.shard.take_report(executor, empty, harness.now + 1.5, harness.now + 3, 0.0)
    assert run.task.run is run
    harness.shard.take_report(executor, empty, harness.now + 3, harness.now + 3, 0.0)
    assert run.task.run is None


def test_an_end_that_is_listed_again_counts_once() -> None:
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(1)))
    (run,) = harness.place()
    executor = harness.shard.ledger.executors["i-0"]
    end = ReportedEnd(1, run.task.task_id, 1, Ending.FAILED, "")
    for _ in range(3):
        harness.shard.take_report(executor, HoldReport(0.0, 1, [], [end]), 101, 101, 0.0)
    assert run.task.failures == 1
    assert executor.saved_end == 0
