"""Prove that the wait for a silent executor does not begin anew with each owner of its shard.

The users saw lasting tasks stay away for 11 to 17 seconds, with room for them, while all entries
were restarted one after the other. Their executors had left before. How long an executor that does
not answer may still hold leases was known to its owner alone; each new owner reckoned with the
longest time from its own start, and might be replaced before that was over. The logs proved it:
each of these tasks ran again 9.1 seconds after the last change of owner, whenever its executor had
left, once after a single change.
"""

from __future__ import annotations

import anyio

from vanillawell.tests.scheduler_cluster import (
    PREFIX,
    Cluster,
    Member,
    job,
    step,
    until,
    with_cluster,
)

LONGEST_ABSENCE = 9.0
"""Seconds after its last run in which a lasting task has to run again, as published."""


NOTICED = 2.6
"""Seconds within which an owner notices that an executor of lasting tasks answers nothing."""


async def silence_an_executor(built: Cluster) -> str:
    """Start a lasting task and let its executor fall silent for good; returns the task's name."""
    owner, job_id = await built.owner(), built.new_id()
    lasting = job(step(longRunning=True), spec={"seconds": 60})
    await owner.call("POST", PREFIX + job_id, lasting)
    task = f"{job_id}.0.0.0"
    await until(lambda: task in built.audit.started)
    host = next(host for host in built.hosts.values() if task in host.executor.running)
    host.executor.faults.unresponsive = True
    built.store.delete(f"servers/{host.executor.name}")
    return task


async def stop(built: Cluster, member: Member) -> None:
    """Stop an entry as planned, and start another one in its place."""
    await member.node.hand_over()
    await built.kill(member)
    built.add_member(f"{len(built.members)}-after")


async def kill(built: Cluster, member: Member) -> None:
    """End an entry without notice, and start another one in its place."""
    await built.kill(member)
    built.add_member(f"{len(built.members)}-after")


@with_cluster(members=3)
async def test_a_rolling_restart_does_not_prolong_the_wait_for_a_silent_executor(
    built: Cluster,
) -> None:
    """The owner is stopped every two seconds after an executor fell silent. Its lasting task runs
    again as soon as its lease is surely over."""
    task = await silence_an_executor(built)
    with anyio.fail_after(LONGEST_ABSENCE):
        for _ in range(3):
            await anyio.sleep(1.9)
            await stop(built, await built.owner())
        await until(lambda: built.audit.started[task] == 2, LONGEST_ABSENCE)


@with_cluster(members=2)
async def test_one_planned_stop_does_not_prolong_the_wait_for_a_silent_executor(
    built: Cluster,
) -> None:
    """The owner is stopped once, four seconds after an executor fell silent. Its successor knows
    that the lease is nearly over."""
    task = await silence_an_executor(built)
    with anyio.fail_after(LONGEST_ABSENCE):
        await anyio.sleep(4.0)
        await stop(built, await built.owner())
        await until(lambda: built.audit.started[task] == 2, LONGEST_ABSENCE)


@with_cluster(members=3)
async def test_owners_killed_in_series_do_not_prolong_the_wait_for_a_silent_executor(
    built: Cluster,
) -> None:
    """Owners are killed one after the other after an executor fell silent. What the first one knew
    of the executor's lease is known to all of them."""
    task = await silence_an_executor(built)
    with anyio.fail_after(LONGEST_ABSENCE):
        await anyio.sleep(NOTICED)
        for _ in range(2):
            await kill(built, await built.owner())
            await anyio.sleep(0.2)
        await until(lambda: built.audit.started[task] == 2, LONGEST_ABSENCE)


@with_cluster(members=3)
async def test_work_that_runs_outlives_owners_that_are_replaced_in_series(built: Cluster) -> None:
    """All entries are stopped or killed in turn while an executor works soundly. Whoever owns its
    shard goes on renewing its lease, and its task is never started again."""
    owner, job_id = await built.owner(), built.new_id()
    await owner.call("POST", PREFIX + job_id, job(step(longRunning=True), spec={"seconds": 60}))
    task = f"{job_id}.0.0.0"
    await until(lambda: task in built.audit.started)
    for end in (stop, kill, stop, kill):
        await anyio.sleep(1.5)
        await end(built, await built.owner())
    await built.owner()
    await anyio.sleep(5.5)
    assert built.audit.started[task] == 1
    assert any(task in executor.running for executor in built.executors)


@with_cluster(members=3, executors=3)
async def test_a_machine_that_is_down_is_not_waited_for_by_a_new_owner(built: Cluster) -> None:
    """A machine goes down and the owner is killed before it notices. The list of machines tells its
    successor that nothing runs there, so the lasting task runs again within the promised time."""
    task = await silence_an_executor(built)
    name = next(
        host.executor.name for host in built.hosts.values() if host.executor.faults.unresponsive
    )
    machine = built.machines.machines[built.hosts[name].machine]
    machine.state, machine.executor = "down", ""
    built.hosts[name].executor.crash()
    with anyio.fail_after(LONGEST_ABSENCE):
        await kill(built, await built.owner())
        await until(lambda: built.audit.started[task] == 2, LONGEST_ABSENCE)
