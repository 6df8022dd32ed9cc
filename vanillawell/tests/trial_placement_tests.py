"""Test how many machines lasting tasks that wait for room still lack."""

from __future__ import annotations

from vanillawell.state.trial_placement import machines_lacking
from vanillawell.state.work import Resources, Step
from vanillawell.tests.scheduling_builders import Bench, facts, job, step

HOME = 6
"""Machines that the pool has."""


def test_a_pool_grows_for_lasting_tasks_that_fit_no_machine_beside_others() -> None:
    """Two lasting jobs of six tasks share a pool, and a machine's memory holds one task of each at
    most. Sized by processors and by the widest step alone, the pool stayed at six machines, and the
    second job waited for ten seconds while standby was full."""
    bench = Bench(*(facts(f"i-{number}") for number in range(HOME)))
    wide = Step(HOME, Resources(1_000, 40_000), 1.0, long_running=True, most_per_executor=1)
    bench.admit(job(wide))
    bench.place()
    bench.admit(job(wide))
    bench.place()
    executors = list(bench.shard.ledger.executors.values())
    steps = list(bench.shard.board.open_steps)
    size = executors[0].facts.capacity
    assert machines_lacking(executors, 0, size, steps) == HOME
    assert machines_lacking(executors, HOME - 1, size, steps) == 1
    assert machines_lacking(executors, HOME, size, steps) == 0


def test_no_machine_is_called_for_a_task_that_fits_none() -> None:
    """A task that asks for more than a machine offers would call one after the other."""
    bench = Bench(facts("i-0"))
    bench.admit(job(step(1, cpu=9_000, long_running=True)))
    bench.place()
    size = facts("i-0").capacity
    assert machines_lacking([], 0, size, list(bench.shard.board.open_steps)) == 0
