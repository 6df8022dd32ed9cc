"""Test that the state on which decisions depend is kept across owners of a shard."""

from __future__ import annotations

from base64 import b64decode
from typing import TYPE_CHECKING

import anyio
import orjson

from vanillawell.protocol.work_documents import read_record, write_record
from vanillawell.protocol.work_keys import WorkKeys
from vanillawell.state.ledger import InheritedLeaseBound
from vanillawell.state.shard import Shard
from vanillawell.state.work import Ending, JobState
from vanillawell.tests.scheduler_cluster import Cluster, until, with_cluster
from vanillawell.tests.scheduler_documents import PREFIX
from vanillawell.tests.scheduler_documents import job as body_of_job
from vanillawell.tests.scheduler_documents import step as step_in_body
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step
from vanillawell.tests.successive_owners_tests import (
    LONGEST_ABSENCE,
    kill_and_replace,
    silence_an_executor,
    stop_and_replace,
)

if TYPE_CHECKING:
    from vanillawell.standins.scheduler.machines import StandInMachine

WAVE_DURATION = 4.0
"""Seconds within which each machine of a wave has to complete its upkeep."""


def make_new_owner(
    harness: ShardHarness, *names: str, machine: str = "", incarnation: int = 0
) -> ShardHarness:
    """Return the shard of a new owner that has loaded the stored records of `harness`.

    Args:
        harness: Shard of the previous owner.
        names: Executors that are registered with the new owner.
        machine: Stored machine of all other executors.
        incarnation: Stored incarnation of all other executors.
    """
    after = ShardHarness(*(facts(name) for name in names))
    bound = InheritedLeaseBound(after.now + 9.0, after.now, machine, incarnation)
    for record in harness.shard.job_table.jobs.values():
        read, runs = read_record(record.job, write_record(record), after.now, after.now)
        after.shard.restore(read, runs, lambda _: bound)
    assert isinstance(after.shard, Shard)
    return after


def test_task_is_not_retried_where_it_failed_after_a_change_of_owner() -> None:
    """An executor fails every task that it starts. The owner is replaced before the retry. If the
    new owner used the same executor, the job would fail although a healthy one is available."""
    harness = ShardHarness(facts("i-1"), facts("i-2"))
    harness.admit(job())
    first = harness.place()[0]
    harness.end(first, Ending.FAILED)
    after = make_new_owner(harness, "i-1", "i-2")
    again = after.place()[0]
    assert again.executor != first.executor


async def run_a_lasting_task(built: Cluster) -> StandInMachine:
    """Let a long-running task run on the only machine; return the machine."""
    owner, job_id = await built.owner(), built.new_id()
    long_running = body_of_job(step_in_body(longRunning=True), spec={"seconds": 60})
    await owner.call("POST", PREFIX + job_id, long_running)
    await until(lambda: f"{job_id}.0.0.0" in built.audit.started)
    return next(iter(built.machines.machines.values()))


@with_cluster(members=2, executors=1)
async def test_time_of_a_wave_is_kept_across_owners(built: Cluster) -> None:
    """A long-running task cannot run elsewhere, so its machine is emptied only when the wave's time
    runs out. A planned stop of the owner in between must not delay the wave."""
    machine = await run_a_lasting_task(built)
    built.request_wave([machine.name], WAVE_DURATION)
    with anyio.fail_after(WAVE_DURATION):
        await anyio.sleep(WAVE_DURATION / 2)
        await stop_and_replace(built, await built.owner())
        await until(lambda: machine.upkeeps == 1, WAVE_DURATION)


def test_sole_owner_retries_a_failed_task_elsewhere() -> None:
    """Without a change of owner the retry goes to the healthy executor."""
    harness = ShardHarness(facts("i-1"), facts("i-2"))
    harness.admit(job())
    first = harness.place()[0]
    harness.end(first, Ending.FAILED)
    assert harness.place()[0].executor != first.executor
    assert all(
        record.state is not JobState.FAILED for record in harness.shard.job_table.jobs.values()
    )


@with_cluster(members=2, executors=1)
async def test_sole_owner_completes_a_wave_in_time(built: Cluster) -> None:
    """Without a change of owner the machine is emptied before the wave's time runs out."""
    machine = await run_a_lasting_task(built)
    built.request_wave([machine.name], WAVE_DURATION)
    await until(lambda: machine.upkeeps == 1, WAVE_DURATION)


@with_cluster(members=3, executors=3)
async def test_successive_owners_do_not_wait_for_a_machine_that_is_down(built: Cluster) -> None:
    """A machine goes down, the owner is killed before it detects this, and all others are stopped
    in turn. Each tracks the executor for less time than the list of machines may be outdated."""
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
    """Kill the owner, then stop each later owner as planned after a short term."""
    await kill_and_replace(built, await built.owner())
    while True:
        await built.owner()
        await anyio.sleep(1.8)
        await stop_and_replace(built, await built.owner())


