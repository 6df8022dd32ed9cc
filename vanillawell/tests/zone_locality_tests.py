"""Test that the tasks of a step are kept in one availability zone.

The pattern: a zone is cut off in the peak of a pool. Each job with a task there is late, so jobs
that are spread over all zones are late together.
"""

from __future__ import annotations

from collections import Counter

from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

ZONES = ("a", "b", "c")


def _pool(executors_per_zone: int = 2) -> ShardHarness:
    """Return a pool with executors of eight cores in three zones, each zone with racks of one."""
    return ShardHarness(
        *(
            facts(f"i-{zone}{number}", zone=zone, rack=f"{zone}{number}")
            for zone in ZONES
            for number in range(executors_per_zone)
        )
    )


def _zones(harness: ShardHarness) -> Counter[str]:
    executors = harness.shard.ledger.executors
    return Counter(executors[run.executor].facts.zone for run in harness.shard.ledger.runs())


def test_most_jobs_have_no_task_in_a_zone_that_is_cut_off() -> None:
    harness = _pool()
    jobs = [job(step(8)) for _ in range(6)]
    for item in jobs:
        harness.admit(item)
        harness.place()
    executors = harness.shard.ledger.executors
    zones_of_job = {
        item.job_id: {
            executors[run.executor].facts.zone
            for run in harness.shard.ledger.runs()
            if run.task.task_id.job_id == item.job_id
        }
        for item in jobs
    }
    assert all(len(zones) == 1 for zones in zones_of_job.values())
    assert Counter(zone for zones in zones_of_job.values() for zone in zones) == dict.fromkeys(
        ZONES, 2
    )


def test_small_steps_share_a_zone_so_that_a_wide_one_still_fits() -> None:
    """Three small jobs are running when a wide one comes. If each small one had taken the emptiest
    zone, no zone would have room for the wide one, and it would depend on all of them."""
    harness = _pool()
    for _ in range(3):
        harness.admit(job(step(2)))
        harness.place()
    assert len(_zones(harness)) == 1
    harness.admit(job(step(16)))
    wide = harness.place()
    executors = harness.shard.ledger.executors
    assert len({executors[run.executor].facts.zone for run in wide}) == 1


def test_zones_with_many_free_executors_take_turns() -> None:
    """A pool has many machines in each zone. If all jobs were packed into one zone, a cut of that
    zone would hit all of them at once."""
    harness = _pool(executors_per_zone=6)
    for _ in range(6):
        harness.admit(job(step(8)))
        harness.place()
    assert _zones(harness) == dict.fromkeys(ZONES, 16)


def test_step_that_fits_in_no_zone_uses_all() -> None:
    """Keeping it together must not make callers wait for capacity that exists."""
    harness = _pool()
    harness.admit(job(step(48)))
    assert len(harness.place()) == 48
    assert _zones(harness) == dict.fromkeys(ZONES, 16)


def test_long_running_tasks_stay_spread_over_racks() -> None:
    harness = _pool()
    harness.admit(job(step(6, long_running=True)))
    harness.place()
    assert _zones(harness) == dict.fromkeys(ZONES, 2)
