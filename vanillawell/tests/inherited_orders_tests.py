"""Prove on plain data which executors are kept from work by a former owner's orders."""

from __future__ import annotations

from vanillawell.state.ledger import Ledger
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step


def ledger_of(harness: ShardHarness) -> Ledger:
    """Return what a bench has charged to executors."""
    return harness.shard.ledger


def test_nothing_is_placed_on_a_machine_that_may_be_taken_away() -> None:
    """Its executor is sound and idle; what starts there ends with the order."""
    harness = ShardHarness(facts("i-1", machine="m1"), facts("i-2", machine="m2"))
    ledger_of(harness).withhold({"m1": "standby"})
    harness.admit(job(step(2, long_running=True, most_per_executor=1)))
    assert [run.executor for run in harness.place()] == ["i-2"]


def test_an_executor_that_registers_later_on_such_a_machine_is_kept_from_work() -> None:
    """A new owner reads the orders before the registry, or an entry comes back late."""
    harness = ShardHarness(facts("i-1", machine="m1"))
    ledger_of(harness).withhold({"m2": ""})
    late = harness.register(facts("i-2", machine="m2"))
    assert late.is_healthy(harness.now)
    assert not late.accepts_tasks(harness.now)


def test_an_executor_that_came_by_the_order_is_not_kept_from_work() -> None:
    """It lives in the pool that its machine was sent to."""
    harness = ShardHarness()
    came = facts("i-1", machine="m1")
    ledger_of(harness).withhold({"m1": came.service})
    assert harness.register(came).accepts_tasks(harness.now)


def test_only_an_answer_to_a_later_call_shows_that_an_executor_lives_on() -> None:
    """The order was carried out, and the entry of the executor that it ended stands for seconds. An
    answer that was on its way before tells nothing."""
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


def test_an_executor_that_comes_back_elsewhere_under_its_id_takes_work() -> None:
    """It starts again on another machine while its former one is withheld. Nobody would let it go
    with that one."""
    harness = ShardHarness(facts("i-1", machine="m1"))
    ledger_of(harness).withhold({"m1": "standby"})
    executor = harness.register(facts("i-1", machine="m2", incarnation=2))
    ledger_of(harness).release_machine("m1", harness.now)
    executor.record_answer(harness.now + 0.1)
    assert executor.accepts_tasks(harness.now + 0.2)
