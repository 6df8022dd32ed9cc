"""Test that an entry determines whether it has taken a shard although answers are lost or late."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, cast

import anyio
import pytest

from vanillawell import clock
from vanillawell.coordination.candidate import Candidate
from vanillawell.coordination.shard_claim import CLAIM_TIMEOUT, MAX_TRIES, RETRY_DELAY
from vanillawell.coordination.term import OWNERSHIP_LEASE, SLOW_STORE_LEASE, Term
from vanillawell.exceptions import StoreOutcomeUnknownError
from vanillawell.platform.store import PlatformStore
from vanillawell.protocol.store import Put
from vanillawell.tests.scheduler_cluster import Cluster, until, with_cluster
from vanillawell.tests.store_setup import KEYS, StoreSetup, take, with_store

if TYPE_CHECKING:

    from vanillawell.protocol.store import PolledStore, Transaction, TransactionResult

HOLDER = KEYS.holder("all")


@with_store
async def test_claim_with_a_lost_answer_is_confirmed_before_its_lease_expires(
    setup: StoreSetup,
) -> None:
    """The claim takes effect and its answer is lost. All jobs wait until the entry knows this."""
    stand_in, store = setup.stand_in, setup.store
    stand_in.faults.lose_answers = 1
    began = clock.read()
    term = await take(store, "entry-0")
    assert clock.read() < began + RETRY_DELAY + 0.5
    assert term.is_held(clock.read() + 0.5)
    await term.write([Put("value/0", b"x")])
    assert "value/0" in stand_in.items


@with_store
async def test_delayed_claim_has_no_effect_after_its_retry(setup: StoreSetup) -> None:
    """When the first try arrives, its retry has taken the shard and the owner has written since."""
    stand_in, store = setup.stand_in, setup.store
    stand_in.faults.late_writes = 1
    term = await take(store, "entry-0")
    await term.write([Put("value/0", b"x")])
    written = stand_in.items[KEYS.term("all")].revision
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(term.renew_until_lost)
        await anyio.sleep(1.5)
        tasks.cancel_scope.cancel()
    assert stand_in.items[KEYS.term("all")].revision == written
    assert term.token == 1


@with_store
async def test_lease_of_a_claim_with_unknown_outcome_is_revoked(setup: StoreSetup) -> None:
    """The store carries out every try and answers none. If the lease were renewed, the shard would
    stay with an entry that does not know that it owns it."""
    stand_in, store = setup.stand_in, setup.store
    stand_in.faults.late_writes = MAX_TRIES
    candidate = Candidate(store, KEYS, "all", "entry-0")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(candidate.watch_holder)
        with pytest.raises(StoreOutcomeUnknownError):
            await candidate._try_to_take()
        assert HOLDER not in stand_in.items
        await anyio.sleep(OWNERSHIP_LEASE + 0.1)
        assert HOLDER not in stand_in.items
        tasks.cancel_scope.cancel()


@with_store
async def test_shard_taken_on_a_slow_store_is_not_lost_again(setup: StoreSetup) -> None:
    """Each answer takes 0.8 s. The lease has to be renewed while the entry waits for the answer to
    its claim; otherwise it would expire by the time the claim is confirmed."""
    stand_in, store = setup.stand_in, setup.store
    stand_in.faults.delay = 0.8
    with anyio.fail_after(8):
        term = await take(store, "entry-0")
    assert term.is_held(clock.read())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(term.renew_until_lost)
        await anyio.sleep(2 * SLOW_STORE_LEASE)
        assert term.is_held(clock.read())
        tasks.cancel_scope.cancel()
    assert term.token == 1
    assert HOLDER in stand_in.items


@dataclass
class HeldClaims:
    """Store wrapper in which the first claim gets no answer and takes effect as the next one
    begins.

    Revocations of leases are lost, and a late renewal is carried out instead."""

    inner: PlatformStore
    held: list[Transaction] = field(default_factory=list)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        if len(self.held) < MAX_TRIES:
            self.held.append(transaction)
            await anyio.sleep(CLAIM_TIMEOUT + 1.0)
            raise StoreOutcomeUnknownError("lost by the test")
        if len(self.held) == MAX_TRIES:
            await self.inner.transact(self.held[0])
            self.held.append(transaction)
        return await self.inner.transact(transaction)

    async def revoke(self, lease: int) -> None:
        await self.inner.keep_alive(lease)
        raise StoreOutcomeUnknownError("lost by the test")


@with_store
async def test_earlier_claim_that_takes_effect_late_is_not_mistaken_for_the_current_one(
    setup: StoreSetup,
) -> None:
    """The earlier claim holds the shard under a lease that is no longer renewed. If it counted as
    the current claim, the entry would rely on the wrong lease while another entry takes the
    shard."""
    stand_in, store = setup.stand_in, setup.store
    held = HeldClaims(store)
    acquired: list[Term] = []

    async def acquire() -> None:
        acquired.append(await take(cast("PolledStore", held), "entry-0"))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(acquire)
        await until(lambda: HOLDER in stand_in.items, CLAIM_TIMEOUT + 3)
        earlier = stand_in.items[HOLDER].lease
        await until(lambda: bool(acquired), OWNERSHIP_LEASE + 3)
        assert acquired[0].token == 2
        assert stand_in.items[HOLDER].lease == acquired[0]._lease.number != earlier
        tasks.cancel_scope.cancel()


@with_store
async def test_entry_stopped_during_an_unanswered_claim_revokes_the_lease(
    setup: StoreSetup,
) -> None:
    """The claim was carried out. Without the revocation the shard would have no owner until the
    lease expires."""
    stand_in, store = setup.stand_in, setup.store
    stand_in.faults.lose_answers = MAX_TRIES
    candidate = Candidate(store, KEYS, "all", "entry-0")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(candidate.watch_holder)
        tasks.start_soon(candidate.acquire)
        await until(lambda: HOLDER in stand_in.items)
        tasks.cancel_scope.cancel()
    assert HOLDER not in stand_in.items


@with_cluster(members=2)
async def test_entry_stopped_while_it_takes_the_shard_revokes_its_lease(
    built: Cluster,
) -> None:
    """The claim is confirmed after the entry was requested to stop. No task starts until the shard
    is released."""
    owner = await built.owner()
    taker = next(member for member in built.members if member is not owner)
    taker.store.answer_time = 0.1
    await owner.node.hand_over()
    await built.kill(owner)
    await until(lambda: HOLDER in built.store.items)
    await taker.node.hand_over()
    await until(lambda: HOLDER not in built.store.items, OWNERSHIP_LEASE / 2)
    assert not taker.owns


@with_cluster(members=2)
async def test_stopping_entry_that_cannot_hand_over_lets_its_lease_expire(
    built: Cluster,
) -> None:
    """The store refuses all further calls of the entry. If the lease were still renewed, the shard
    would have no active owner until the process has ended."""
    owner = await built.owner()
    taker = next(member for member in built.members if member is not owner)
    taker.store.answer_time = 0.1
    await owner.node.hand_over()
    await built.kill(owner)
    await until(lambda: HOLDER in built.store.items)
    await taker.node.hand_over()
    taker.store.cut = True
    await until(lambda: HOLDER not in built.store.items, OWNERSHIP_LEASE + 0.3)
    assert taker.node.term is None or not taker.node.term.is_held(clock.read())
