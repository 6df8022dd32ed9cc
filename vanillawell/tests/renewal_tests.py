"""Prove that an owner keeps its shard though single answers to its renewals are lost.

The pattern: the path loses track of a connection, or the store's answers get lost. Each change of
owner keeps callers waiting, and one after the other they keep lasting tasks away.
"""

from __future__ import annotations

import anyio

from vanillawell.coordination.term import LEASE
from vanillawell.tests.scheduler_cluster import Cluster, until, with_cluster


@with_cluster(members=2)
async def test_an_owner_outlives_one_lost_answer_to_its_renewals(built: Cluster) -> None:
    """The store renews the lease and its answer is lost. Waited for as long as the lease lasts, it
    would cost the owner its shard, though everything else it asks of the store is answered."""
    owner = await built.owner()
    term = owner.node.term
    assert term is not None
    built.store.faults.lose_renewal_answers = 1
    await until(lambda: built.store.faults.lose_renewal_answers == 0)
    await anyio.sleep(2 * LEASE)
    assert owner.node.term is term


@with_cluster(members=2)
async def test_an_entry_whose_take_over_got_no_answer_keeps_the_shard(built: Cluster) -> None:
    """The store gives a free shard to an entry and its answer is lost. Waited for as long as the
    lease lasts, the shard would be lost again before its new owner knows that it has it."""
    former = await built.owner()
    other = next(member for member in built.members if member is not former)
    term = former.node.term
    assert term is not None
    built.store.faults.write_filter = lambda body: "holder/all" in body
    built.store.faults.lose_answers = 1
    await built.kill(former)
    await until(lambda: built.store.faults.lose_answers == 0)
    await until(lambda: other.owns)
    await anyio.sleep(LEASE)
    assert other.node.term is not None
    assert other.node.term.token == term.token + 1
