"""Prove that what decides is not begun anew with each owner of a shard."""

from __future__ import annotations

from base64 import b64decode

import anyio
import orjson

from vanillawell.protocol.work_documents import WorkKeys, read_record, write_record
from vanillawell.state.ledger import InheritedLeaseBound
from vanillawell.state.shard import Shard
from vanillawell.state.work import Ending, JobState
from vanillawell.tests.scheduler_cluster import PREFIX, Cluster, until, with_cluster
from vanillawell.tests.scheduler_cluster import job as body_of_job
from vanillawell.tests.scheduler_cluster import step as step_in_body
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step
from vanillawell.tests.successive_owners_tests import (
    LONGEST_ABSENCE,
    kill,
    silence_an_executor,
    stop,
)

WAVE = 4.0
"""Seconds in which each machine of a wave is to have its upkeep."""


def succeed(harness: ShardHarness, *names: str, machine: str = "", life: int = 0) -> ShardHarness:
    """Return the shard of a new owner, with the same executors and what the store holds.

    The others lived on a `machine`, in a `life`, as far as the store tells.
    """
    after = ShardHarness(*(facts(name) for name in names))
    bound = InheritedLeaseBound(after.now + 9.0, after.now, machine, life)
    for record in harness.shard.job_table.jobs.values():
        read, runs = read_record(record.job, write_record(record), after.now, after.now)
        after.shard.restore(read, runs, lambda _: bound)
    assert isinstance(after.shard, Shard)
    return after


def test_a_task_is_not_tried_again_where_it_failed_after_a_change_of_owner() -> None:
    """An executor fails all that it starts. The owner is replaced before the next try, and the new
    one begins on the same executor until the job has failed, with a sound one beside it."""
    harness = ShardHarness(facts("i-1"), facts("i-2"))
    harness.admit(job())
    first = harness.place()[0]
    harness.end(first, Ending.FAILED)
    after = succeed(harness, "i-1", "i-2")
    again = after.place()[0]
    assert again.executor != first.executor


@with_cluster(members=2, executors=1)
async def test_the_time_of_a_wave_does_not_begin_anew_with_its_owner(built: Cluster) -> None:
    """A lasting task has no other place, so its machine is emptied only when the wave's time runs
    out. A planned stop of the owner in between must not make the wave late."""
    owner, job_id = await built.owner(), built.new_id()
    lasting = body_of_job(step_in_body(longRunning=True), spec={"seconds": 60})
    await owner.call("POST", PREFIX + job_id, lasting)
    await until(lambda: f"{job_id}.0.0.0" in built.audit.started)
    machine = next(iter(built.machines.machines.values()))
    wave = {"wave": 1, "machines": [machine.name], "durationS": WAVE, "maximum": 1}
    built.store.put_document("op/wave/1", wave)
    with anyio.fail_after(WAVE):
        await anyio.sleep(WAVE / 2)
        await stop(built, await built.owner())
        await until(lambda: machine.upkeeps == 1, WAVE)


def test_the_sole_owner_tries_elsewhere_what_has_failed() -> None:
    """Without a change of owner the second try goes to the sound executor."""
    harness = ShardHarness(facts("i-1"), facts("i-2"))
    harness.admit(job())
    first = harness.place()[0]
    harness.end(first, Ending.FAILED)
    assert harness.place()[0].executor != first.executor
    assert all(
        record.state is not JobState.FAILED for record in harness.shard.job_table.jobs.values()
    )


@with_cluster(members=2, executors=1)
async def test_a_sole_owner_keeps_the_time_of_a_wave(built: Cluster) -> None:
    """Without a change of owner the machine is emptied before the wave's time is over."""
    owner, job_id = await built.owner(), built.new_id()
    lasting = body_of_job(step_in_body(longRunning=True), spec={"seconds": 60})
    await owner.call("POST", PREFIX + job_id, lasting)
    await until(lambda: f"{job_id}.0.0.0" in built.audit.started)
    machine = next(iter(built.machines.machines.values()))
    wave = {"wave": 1, "machines": [machine.name], "durationS": WAVE, "maximum": 1}
    built.store.put_document("op/wave/1", wave)
    await until(lambda: machine.upkeeps == 1, WAVE)


@with_cluster(members=3, executors=3)
async def test_a_machine_that_is_down_is_not_waited_for_by_owners_in_series(built: Cluster) -> None:
    """A machine goes down, the owner is killed before it notices, and all others are stopped in
    turn. Each of them knows the executor for less time than the list of machines may be behind."""
    task = await silence_an_executor(built)
    name = next(
        host.executor.name for host in built.hosts.values() if host.executor.faults.unresponsive
    )
    machine = built.machines.machines[built.hosts[name].machine]
    machine.state, machine.executor = "down", ""
    built.hosts[name].executor.crash()
    async with anyio.create_task_group() as others:
        others.start_soon(stop_in_turn, built)
        await until(lambda: built.audit.started[task] == 2, LONGEST_ABSENCE)
        others.cancel_scope.cancel()


async def stop_in_turn(built: Cluster) -> None:
    """Kill the owner, then stop each of its successors as planned after a short term."""
    await kill(built, await built.owner())
    while True:
        await built.owner()
        await anyio.sleep(1.8)
        await stop(built, await built.owner())


