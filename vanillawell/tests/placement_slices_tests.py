"""Test a placement that is made in several parts, since it takes long."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from vanillawell.state.progress import Run
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, job_ids, step


class Budget:
    """Lets a placement go on for a number of looks at tasks or steps."""

    def __init__(self, looks: int) -> None:
        self._left = looks

    def __call__(self) -> bool:
        self._left -= 1
        return self._left > 0


def _place_slice(harness: ShardHarness, looks: int) -> tuple[bool, list[Run]]:
    """Place until the budget is used up; return whether all is done, and the planned runs."""
    is_complete = harness.shard.place(harness.now, harness.now, Budget(looks))
    planned, harness.shard.outbox.planned = harness.shard.outbox.planned, []
    return is_complete, harness.order(planned)


def _place_in_slices(harness: ShardHarness, looks: int) -> list[Run]:
    runs: list[Run] = []
    for _ in range(10_000):
        is_complete, placed = _place_slice(harness, looks)
        runs += placed
        if is_complete:
            return runs
    raise AssertionError("the placement never ends")


# Guards against tasks that have no turn, or more than one run, since a placement was interrupted.
@given(st.integers(1, 9), st.lists(st.integers(1, 6), min_size=1, max_size=8))
def test_placement_in_parts_starts_each_task_once(looks: int, counts: list[int]) -> None:
    harness = ShardHarness(facts("i-0", cpu=64_000), facts("i-1", cpu=64_000))
    harness.admit(*(job(step(count)) for count in counts))
    runs = _place_in_slices(harness, looks)
    assert Counter(run.number for run in runs) == {1: sum(counts)}
    assert len({run.task.task_id for run in runs}) == sum(counts)


# Guards against jobs that never start behind others that find no place: each part of the placement
# would begin with these again.
def test_steps_without_a_place_do_not_keep_later_ones_from_their_turn() -> None:
    harness = ShardHarness(facts("i-0"))
    harness.admit(*(job(step(required_label="none", long_running=True)) for _ in range(20)))
    later = job()
    harness.admit(later)
    assert job_ids(_place_in_slices(harness, 1)) == [later.job_id]


# Guards against a job that waits until thousands of tasks that were handed in before have had their
# turn.
def test_job_of_another_organisation_has_its_turn_in_the_next_part() -> None:
    harness = ShardHarness(facts("i-0", cpu=900_000))
    harness.admit(*(job() for _ in range(50)))
    _place_slice(harness, 5)
    other = job(organisation="south")
    harness.admit(other)
    _, placed = _place_slice(harness, 2)
    assert other.job_id in job_ids(placed)


# Guards against tasks that start on an executor that has begun to leave since the last part.
def test_later_parts_see_what_has_become_of_executors() -> None:
    harness = ShardHarness(facts("i-0", cpu=64_000))
    harness.admit(*(job() for _ in range(6)))
    _place_slice(harness, 2)
    harness.register(facts("i-1", cpu=64_000))
    harness.register(facts("i-0", cpu=64_000, draining=True, remaining=9.0))
    assert {run.executor for run in _place_in_slices(harness, 2)} == {"i-1"}


# Guards against tasks that wait for the end of a whole placement, although room has become free.
def test_later_parts_see_room_that_has_become_free() -> None:
    harness = ShardHarness(facts("i-0", cpu=1_000))
    harness.admit(job())
    (first,) = harness.place()
    harness.admit(*(job() for _ in range(4)))
    assert _place_slice(harness, 1) == (False, [])
    harness.end(first)
    assert len(_place_in_slices(harness, 1)) == 1


# Guards against one job of thousands of tasks that holds the owner's loop for as long as they take.
def test_tasks_of_one_step_are_placed_in_parts() -> None:
    harness = ShardHarness(facts("i-0", cpu=900_000))
    harness.admit(job(step(100)))
    is_complete, placed = _place_slice(harness, 10)
    assert not is_complete
    assert len(placed) == 10
    assert len(_place_in_slices(harness, 10)) == 90
