"""Test which executors the list of machines shows to have ended, on plain data."""

from __future__ import annotations

from vanillawell.state.executors import Executor
from vanillawell.state.lost_executors import (
    MAX_LIST_LAG,
    LostExecutors,
    find_lost_executors,
    find_unlisted,
    unconfirmed_executors,
)
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

AFTER_LIST_LAG = MAX_LIST_LAG + 1.0


def harness_with(*names: str) -> tuple[ShardHarness, list[Executor]]:
    """Return a harness and executors that run one task each."""
    harness = ShardHarness(*(facts(name) for name in names))
    harness.admit(job(step(len(names), long_running=True, most_per_executor=1)))
    assert len(harness.place()) == len(names)
    return harness, list(harness.shard.ledger.executors.values())


def machine_list(*running: str, down: tuple[str, ...] = ()) -> dict[str, str]:
    """Return a list of machines with the running executors; machines that are down have none."""
    return {**{f"m-{name}": name for name in running}, **{f"m-{name}": "" for name in down}}


def test_an_executor_whose_machine_is_down_is_terminated() -> None:
    """Its tasks can be restarted without waiting for its leases to expire."""
    harness, executors = harness_with("i-1", "i-2", "i-3")
    executors[0].unresponsive_since = harness.now
    requested_at = harness.now + AFTER_LIST_LAG
    assert unconfirmed_executors(executors, requested_at) == [executors[0]]
    assert find_lost_executors(
        executors, machine_list("i-2", "i-3", down=("i-1",)), requested_at
    ).terminated == [executors[0]]


def test_an_executor_whose_machine_has_another_executor_is_terminated() -> None:
    harness, executors = harness_with("i-1", "i-2")
    executors[0].unresponsive_since = harness.now
    listed = {"m-i-1": "i-9", "m-i-2": "i-2"}
    assert find_lost_executors(executors, listed, harness.now + AFTER_LIST_LAG).terminated == [
        executors[0]
    ]


def unregister(harness: ShardHarness, *executors: Executor) -> None:
    """Let the registrations of silent executors go."""
    for executor in executors:
        harness.shard.ledger.unregister(executor.name)


def test_an_executor_whose_machine_is_not_listed_is_only_missing() -> None:
    """Its machine may have been removed for good, or the list may be incomplete."""
    harness, executors = harness_with("i-1", "i-2", "i-3")
    executors[0].unresponsive_since = harness.now
    unregister(harness, executors[0])
    found = find_lost_executors(executors, machine_list("i-2", "i-3"), harness.now + AFTER_LIST_LAG)
    assert found == LostExecutors(terminated=[], missing=[executors[0]])


# Guards against tasks that run twice: a page of the list is missing, and an executor on it is cut
# off from the entries, but not from the store.
def test_registered_executor_is_not_missing() -> None:
    harness, executors = harness_with("i-1", "i-2", "i-3")
    executors[0].unresponsive_since = harness.now
    found = find_lost_executors(executors, machine_list("i-2", "i-3"), harness.now + AFTER_LIST_LAG)
    assert found == LostExecutors()


# Guards against tasks that run twice: a page of the list is missing, and an executor on it is cut
# off while others on the page are registered, busy or idle.
def test_list_that_leaves_out_a_registered_executor_shows_none_to_be_missing() -> None:
    harness, executors = harness_with("i-1", "i-2", "i-3", "i-4")
    executors[0].unresponsive_since = harness.now
    unregister(harness, executors[0])
    idle = harness.register(facts("idle"))
    fleet = list(harness.shard.ledger.executors.values())
    requested_at = harness.now + AFTER_LIST_LAG
    listed = machine_list("i-2", "i-3", "i-4")
    assert find_unlisted(fleet, listed, requested_at) == [idle]
    assert find_lost_executors(fleet, listed, requested_at) == LostExecutors()
    unregister(harness, idle)
    fleet = list(harness.shard.ledger.executors.values())
    assert find_lost_executors(fleet, listed, requested_at).missing == [executors[0]]


def test_an_executor_behind_a_broken_path_is_not_terminated() -> None:
    """Its machine is up, so it runs until its leases expire. Restarted earlier, its tasks would run
    twice."""
    harness, executors = harness_with("i-1", "i-2")
    executors[0].unresponsive_since = harness.now
    assert (
        find_lost_executors(executors, machine_list("i-1", "i-2"), harness.now + AFTER_LIST_LAG)
        == LostExecutors()
    )


def test_a_list_older_than_an_executor_does_not_terminate_it() -> None:
    """The list lags behind, and the executor does not answer right after it has started."""
    harness, executors = harness_with("i-1", "i-2")
    executors[0].unresponsive_since = harness.now
    executors[1].tracked_since = harness.now - AFTER_LIST_LAG
    listed = machine_list("i-2", down=("i-1",))
    assert find_lost_executors(executors, listed, harness.now + MAX_LIST_LAG / 2) == LostExecutors()


