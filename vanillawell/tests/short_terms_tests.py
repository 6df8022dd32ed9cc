"""Prove that what is known of leases outlives owners whose terms end as they begin."""

from __future__ import annotations

import anyio

from vanillawell.node import SHARD
from vanillawell.protocol.work_documents import WorkKeys
from vanillawell.tests.scheduler_cluster import Cluster, until, with_cluster
from vanillawell.tests.successive_owners_tests import (
    LONGEST_ABSENCE,
    kill,
    silence_an_executor,
    stop,
)

UNNOTICED = 1.0
"""Seconds for which an owner has not noticed yet that an executor of lasting tasks is silent."""


@with_cluster(members=3)
async def test_an_entry_that_is_stopped_as_it_takes_the_shard_passes_on_what_it_found(
    built: Cluster,
) -> None:
    """The owner is stopped, and its successor, too, before the answer has come that it has the
    shard. Nobody ends its lease, and the bounds that the owner left for its successor are gone."""
    task = await silence_an_executor(built)
    with anyio.fail_after(LONGEST_ABSENCE):
        await anyio.sleep(UNNOTICED)
        owner = await built.owner()
        taker, other = [member for member in built.members if member is not owner]
        other.store.cut, taker.store.answer_time = True, 0.1
        await owner.node.hand_over()
        await built.kill(owner)
        await until(lambda: WorkKeys().holder(SHARD) in built.store.items)
        await taker.node.hand_over()
        other.store.cut = False
        await until(lambda: built.audit.started[task] == 2, LONGEST_ABSENCE)


@with_cluster(members=3)
async def test_a_successor_that_is_killed_as_it_begins_does_not_take_the_bounds_with_it(
    built: Cluster,
) -> None:
    """The owner is stopped as planned and leaves all bounds, which hold for its successor only.
    That is killed a moment later, before it has stored of whom it heard nothing."""
    task = await silence_an_executor(built)
    with anyio.fail_after(LONGEST_ABSENCE):
        await anyio.sleep(UNNOTICED)
        await stop(built, await built.owner())
        successor = await built.owner()
        await anyio.sleep(0.3)
        await kill(built, successor)
        await until(lambda: built.audit.started[task] == 2, LONGEST_ABSENCE)
