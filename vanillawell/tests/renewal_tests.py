"""Test that an owner keeps its shard although single answers to its renewals are lost.

The failure: the network path drops the state of a connection, or answers of the store are lost.
Each change of owner delays callers, and repeated changes delay the restart of long-running tasks.
"""

from __future__ import annotations

import anyio

from vanillawell.coordination.term import OWNERSHIP_LEASE, SLOW_STORE_LEASE, ownership_lease
from vanillawell.tests.scheduler_cluster import Cluster, until, with_cluster


@with_cluster(members=2)
async def test_owner_survives_a_lost_answer_to_a_renewal(built: Cluster) -> None:
    """The store renews the lease and its answer is lost. If the owner waited for this answer until
    the lease expires, it would lose the shard although all its other calls are answered."""
    owner = await built.owner()
    term = owner.node.term
    assert term is not None
    built.store.faults.lose_renewal_answers = 1
    await until(lambda: built.store.faults.lose_renewal_answers == 0)
    await anyio.sleep(2 * OWNERSHIP_LEASE)
    assert owner.node.term is term


@with_cluster(members=2)
async def test_entry_keeps_the_shard_after_a_lost_answer_to_its_claim(built: Cluster) -> None:
    """An entry takes a free shard and the answer of the store is lost. If the entry waited for this
    answer until the lease expires, it would lose the shard before it knows that it owns it."""
    previous = await built.owner()
    other = next(member for member in built.members if member is not previous)
    term = previous.node.term
    assert term is not None
    built.store.faults.write_filter = lambda body: "holder/all" in body
    built.store.faults.lose_answers = 1
    await built.kill(previous)
    await until(lambda: built.store.faults.lose_answers == 0)
    await until(lambda: other.owns)
    await anyio.sleep(OWNERSHIP_LEASE)
    assert other.node.term is not None
    assert other.node.term.token == term.token + 1


def test_owner_asks_for_no_shorter_lease_than_the_store_grants() -> None:
    """A store that refuses a lease lets nobody own the shard, so that no job would ever begin."""
    assert ownership_lease(0.01, shortest=2.0) == 2.0
    assert ownership_lease(1.0, shortest=2.0) == 2.0
    assert ownership_lease(0.01, shortest=0.2) == OWNERSHIP_LEASE
    assert ownership_lease(1.0, shortest=1.0) == SLOW_STORE_LEASE


@with_cluster()
async def test_shard_is_owned_with_a_store_that_grants_only_longer_leases(built: Cluster) -> None:
    """The same for a scheduler, which has the bound from its settings."""
    await built.kill(await built.owner())
    built.store.shortest_lease_ms = 1_800
    member = built.add_member("entry-later")
    await until(lambda: member.owns, 6.0)
    term = member.node.term
    await anyio.sleep(1.5 * built.store.shortest_lease_ms / 1000)
    assert member.node.term is term
