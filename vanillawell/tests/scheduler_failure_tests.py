"""Test that jobs survive failures of entries, executors and the store, and that no task runs twice.

The stand-in executors record each concurrent second run of a task, each start after a confirmed end
and each overload; a test fails if they have recorded any.
"""

from __future__ import annotations

import anyio

from vanillawell.coordination.holder_watch import WATCH_TIMEOUT
from vanillawell.protocol.work_keys import WorkKeys
from vanillawell.tests.scheduler_cluster import Cluster, until, until_state, with_cluster
from vanillawell.tests.scheduler_documents import PREFIX, job, step


def running(built: Cluster) -> int:
    """Return the number of runs on all executors."""
    return sum(len(executor.running) for executor in built.executors)


@with_cluster(members=3)
async def test_running_tasks_survive_the_loss_of_their_owner(built: Cluster) -> None:
    """The owner of the shard is killed while tasks run. Running tasks continue, and waiting ones
    are started by another entry within 2.5 seconds."""
    owner = await built.owner()
    job_id, waiting = built.new_id(), built.new_id()
    await owner.call("POST", PREFIX + job_id, job(step(4), spec={"seconds": 2.5}))
    await until(lambda: running(built) == 4)
    await built.kill(owner)
    survivor = built.members[0]
    assert (await survivor.call("POST", PREFIX + waiting, job())).status == 200
    await until(lambda: f"{waiting}.0.0.0" in built.audit.started, 2.5)
    await until_state(survivor, job_id, "completed")
    assert [built.audit.started[f"{job_id}.0.0.{index}"] for index in range(4)] == [1] * 4


@with_cluster(members=2)
async def test_owner_that_cannot_reach_the_store_is_replaced(built: Cluster) -> None:
    """The store is unreachable for the owner only. Another entry takes over; the previous owner
    detects this at an executor or at the store, and starts no task a second time."""
    owner = await built.owner()
    job_id = built.new_id()
    other = next(member for member in built.members if member is not owner)
    await other.call("POST", PREFIX + job_id, job(step(2), spec={"seconds": 3}))
    await until(lambda: running(built) == 2)
    owner.store.cut = True
    await until(lambda: other.owns, 4)
    second = built.new_id()
    assert (await other.call("POST", PREFIX + second, job())).status == 200
    await until_state(other, second, "completed")
    owner.store.cut = False
    await until_state(other, job_id, "completed")
    await until(lambda: [member.owns for member in built.members].count(True) == 1)
    await built.kill(other)
    await until(lambda: owner.owns, 4)


@with_cluster(members=2)
async def test_owner_lost_while_the_store_delivers_no_changes_is_replaced(built: Cluster) -> None:
    """The owner is killed, and its lease expires while the store delivers no changes to watches.
    Another entry has to own the shard soon after the store delivers changes again, or all jobs
    would wait indefinitely."""
    owner = await built.owner()
    survivor = next(member for member in built.members if member is not owner)
    built.store.faults.withhold_changes = True
    await built.kill(owner)
    await until(lambda: WorkKeys().holder("all") not in built.store.items, 3)
    await anyio.sleep(2 * WATCH_TIMEOUT)
    built.store.faults.withhold_changes = False
    await until(lambda: survivor.owns, 2.5)


@with_cluster(members=2)
async def test_planned_stop_hands_the_shard_over_at_once(built: Cluster) -> None:
    """The owner is requested to stop. Another entry owns the shard well before the
    lease expires."""
    owner = await built.owner()
    other = next(member for member in built.members if member is not owner)
    await owner.node.hand_over()
    await until(lambda: other.owns, 0.8)
    job_id = built.new_id()
    await owner.call("POST", PREFIX + job_id, job())
    await until_state(other, job_id, "completed")


@with_cluster(members=3)
async def test_stopping_entry_does_not_take_the_shard(built: Cluster) -> None:
    """During a rolling restart the owner is lost while another entry is stopping. If that one took
    the shard, it would soon be without an owner again."""
    owner = await built.owner()
    stopping, other = (member for member in built.members if member is not owner)
    await stopping.node.hand_over()
    await built.kill(owner)
    await until(lambda: other.owns, 4)
    assert not stopping.owns


@with_cluster()
async def test_stored_job_is_not_refused_because_of_a_lost_answer(built: Cluster) -> None:
    """The store accepts a job and its answer is lost. The caller must not be told that the job was
    refused, or it would submit the work elsewhere while it runs here."""
    member, job_id = built.members[0], built.new_id()
    built.store.faults.write_filter = lambda body: "inbox/job" in body
    built.store.faults.lose_answers = 1
    reply = await member.call("POST", PREFIX + job_id, job(), wait_ms=4000)
    assert reply.status == 200
    await until_state(member, job_id, "completed")


@with_cluster()
async def test_unknown_acceptance_is_reported_as_unknown(built: Cluster) -> None:
    """The write of a job gets no answer until the caller's deadline, and takes effect later. The
    caller is told that the outcome is unknown, and its retry does not create a second job."""
    member, job_id = built.members[0], built.new_id()
    built.store.faults.write_filter = lambda body: "inbox/job" in body
    built.store.faults.late_writes = 1
    reply = await member.call("POST", PREFIX + job_id, job(), wait_ms=900)
    assert reply.status == 504
    await anyio.sleep(0.8)
    assert (await member.call("POST", PREFIX + job_id, job())).status == 200
    await until_state(member, job_id, "completed")
    assert sum(built.audit.started.values()) == 1


