"""Prove on plain data which executors are kept from work by a former owner's orders."""

from __future__ import annotations

from vanillawell.state.ledger import Ledger
from vanillawell.tests.scheduling_builders import Bench, facts, job, step


def ledger_of(bench: Bench) -> Ledger:
    """Return what a bench has charged to executors."""
    return bench.shard.ledger


def test_nothing_is_placed_on_a_machine_that_may_be_taken_away() -> None:
    """Its executor is sound and idle; what starts there ends with the order."""
    bench = Bench(facts("i-1", machine="m1"), facts("i-2", machine="m2"))
    ledger_of(bench).withhold({"m1": "standby"})
    bench.admit(job(step(2, long_running=True, most_per_executor=1)))
    assert [run.executor for run in bench.place()] == ["i-2"]


def test_an_executor_that_registers_later_on_such_a_machine_is_kept_from_work() -> None:
    """A new owner reads the orders before the registry, or an entry comes back late."""
    bench = Bench(facts("i-1", machine="m1"))
    ledger_of(bench).withhold({"m2": ""})
    late = bench.register(facts("i-2", machine="m2"))
    assert late.is_sound(bench.now)
    assert not late.takes_work(bench.now)


def test_an_executor_that_came_by_the_order_is_not_kept_from_work() -> None:
    """It lives in the pool that its machine was sent to."""
    bench = Bench()
    came = facts("i-1", machine="m1")
    ledger_of(bench).withhold({"m1": came.service})
    assert bench.register(came).takes_work(bench.now)


def test_only_an_answer_to_a_later_call_shows_that_an_executor_lives_on() -> None:
    """The order was carried out, and the entry of the executor that it ended stands for seconds. An
    answer that was on its way before tells nothing."""
    bench = Bench(facts("i-1", machine="m1"))
    (executor,) = ledger_of(bench).executors.values()
    ledger_of(bench).withhold({"m1": "standby"})
    ledger_of(bench).let_go("m1", bench.now)
    assert not executor.takes_work(bench.now)
    executor.note_answer(bench.now - 0.1)
    assert not executor.takes_work(bench.now)
    executor.note_answer(bench.now + 0.1)
    assert executor.takes_work(bench.now)
    assert executor.asked_from is None


def test_an_executor_that_comes_back_elsewhere_under_its_id_takes_work() -> None:
    """It starts again on another machine while its former one is withheld. Nobody would let it go
    with that one."""
    bench = Bench(facts("i-1", machine="m1"))
    ledger_of(bench).withhold({"m1": "standby"})
    executor = bench.register(facts("i-1", machine="m2", incarnation=2))
    ledger_of(bench).let_go("m1", bench.now)
    executor.note_answer(bench.now + 0.1)
    assert executor.takes_work(bench.now + 0.2)