def test_a_list_older_than_an_incarnation_does_not_terminate_it() -> None:
    """An executor has restarted under the same id and does not answer yet."""
    harness, executors = harness_with("i-1", "i-2")
    executors[0].begin_incarnation(2, harness.now + AFTER_LIST_LAG)
    listed = machine_list("i-2", down=("i-1",))
    assert (
        find_lost_executors(executors, listed, harness.now + AFTER_LIST_LAG + MAX_LIST_LAG / 2)
        == LostExecutors()
    )


def test_an_executor_that_answers_is_never_terminated() -> None:
    """The list does not contain an executor that reports its work."""
    harness, executors = harness_with("i-1", "i-2", "i-3", "i-4")
    assert (
        find_lost_executors(
            executors, machine_list("i-2", "i-3", "i-4"), harness.now + AFTER_LIST_LAG
        )
        == LostExecutors()
    )


def test_a_list_that_lacks_responding_executors_is_not_credible() -> None:
    """The list is empty or lacks a page: a fault of the service, not of the executors."""
    harness, executors = harness_with("i-1", "i-2", "i-3", "i-4", "i-5")
    executors[0].unresponsive_since = harness.now
    for running in ((), ("i-2",), ("i-2", "i-3")):
        assert (
            find_lost_executors(
                executors, machine_list(*running, down=("i-1",)), harness.now + AFTER_LIST_LAG
            )
            == LostExecutors()
        )
    listed = machine_list("i-2", "i-3", "i-4", down=("i-1",))
    assert find_lost_executors(executors, listed, harness.now + AFTER_LIST_LAG).terminated == [
        executors[0]
    ]


def test_without_a_responding_executor_no_list_is_credible() -> None:
    """Nothing confirms that the list reflects the present state of the fleet."""
    harness, executors = harness_with("i-1", "i-2")
    for executor in executors:
        executor.unresponsive_since = harness.now
    assert (
        find_lost_executors(
            executors, machine_list("i-2", down=("i-1",)), harness.now + AFTER_LIST_LAG
        )
        == LostExecutors()
    )


def test_idle_executors_cause_no_request_for_the_list() -> None:
    """Requests for the list are costly, and nothing waits for an idle executor."""
    harness = ShardHarness(facts("i-1"))
    executors = list(harness.shard.ledger.executors.values())
    executors[0].unresponsive_since = harness.now
    assert unconfirmed_executors(executors, harness.now + AFTER_LIST_LAG) == []


def test_new_executors_do_not_count_against_a_list() -> None:
    """A peak brings many new machines before the list contains them. If they counted, no list would
    be credible for as long as machines arrive, and long-running tasks on a machine that is down
    would wait for the leases of its executor to expire."""
    harness, executors = harness_with("i-1", "i-2", "i-3")
    executors[0].unresponsive_since = harness.now
    requested_at = harness.now + AFTER_LIST_LAG
    harness.now = requested_at - MAX_LIST_LAG / 4
    for number in range(4):
        harness.register(facts(f"new-{number}"))
    fleet = list(harness.shard.ledger.executors.values())
    assert find_lost_executors(
        fleet, machine_list("i-2", "i-3", down=("i-1",)), requested_at
    ).terminated == [executors[0]]


def test_new_executors_do_not_count_in_favour_of_a_list() -> None:
    """The list lacks most of the executors that have responded for long. New executors that it
    contains must not outweigh them."""
    harness, executors = harness_with("i-1", "i-2", "i-3", "i-4")
    executors[0].unresponsive_since = harness.now
    requested_at = harness.now + AFTER_LIST_LAG
    harness.now = requested_at - MAX_LIST_LAG / 4
    names = [f"new-{number}" for number in range(9)]
    for name in names:
        harness.register(facts(name))
    fleet = list(harness.shard.ledger.executors.values())
    assert (
        find_lost_executors(fleet, machine_list("i-2", *names, down=("i-1",)), requested_at)
        == LostExecutors()
    )


def test_new_executors_count_if_there_are_no_others() -> None:
    """An owner that has just taken over has tracked no executor for long."""
    harness, executors = harness_with("i-1", "i-2", "i-3")
    executors[0].unresponsive_since = harness.now
    requested_at = harness.now + AFTER_LIST_LAG
    for executor in executors[1:]:
        executor.tracked_since = requested_at - MAX_LIST_LAG / 4
    assert (
        find_lost_executors(executors, machine_list("i-2", down=("i-1",)), requested_at)
        == LostExecutors()
    )
    listed = machine_list("i-2", "i-3", down=("i-1",))
    assert find_lost_executors(executors, listed, requested_at).terminated == [executors[0]]
