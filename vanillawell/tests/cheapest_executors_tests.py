"""Test that long-running tasks are placed without a comparison of all executors for each."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from vanillawell.state.executors import Executor
from vanillawell.state.placement import Cost, StepPlacer
from vanillawell.state.progress import JobRecord, StepProgress, Task
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

EXECUTORS = 8

MANY_EXECUTORS, MANY_TASKS = 300, 4_000


def _open_step(count: int, **fields: Any) -> StepProgress:
    return JobRecord(job(step(count, long_running=True, **fields)), 100.0).open(0)[0]


def _place_all(harness: ShardHarness, placer: StepPlacer, opened: StepProgress) -> list[str]:
    """Place the tasks of a step one after the other; return their executors."""
    names = []
    for task in opened.tasks:
        chosen = placer.choose(task)
        names.append(chosen.name if chosen else "")
        if chosen is not None:
            harness.shard.plan(task, chosen, 1, "", harness.now)
            placer.record_placement(chosen)
    return names


class Exhaustive(StepPlacer):
    """Compares all executors for each task."""

    def _choose_cheapest(self, task: Task) -> Executor | None:
        return self._search(task)


@st.composite
def _fleets(draw: st.DrawFn) -> list[tuple[int, str, bool, int, int]]:
    """Draw the cores, rack, pending upkeep, short and long-running tasks of each executor."""
    row = st.tuples(
        st.integers(1, 6),
        st.sampled_from(["r1", "r2", "r3"]),
        st.booleans(),
        st.integers(0, 2),
        st.integers(0, 2),
    )
    return draw(st.lists(row, min_size=1, max_size=EXECUTORS))


def _build(rows: list[tuple[int, str, bool, int, int]]) -> ShardHarness:
    harness = ShardHarness()
    for number, (cores, rack, awaits_upkeep, short, lasting) in enumerate(rows):
        name = f"i-{number}"
        executor = harness.register(facts(name, cpu=1_000 * cores, rack=rack))
        executor.awaits_upkeep = awaits_upkeep
        fillers = job(step(short or 1, cpu=300), step(lasting or 1, cpu=200, long_running=True))
        opened = JobRecord(fillers, 100.0).open(0)
        for filled, count in zip(opened, (short, lasting), strict=True):
            for task in filled.tasks[:count]:
                harness.shard.plan(task, executor, 1, "", harness.now)
    return harness


# Guards against other places than those that a comparison of all executors chooses.
@given(
    _fleets(),
    st.integers(1, 12),
    st.fixed_dictionaries(
        {
            "cpu": st.sampled_from([300, 900, 1_700]),
            "most_per_executor": st.integers(0, 2),
            "fills": st.booleans(),
            "tail_target": st.sampled_from([0.0, 0.1]),
            "data_rack": st.sampled_from(["", "r2"]),
            "same_rack": st.booleans(),
        }
    ),
    st.lists(st.integers(0, 11), max_size=3),
)
def test_places_are_those_of_a_comparison_of_all_executors(
    rows: list[tuple[int, str, bool, int, int]],
    count: int,
    fields: dict[str, Any],
    failed: list[int],
) -> None:
    found = []
    for kind in (StepPlacer, Exhaustive):
        harness, opened = _build(rows), _open_step(count, **fields)
        for position in failed:
            if position < count:
                opened.tasks[position].failed_on = "i-0"
        pool = list(harness.shard.ledger.executors.values())
        found.append(_place_all(harness, kind(opened, pool, None, harness.now), opened))
    assert found[0] == found[1]


# Guards against an owner whose loop stands still for seconds, longer than its lease, for one job of
# thousands of long-running tasks.
def test_thousands_of_long_running_tasks_need_few_comparisons() -> None:
    harness = ShardHarness(*(facts(f"i-{n:03}", cpu=32_000) for n in range(MANY_EXECUTORS)))
    compared = 0

    class Counting(StepPlacer):
        def _cost(self, executor: Executor, task: Task) -> Cost:
            nonlocal compared
            compared += 1
            return super()._cost(executor, task)

    opened = _open_step(MANY_TASKS)
    pool = list(harness.shard.ledger.executors.values())
    assert all(_place_all(harness, Counting(opened, pool, None, harness.now), opened))
    assert compared < 10 * (MANY_TASKS + MANY_EXECUTORS)
