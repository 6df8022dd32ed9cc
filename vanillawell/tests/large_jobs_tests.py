"""Test that a job of any size is refused at once, or kept and run beside others."""

from __future__ import annotations

import anyio
import pytest

from vanillawell.coordination.cycle_batch import MAX_BATCH_ENTRIES, CycleBatch
from vanillawell.protocol.lease_bounds import ExecutorBound, LeaseBounds
from vanillawell.protocol.record_parts import MAX_PARTS, count_parts, join
from vanillawell.protocol.work_documents import read_record
from vanillawell.protocol.work_keys import WorkKeys
from vanillawell.state.contention.write_order import PostponedChanges
from vanillawell.state.job_size import MAX_OPEN_TASKS, exceeded_bound, max_open_occurrences
from vanillawell.state.progress import JobRecord
from vanillawell.tests.scheduler_cluster import Cluster, cluster, until_state, with_cluster
from vanillawell.tests.scheduler_documents import PREFIX, config
from vanillawell.tests.scheduler_documents import job as body_of_job
from vanillawell.tests.scheduler_documents import step as step_of_body
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

KEYS = WorkKeys()
SMALL_VALUE = 8_192
"""Bytes of the largest value of a store that keeps less than usual."""


async def _submit(built: Cluster, body: bytes, status: int = 200) -> str:
    job_id = built.new_id()
    reply = await built.members[0].call("POST", PREFIX + job_id, body)
    assert reply.status == status
    return job_id


# Guards against a job whose record outgrows a value of the store, so that nothing of anybody
# starts any more.
@with_cluster()
async def test_job_beyond_what_is_kept_is_refused_with_the_bound(built: Cluster) -> None:
    tiny = step_of_body(20_000, cpu=2)
    job_id = built.new_id()
    reply = await built.members[0].call("POST", PREFIX + job_id, body_of_job(tiny))
    assert reply.status == 400
    assert reply.document["detail"] == f"steps: 20000 tasks in all; at most {MAX_OPEN_TASKS}"
    assert "retry-after" not in reply.headers
    assert not any(job_id in key for key in built.store.items)
    small = await _submit(built, body_of_job(spec={"seconds": 0.1}))
    await until_state(built.members[0], small, "completed")


# Guards against a job that is refused as "come back later" although its document never fits.
def test_document_beyond_a_value_is_refused_for_good() -> None:
    async def run() -> None:
        async with cluster() as built:
            limits = {"maxBodyBytes": 4_000_000}
            built.store.put_document("op/config", config(version=2, limits=limits))
            await anyio.sleep(0.3)
            steps = [step_of_body(requiredLabel="x" * 2_000) for _ in range(900)]
            await _submit(built, body_of_job(*steps), 400)

    anyio.run(run)


# Guards against records that outgrow a value while their job runs: by many tasks, long ids of
# executors or long checkpoints. The owner repeated the refused write for ever.
def test_record_beyond_a_value_is_stored_in_parts_and_read_by_the_next_owner() -> None:
    async def run() -> None:
        async with cluster() as built:
            built.store.value_bytes = SMALL_VALUE
            owner = built.add_member("entry-small")
            await built.kill(built.members[0])
            await built.owner()
            large = await _submit(
                built, body_of_job(step_of_body(300, cpu=20), spec={"seconds": 4.0, "cpu": 20})
            )
            small = await _submit(built, body_of_job(spec={"seconds": 0.1}))
            await until_state(owner, small, "completed")
            assert await owner.state(large) == "running"
            assert KEYS.record(large) + "/1" in built.store.items
            successor = built.add_member("entry-next")
            await built.kill(owner)
            await until_state(successor, large, "completed", 20)
            assert built.audit.violations == []

    anyio.run(run)


def _batch(harness: ShardHarness, wall: float = 100.0, limit: int = SMALL_VALUE) -> CycleBatch:
    postponed = PostponedChanges()
    return CycleBatch.collect(harness.shard, KEYS, postponed, harness.now, wall, limit)


