"""Prove that an entry knows whether it has taken a shard, whatever becomes of the answers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, cast

import anyio
import pytest

from vanillawell import clock
from vanillawell.coordination.candidate import Candidate
from vanillawell.coordination.shard_claim import CLAIM_BOUND, PATIENCE, TRIES
from vanillawell.coordination.term import LEASE, Term
from vanillawell.exceptions import StoreOutcomeUnknownError
from vanillawell.platform.http import HttpClient
from vanillawell.platform.store import PlatformStore
from vanillawell.protocol.store import Put
from vanillawell.protocol.work_documents import WorkKeys
from vanillawell.standins.scheduler.store import StandInStore
from vanillawell.tests.scheduler_cluster import Cluster, listen, until, with_cluster

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from vanillawell.protocol.store import PolledStore, Transaction, TransactionResult

KEYS = WorkKeys()
HOLDER = KEYS.holder("all")


def _with_store(check: Callable[[StandInStore, PlatformStore], Awaitable[None]]) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            stand_in = StandInStore()
            tasks.start_soon(stand_in.tick)
            await check(stand_in, PlatformStore(HttpClient(), listen(tasks, stand_in)))
            tasks.cancel_scope.cancel()

    anyio.run(run)


async def _win(store: PolledStore, name: str = "entry-0") -> Term:
    """Follow the shard as an entry does until it is won."""
    candidate = Candidate(store, KEYS, "all", name)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(candidate.follow)
        term = await candidate.win()
        tasks.cancel_scope.cancel()
    return term


def test_a_claim_that_got_no_answer_is_known_long_before_its_lease_may_end() -> None:
    """The store gives the shard and its answer is lost; all jobs wait meanwhile."""

    async def check(stand_in: StandInStore, store: PlatformStore) -> None:
        stand_in.faults.lose_answers = 1
        began = clock.read()
        term = await _win(store)
        assert clock.read() < began + PATIENCE + 0.5
        assert term.is_held(clock.read() + 0.5)
        await term.write([Put("value/0", b"x")])
        assert "value/0" in stand_in.items

    _with_store(check)


def test_a_claim_that_is_carried_out_late_takes_nothing_a_second_time() -> None:
    """Its second try has taken the shard by then, and the owner has written since."""

    async def check(stand_in: StandInStore, store: PlatformStore) -> None:
        stand_in.faults.late_writes = 1
        term = await _win(store)
        await term.write([Put("value/0", b"x")])
        written = stand_in.items[KEYS.term("all")].revision
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(term.keep)
            await anyio.sleep(1.5)
            tasks.cancel_scope.cancel()
        assert stand_in.items[KEYS.term("all")].revision == written
        assert term.token == 1

    _with_store(check)


def test_the_lease_of_a_claim_whose_outcome_stays_unknown_is_ended() -> None:
    """The store takes every try in and answers none. Kept up, the lease would hold the shard for an
    entry that does not know of it."""

    async def check(stand_in: StandInStore, store: PlatformStore) -> None:
        stand_in.faults.late_writes = TRIES
        candidate = Candidate(store, KEYS, "all", "entry-0")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(candidate.follow)
            with pytest.raises(StoreOutcomeUnknownError):
                await candidate._take()
            assert HOLDER not in stand_in.items
            await anyio.sleep(LEASE + 0.1)
            assert HOLDER not in stand_in.items
            tasks.cancel_scope.cancel()

    _with_store(check)


def test_a_store_that_answers_slowly_gives_a_shard_that_holds() -> None:
    """Each answer takes 0.8 s. The lease is renewed while the entry waits to hear that it has the
    shard, or it would be lost as it is known."""

    async def check(stand_in: StandInStore, store: PlatformStore) -> None:
        stand_in.faults.delay = 0.8
        with anyio.fail_after(8):
            term = await _win(store)
        assert term.is_held(clock.read())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(term.keep)
            await anyio.sleep(2 * LEASE)
            assert term.is_held(clock.read())
            tasks.cancel_scope.cancel()
        assert term.token == 1
        assert HOLDER in stand_in.items

    _with_store(check)


@dataclass
class HeldClaims:
    """Stand before a store: the first claim's tries get no answer, and one of them is carried out
    just as the next claim begins. Ends of leases are lost, and a late renewal comes instead."""

    inner: PlatformStore
    held: list[Transaction] = field(default_factory=list)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        if len(self.held) < TRIES:
            self.held.append(transaction)
            await anyio.sleep(CLAIM_BOUND + 1.0)
            raise StoreOutcomeUnknownError("lost by the test")
        if len(self.held) == TRIES:
            await self.inner.transact(self.held[0])
            self.held.append(transaction)
        return await self.inner.transact(transaction)

    async def revoke(self, lease: int) -> None:
        await self.inner.keep_alive(lease)
        raise StoreOutcomeUnknownError("lost by the test")


def test_an_earlier_claim_that_takes_effect_late_does_not_pass_for_the_present_one() -> None:
    """It holds the shard under a lease that nobody renews. Taken for the present claim, its entry
    would count on a lease of its own while another entry takes the shard."""

    async def check(stand_in: StandInStore, store: PlatformStore) -> None:
        held = HeldClaims(store)
        won: list[Term] = []

        async def win() -> None:
            won.append(await _win(cast("PolledStore", held)))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(win)
            await until(lambda: HOLDER in stand_in.items, CLAIM_BOUND + 3)
            former = stand_in.items[HOLDER].lease
            await until(lambda: bool(won), LEASE + 3)
            assert won[0].token == 2
            assert stand_in.items[HOLDER].lease == won[0]._lease.number != former
            tasks.cancel_scope.cancel()

    _with_store(check)


def test_an_entry_that_is_stopped_while_its_claim_gets_no_answer_ends_the_lease() -> None:
    """Its claim was carried out. Left to its lease, the shard would have no owner for as long."""

    async def check(stand_in: StandInStore, store: PlatformStore) -> None:
        stand_in.faults.lose_answers = TRIES
        candidate = Candidate(store, KEYS, "all", "entry-0")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(candidate.follow)
            tasks.start_soon(candidate.win)
            await until(lambda: HOLDER in stand_in.items)
            tasks.cancel_scope.cancel()
        assert HOLDER not in stand_in.items

    _with_store(check)


@with_cluster(members=2)
async def test_an_entry_that_is_stopped_as_it_takes_the_shard_ends_its_lease(
    built: Cluster,
) -> None:
    """It hears that it has the shard after it was asked to stop. Nobody starts a task until the
    shard is given up."""
    owner = await built.owner()
    taker = next(member for member in built.members if member is not owner)
    taker.store.answer_time = 0.1
    await owner.node.hand_over()
    await built.kill(owner)
    await until(lambda: HOLDER in built.store.items)
    await taker.node.hand_over()
    await until(lambda: HOLDER not in built.store.items, LEASE / 2)
    assert not taker.owns


@with_cluster(members=2)
async def test_a_shard_that_a_stopping_entry_can_not_pass_on_is_left_to_its_lease(
    built: Cluster,
) -> None:
    """The store refuses all it asks from then on. Kept up, the lease would hold the shard until the
    process has ended."""
    owner = await built.owner()
    taker = next(member for member in built.members if member is not owner)
    taker.store.answer_time = 0.1
    await owner.node.hand_over()
    await built.kill(owner)
    await until(lambda: HOLDER in built.store.items)
    await taker.node.hand_over()
    taker.store.cut = True
    await until(lambda: HOLDER not in built.store.items, LEASE + 0.3)
    assert taker.node.term is None or not taker.node.term.is_held(clock.read())
