"""Prove that a shard goes on while its owner can't hand it over at a planned stop."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

import anyio
import pytest

from vanillawell import clock
from vanillawell.exceptions import StoreOutcomeUnknownError, StoreUnavailableError
from vanillawell.platform.http import HttpClient
from vanillawell.platform.store import PlatformStore
from vanillawell.protocol.lease_bounds import LeaseBounds
from vanillawell.protocol.store import Put
from vanillawell.standins.scheduler.store import StandInStore
from vanillawell.tests.scheduler_cluster import (
    PREFIX,
    Cluster,
    Member,
    job,
    listen,
    step,
    until,
    until_state,
    with_cluster,
)
from vanillawell.tests.term_tests import _take

if TYPE_CHECKING:
    from vanillawell.protocol.store import Transaction, TransactionResult

STOP = 4.1
"""Seconds between the request to stop and the end of the process."""

UNATTENDED = 3.0
"""Seconds without any start, where there is room, after which a job counts as lost."""

TAKEN_AT_ONCE = 0.8
"""Seconds in which an entry takes a shard whose lease was ended; well below that lease."""


class LastWordsLost:
    """Stand between an entry and the store: its last words are never confirmed, all else is.

    They are carried out and their answers get lost after `delay` seconds, or nothing is done.
    """

    def __init__(self, member: Member, carried_out: bool, delay: float = 0.0) -> None:
        self._inner = member.store.inner
        self._carried_out = carried_out
        self._delay = delay
        self.tries = 0
        """Last words so far."""
        member.store.inner = cast("Any", self)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        if not any(_is_last_word(put) for put in transaction.puts):
            return await self._inner.transact(transaction)
        self.tries += 1
        if not self._carried_out:
            raise StoreUnavailableError("refused by the test")
        await self._inner.transact(transaction)
        await anyio.sleep(self._delay)
        raise StoreOutcomeUnknownError("lost by the test")


def _is_last_word(put: Put) -> bool:
    """Tell whether an owner hands over what is at work with this write."""
    return "leases/" in put.key and bool(LeaseBounds.from_bytes(put.value).handed_over)


async def lasting_task(built: Cluster, owner: Member) -> str:
    """Start a lasting task, so that there is something to hand over; returns its name."""
    job_id = built.new_id()
    await owner.call("POST", PREFIX + job_id, job(step(longRunning=True), spec={"seconds": 60}))
    task = f"{job_id}.0.0.0"
    await until(lambda: task in built.audit.started)
    return task


async def wait_for_start(built: Cluster, member: Member, waits: list[float]) -> None:
    """Hand a job in and add to `waits` how many seconds it takes until it starts."""
    job_id, began = built.new_id(), clock.read()
    assert (await member.call("POST", PREFIX + job_id, job())).status == 200
    await until(lambda: f"{job_id}.0.0.0" in built.audit.started, 2 * UNATTENDED)
    waits.append(clock.read() - began)


@with_cluster(members=2)
async def test_jobs_start_while_an_owner_that_stops_could_not_hand_over(built: Cluster) -> None:
    """The answer to the last word of an owner that stops is lost, so it keeps the shard until its
    process ends. Deciding nothing, it would let all jobs wait for that, and then for its lease."""
    owner, job_id = await built.owner(), built.new_id()
    other = next(member for member in built.members if member is not owner)
    built.store.faults.write_filter = lambda body: "leases/all" in body
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


@with_cluster(members=2)
async def test_an_owner_that_stops_hands_over_once_its_last_word_is_stored(built: Cluster) -> None:
    """The answer to its first last word is lost. If it didn't try again, all jobs would wait for
    the lease of an owner whose process has ended."""
    owner = await built.owner()
    other = next(member for member in built.members if member is not owner)
    task = await lasting_task(built, owner)
    built.store.faults.write_filter = lambda body: "leases/all" in body
    built.store.faults.lose_answers = 1
    with anyio.fail_after(STOP):
        await owner.node.hand_over()
        await until(lambda: other.owns, TAKEN_AT_ONCE)
    await built.kill(owner)
    await anyio.sleep(6.0)
    assert built.audit.started[task] == 1
    assert any(task in executor.running for executor in built.executors)


@with_cluster(members=2)
async def test_an_owner_that_stops_while_the_store_is_away_hands_over_on_its_return(
    built: Cluster,
) -> None:
    """The store is away when the owner is asked to stop, and comes back two seconds later. Another
    entry should own the shard then, while the process of the former owner has not ended yet."""
    owner = await built.owner()
    other = next(member for member in built.members if member is not owner)
    built.store.faults.refuse = True
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(owner.node.hand_over)
        await anyio.sleep(2.0)
        built.store.faults.refuse = False
        await until(lambda: other.owns, STOP - 2.0)


@pytest.mark.parametrize(
    ("carried_out", "delay"),
    [(True, 0.0), (True, 1.0), (False, 0.0)],
    ids=["answers lost", "answers lost late", "refused"],
)
def test_jobs_run_once_whatever_becomes_of_an_owners_last_words(
    carried_out: bool, delay: float
) -> None:
    """No last word of an owner that stops is ever confirmed, so that it alone decides until its
    process ends, and then nobody before its lease is over. Jobs that come all the while have to
    start, each once, and what lasts has to go on."""

    @with_cluster(members=2)
    async def run(built: Cluster) -> None:
        owner = await built.owner()
        other = next(member for member in built.members if member is not owner)
        task = await lasting_task(built, owner)
        lost = LastWordsLost(owner, carried_out, delay)
        waits: list[float] = []
        began = clock.read()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_end_process, built, owner)
            tasks.start_soon(owner.node.hand_over)
            for _ in range(16):
                tasks.start_soon(wait_for_start, built, other, waits)
                await anyio.sleep(0.2)
            await anyio.sleep(STOP - (clock.read() - began))
            await until(lambda: other.owns, TAKEN_AT_ONCE)
        assert lost.tries > 1
        assert max(waits) < UNATTENDED
        await anyio.sleep(6.0)
        assert set(built.audit.started.values()) == {1}
        assert any(task in executor.running for executor in built.executors)

    run()


class LeaseEndRefused:
    """Stand between an entry and the store: its first try to end a lease is refused."""

    def __init__(self, member: Member) -> None:
        self._inner = member.store.inner
        self.tries = 0
        """Tries so far."""
        member.store.inner = cast("Any", self)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)

    async def revoke(self, lease: int) -> None:
        self.tries += 1
        if self.tries == 1:
            raise StoreUnavailableError("refused by the test")
        await self._inner.revoke(lease)


@with_cluster(members=2)
async def test_an_owner_that_has_said_its_last_word_tries_again_to_end_its_lease(
    built: Cluster,
) -> None:
    """The store takes the last word and refuses to end the lease. The owner decides nothing any
    more, and nobody can take the shard."""
    owner = await built.owner()
    other = next(member for member in built.members if member is not owner)
    store = LeaseEndRefused(owner)
    await owner.node.hand_over()
    assert store.tries == 2
    await until(lambda: other.owns, TAKEN_AT_ONCE)
    job_id = built.new_id()
    await other.call("POST", PREFIX + job_id, job())
    await until_state(other, job_id, "completed")


def test_a_try_to_write_ends_when_its_time_is_over() -> None:
    """A process is about to end while the store's answer to its last word is lost. Waited for
    without a bound, the end would come late; taken for a failure, what is written next would be
    believed to be stored when it isn't."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            stand_in = StandInStore()
            store = PlatformStore(HttpClient(), listen(tasks, stand_in))
            term = await _take(store, "entry-0")
            stand_in.faults.lose_answers = 1
            began = clock.read()
            with pytest.raises(StoreOutcomeUnknownError):
                await term.write_if_reachable(lambda: [Put("value/last", b"x")], began + 0.3)
            assert clock.read() - began < 1.0
            await term.write([Put("value/next", b"x")])
            assert "value/next" in stand_in.items
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_an_owner_that_has_said_its_last_word_does_not_hold_its_shard() -> None:
    """Another entry may own it from then on; orders for machines must not go out any more."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            store = PlatformStore(HttpClient(), listen(tasks, StandInStore()))
            term = await _take(store, "entry-0")
            assert term.is_held(clock.read())
            term.close()
            assert not term.is_held(clock.read())
            tasks.cancel_scope.cancel()

    anyio.run(run)
