"""Test for which long-running tasks room is kept free, and what others get there meanwhile."""

from __future__ import annotations

from dataclasses import replace

from vanillawell.state.work import Resources
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, job_ids, step


# Guards against a job that never starts, since the only executor with room for it is kept free for
# ever for a long-running task that no executor can hold.
def test_no_room_is_kept_for_a_task_that_fits_nowhere() -> None:
    harness = ShardHarness(*(facts(name) for name in ("i-0", "i-1", "i-2")))
    harness.admit(job(step(2, 6_500, long_running=True, most_per_executor=1)))
    harness.place()
    hopeless = replace(step(1, 500, long_running=True), need=Resources(500, 100_000))
    harness.admit(job(hopeless))
    harness.place()
    later = job(step(1, 4_000, seconds=60.0))
    harness.admit(later)
    assert job_ids(harness.place()) == [later.job_id]


# Guards against the same for a task that an executor could only hold without long-running tasks
# that stay.
def test_no_room_is_kept_beside_long_running_tasks_that_leave_too_little() -> None:
    harness = ShardHarness(facts("i-0"), facts("i-1"))
    harness.admit(job(step(2, 4_500, long_running=True, most_per_executor=1)))
    harness.place()
    harness.admit(job(step(1, 4_000, long_running=True)))
    harness.place()
    later = job(step(2, 3_000, seconds=60.0))
    harness.admit(later)
    assert len(harness.place()) == 2


# Guards against jobs that wait in a pool that is mostly empty.
def test_no_room_is_kept_in_a_pool_that_is_mostly_empty() -> None:
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(1, 1_000, seconds=600.0)))
    harness.place()
    harness.admit(job(step(1, 8_000, long_running=True)))
    harness.place()
    later = job(step(1, 1_000, seconds=600.0))
    harness.admit(later)
    assert job_ids(harness.place()) == [later.job_id]


# Guards against small jobs that wait for the end of a long one, since room beside it is kept for a
# task that can't start before that end either.
def test_short_tasks_start_where_room_is_kept_if_they_end_in_time() -> None:
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(1, 5_000, seconds=60.0)))
    harness.place()
    harness.admit(job(step(1, 8_000, long_running=True)))
    harness.place()
    short, long = job(step(1, 1_000, seconds=1.0)), job(step(1, 1_000, seconds=61.0))
    harness.admit(short, long)
    assert job_ids(harness.place()) == [short.job_id]


# Guards against jobs that wait for the end of a task that takes far longer than its estimate.
def test_short_tasks_start_beside_a_task_that_runs_far_beyond_its_estimate() -> None:
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(1, 5_000, seconds=0.5)))
    harness.place()
    harness.admit(job(step(1, 8_000, long_running=True)))
    harness.place()
    later = job(step(1, 1_000, seconds=2.0))
    harness.admit(later)
    assert harness.place() == []
    harness.now += 3.0
    assert job_ids(harness.place()) == [later.job_id]


# Guards against a long-running task that never starts, since short ones take all room that becomes
# free.
def test_room_is_kept_for_a_long_running_task_until_it_fits() -> None:
    harness = ShardHarness(facts("i-0"))
    harness.admit(*(job(step(1, 2_000, seconds=1.0)) for _ in range(4)))
    first = harness.place()
    large = job(step(1, 8_000, long_running=True))
    harness.admit(large)
    harness.place()
    for run in first:
        harness.now += 0.25
        harness.end(run)
        harness.admit(job(step(1, 2_000, seconds=10.0, image="slow")))
        placed = harness.place()
    assert job_ids(placed) == [large.job_id]