@with_cluster()
async def test_lost_answers_to_writes_of_the_owner_only_delay_jobs(built: Cluster) -> None:
    """Answers to the owner's writes are lost, and some writes take effect only after newer ones
    were tried. No job is lost and no task runs twice."""
    member = built.members[0]
    ids = [built.new_id() for _ in range(6)]
    built.store.faults.write_filter = lambda body: "vanillawell/record" in body
    for number, job_id in enumerate(ids):
        built.store.faults.lose_answers = number % 2
        built.store.faults.late_writes = (number + 1) % 2
        await member.call("POST", PREFIX + job_id, job(step(2), step(1, after=[0])))
        await anyio.sleep(0.1)
    for job_id in ids:
        await until_state(member, job_id, "completed", 20)
    assert set(built.audit.started.values()) == {1}


@with_cluster()
async def test_jobs_are_refused_as_not_run_while_the_store_is_unreachable(built: Cluster) -> None:
    """The store refuses all calls. Callers are told at once that their job was not accepted and
    when to retry; running tasks continue, and their job is shown as completed afterwards."""
    member, job_id, refused = built.members[0], built.new_id(), built.new_id()
    await member.call("POST", PREFIX + job_id, job(step(2), spec={"seconds": 1.0}))
    await until(lambda: running(built) == 2)
    built.store.faults.refuse = True
    reply = await member.call("POST", PREFIX + refused, job())
    assert reply.status == 503
    assert int(reply.headers["retry-after"]) >= 1
    await anyio.sleep(1.5)
    built.store.faults.refuse = False
    await until_state(member, job_id, "completed")
    assert await member.state(refused) == "status 410"
    assert set(built.audit.started.values()) == {1}


@with_cluster()
async def test_ends_are_confirmed_only_after_they_are_stored(built: Cluster) -> None:
    """A task ends while the store is unreachable, and the owner is killed before it can store this.
    The executor must still report the end to the next owner, or the task would run again."""
    owner = await built.owner()
    job_id = built.new_id()
    await owner.call("POST", PREFIX + job_id, job(spec={"seconds": 0.4}))
    await until(lambda: running(built) == 1)
    built.store.faults.refuse = True
    await until(lambda: running(built) == 0)
    await anyio.sleep(0.3)
    assert not built.audit.done
    await built.kill(owner)
    built.store.faults.refuse = False
    successor = built.add_member("entry-9")
    await built.owner()
    await until_state(successor, job_id, "completed")
    assert set(built.audit.started.values()) == {1}


@with_cluster(members=2)
async def test_compacted_history_loses_no_changes(built: Cluster) -> None:
    """The store compacts its history while entries watch it. They list again and miss no change."""
    member = built.members[0]
    ids = [built.new_id() for _ in range(4)]
    for job_id in ids:
        built.store.compact_history()
        await member.call("POST", PREFIX + job_id, job())
    for job_id in ids:
        await until_state(member, job_id, "completed")


@with_cluster()
async def test_store_that_delivers_no_changes_delays_no_job(built: Cluster) -> None:
    """The store delivers no changes to watches for some seconds. Jobs still start well before it
    delivers them again, and a job that is cancelled meanwhile is stopped."""
    member, first, second = built.members[0], built.new_id(), built.new_id()
    built.store.faults.withhold_changes = True
    await anyio.sleep(0.3)
    await member.call("POST", PREFIX + first, job())
    await until(lambda: bool(built.audit.started), 1.0)
    await member.call("POST", PREFIX + second, job(spec={"seconds": 30}))
    await member.call("DELETE", PREFIX + second)
    await until_state(member, second, "cancelled")
    await until(lambda: running(built) == 0)
    built.store.faults.withhold_changes = False


@with_cluster(members=2)
async def test_accepted_job_survives_the_loss_of_all_entries(built: Cluster) -> None:
    """All entries lose power right after a job was accepted. Entries started later complete it."""
    job_id = built.new_id()
    await built.members[0].call("POST", PREFIX + job_id, job(step(2)))
    for member in list(built.members):
        await built.kill(member)
    again = built.add_member("entry-0")
    await built.owner()
    await until_state(again, job_id, "completed")
    assert set(built.audit.started.values()) == {1}


@with_cluster(executors=3)
async def test_damaged_progress_of_a_wave_stops_no_job(built: Cluster) -> None:
    """The stored progress of a wave is damaged. The next owner must continue with all jobs; if it
    failed, so would each of its successors."""
    member, job_id = built.members[0], built.new_id()
    built.store.put("vanillawell/wave/1", "e30=")
    # One executor stays: in this cluster none comes back after an upkeep.
    built.request_wave(sorted(built.machines.machines)[:2], 20)
    await until(lambda: any(item.upkeeps for item in built.machines.machines.values()), 4)
    await member.call("POST", PREFIX + job_id, job())
    await until_state(member, job_id, "completed")
    assert member.owns
