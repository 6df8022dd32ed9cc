"""Test decisions under peaks: each queue in turn asks for more than its pool holds, for seconds.

The pattern: four to five times the mean for some seconds, then a twentieth of it. Jobs have an
objective of 1.6 times their chain of work and 0.6 s more; what is done later is worth a fourteenth.
"""

from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING

from vanillawell.protocol.work_documents import read_record, write_record
from vanillawell.state.work import JobRecord, JobState
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, job_ids, step

if TYPE_CHECKING:
    from vanillawell.state.work import Run

TICK = 0.05
"""Seconds between two decisions."""


def test_a_job_that_can_be_in_time_goes_before_one_that_cannot() -> None:
    harness = ShardHarness(facts("i-0", cpu=1_000))
    late, timely = job(step()), job(step())
    harness.admit(late)
    harness.now += 1.8
    harness.admit(timely)
    assert job_ids(harness.place()) == [timely.job_id]


def test_a_job_that_has_begun_goes_before_one_that_has_not() -> None:
    """What was spent on the first step of a job is lost if its second one waits too long."""
    harness = ShardHarness(facts("i-0", cpu=1_000))
    begun, fresh = job(step(), step(after=(0,))), job(step())
    harness.admit(begun)
    (run,) = harness.place()
    harness.now += 0.2
    harness.admit(fresh)
    harness.now += 0.8
    harness.end(run)
    assert job_ids(harness.place()) == [begun.job_id]


def test_a_job_is_not_started_at_the_last_moment_while_another_has_time() -> None:
    harness = ShardHarness(facts("i-0", cpu=1_000))
    last_moment, timely = job(step()), job(step())
    harness.admit(last_moment)
    harness.now += 1.1
    harness.admit(timely)
    assert job_ids(harness.place()) == [timely.job_id]


def test_a_peak_leaves_most_jobs_in_time() -> None:
    """Twice what a pool holds comes for five seconds. Served by deadline alone, a queue of more
    than an objective builds up and nearly every job is late; with late ones set back, the pool
    goes on completing about as many in time as it has room for."""
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
    room = 4 * 8 * (5.0 + 1.2)
    assert in_time >= 0.8 * min(len(records), room)


def test_the_end_of_a_peak_empties_whole_machines() -> None:
    """A peak has filled eight machines and falls to a twentieth while the next pool's peak begins.
    If what still arrives goes where most is free, all eight keep a task or two for seconds, none
    can change its pool, and the next pool's callers wait."""
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


def test_tasks_that_last_come_first_and_keep_room_for_themselves() -> None:
    """A pool is full of short tasks when a lasting task has to start again. The next room that is
    large enough must be its own, or short tasks would take every gap."""
    harness = ShardHarness(facts("i-0", cpu=2_000))
    shorts = [job(step(cpu=1_000)) for _ in range(6)]
    harness.admit(*shorts[:2])
    first = harness.place()
    lasting = job(step(cpu=2_000, long_running=True))
    harness.admit(lasting, *shorts[2:])
    harness.end(first[0])
    assert harness.place() == []
    harness.end(first[1])
    assert job_ids(harness.place()) == [lasting.job_id]


def test_a_change_of_owner_does_not_make_an_old_job_look_new() -> None:
    """A job has waited for two seconds when its owner is lost. Its new owner must know that it can
    no longer be in time, or it would take room from one that can."""
    item = replace(job(step()), accepted_at=1_000.0)
    record, _ = read_record(item, write_record(JobRecord(item, 0.0)), 50.0, 1_002.0)
    assert record.seen_at == 48.0
