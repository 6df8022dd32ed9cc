"""Test placement during peaks, when a queue needs more capacity than its pool has for seconds.

Scenario: arrivals rise to four to five times their mean for some seconds, then fall to a twentieth
of it. The objective of a job is 1.6 times its critical path plus 0.6 s; a job that is completed
later has a fourteenth of its value.
"""

from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING

from vanillawell.protocol.work_documents import read_record, write_record
from vanillawell.state.progress import JobRecord
from vanillawell.state.work import JobState
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, job_ids, step

if TYPE_CHECKING:
    from vanillawell.state.progress import Run

TICK = 0.05
"""Seconds between two scheduling cycles."""


def test_job_that_can_be_in_time_is_served_before_one_that_cannot() -> None:
    harness = ShardHarness(facts("i-0", cpu=1_000))
    late, timely = job(step()), job(step())
    harness.admit(late)
    harness.now += 1.8
    harness.admit(timely)
    assert job_ids(harness.place()) == [timely.job_id]


def test_started_job_is_served_before_one_that_has_not_started() -> None:
    """The work done in the first step of a job is lost if its second step waits too long."""
    harness = ShardHarness(facts("i-0", cpu=1_000))
    started, new = job(step(), step(after=(0,))), job(step())
    harness.admit(started)
    (run,) = harness.place()
    harness.now += 0.2
    harness.admit(new)
    harness.now += 0.8
    harness.end(run)
    assert job_ids(harness.place()) == [started.job_id]


def test_job_without_margin_is_not_started_before_one_that_can_be_in_time() -> None:
    harness = ShardHarness(facts("i-0", cpu=1_000))
    last_moment, timely = job(step()), job(step())
    harness.admit(last_moment)
    harness.now += 1.1
    harness.admit(timely)
    assert job_ids(harness.place()) == [timely.job_id]


def test_jobs_within_capacity_are_in_time_during_a_peak() -> None:
    """Twice the work that a pool can process arrives for five seconds.

    Served by deadline alone, the queue grows longer than an objective and nearly every job is late.
    With late jobs set back, about as many jobs are in time as the pool has capacity for.
    """
    harness = ShardHarness(*(facts(f"i-{number}") for number in range(4)))
    rng = random.Random(7)
    running: list[tuple[float, object]] = []
    records = []
    while harness.now < 115:
        if harness.now < 105:
            for _ in range(rng.choice((2, 3, 4))):
                item = job(step(1, seconds=1.0))
                harness.admit(item)
                records.append((harness.now, harness.shard.job_table.jobs[item.job_id]))
        for ends_at, run in list(running):
            if ends_at <= harness.now:
                running.remove((ends_at, run))
                harness.end(run)  # type: ignore[arg-type]
        running.extend((harness.now + 1.0, run) for run in harness.place())
        harness.now += TICK
    in_time = sum(
        record.state is JobState.COMPLETED and (record.ended or 0.0) <= record.deadline + TICK
        for _, record in records
    )
    capacity = 4 * 8 * (5.0 + 1.2)
    assert in_time >= 0.8 * min(len(records), capacity)


def test_whole_machines_become_empty_at_the_end_of_a_peak() -> None:
    """A peak on eight machines ends: arrivals fall to a twentieth while another pool's peak begins.

    If new tasks went to the machines with the most free capacity, all eight would keep a task or
    two for seconds, none could move to the other pool, and the callers of that pool would wait.
    """
    harness = ShardHarness(*(facts(f"i-{number}") for number in range(8)))
    rng = random.Random(11)
    running: list[tuple[float, Run]] = []
    while harness.now < 104:
        peak = harness.now < 102
        if peak or rng.random() < 0.4:
            harness.admit(*(job(step()) for _ in range(3 if peak else 1)))
        for item in [item for item in running if item[0] <= harness.now]:
            running.remove(item)
            harness.end(item[1])
        running.extend((harness.now + rng.uniform(0.4, 1.6), run) for run in harness.place())
        harness.now += TICK
    executors = harness.shard.ledger.executors.values()
    assert sum(not executor.runs for executor in executors) >= 5


def test_long_running_task_comes_first_and_reserves_capacity() -> None:
    """A long-running task has to start again in a pool that is full of short tasks.

    An executor must be reserved for it, or short tasks would take all capacity that becomes free.
    """
    harness = ShardHarness(facts("i-0", cpu=2_000))
    shorts = [job(step(cpu=1_000)) for _ in range(6)]
    harness.admit(*shorts[:2])
    first = harness.place()
    long_running = job(step(cpu=2_000, long_running=True))
    harness.admit(long_running, *shorts[2:])
    harness.end(first[0])
    assert harness.place() == []
    harness.end(first[1])
    assert job_ids(harness.place()) == [long_running.job_id]


def test_waiting_time_of_a_job_survives_a_change_of_owner() -> None:
    """A job has waited for two seconds when the owner is lost.

    The new owner must know that the job can no longer be in time, or it would take the capacity of
    one that can.
    """
    item = replace(job(step()), accepted_at=1_000.0)
    record, _ = read_record(item, write_record(JobRecord(item, 0.0)), 50.0, 1_002.0)
    assert record.seen_at == 48.0
