"""Test crashes of executors that start again under their ids while they are busy."""

from __future__ import annotations

import anyio

from vanillawell.tests.executor_hosts import Connections, Crash
from vanillawell.tests.scheduler_cluster import Cluster, until_state, with_cluster
from vanillawell.tests.scheduler_documents import PREFIX, job, step

BUSY_TIME = 0.8
"""Seconds of work before the crash."""

JOBS = 24
MANY_TASKS = 10
"""Tasks of one job, of one core and 0.2 s each, that keep two executors full."""

FEW_TASKS = 2
"""Tasks of one job that leave most of one executor free, so that orders seldom wait."""

SUBMIT_INTERVAL = 0.1
"""Seconds between two jobs."""


async def play(built: Cluster, crash: Crash, width: int) -> None:
    """Crash an executor while jobs of `width` tasks arrive, and wait until all have completed."""
    owner = await built.owner()
    job_ids = [built.new_id() for _ in range(JOBS)]

    async def submit() -> None:
        for job_id in job_ids:
            await owner.call("POST", PREFIX + job_id, job(step(width)))
            await anyio.sleep(SUBMIT_INTERVAL)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(submit)
        await anyio.sleep(BUSY_TIME)
        await built.crash("i-0", crash)
    for job_id in job_ids:
        await until_state(owner, job_id, "completed", 15.0)


# Guards against filling a smaller incarnation with orders that are sent together, after a restart
# that nobody has noticed since no call was waiting.
@with_cluster(executors=1)
async def test_orders_sent_together_do_not_overfill_an_incarnation_that_is_not_noticed(
    built: Cluster,
) -> None:
    owner = await built.owner()
    for width in (1, MANY_TASKS):
        job_id = built.new_id()
        await owner.call("POST", PREFIX + job_id, job(step(width)))
        await until_state(owner, job_id, "completed")
    async with anyio.create_task_group() as tasks:
        crash = Crash(Connections.RELAYED, registered_after=1.0, cpu=1_000)
        tasks.start_soon(built.crash, "i-0", crash)
        await anyio.sleep(BUSY_TIME / 2)
        job_id = built.new_id()
        await owner.call("POST", PREFIX + job_id, job(step(MANY_TASKS)))
    await until_state(owner, job_id, "completed", 15.0)


# Guards against filling a smaller incarnation, which registers late, as if it were its predecessor.
@with_cluster()
async def test_incarnation_of_a_smaller_kind_is_not_overfilled(built: Cluster) -> None:
    await play(built, Crash(down_for=0.05, registered_after=2.5, cpu=2_000), MANY_TASKS)


# Guards against confirming ends by the former incarnation's numbers, which makes the next one
# forget its own.
@with_cluster(executors=1)
async def test_tasks_that_end_before_a_restart_is_noticed_do_not_start_again(
    built: Cluster,
) -> None:
    await play(built, Crash(Connections.RELAYED, registered_after=2.5), FEW_TASKS)
