"""Test that runs stay charged until it is proved that they are over."""

from __future__ import annotations

from vanillawell.protocol.executor_calls import EndRow, HoldReport
from vanillawell.state.work import Ending, Resources, RunPhase
from vanillawell.tests.scheduling_builders import Bench, facts, job, step


def test_a_late_report_for_a_forgotten_executor_leaves_its_return_alone() -> None:
    """An executor leaves the registry while it has nothing to do, and comes back while a report
    that was asked for before is still on its way. That report must not make its runs forgotten:
    the executor would be given twice what it has room for."""
    bench = Bench(facts("i-0"))
    shard = bench.shard
    before = shard.ledger.executors["i-0"]
    shard.ledger.unregister("i-0")
    after = bench.register(facts("i-0"))
    bench.admit(job(step(8)))
    assert len(bench.place()) == 8
    report = HoldReport(0.0, 1, [], [])
    shard.take_report(before, report, bench.now, bench.now, bench.now)
    assert shard.ledger.executors["i-0"] is after
    assert after.free == Resources(0, 64_000 - 80)


def test_a_new_executor_on_a_machine_ends_what_its_former_one_ran() -> None:
    """The upkeep of a machine ends its executor without a word. Once another one is registered
    there, what the former one ran is known to be over and starts again."""
    bench = Bench(facts("i-0"))
    bench.admit(job(step(2)))
    assert len(bench.place()) == 2
    bench.register(facts("i-1", incarnation=2, machine="m-i-0"))
    assert [run.executor for run in bench.place()] == ["i-1", "i-1"]


def test_the_entry_of_a_life_that_is_over_brings_nothing_back() -> None:
    """The machine of an executor was moved, and the registry is read again before the entry is
    removed. Nothing must be placed there; a new life under the same id is used as soon as it
    registers."""
    bench = Bench(facts("i-0"))
    bench.shard.dead("i-0", 1, bench.now, bench.now)
    bench.shard.register(facts("i-0"), bench.now, bench.now)
    assert not bench.shard.ledger.executors
    bench.register(facts("i-0", incarnation=2))
    bench.admit(job(step()))
    assert [run.executor for run in bench.place()] == ["i-0"]


def test_the_lease_of_a_silent_executor_ends_its_runs_only_when_it_is_surely_over() -> None:
    bench = Bench(facts("i-0"), facts("i-1"))
    bench.admit(job(step(1)))
    (run,) = bench.place()
    silent = bench.shard.ledger.executors[run.executor]
    silent.lease_over = bench.now + 5.0
    silent.registered = False
    bench.shard.expire(bench.now + 4.9, 0.0)
    assert bench.place() == []
    bench.shard.expire(bench.now + 5.1, 0.0)
    (again,) = bench.place()
    assert (again.number, again.executor != run.executor) == (2, True)


def test_an_order_without_an_answer_stays_charged_until_a_stop_rules_it_out() -> None:
    bench = Bench(facts("i-0"))
    bench.admit(job(step(1)))
    (run,) = bench.place()
    run.enter(RunPhase.UNCERTAIN, bench.now)
    executor = bench.shard.ledger.executors["i-0"]
    empty = HoldReport(0.0, 1, [], [])
    bench.shard.take_report(executor, empty, bench.now + 1, bench.now + 1, 0.0)
    assert run.stop_wanted
    assert run.task.run is run
    run.stop_confirmed = bench.now + 2
    bench.shard.take_report(executor, empty, bench.now + 1.5, bench.now + 3, 0.0)
    assert run.task.run is run
    bench.shard.take_report(executor, empty, bench.now + 3, bench.now + 3, 0.0)
    assert run.task.run is None


def test_an_end_that_is_listed_again_counts_once() -> None:
    bench = Bench(facts("i-0"))
    bench.admit(job(step(1)))
    (run,) = bench.place()
    executor = bench.shard.ledger.executors["i-0"]
    end = EndRow(1, run.task.task_id, 1, Ending.FAILED, "")
    for _ in range(3):
        bench.shard.take_report(executor, HoldReport(0.0, 1, [], [end]), 101, 101, 0.0)
    assert run.task.failures == 1
    assert executor.saved_end == 0
