"""Test that lease bounds are kept across owners whose terms end as soon as they begin."""

from __future__ import annotations

import anyio

from vanillawell.node import SHARD
from vanillawell.protocol.work_keys import WorkKeys
from vanillawell.tests.scheduler_cluster import Cluster, until, with_cluster
from vanillawell.tests.successive_owners_tests import (
    LONGEST_ABSENCE,
    kill_and_replace,
    silence_an_executor,
    stop_and_replace,
)

BEFORE_DETECTION = 1.0
"""Seconds after which an owner has not yet detected that an executor of long-running tasks is
unresponsive."""


@with_cluster(members=3)
async def test_entry_stopped_while_it_takes_the_shard_passes_the_bounds_on(
    built: Cluster,
) -> None:
    """The owner is stopped, and the next owner is stopped as well before its claim is confirmed.
    The bounds that the first owner stored for the next one only must not be lost."""
    task = await silence_an_executor(built)
    with anyio.fail_after(LONGEST_ABSENCE):
        await anyio.sleep(BEFORE_DETECTION)
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
async def test_bounds_are_kept_when_a_new_owner_is_killed_early(
    built: Cluster,
) -> None:
    """The owner is stopped as planned and stores all bounds, which hold for the next owner only.
    That one is killed before it has stored which executors did not answer it."""
    task = await silence_an_executor(built)
    with anyio.fail_after(LONGEST_ABSENCE):
        await anyio.sleep(BEFORE_DETECTION)
        await stop_and_replace(built, await built.owner())
        successor = await built.owner()
        await anyio.sleep(0.3)
        await kill_and_replace(built, successor)
        await until(lambda: built.audit.started[task] == 2, LONGEST_ABSENCE)
