"""Prove on plain data which executors the list of machines shows to have ended, and which not."""

from __future__ import annotations

from vanillawell.state.executors import Executor
from vanillawell.state.losses import LIST_LAG, ended, in_doubt
from vanillawell.tests.scheduling_builders import Bench, facts, job, step

LATER = LIST_LAG + 1.0


def bench_of(*names: str) -> tuple[Bench, list[Executor]]:
    """Return executors that each run a task."""
    bench = Bench(*(facts(name) for name in names))
    bench.admit(job(step(len(names), long_running=True, most_per_executor=1)))
    assert len(bench.place()) == len(names)
    return bench, list(bench.shard.ledger.executors.values())


def test_an_executor_that_no_machine_carries_any_more_has_ended() -> None:
    """Its machine is down, or gone for good. Waiting for its leases would help nobody."""
    bench, executors = bench_of("i-1", "i-2", "i-3")
    executors[0].silent_since = bench.now
    asked = bench.now + LATER
    assert in_doubt(executors, asked) == [executors[0]]
    assert ended(executors, {"i-2", "i-3"}, asked) == [executors[0]]


def test_an_executor_behind_a_broken_path_is_waited_for() -> None:
    """Its machine is up. It runs on until its leases expire, and its tasks would run twice."""
    bench, executors = bench_of("i-1", "i-2")
    executors[0].silent_since = bench.now
    assert ended(executors, {"i-1", "i-2"}, bench.now + LATER) == []


def test_a_list_from_before_an_executor_came_proves_nothing_of_it() -> None:
    """The list is behind, and the executor answers nothing right after it has come."""
    bench, executors = bench_of("i-1", "i-2")
    executors[0].silent_since = bench.now
    executors[1].known_since = bench.now - LATER
    assert ended(executors, {"i-2"}, bench.now + LIST_LAG / 2) == []


def test_a_new_life_under_an_old_id_is_not_ended_by_a_list_from_before() -> None:
    """An executor has started again under its id and answers nothing yet."""
    bench, executors = bench_of("i-1", "i-2")
    executors[0].begin_life(bench.now + LATER)
    assert ended(executors, {"i-2"}, bench.now + LATER + LIST_LAG / 2) == []


def test_an_executor_that_answers_is_alive_whatever_the_list_says() -> None:
    """The list misses an executor that reports its work."""
    bench, executors = bench_of("i-1", "i-2", "i-3")
    assert ended(executors, {"i-2", "i-3"}, bench.now + LATER) == []


def test_a_list_that_misses_what_answers_is_not_believed() -> None:
    """The list is empty, or names other machines only: a fault of the service, not of the fleet."""
    bench, executors = bench_of("i-1", "i-2", "i-3", "i-4")
    executors[0].silent_since = bench.now
    assert ended(executors, set(), bench.now + LATER) == []
    assert ended(executors, {"i-2"}, bench.now + LATER) == []
    assert ended(executors, {"i-2", "i-3"}, bench.now + LATER) == [executors[0]]


def test_executors_that_run_nothing_are_not_asked_about() -> None:
    """Readings of the list have a price, and nobody waits for an idle executor."""
    bench = Bench(facts("i-1"))
    executors = list(bench.shard.ledger.executors.values())
    executors[0].silent_since = bench.now
    assert in_doubt(executors, bench.now + LATER) == []
