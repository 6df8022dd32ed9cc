"""Test which changes a scheduling cycle stores first while the store is slow."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from vanillawell.coordination.cycle_batch import MAX_BATCH_ENTRIES, CycleBatch
from vanillawell.protocol.work_keys import WorkKeys
from vanillawell.state.contention.write_order import MAX_POSTPONEMENT, PostponedChanges
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

if TYPE_CHECKING:
    from vanillawell.coordination.cycle_batch import CycleTransaction
    from vanillawell.state.work import Job

KEYS = WorkKeys()
WALL = 100.0
VALUE_LIMIT = 1_048_576


def crowded(waiting: int) -> tuple[ShardHarness, list[Job]]:
    """Return a pool with room for the last job only, and many that find none."""
    harness = ShardHarness(facts("e1", cpu=1_000))
    jobs = [job(step(cpu=2_000)) for _ in range(waiting)] + [job(step(cpu=1_000))]
    harness.admit(*jobs)
    for item in jobs:
        key = KEYS.new_job(item.job_id)
        harness.shard.outbox.accepted_requests[item.job_id] = {key}
    harness.shard.place(harness.now, harness.now)
    return harness, jobs


def collect(harness: ShardHarness, postponed: PostponedChanges) -> CycleBatch:
    return CycleBatch.collect(harness.shard, KEYS, postponed, harness.now, WALL, VALUE_LIMIT)


def jobs_of(parts: list[CycleTransaction]) -> list[str]:
    return [job_id for part in parts for job_id in part.jobs]


def test_starts_are_stored_before_jobs_that_find_no_room() -> None:
    """A hundred jobs arrive in one cycle of a slow store and one of them can start. Stored in the
    order of their arrival, its start would wait for eight transactions."""
    harness, jobs = crowded(100)
    parts = list(collect(harness, PostponedChanges()).parts(()))
    assert parts[0].is_urgent
    assert parts[0].jobs[0] == jobs[-1].job_id
    assert [run.task.task_id.job_id for run in parts[0].planned] == [jobs[-1].job_id]
    assert not any(part.is_urgent for part in parts[1:])
    assert sorted(jobs_of(parts)) == sorted(item.job_id for item in jobs)
    assert all(len(part.puts) + len(part.deletes) <= MAX_BATCH_ENTRIES for part in parts)


def test_all_documents_of_a_job_are_deleted_at_the_end_of_its_retention() -> None:
    """A key that is left behind for each job fills the store over months."""
    harness = ShardHarness()
    harness.admit(job())
    (record,) = harness.shard.job_table.jobs.values()
    job_id = record.job.job_id
    harness.shard.cancel(job_id, 0.0)
    batch = CycleBatch.collect(
        harness.shard, KEYS, PostponedChanges(), harness.now, 1_000_000.0, VALUE_LIMIT
    )
    keys = {KEYS.submitted_job(job_id), KEYS.job_rules(job_id), KEYS.record(job_id)}
    assert {key for part in batch.parts(()) for key in part.deletes} == keys


def test_postponed_changes_keep_their_inbox_keys_and_are_stored_later() -> None:
    """A cycle breaks off before the last jobs are stored. If their keys left the inbox or their
    changes were dropped, a next owner would not know these jobs."""
    harness, jobs = crowded(100)
    postponed = PostponedChanges()
    batch = collect(harness, postponed)
    first = next(batch.parts(()))
    left = batch.postpone([first], harness.shard)
    postponed.update(left, harness.now)
    assert len(left) == len(jobs) - len(first.jobs)
    again = list(collect(harness, postponed).parts(()))
    assert sorted(jobs_of(again)) == sorted(left)
    assert {key for part in again for key in part.deletes} == {KEYS.new_job(item) for item in left}


def test_an_end_is_confirmed_only_with_the_record_of_its_job() -> None:
    """The end of one task of a wide step is postponed. If it was confirmed to its executor before
    its record is stored, a next owner would start the task again."""
    harness = ShardHarness(facts("e1"))
    harness.admit(job(step(count=2)))
    runs = harness.place()
    collect(harness, PostponedChanges())
    harness.end(runs[0])
    batch = collect(harness, PostponedChanges())
    assert not batch.order.urgent
    left = batch.postpone([], harness.shard)
    assert left == [runs[0].task.task_id.job_id]
    (part,) = collect(harness, PostponedChanges()).parts(())
    assert [end.job_id for end in part.ends] == left


def test_the_last_task_of_a_job_is_urgent() -> None:
    """Its caller asks for the state of the job and waits for `completed`."""
    harness = ShardHarness(facts("e1"))
    harness.admit(job(step()))
    (run,) = harness.place()
    collect(harness, PostponedChanges())
    harness.end(run)
    assert collect(harness, PostponedChanges()).order.urgent == [run.task.task_id.job_id]


@given(
    st.lists(st.sampled_from("abcdefgh"), unique=True),
    st.sets(st.sampled_from("abcdefgh")),
    st.floats(0, 3),
)
def test_every_change_is_stored_once_and_in_bounded_time(
    changed: list[str], starting: set[str], waited: float
) -> None:
    postponed = PostponedChanges()
    postponed.update("abcd", 10.0)
    order = postponed.order(changed, starting, set(), 10.0 + waited)
    assert sorted(order.urgent + order.rest) == sorted(changed)
    assert starting.intersection(changed) <= set(order.urgent)
    if waited >= MAX_POSTPONEMENT:
        assert not set("abcd").intersection(order.rest)
