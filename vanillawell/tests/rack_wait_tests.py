"""Test how long tasks wait for the rack of their data while many jobs want the same one."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from vanillawell.state.contention.rack_wait import MAX_RACK_WAIT, RackQueues
from vanillawell.state.progress import JobRecord
from vanillawell.state.work import Resources
from vanillawell.state.work_policy import OrganisationLimits
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

FACTOR = 3.0


def two_racks() -> ShardHarness:
    """Return a pool with four places on each of two racks."""
    harness = ShardHarness(facts("e1", cpu=4_000), facts("e2", cpu=4_000, rack="r2"))
    harness.shard.remote_factor = FACTOR
    return harness


def racks(harness: ShardHarness) -> set[str]:
    executors = harness.shard.ledger.executors
    return {executors[run.executor].facts.rack for run in harness.place()}


def test_tasks_wait_for_a_place_near_their_data() -> None:
    """Elsewhere they would take three times as long, and a place becomes free within one run."""
    harness = two_racks()
    near = step(4, seconds=0.5, data_rack="r1")
    harness.admit(job(near), job(near))
    (runs,) = [harness.place()]
    assert {run.executor for run in runs} == {"e1"}
    harness.now += 0.5
    for run in runs:
        harness.end(run)
    assert racks(harness) == {"r1"}


def test_tasks_go_elsewhere_when_the_wait_costs_as_much() -> None:
    """What runs on the rack takes long. Tasks that waited for it without end would be late."""
    harness = two_racks()
    near = step(4, seconds=0.5, data_rack="r1")
    harness.admit(job(near))
    harness.place()
    harness.admit(job(near))
    assert harness.place() == []
    harness.now += (FACTOR - 1) * 0.5 + 0.1
    assert racks(harness) == {"r2"}


def test_behind_a_long_queue_nobody_waits() -> None:
    """Sixty per cent of a peak want one rack. If all waited there, the rest of the pool would be
    idle."""
    harness = two_racks()
    near = step(4, seconds=0.5, data_rack="r1")
    harness.admit(*(job(near) for _ in range(5)))
    placed = harness.place()
    assert {run.executor for run in placed} == {"e1", "e2"}


def test_long_running_tasks_and_pools_without_the_rack_do_not_wait() -> None:
    harness = two_racks()
    harness.admit(job(step(4, seconds=0.5, data_rack="r1")))
    harness.place()
    harness.admit(job(step(1, data_rack="r1", long_running=True)))
    harness.admit(job(step(1, seconds=0.5, data_rack="r9")))
    assert len(harness.place()) == 2


@given(st.lists(st.tuples(st.integers(1, 8), st.floats(0.1, 3)), max_size=30), st.integers(0, 20))
def test_no_task_waits_beyond_the_bound(rows: list[tuple[int, float]], places: int) -> None:
    queues = RackQueues(FACTOR)
    for count, seconds in rows:
        waiting = JobRecord(job(step(count, data_rack="r1")), 0.0).open(0)[0]
        queues.waits(waiting, places, seconds, 100.0)
        assert not RackQueues(FACTOR).waits(waiting, places, seconds, 100.0 + MAX_RACK_WAIT)


# Guards against jobs that run far from their data, behind tasks of an organisation at its maximum
# that seem to queue for the rack.
def test_tasks_at_their_organisation_s_maximum_do_not_queue_for_a_rack() -> None:
    limits = {
        "north": OrganisationLimits("north", 9, Resources(cpu=1_000)),
        "south": OrganisationLimits("south", 1, Resources()),
    }
    harness = ShardHarness(
        facts("e1", cpu=4_000), facts("e2", cpu=4_000, rack="r2"), organisations=limits
    )
    harness.shard.remote_factor = FACTOR
    near = step(4, seconds=0.5, data_rack="r1")
    harness.admit(job(step(1, seconds=0.5)), job(near, organisation="south"))
    harness.place()
    harness.admit(*(job(near) for _ in range(4)), job(near, organisation="south"))
    assert harness.place() == []
