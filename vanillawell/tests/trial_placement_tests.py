"""Test the number of machines that waiting long-running tasks need."""

from __future__ import annotations

from vanillawell.state.trial_placement import count_missing_machines
from vanillawell.state.work import Resources, Step
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

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
