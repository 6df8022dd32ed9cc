"""Test the number of machines that waiting long-running tasks need."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from vanillawell.state.trial_placement import count_missing_machines
from vanillawell.state.work import Resources, Step
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

if TYPE_CHECKING:
    from vanillawell.state.executors import Executor
    from vanillawell.state.progress import StepProgress

MAX_PAUSE = 0.02
"""Seconds of processor time for which one computation may hold the owner's loop."""

POOL_SIZE = 6
"""Machines of the pool."""


def test_missing_machines_account_for_memory_used_by_other_long_running_tasks() -> None:
    """Two long-running jobs of six tasks share a pool, and a machine's memory fits one task only.

    Sized by processors and by the widest step alone, the pool stayed at six machines, and the
    second job waited for ten seconds while the standby pool was full.
    """
    harness = ShardHarness(*(facts(f"i-{number}") for number in range(POOL_SIZE)))
    wide = Step(POOL_SIZE, Resources(1_000, 40_000), 1.0, long_running=True, most_per_executor=1)
    harness.admit(job(wide))
    harness.place()
    harness.admit(job(wide))
    harness.place()
    executors = list(harness.shard.ledger.executors.values())
    steps = list(harness.shard.job_table.open_steps)
    size = executors[0].facts.capacity
    assert count_missing_machines(executors, 0, size, steps) == POOL_SIZE
    assert count_missing_machines(executors, POOL_SIZE - 1, size, steps) == 1
    assert count_missing_machines(executors, POOL_SIZE, size, steps) == 0


def test_no_machine_is_requested_for_a_task_that_exceeds_every_machine() -> None:
    """A task that needs more than a machine offers would otherwise request one after the other."""
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(1, cpu=9_000, long_running=True)))
    harness.place()
    size = facts("i-0").capacity
    assert count_missing_machines([], 0, size, list(harness.shard.job_table.open_steps)) == 0


def test_machines_are_called_for_the_next_tasks_that_have_to_leave() -> None:
    """A machine is emptied for its upkeep, and no other has room for its tasks. If a machine was
    called only once a task is stopped, each move would take a second longer, and the tasks of a
    step move one after the other: the wave would be late."""
    harness = ShardHarness(facts("i-0"), facts("i-1"))
    limited = Step(8, Resources(2_000, 10), 1.0, long_running=True, most_away=2)
    harness.admit(job(limited))
    harness.place()
    emptied, other = harness.shard.ledger.executors.values()
    assert len(emptied.runs) == len(other.runs) == 4
    size = emptied.facts.capacity
    assert count_missing_machines([other], 0, size, [], [emptied]) == 1
    assert count_missing_machines([other], 1, size, [], [emptied]) == 0
    assert count_missing_machines([other], 0, size, [], []) == 0


def _count_by_walking(executors: list[Executor], size: Resources, steps: list[StepProgress]) -> int:
    """Return the machines that are missing, found by placing one task after the other."""
    rooms: list[tuple[Resources, Counter[StepProgress]]] = [
        (item.facts.capacity, Counter()) for item in executors
    ]
    for step_ in steps:
        need, limit = step_.spec.reserved, step_.spec.most_per_executor
        if not need.fits(size):
            continue
        for _ in range(step_.spec.count):
            for place, (free, tasks) in enumerate(rooms):
                if need.fits(free) and not (limit and tasks[step_] >= limit):
                    index = place
                    break
            else:
                index, free, tasks = len(rooms), size, Counter()
                rooms.append((free, tasks))
            tasks[step_] += 1
            rooms[index] = (free - need, tasks)
    return len(rooms) - len(executors)


STEPS = st.lists(
    st.builds(
        Step,
        st.integers(1, 30),
        st.builds(Resources, st.integers(0, 9_000), st.integers(0, 40_000)),
        st.just(1.0),
        long_running=st.just(True),
        most_per_executor=st.integers(0, 3),
    ),
    min_size=1,
    max_size=5,
)


# Guards against counting equal tasks and machines otherwise than one after the other would.
@given(STEPS, st.integers(0, 4))
def test_counted_machines_are_those_of_placing_each_task(specs: list[Step], pool: int) -> None:
    harness = ShardHarness(*(facts(f"i-{number}") for number in range(pool)))
    harness.admit(*(job(spec) for spec in specs))
    executors = list(harness.shard.ledger.executors.values())
    steps = list(harness.shard.job_table.open_steps)
    size = facts("i").capacity
    expected = _count_by_walking(executors, size, steps)
    assert count_missing_machines(executors, 0, size, steps) == expected


# Guards against a job of thousands of lasting tasks without a place, for which the owner stood
# still for seconds and lost its shard.
def test_thousands_of_tasks_without_a_place_are_counted_at_once() -> None:
    harness = ShardHarness(*(facts(f"i-{number}") for number in range(POOL_SIZE)))
    lasting = step(4_000, cpu=100, long_running=True, most_per_executor=1)
    harness.admit(*(job(lasting) for _ in range(3)))
    executors = list(harness.shard.ledger.executors.values())
    steps = list(harness.shard.job_table.open_steps)
    began = time.process_time()
    missing = count_missing_machines(executors, 0, facts("i").capacity, steps)
    assert missing == 4_000 - POOL_SIZE
    assert time.process_time() - began < MAX_PAUSE
