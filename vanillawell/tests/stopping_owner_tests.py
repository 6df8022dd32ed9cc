"""Prove that a shard goes on while its owner can't hand it over at a planned stop."""

from __future__ import annotations

import anyio

from vanillawell.tests.scheduler_cluster import (
    PREFIX,
    Cluster,
    Member,
    job,
    until,
    with_cluster,
)

STOP = 4.1
"""Seconds between the request to stop and the end of the process."""

UNATTENDED = 3.0
"""Seconds without any start, where there is room, after which a job counts as lost."""


@with_cluster(members=2)
async def test_jobs_start_while_an_owner_that_stops_could_not_hand_over(built: Cluster) -> None:
    """The answer to the last word of an owner that stops is lost, so it keeps the shard until its
    process ends. Deciding nothing, it would let all jobs wait for that, and then for its lease."""
    owner, job_id = await built.owner(), built.new_id()
    other = next(member for member in built.members if member is not owner)
    built.store.faults.only = lambda body: "leases/all" in body
    built.store.faults.lose_answers = 1
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_end_process, built, owner)
        await owner.node.hand_over()
        assert built.store.faults.lose_answers == 0
        assert (await other.call("POST", PREFIX + job_id, job())).status == 200
        await until(lambda: f"{job_id}.0.0.0" in built.audit.started, UNATTENDED)


async def _end_process(built: Cluster, owner: Member) -> None:
    await anyio.sleep(STOP)
    await built.kill(owner)
