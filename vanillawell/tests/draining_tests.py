"""Test that long-running tasks are moved off executors that announce their shutdown.

The stand-in executors record every second run of a task, every start after a confirmed end, and
every overload. Each test on a cluster fails if they recorded any.
"""

from __future__ import annotations

import anyio

from vanillawell.tests.scheduler_cluster import Cluster, until, until_state, with_cluster
from vanillawell.tests.scheduler_documents import PREFIX, job, step

SHUTDOWN_NOTICE = 3.0
"""Seconds of a normal notice: the time for which executors continue, with a margin."""

SHORT_NOTICE = 0.9
"""Seconds of a notice that is too short to move tasks one after the other."""


async def _start_long_running(built: Cluster, **fields: object) -> None:
    """Submit a long-running job and wait until all its tasks run."""
    long_running = step(2, longRunning=True, **fields)
    await built.members[0].call(
        "POST", PREFIX + built.new_id(), job(long_running, spec={"seconds": 99})
    )
    await until(lambda: sum(len(executor.running) for executor in built.executors) == 2)


async def _wait_until_contacted(built: Cluster, name: str) -> None:
    """Wait until the owner has contacted an executor, so that tasks can be placed there."""
    await until(lambda: built.hosts[name].executor.hold_calls > 0)


@with_cluster(executors=1)
async def test_long_running_tasks_start_elsewhere_before_their_executor_ends(
    built: Cluster,
) -> None:
    """An executor announces its shutdown and ends seconds later without responding. Tasks left on
    it would wait until its lease has certainly expired. Moved in time, they are away only briefly,
    and no more of them at once than their step allows."""
    await _start_long_running(built, maxUnavailable=1)
    await built.add_executor("i-1")
    await _wait_until_contacted(built, "i-1")
    draining, other = built.hosts["i-0"].executor, built.hosts["i-1"].executor
    built.drain("i-0", SHUTDOWN_NOTICE)
    fewest = 2
    with anyio.fail_after(SHUTDOWN_NOTICE - 0.5):
        while len(other.running) < 2:
            fewest = min(fewest, len(draining.running | other.running))
            await anyio.sleep(0.002)
    assert fewest == 1
    built.leave("i-0")


@with_cluster(executors=1)
async def test_lasting_tasks_leave_in_time_on_short_notice(built: Cluster) -> None:
    """An executor ends within a second. Tasks that would be lost with it are stopped together,
    beyond the number that may be away at once, and start elsewhere before the executor has
    ended."""
    await _start_long_running(built, maxUnavailable=1)
    await built.add_executor("i-1")
    await _wait_until_contacted(built, "i-1")
    built.drain("i-0", SHORT_NOTICE)
    await until(lambda: len(built.hosts["i-1"].executor.running) == 2, SHORT_NOTICE)
    built.leave("i-0")


@with_cluster(executors=1)
async def test_a_task_that_cannot_be_placed_elsewhere_is_stopped_in_time(built: Cluster) -> None:
    """No other executor can take the tasks. They keep running while time remains and are stopped
    before their executor ends, so that they can start without waiting for a lease as soon as there
    is free capacity."""
    await _start_long_running(built)
    draining = built.hosts["i-0"].executor
    leaves_at = anyio.current_time() + 2.0
    built.drain("i-0", 2.0)
    await anyio.sleep(0.9)
    assert len(draining.running) == 2
    await until(lambda: not draining.running, 1.1)
    await anyio.sleep_until(leaves_at)
    built.leave("i-0")
    await built.add_executor("i-1")
    await until(lambda: len(built.hosts["i-1"].executor.running) == 2, 1.0)


@with_cluster(executors=1)
async def test_a_task_that_saves_progress_continues_elsewhere_if_time_is_too_short(
    built: Cluster,
) -> None:
    """A task needs seconds more than its executor has. Lost with it, the task would wait until its
    lease has certainly expired; stopped in time, it continues elsewhere from its checkpoint."""
    member, job_id = built.members[0], built.new_id()
    saving = job(step(1, savesProgress=True), spec={"seconds": 4.0, "saves": True})
    await member.call("POST", PREFIX + job_id, saving)
    draining = built.hosts["i-0"].executor
    await until(lambda: bool(draining.running))
    await built.add_executor("i-1")
    await _wait_until_contacted(built, "i-1")
    await anyio.sleep(0.5)
    built.drain("i-0", 1.5)
    await until(lambda: bool(built.hosts["i-1"].executor.running), 1.5)
    built.leave("i-0")
    assert int(built.audit.resumed_from[f"{job_id}.0.0.0"]) > 0
    await until_state(member, job_id, "completed", 4.0)


@with_cluster(members=3, executors=1)
async def test_new_owners_continue_to_drain_an_executor(built: Cluster) -> None:
    """Entries are stopped one after the other, the owner first, right after an executor announced
    its shutdown. Each new owner continues from the state that it observes."""
    await _start_long_running(built, maxUnavailable=1)
    await built.add_executor("i-1")
    await _wait_until_contacted(built, "i-1")
    built.drain("i-0", SHUTDOWN_NOTICE)
    for _ in range(2):
        owner = await built.owner()
        await owner.node.hand_over()
        await built.kill(owner)
        await anyio.sleep(0.1)
    await until(lambda: len(built.hosts["i-1"].executor.running) == 2, SHUTDOWN_NOTICE - 0.5)
    built.leave("i-0")


@with_cluster(executors=1)
async def test_tasks_stay_on_a_draining_executor_while_the_store_is_down(
    built: Cluster,
) -> None:
    """The store is down while an executor drains. Nothing can be started elsewhere until it is
    back, so tasks with time left keep running; then all are moved."""
    await _start_long_running(built)
    await built.add_executor("i-1")
    await _wait_until_contacted(built, "i-1")
    draining, other = built.hosts["i-0"].executor, built.hosts["i-1"].executor
    built.store.faults.refuse = True
    await anyio.sleep(1.3)
    built.drain("i-0", SHUTDOWN_NOTICE)
    await anyio.sleep(0.4)
    assert len(draining.running) == 2
    built.store.faults.refuse = False
    await until(lambda: len(other.running) == 2, SHUTDOWN_NOTICE)
    built.leave("i-0")


@with_cluster(executors=1)
async def test_stop_orders_do_not_wait_for_a_slow_scheduling_cycle(built: Cluster) -> None:
    """An owner with a slow link takes seconds to store a scheduling cycle when an executor
    announces its shutdown. Stop orders do not depend on that write; sent after it, they would be
    too late."""
    await _start_long_running(built)
    await built.add_executor("i-1")
    await _wait_until_contacted(built, "i-1")
    owner, draining = await built.owner(), built.hosts["i-0"].executor
    owner.store.answer_time = 2.5
    async with anyio.create_task_group() as callers:
        callers.start_soon(owner.call, "POST", PREFIX + built.new_id(), job())
        await anyio.sleep(0.3)
        built.drain("i-0", 1.5)
        await until(lambda: not draining.running, 1.5)
        callers.cancel_scope.cancel()
