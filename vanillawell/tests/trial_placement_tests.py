"""Test how many machines lasting tasks that wait for room still lack."""

from __future__ import annotations

from vanillawell.state.trial_placement import count_missing_machines
from vanillawell.state.work import Resources, Step
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

HOME = 6
"""Machines that the pool has."""


def test_a_pool_grows_for_lasting_tasks_that_fit_no_machine_beside_others() -> None:
    """Two lasting jobs of six tasks share a pool, and a machine's memory holds one task of each at
    most. Sized by processors and by the widest step alone, the pool stayed at six machines, and the
    second job waited for ten seconds while standby was full."""
    harness = ShardHarness(*(facts(f"i-{number}") for number in range(HOME)))
    wide = Step(HOME, Resources(1_000, 40_000), 1.0, long_running=True, most_per_executor=1)
    harness.admit(job(wide))
    harness.place()
    harness.admit(job(wide))
    harness.place()
    executors = list(harness.shard.ledger.executors.values())
    steps = list(harness.shard.job_table.open_steps)
    size = executors[0].facts.capacity
    assert count_missing_machines(executors, 0, size, steps) == HOME
    assert count_missing_machines(executors, HOME - 1, size, steps) == 1
    assert count_missing_machines(executors, HOME, size, steps) == 0


def test_no_machine_is_called_for_a_task_that_fits_none() -> None:
    """A task that asks for more than a machine offers would call one after the other."""
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(1, cpu=9_000, long_running=True)))
    harness.place()
    size = facts("i-0").capacity
    assert count_missing_machines([], 0, size, list(harness.shard.job_table.open_steps)) == 0
