"""Prove on plain data which executors the list of machines shows to have ended, and which not."""

from __future__ import annotations

from vanillawell.state.executors import Executor
from vanillawell.state.lost_executors import (
    LISTED_AFTER,
    LostExecutors,
    find_lost_executors,
    unresponsive_executors,
)
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

LATER = LISTED_AFTER + 1.0


def bench_of(*names: str) -> tuple[ShardHarness, list[Executor]]:
    """Return executors that each run a task."""
    harness = ShardHarness(*(facts(name) for name in names))
    harness.admit(job(step(len(names), long_running=True, most_per_executor=1)))
    assert len(harness.place()) == len(names)
    return harness, list(harness.shard.ledger.executors.values())


def listing(*living: str, down: tuple[str, ...] = ()) -> dict[str, str]:
    """Return the executors on listed machines; those that are down carry none."""
    return {**{f"m-{name}": name for name in living}, **{f"m-{name}": "" for name in down}}


def test_an_executor_whose_machine_is_down_has_ended() -> None:
    """Waiting for its leases would help nobody."""
    harness, executors = bench_of("i-1", "i-2", "i-3")
    executors[0].unresponsive_since = harness.now
    requested_at = harness.now + LATER
    assert unresponsive_executors(executors, requested_at) == [executors[0]]
    assert find_lost_executors(
        executors, listing("i-2", "i-3", down=("i-1",)), requested_at
    ).terminated == [executors[0]]


def test_an_executor_whose_machine_carries_another_one_has_ended() -> None:
    harness, executors = bench_of("i-1", "i-2")
    executors[0].unresponsive_since = harness.now
    listed = {"m-i-1": "i-9", "m-i-2": "i-2"}
    assert find_lost_executors(executors, listed, harness.now + LATER).terminated == [executors[0]]


def test_an_executor_whose_machine_is_not_listed_is_only_missing() -> None:
    """The machine is gone for good, or the list was incomplete this time."""
    harness, executors = bench_of("i-1", "i-2", "i-3")
    executors[0].unresponsive_since = harness.now
    found = find_lost_executors(executors, listing("i-2", "i-3"), harness.now + LATER)
    assert found == LostExecutors(terminated=[], missing=[executors[0]])


def test_an_executor_behind_a_broken_path_is_waited_for() -> None:
    """Its machine is up. It runs on until its leases expire, and its tasks would run twice."""
    harness, executors = bench_of("i-1", "i-2")
    executors[0].unresponsive_since = harness.now
    assert (
        find_lost_executors(executors, listing("i-1", "i-2"), harness.now + LATER)
        == LostExecutors()
    )


def test_a_list_from_before_an_executor_came_proves_nothing_of_it() -> None:
    """The list is behind, and the executor answers nothing right after it has come."""
    harness, executors = bench_of("i-1", "i-2")
    executors[0].unresponsive_since = harness.now
    executors[1].tracked_since = harness.now - LATER
    listed = listing("i-2", down=("i-1",))
    assert find_lost_executors(executors, listed, harness.now + LISTED_AFTER / 2) == LostExecutors()


def test_a_new_life_under_an_old_id_is_not_ended_by_a_list_from_before() -> None:
    """An executor has started again under its id and answers nothing yet."""
    harness, executors = bench_of("i-1", "i-2")
    executors[0].begin_incarnation(harness.now + LATER)
    listed = listing("i-2", down=("i-1",))
    assert (
        find_lost_executors(executors, listed, harness.now + LATER + LISTED_AFTER / 2)
        == LostExecutors()
    )


def test_an_executor_that_answers_is_alive_whatever_the_list_says() -> None:
    """The list misses an executor that reports its work."""
    harness, executors = bench_of("i-1", "i-2", "i-3", "i-4")
    assert (
        find_lost_executors(executors, listing("i-2", "i-3", "i-4"), harness.now + LATER)
        == LostExecutors()
    )


def test_a_list_that_misses_what_answers_is_not_believed() -> None:
    """The list is empty, or a page of it is missing: a fault of the service, not of the fleet."""
    harness, executors = bench_of("i-1", "i-2", "i-3", "i-4", "i-5")
    executors[0].unresponsive_since = harness.now
    for living in ((), ("i-2",), ("i-2", "i-3")):
        assert (
            find_lost_executors(executors, listing(*living, down=("i-1",)), harness.now + LATER)
            == LostExecutors()
        )
    listed = listing("i-2", "i-3", "i-4", down=("i-1",))
    assert find_lost_executors(executors, listed, harness.now + LATER).terminated == [executors[0]]


def test_without_any_executor_in_touch_no_list_is_believed() -> None:
    """Nothing shows that the list tells of this fleet as it is."""
    harness, executors = bench_of("i-1", "i-2")
    for executor in executors:
        executor.unresponsive_since = harness.now
    assert (
        find_lost_executors(executors, listing("i-2", down=("i-1",)), harness.now + LATER)
        == LostExecutors()
    )


def test_executors_that_run_nothing_are_not_asked_about() -> None:
    """Readings of the list have a price, and nobody waits for an idle executor."""
    harness = ShardHarness(facts("i-1"))
    executors = list(harness.shard.ledger.executors.values())
    executors[0].unresponsive_since = harness.now
    assert unresponsive_executors(executors, harness.now + LATER) == []


def test_executors_that_have_just_come_do_not_speak_against_a_list() -> None:
    """A peak brings many machines, and the list is behind. For as long as they come, no machine
    that is down would be believed to be, and lasting tasks wait for the leases of its executor."""
    harness, executors = bench_of("i-1", "i-2", "i-3")
    executors[0].unresponsive_since = harness.now
    requested_at = harness.now + LATER
    harness.now = requested_at - LISTED_AFTER / 4
    for number in range(4):
        harness.register(facts(f"new-{number}"))
    fleet = list(harness.shard.ledger.executors.values())
    assert find_lost_executors(
        fleet, listing("i-2", "i-3", down=("i-1",)), requested_at
    ).terminated == [executors[0]]


def test_executors_that_have_just_come_do_not_speak_for_a_list() -> None:
    """The list misses most of those that have answered for long. Newcomers that it names must not
    outvote them."""
    harness, executors = bench_of("i-1", "i-2", "i-3", "i-4")
    executors[0].unresponsive_since = harness.now
    requested_at = harness.now + LATER
    harness.now = requested_at - LISTED_AFTER / 4
    names = [f"new-{number}" for number in range(9)]
    for name in names:
        harness.register(facts(name))
    fleet = list(harness.shard.ledger.executors.values())
    assert (
        find_lost_executors(fleet, listing("i-2", *names, down=("i-1",)), requested_at)
        == LostExecutors()
    )


def test_where_all_have_just_come_they_speak_for_and_against_a_list() -> None:
    """An owner in its first seconds knows no executor in touch for longer."""
    harness, executors = bench_of("i-1", "i-2", "i-3")
    executors[0].unresponsive_since = harness.now
    requested_at = harness.now + LATER
    for executor in executors[1:]:
        executor.tracked_since = requested_at - LISTED_AFTER / 4
    assert (
        find_lost_executors(executors, listing("i-2", down=("i-1",)), requested_at)
        == LostExecutors()
    )
    listed = listing("i-2", "i-3", down=("i-1",))
    assert find_lost_executors(executors, listed, requested_at).terminated == [executors[0]]
