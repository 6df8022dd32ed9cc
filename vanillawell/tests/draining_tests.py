"""Prove that lasting tasks are moved off executors that say in time that they leave.

The stand-in executors note every second run of a task, every start after a confirmed end, and every
overload; each test on a cluster fails if they noted any.
"""

from __future__ import annotations

import anyio

from vanillawell.tests.scheduler_cluster import (
    PREFIX,
    Cluster,
    job,
    step,
    until,
    until_state,
    with_cluster,
)

NOTICE = 3.0
"""Seconds of an ordinary notice: the time for which executors go on, and a little more."""

SHORT_NOTICE = 0.9
"""Seconds of a notice in which tasks can't be moved one after the other."""


async def _lasting(built: Cluster, **fields: object) -> None:
    """Hand in a lasting job and wait until all its tasks run."""
    lasting = step(2, longRunning=True, **fields)
    await built.members[0].call("POST", PREFIX + built.new_id(), job(lasting, spec={"seconds": 99}))
    await until(lambda: sum(len(executor.running) for executor in built.executors) == 2)


async def _known(built: Cluster, name: str) -> None:
    """Wait until the owner has reached an executor, so that tasks can be placed there."""
    await until(lambda: built.hosts[name].executor.hold_calls > 0)


@with_cluster(executors=1)
async def test_lasting_tasks_work_elsewhere_before_their_executor_leaves(built: Cluster) -> None:
    """An executor says that it leaves, and does so seconds later without an answer. Its tasks were
    left to end with it, and then waited until its lease was surely over. Moved in time they are
    away for moments, and no more of them at once than their step allows."""
    await _lasting(built, maxUnavailable=1)
    await built.add_executor("i-1")
    await _known(built, "i-1")
    leaving, other = built.hosts["i-0"].executor, built.hosts["i-1"].executor
    built.drain("i-0", NOTICE)
    fewest = 2
    with anyio.fail_after(NOTICE - 0.5):
        while len(other.running) < 2:
            fewest = min(fewest, len(leaving.running | other.running))
            await anyio.sleep(0.002)
    assert fewest == 1
    built.leave("i-0")


@with_cluster(executors=1)
async def test_lasting_tasks_leave_in_time_on_short_notice(built: Cluster) -> None:
    """An executor leaves within a second. Tasks that would be lost with it anyway are stopped
    together, beyond what may be away at once, and begin elsewhere before it is gone."""
    await _lasting(built, maxUnavailable=1)
    await built.add_executor("i-1")
    await _known(built, "i-1")
    built.drain("i-0", SHORT_NOTICE)
    await until(lambda: len(built.hosts["i-1"].executor.running) == 2, SHORT_NOTICE)
    built.leave("i-0")


@with_cluster(executors=1)
async def test_a_task_without_a_place_works_on_and_is_not_lost(built: Cluster) -> None:
    """No other executor has a place. The tasks work on while time remains, and are stopped before
    their executor leaves: as soon as there is room they can begin, without a wait for a lease."""
    await _lasting(built)
    leaving = built.hosts["i-0"].executor
    built.drain("i-0", 2.0)
    await anyio.sleep(0.9)
    assert len(leaving.running) == 2
    await until(lambda: not leaving.running, 1.1)
    built.leave("i-0")
    await built.add_executor("i-1")
    await until(lambda: len(built.hosts["i-1"].executor.running) == 2, 1.0)


@with_cluster(executors=1)
async def test_a_task_that_saves_progress_goes_on_elsewhere_if_time_is_too_short(
    built: Cluster,
) -> None:
    """A task needs seconds more than its executor has. Lost with it, it would wait until its lease
    is surely over; stopped in time it goes on elsewhere from its checkpoint."""
    member, job_id = built.members[0], built.new_id()
    saving = job(step(1, savesProgress=True), spec={"seconds": 4.0, "saves": True})
    await member.call("POST", PREFIX + job_id, saving)
    leaving = built.hosts["i-0"].executor
    await until(lambda: bool(leaving.running))
    await built.add_executor("i-1")
    await _known(built, "i-1")
    await anyio.sleep(0.5)
    built.drain("i-0", 1.5)
    await until(lambda: bool(built.hosts["i-1"].executor.running), 1.5)
    built.leave("i-0")
    assert int(built.audit.resumed_from[f"{job_id}.0.0.0"]) > 0
    await until_state(member, job_id, "completed", 4.0)


@with_cluster(members=3, executors=1)
async def test_new_owners_go_on_emptying_an_executor(built: Cluster) -> None:
    """Entries are stopped in turn, the owner first, right after an executor said that it leaves.
    Whoever owns the shard next goes on from what it sees."""
    await _lasting(built, maxUnavailable=1)
    await built.add_executor("i-1")
    await _known(built, "i-1")
    built.drain("i-0", NOTICE)
    for _ in range(2):
        owner = await built.owner()
        await owner.node.hand_over()
        await built.kill(owner)
        await anyio.sleep(0.1)
    await until(lambda: len(built.hosts["i-1"].executor.running) == 2, NOTICE - 0.5)
    built.leave("i-0")


@with_cluster(executors=1)
async def test_tasks_stay_on_an_executor_that_says_it_leaves_while_the_store_is_away(
    built: Cluster,
) -> None:
    """The store goes away while an executor drains. Nothing can be started elsewhere until it is
    back, so what has time left goes on; then all is moved."""
    await _lasting(built)
    await built.add_executor("i-1")
    await _known(built, "i-1")
    leaving, other = built.hosts["i-0"].executor, built.hosts["i-1"].executor
    built.store.faults.refuse = True
    await anyio.sleep(1.3)
    built.drain("i-0", NOTICE)
    await anyio.sleep(0.4)
    assert len(leaving.running) == 2
    built.store.faults.refuse = False
    await until(lambda: len(other.running) == 2, NOTICE)
    built.leave("i-0")


@with_cluster(executors=1)
async def test_stops_do_not_wait_for_a_slow_turn(built: Cluster) -> None:
    """An owner with a narrow link is storing a turn, for seconds, when an executor says that it
    leaves. Orders to stop need nothing of that; sent after it, they find the executor gone."""
    await _lasting(built)
    await built.add_executor("i-1")
    await _known(built, "i-1")
    owner, leaving = await built.owner(), built.hosts["i-0"].executor
    owner.store.answer_time = 2.5
    async with anyio.create_task_group() as callers:
        callers.start_soon(owner.call, "POST", PREFIX + built.new_id(), job())
        await anyio.sleep(0.3)
        built.drain("i-0", 1.5)
        await until(lambda: not leaving.running, 1.5)
        callers.cancel_scope.cancel()
