"""Test which executors get no new tasks because of a previous owner's orders."""

from __future__ import annotations

from vanillawell.state.ledger import Ledger
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step


def ledger_of(harness: ShardHarness) -> Ledger:
    """Return the ledger of a harness."""
    return harness.shard.ledger


def test_no_task_is_placed_on_a_withheld_machine() -> None:
    """Its executor is healthy and idle, but tasks started there would end with the order."""
    harness = ShardHarness(facts("i-1", machine="m1"), facts("i-2", machine="m2"))
    ledger_of(harness).withhold({"m1": "standby"})
    harness.admit(job(step(2, long_running=True, most_per_executor=1)))
    assert [run.executor for run in harness.place()] == ["i-2"]


def test_executor_that_registers_later_on_a_withheld_machine_gets_no_tasks() -> None:
    """A new owner reads the orders before the registry, or an executor registers again late."""
    harness = ShardHarness(facts("i-1", machine="m1"))
    ledger_of(harness).withhold({"m2": ""})
    late = harness.register(facts("i-2", machine="m2"))
    assert late.is_healthy(harness.now)
    assert not late.accepts_tasks(harness.now)


def test_executor_in_the_target_pool_of_the_order_accepts_tasks() -> None:
    """It was started by the order itself, in the pool that its machine was moved to."""
    harness = ShardHarness()
    moved = facts("i-1", machine="m1")
    ledger_of(harness).withhold({"m1": moved.service})
    assert harness.register(moved).accepts_tasks(harness.now)


def test_withheld_executor_accepts_tasks_only_after_answering_a_later_call() -> None:
    """The registration of an executor that was terminated by the order remains for seconds.

    An answer to a call that was sent before the order became void does not prove that it runs.
    """
    harness = ShardHarness(facts("i-1", machine="m1"))
    (executor,) = ledger_of(harness).executors.values()
    ledger_of(harness).withhold({"m1": "standby"})
    ledger_of(harness).release_machine("m1", harness.now)
    assert not executor.accepts_tasks(harness.now)
    executor.record_answer(harness.now - 0.1)
    assert not executor.accepts_tasks(harness.now)
    executor.record_answer(harness.now + 0.1)
    assert executor.accepts_tasks(harness.now)
    assert executor.order_void_since is None


def test_executor_restarted_on_another_machine_accepts_tasks() -> None:
    """It restarts under its id on another machine while its previous machine is withheld.

    Releasing the previous machine would not release the executor any more.
    """
    harness = ShardHarness(facts("i-1", machine="m1"))
    ledger_of(harness).withhold({"m1": "standby"})
    executor = harness.register(facts("i-1", machine="m2", incarnation=2))
    ledger_of(harness).release_machine("m1", harness.now)
    executor.record_answer(harness.now + 0.1)
    assert executor.accepts_tasks(harness.now + 0.2)