@pytest.mark.parametrize("checkpoint", ["", "c" * 30, "c" * 5_000])
def test_no_write_exceeds_a_value_or_a_transaction(checkpoint: str) -> None:
    harness = ShardHarness(facts("e" * 190, cpu=400_000))
    jobs = [job(step(count=count, cpu=100)) for count in (1, 150, 2, 400, 3)]
    harness.admit(*jobs)
    for item in jobs:
        harness.shard.outbox.accepted_requests[item.job_id] = {KEYS.new_job(item.job_id)}
    runs = harness.place()
    for run in runs:
        run.task.checkpoint = checkpoint
    values = {}
    for part in _batch(harness, limit=20_000).parts(()):
        assert part.entries <= MAX_BATCH_ENTRIES
        assert all(len(put.value) <= 20_000 for put in part.puts)
        values.update({put.key: put.value for put in part.puts})
    for item in jobs:
        key = KEYS.record(item.job_id)
        parts = count_parts(values[key])
        assert parts <= MAX_PARTS
        record, inherited = read_record(item, join(key, parts, values), 0.0, 0.0)
        assert len(inherited) == item.steps[0].count
        saved = {task.checkpoint for task in record.occurrences[0][0].tasks}
        assert saved in ({checkpoint}, {""})


# Guards against parts that stay in the store after their record has shrunk or was removed.
def test_parts_are_deleted_with_what_they_belong_to() -> None:
    harness = ShardHarness(facts("e", cpu=400_000))
    item = job(step(count=400, cpu=100))
    harness.admit(item)
    runs = harness.place()
    (part,) = _batch(harness).parts(())
    record = harness.shard.job_table.jobs[item.job_id]
    record.stored_parts = part.part_counts[item.job_id]
    assert record.stored_parts > 1
    key = KEYS.record(item.job_id)
    stale = {f"{key}/{number}" for number in range(record.stored_parts)}
    for run in runs:
        harness.end(run)
    (part,) = _batch(harness).parts(())
    assert part.part_counts[item.job_id] == 0
    assert stale <= set(part.deletes)
    deletes = {key for part in _batch(harness, 1_000_000.0).parts(()) for key in part.deletes}
    assert stale | {key} <= deletes


# Guards against a job whose overdue occurrences are all opened at once: a job of 10^12 took the
# memory of one entry after the other.
def test_overdue_occurrences_open_as_earlier_ones_end() -> None:
    harness = ShardHarness(facts("e", cpu=400_000))
    item = job(step(cpu=1), times=10**12, first_due=0.0, interval=0.001)
    harness.admit(item)
    record = harness.shard.job_table.jobs[item.job_id]
    opened = 0
    for _ in range(3):
        runs = harness.place()
        opened += len(runs)
        assert len(record.occurrences) == max_open_occurrences(item) == MAX_OPEN_TASKS
        assert harness.shard.job_table.next_due() is None
        for run in runs[:100]:
            harness.end(run)
    assert opened == MAX_OPEN_TASKS + 2 * 100


def test_occurrences_of_tasks_that_never_end_are_refused_beyond_the_bound() -> None:
    lasting = step(count=1_000, long_running=True)
    assert not exceeded_bound(job(lasting, times=4))
    assert exceeded_bound(job(lasting, times=5))
    assert not exceeded_bound(job(step(count=1_000), times=5))
    assert not JobRecord(job(), 0.0).stored_parts


# Guards against a document on all executors that outgrows a value in the largest fleet, so that
# its owner can store nothing any more.
def test_lease_bounds_of_the_largest_fleet_fit_into_one_value() -> None:
    bound = ExecutorBound(5.123456789012345, 86_400.123456789012, "m" * 64, 1_796_000_000_000)
    bounds = LeaseBounds(7, {f"{number:064}": bound for number in range(4_000)})
    assert len(bounds.to_bytes()) < 1_048_576
