"""Test how machines are divided while pools want more than there are."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from vanillawell.coordination.machine_division import MachineDivision
from vanillawell.state.contention.machine_division import (
    MIN_POOL_SIZE,
    choose_vacated,
    divide_machines,
)
from vanillawell.state.pool_sizing import (
    MovePlan,
    PoolDemand,
    PoolSizer,
    optional_cores,
)
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

CORES = 10.0
USABLE = 9.0
"""Cores of a machine that are filled: nine tenths."""


def pool(service: str, machines: int, wanted: int, optional: int = 0) -> PoolDemand:
    """Return a pool that wants a number of machines, some of them for optional work."""
    return PoolDemand(service, machines, CORES, wanted * USABLE, optional * USABLE)


POOLS = st.lists(
    st.tuples(st.integers(0, 40), st.integers(0, 80), st.integers(0, 80)), min_size=1, max_size=6
)


@given(POOLS, st.integers(0, 150))
def test_what_is_divided_is_what_there_is(rows: list[tuple[int, int, int]], spare: int) -> None:
    pools = [
        pool(f"p{number}", machines, wanted, min(optional, wanted))
        for number, (machines, wanted, optional) in enumerate(rows)
    ]
    supply = sum(item.machines for item in pools) + spare
    shares = divide_machines(pools, supply)
    assert sum(shares.values()) == min(supply, sum(item.wanted for item in pools))
    assert all(shares[item.service] <= item.wanted for item in pools)
    if supply >= sum(item.required for item in pools):
        assert all(shares[item.service] >= item.required for item in pools)
    if supply >= MIN_POOL_SIZE * len(pools):
        assert all(share >= MIN_POOL_SIZE for share in shares.values())


def test_two_peaks_share_what_there_is() -> None:
    """Two pools want twice what there is. Served in the order of what they lack, the first would
    get everything and the callers of the second nothing."""
    shares = divide_machines([pool("a", 10, 62), pool("b", 10, 42)], 52)
    assert shares == {"a": 31, "b": 21}


def test_a_pool_vacates_what_it_holds_for_jobs_that_nobody_waits_for() -> None:
    """A peak has passed, and its late jobs still fill all machines when the next queue's begins.
    Until they became idle by chance, callers of the next peak would wait for seconds."""
    sizer = PoolSizer()
    sizer.plan([pool("a", 50, 20), pool("b", 2, 2)], "standby", [], {}, 0.0)
    plan = sizer.plan([pool("a", 50, 80, optional=70), pool("b", 2, 30)], "standby", [], {}, 2.0)
    assert plan.moves == []
    assert plan.vacated == {"a": 28}
    idle = {"a": [f"m{number}" for number in range(5)]}
    plan = sizer.plan([pool("a", 50, 80, optional=70), pool("b", 2, 30)], "standby", [], idle, 2.1)
    assert {move.pool for move in plan.moves} == {"b"}
    assert len(plan.moves) == 5
    assert plan.vacated == {"a": 23}


def test_required_work_of_the_last_second_keeps_its_machines() -> None:
    sizer = PoolSizer()
    sizer.plan([pool("a", 50, 50), pool("b", 2, 2)], "standby", [], {}, 0.0)
    plan = sizer.plan([pool("a", 50, 50, optional=45), pool("b", 2, 30)], "standby", [], {}, 0.5)
    assert plan.vacated == {}


def test_nothing_is_vacated_while_standby_suffices() -> None:
    spare = [f"s{number}" for number in range(40)]
    pools = [pool("a", 50, 50, optional=50), pool("b", 2, 30)]
    plan = PoolSizer().plan(pools, "standby", spare, {}, 0.0)
    assert plan.vacated == {}
    assert plan.shares is None
    assert len(plan.moves) == 28


def test_vacated_executors_get_no_tasks_and_keep_what_they_run() -> None:
    harness = ShardHarness(facts("e1", cpu=2_000), facts("e2", cpu=2_000))
    harness.admit(job(step(1)))
    (run,) = harness.place()
    executors = list(harness.shard.ledger.executors.values())
    (chosen,) = choose_vacated(executors, 1, harness.now)
    assert chosen.name != run.executor
    chosen.vacating = True
    harness.admit(job(step(3)))
    assert len(harness.place()) == 1
    chosen.vacating = False
    assert len(harness.place()) == 2


def test_surplus_and_jobs_without_value_are_optional() -> None:
    harness = ShardHarness(facts("e1", cpu=2_000))
    record = harness.shard.admit(job(step(4, seconds=2.0)), harness.now)
    assert record is not None
    harness.place()
    shard = harness.shard

    def optional(now: float) -> float:
        return optional_cores(shard.ledger.runs(), shard.job_table.open_steps, shard.durations, now)

    assert optional(harness.now) == 0.0
    record.surplus = True
    assert optional(harness.now) == 4.0
    record.surplus = False
    assert optional(harness.now + 60.0) == 4.0


def test_marks_are_taken_back_while_no_plan_can_be_made() -> None:
    """The machines' service stops answering while executors are vacated for another pool. Left
    marked, they would be idle for the length of the outage."""
    harness = ShardHarness(facts("e1", cpu=2_000), facts("e2", cpu=2_000))
    executors = harness.shard.ledger.by_machine()
    division = MachineDivision()
    division.apply(MovePlan([], {"pool": 1}, {"pool": 1}), 0, executors, harness.now)
    assert sum(item.vacating for item in executors.values()) == 1
    division.suspend(executors)
    assert not any(item.vacating for item in executors.values())


# Guards against pools that lose all their machines to one job with thousands of long-running tasks,
# each on a machine of its own.
def test_pool_that_needs_all_machines_leaves_others_their_minimum() -> None:
    large = pool("large", 4, 4_096)
    large.floor = 4_096
    others = [pool(f"small-{number}", 4, 5) for number in range(3)]
    shares = divide_machines([large, *others], 30)
    assert all(shares[item.service] >= MIN_POOL_SIZE for item in others)
    assert sum(shares.values()) == 30