def test_records_without_the_executors_of_failed_tasks_stay_readable() -> None:
    """Entries of two versions own a shard in turn during an update. If either could not read a
    record, its job would be lost."""
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
async def test_age_of_a_wave_is_stored_once_and_not_in_each_cycle(
    built: Cluster,
) -> None:
    """A new owner knows the age of a wave only if it was stored before the previous owner was
    killed. A write in each scheduling cycle would load the store without any benefit."""
    owner, job_id = await built.owner(), built.new_id()
    long_running = body_of_job(step_in_body(longRunning=True), spec={"seconds": 60})
    await owner.call("POST", PREFIX + job_id, long_running)
    await until(lambda: f"{job_id}.0.0.0" in built.audit.started)
    machine = next(iter(built.machines.machines.values()))
    built.request_wave([machine.name], 60.0)
    key = WorkKeys().wave(1)
    await until(lambda: key in built.store.items)
    first = built.store.items[key]
    assert orjson.loads(b64decode(first.value))["clocks"]
    await anyio.sleep(1.0)
    assert built.store.items[key].revision == first.revision


@with_cluster(members=2, executors=1)
async def test_time_of_a_wave_begins_while_the_shard_has_no_owner(built: Cluster) -> None:
    """A wave is requested just after the owner was killed. The entry that takes over has seen the
    request before; if the time counted from its take-over, the wave would be late."""
    machine = await run_a_lasting_task(built)
    with anyio.fail_after(WAVE_DURATION):
        await built.kill(await built.owner())
        built.request_wave([machine.name], WAVE_DURATION)
        await until(lambda: machine.upkeeps == 1, WAVE_DURATION)


async def _replace_a_silent_executor(built: Cluster, name: str) -> None:
    """Start another executor on the machine of the silent one, and clear the list of machines."""
    host = next(host for host in built.hosts.values() if host.executor.faults.unresponsive)
    host.executor.leave()
    built.machines.machines.clear()
    await built.add_executor(name, machine=host.machine, born=host.executor.born + 5_000)


@with_cluster(members=2, executors=2)
async def test_new_owner_knows_the_machine_of_an_unregistered_executor(built: Cluster) -> None:
    """An executor has left, its registration is deleted, and the owner is stopped. Another executor
    registers on the same machine, which proves that the first one has terminated, so the new owner
    must not wait for its leases."""
    task = await silence_an_executor(built)
    await stop_and_replace(built, await built.owner())
    await built.owner()
    await _replace_a_silent_executor(built, "i-after")
    await until(lambda: built.audit.started[task] == 2, 3.0)


@with_cluster(executors=2)
async def test_sole_owner_knows_the_machine_of_an_unregistered_executor(built: Cluster) -> None:
    """Without a change of owner, the next executor on the machine ends the wait."""
    task = await silence_an_executor(built)
    await anyio.sleep(0.5)
    await _replace_a_silent_executor(built, "i-after")
    await until(lambda: built.audit.started[task] == 2, 3.0)


def _harness_with_long_running_run() -> ShardHarness:
    harness = ShardHarness(facts("i-1", incarnation=5))
    harness.admit(job(step(long_running=True)))
    assert len(harness.place()) == 1
    return harness


def test_next_executor_on_the_machine_of_a_terminated_one_ends_its_runs() -> None:
    after = make_new_owner(_harness_with_long_running_run(), machine="m-1", incarnation=5)
    after.register(facts("i-2", incarnation=6, machine="m-1"))
    assert [run.executor for run in after.place()] == ["i-2"]


def test_earlier_executor_on_the_machine_does_not_end_the_runs_of_a_later_one() -> None:
    """An executor restarted on another machine, and a run planned before may have started in the
    new incarnation. The registration of the executor that used that machine earlier still exists;
    it was made after the previous incarnation registered and before the new one did. If it counted
    as proof of termination, the task would run twice."""
    after = make_new_owner(_harness_with_long_running_run(), machine="m-2", incarnation=20)
    after.register(facts("i-2", incarnation=10, machine="m-2"))
    assert after.place() == []
    assert len(after.shard.ledger.executors["i-1"].runs) == 1


def test_stored_machine_of_an_earlier_incarnation_is_not_used_for_a_later_run() -> None:
    """The stored machine is older than the run."""
    after = make_new_owner(_harness_with_long_running_run(), machine="m-1", incarnation=4)
    after.register(facts("i-2", incarnation=6, machine="m-1"))
    assert after.place() == []
