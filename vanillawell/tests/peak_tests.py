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
from vanillawell.tests.scheduling_builders import Bench, facts, job, job_ids, step

if TYPE_CHECKING:
    from vanillawell.state.work import Run

TICK = 0.05
"""Seconds between two decisions."""


def test_a_job_that_can_be_in_time_goes_before_one_that_cannot() -> None:
    bench = Bench(facts("i-0", cpu=1_000))
    late, timely = job(step()), job(step())
    bench.admit(late)
    bench.now += 1.8
    bench.admit(timely)
    assert job_ids(bench.place()) == [timely.job_id]


def test_a_job_that_has_begun_goes_before_one_that_has_not() -> None:
    """What was spent on the first step of a job is lost if its second one waits too long."""
    bench = Bench(facts("i-0", cpu=1_000))
    begun, fresh = job(step(), step(after=(0,))), job(step())
    bench.admit(begun)
    (run,) = bench.place()
    bench.now += 0.2
    bench.admit(fresh)
    bench.now += 0.8
    bench.end(run)
    assert job_ids(bench.place()) == [begun.job_id]


def test_a_job_is_not_started_at_the_last_moment_while_another_has_time() -> None:
    bench = Bench(facts("i-0", cpu=1_000))
    last_moment, timely = job(step()), job(step())
    bench.admit(last_moment)
    bench.now += 1.1
    bench.admit(timely)
    assert job_ids(bench.place()) == [timely.job_id]


def test_a_peak_leaves_most_jobs_in_time() -> None:
    """Twice what a pool holds comes for five seconds. Served by deadline alone, a queue of more
    than an objective builds up and nearly every job is late; with late ones set back, the pool
    goes on completing about as many in time as it has room for."""
    bench = Bench(*(facts(f"i-{number}") for number in range(4)))
    rng = random.Random(7)
    running: list[tuple[float, object]] = []
    records = []
    while bench.now < 115:
        if bench.now < 105:
            for _ in range(rng.choice((2, 3, 4))):
                item = job(step(1, seconds=1.0))
                bench.admit(item)
                records.append((bench.now, bench.shard.board.jobs[item.job_id]))
        for ends_at, run in list(running):
            if ends_at <= bench.now:
                running.remove((ends_at, run))
                bench.end(run)  # type: ignore[arg-type]
        running.extend((bench.now + 1.0, run) for run in bench.place())
        bench.now += TICK
    in_time = sum(
        record.state is JobState.COMPLETED and (record.ended or 0.0) <= record.late_by + TICK
        for _, record in records
    )
    room = 4 * 8 * (5.0 + 1.2)
    assert in_time >= 0.8 * min(len(records), room)


def test_the_end_of_a_peak_empties_whole_machines() -> None:
    """A peak has filled eight machines and falls to a twentieth while the next pool's peak begins.
    If what still arrives goes where most is free, all eight keep a task or two for seconds, none
    can change its pool, and the next pool's callers wait."""
    bench = Bench(*(facts(f"i-{number}") for number in range(8)))
    rng = random.Random(11)
    running: list[tuple[float, Run]] = []
    while bench.now < 104:
        peak = bench.now < 102
        if peak or rng.random() < 0.4:
            bench.admit(*(job(step()) for _ in range(3 if peak else 1)))
        for item in [item for item in running if item[0] <= bench.now]:
            running.remove(item)
            bench.end(item[1])
        running.extend((bench.now + rng.uniform(0.4, 1.6), run) for run in bench.place())
        bench.now += TICK
    executors = bench.shard.ledger.executors.values()
    assert sum(not executor.runs for executor in executors) >= 5


def test_tasks_that_last_come_first_and_keep_room_for_themselves() -> None:
    """A pool is full of short tasks when a lasting task has to start again. The next room that is
    large enough must be its own, or short tasks would take every gap."""
    bench = Bench(facts("i-0", cpu=2_000))
    shorts = [job(step(cpu=1_000)) for _ in range(6)]
    bench.admit(*shorts[:2])
    first = bench.place()
    lasting = job(step(cpu=2_000, long_running=True))
    bench.admit(lasting, *shorts[2:])
    bench.end(first[0])
    assert bench.place() == []
    bench.end(first[1])
    assert job_ids(bench.place()) == [lasting.job_id]


def test_a_change_of_owner_does_not_make_an_old_job_look_new() -> None:
    """A job has waited for two seconds when its owner is lost. Its new owner must know that it can
    no longer be in time, or it would take room from one that can."""
    item = replace(job(step()), accepted_at=1_000.0)
    record, _ = read_record(item, write_record(JobRecord(item, 0.0)), 50.0, 1_002.0)
    assert record.seen == 48.0