def test_records_of_versions_that_did_not_store_where_tasks_failed_stay_readable() -> None:
    """Entries of two versions own a shard in turn during an update. A record that either of them
    could not read would take its job away from everybody."""
    harness = ShardHarness(facts("i-1"))
    item = job()
    harness.admit(item)
    harness.end(harness.place()[0], Ending.FAILED)
    document = orjson.loads(write_record(harness.shard.job_table.jobs[item.job_id]))
    (step,) = document["occurrences"]["0"]
    assert step["tasks"] == {"0": [1, 1, "", None]}
    assert step.pop("failed_on") == {"0": "i-1"}
    record, runs = read_record(item, orjson.dumps(document), harness.now, harness.now)
    (task,) = record.occurrences[0][0].tasks
    assert (task.number, task.failures, task.failed_on, runs) == (1, 1, "", [])


@with_cluster(members=1, executors=1)
async def test_the_time_of_a_wave_is_stored_at_first_sight_and_not_each_turn(
    built: Cluster,
) -> None:
    """A successor knows nothing of a wave's age that was not stored before its owner was killed;
    a store that is written each turn, though nothing changes, is load for nobody's good."""
    owner, job_id = await built.owner(), built.new_id()
    lasting = body_of_job(step_in_body(longRunning=True), spec={"seconds": 60})
    await owner.call("POST", PREFIX + job_id, lasting)
    await until(lambda: f"{job_id}.0.0.0" in built.audit.started)
    machine = next(iter(built.machines.machines.values()))
    wave = {"wave": 1, "machines": [machine.name], "durationS": 60.0, "maximum": 1}
    built.store.put_document("op/wave/1", wave)
    key = WorkKeys().wave(1)
    await until(lambda: key in built.store.items)
    first = built.store.items[key]
    assert orjson.loads(b64decode(first.value))["clocks"]
    await anyio.sleep(1.0)
    assert built.store.items[key].revision == first.revision


@with_cluster(members=2, executors=1)
async def test_the_time_of_a_wave_begins_while_nobody_owns_the_shard(built: Cluster) -> None:
    """A wave is asked for just after the owner was killed. The entry that takes over has known of
    it all the time; counted from its first turn as owner, the wave would be late."""
    owner, job_id = await built.owner(), built.new_id()
    lasting = body_of_job(step_in_body(longRunning=True), spec={"seconds": 60})
    await owner.call("POST", PREFIX + job_id, lasting)
    await until(lambda: f"{job_id}.0.0.0" in built.audit.started)
    machine = next(iter(built.machines.machines.values()))
    wave = {"wave": 1, "machines": [machine.name], "durationS": WAVE, "maximum": 1}
    with anyio.fail_after(WAVE):
        await built.kill(await built.owner())
        built.store.put_document("op/wave/1", wave)
        await until(lambda: machine.upkeeps == 1, WAVE)


async def _replace_a_silent_executor(built: Cluster, name: str) -> None:
    """Let another executor live on the machine of the silent one, while the list of machines shows
    none."""
    host = next(host for host in built.hosts.values() if host.executor.faults.unresponsive)
    host.executor.leave()
    built.machines.machines.clear()
    await built.add_executor(name, machine=host.machine, born=host.executor.born + 5_000)


@with_cluster(members=2, executors=2)
async def test_a_new_owner_knows_on_which_machine_an_executor_lived(built: Cluster) -> None:
    """An executor has left, its entry with it, and the owner is stopped. Another one registers on
    its machine, which proves that the former has ended; its successor must not wait for leases."""
    task = await silence_an_executor(built)
    await stop(built, await built.owner())
    await built.owner()
    await _replace_a_silent_executor(built, "i-after")
    await until(lambda: built.audit.started[task] == 2, 3.0)


@with_cluster(executors=2)
async def test_a_sole_owner_knows_on_which_machine_an_executor_lived(built: Cluster) -> None:
    """Without a change of owner the next executor on the machine ends the wait."""
    task = await silence_an_executor(built)
    await anyio.sleep(0.5)
    await _replace_a_silent_executor(built, "i-after")
    await until(lambda: built.audit.started[task] == 2, 3.0)


def _with_a_lasting_run() -> ShardHarness:
    harness = ShardHarness(facts("i-1", incarnation=5))
    harness.admit(job(step(long_running=True)))
    assert len(harness.place()) == 1
    return harness


def test_the_next_executor_on_the_machine_of_one_that_is_gone_ends_its_runs() -> None:
    after = succeed(_with_a_lasting_run(), machine="m-1", life=5)
    after.register(facts("i-2", incarnation=6, machine="m-1"))
    assert [run.executor for run in after.place()] == ["i-2"]


def test_an_executor_that_lived_on_the_machine_before_proves_nothing() -> None:
    """The executor started again on another machine, and a run that was decided before may have
    begun in the new life. The entry of the one that lived there earlier still stands; it registered
    after the former life and before the new one. Believed, the task would run twice."""
    after = succeed(_with_a_lasting_run(), machine="m-2", life=20)
    after.register(facts("i-2", incarnation=10, machine="m-2"))
    assert after.place() == []
    assert len(after.shard.ledger.executors["i-1"].runs) == 1


def test_a_run_of_a_life_that_began_later_is_not_on_the_machine_of_the_former() -> None:
    """What is stored of the machine is older than the run."""
    after = succeed(_with_a_lasting_run(), machine="m-1", life=4)
    after.register(facts("i-2", incarnation=6, machine="m-1"))
    assert after.place() == []
