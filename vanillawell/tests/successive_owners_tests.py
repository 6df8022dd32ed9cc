"""Test that the wait for an unresponsive executor does not start again with each owner of the
shard.

The failure: during a rolling restart, long-running tasks whose executors had left were away for 11
to 17 seconds although there was free capacity. Only the owner knew how long an unresponsive
executor might still hold leases; each new owner assumed the longest lease from its own start, and
was replaced before that had expired. Each of these tasks ran again 9.1 seconds after the last
change of owner, regardless of when its executor had left; once after a single change.
"""

from __future__ import annotations

import anyio

from vanillawell.tests.scheduler_cluster import Cluster, Member, until, with_cluster
from vanillawell.tests.scheduler_documents import PREFIX, job, step

LONGEST_ABSENCE = 9.0
"""Seconds after the end of its last run within which a long-running task has to run again, as
published."""


DETECTION_TIME = 2.6
"""Seconds within which an owner detects that an executor of long-running tasks is unresponsive."""


async def silence_an_executor(built: Cluster) -> str:
    """Start a long-running task, make its executor unresponsive for good and return the task."""
    owner, job_id = await built.owner(), built.new_id()
    long_running = job(step(longRunning=True), spec={"seconds": 60})
    await owner.call("POST", PREFIX + job_id, long_running)
    task = f"{job_id}.0.0.0"
    await until(lambda: task in built.audit.started)
    host = next(host for host in built.hosts.values() if task in host.executor.running)
    host.executor.faults.unresponsive = True
    built.store.delete(f"servers/{host.executor.name}")
    return task


async def stop_and_replace(built: Cluster, member: Member) -> None:
    """Stop an entry as planned and start another one."""
    await member.node.hand_over()
    await built.kill(member)
    built.add_member(f"{len(built.members)}-after")


async def kill_and_replace(built: Cluster, member: Member) -> None:
    """Kill an entry without notice and start another one."""
    await built.kill(member)
    built.add_member(f"{len(built.members)}-after")


@with_cluster(members=3)
async def test_rolling_restart_does_not_extend_the_wait_for_an_unresponsive_executor(
    built: Cluster,
) -> None:
    """The owner is stopped every two seconds after an executor became unresponsive. Its
    long-running task has to run again as soon as its lease has certainly expired."""
    task = await silence_an_executor(built)
    with anyio.fail_after(LONGEST_ABSENCE):
        for _ in range(3):
            await anyio.sleep(1.9)
            await stop_and_replace(built, await built.owner())
        await until(lambda: built.audit.started[task] == 2, LONGEST_ABSENCE)


@with_cluster(members=2)
async def test_planned_stop_does_not_extend_the_wait_for_an_unresponsive_executor(
    built: Cluster,
) -> None:
    """The owner is stopped once, four seconds after an executor became unresponsive. The next owner
    has to know that the lease has nearly expired."""
    task = await silence_an_executor(built)
    with anyio.fail_after(LONGEST_ABSENCE):
        await anyio.sleep(4.0)
        await stop_and_replace(built, await built.owner())
        await until(lambda: built.audit.started[task] == 2, LONGEST_ABSENCE)


@with_cluster(members=3)
async def test_killed_owners_do_not_extend_the_wait_for_an_unresponsive_executor(
    built: Cluster,
) -> None:
    """Several owners are killed in succession after an executor became unresponsive. All of them
    have to know what the first one knew of the executor's lease."""
    task = await silence_an_executor(built)
    with anyio.fail_after(LONGEST_ABSENCE):
        await anyio.sleep(DETECTION_TIME)
        for _ in range(2):
            await kill_and_replace(built, await built.owner())
            await anyio.sleep(0.2)
        await until(lambda: built.audit.started[task] == 2, LONGEST_ABSENCE)


@with_cluster(members=3)
async def test_running_task_survives_successive_changes_of_owner(built: Cluster) -> None:
    """All entries are stopped or killed in turn while an executor is healthy. Each owner has to
    renew its lease, and its task must not be restarted."""
    owner, job_id = await built.owner(), built.new_id()
    await owner.call("POST", PREFIX + job_id, job(step(longRunning=True), spec={"seconds": 60}))
    task = f"{job_id}.0.0.0"
    await until(lambda: task in built.audit.started)
    for end in (stop_and_replace, kill_and_replace, stop_and_replace, kill_and_replace):
        await anyio.sleep(1.5)
        await end(built, await built.owner())
    await built.owner()
    await anyio.sleep(5.5)
    assert built.audit.started[task] == 1
    assert any(task in executor.running for executor in built.executors)


@with_cluster(members=3, executors=3)
async def test_new_owner_does_not_wait_for_a_machine_that_is_down(built: Cluster) -> None:
    """A machine goes down and the owner is killed before it detects this. The list of machines
    shows the new owner that nothing runs there, so the long-running task runs again within the
    published time."""
    task = await silence_an_executor(built)
    name = next(
        host.executor.name for host in built.hosts.values() if host.executor.faults.unresponsive
    )
    machine = built.machines.machines[built.hosts[name].machine]
    machine.state, machine.executor = "down", ""
    built.hosts[name].executor.crash()
    with anyio.fail_after(LONGEST_ABSENCE):
        await kill_and_replace(built, await built.owner())
        await until(lambda: built.audit.started[task] == 2, LONGEST_ABSENCE)
