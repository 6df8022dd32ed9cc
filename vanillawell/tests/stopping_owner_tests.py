"""Test that a shard stays operational while its owner cannot hand it over at a planned stop."""

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
from vanillawell.tests.executor_hosts import listen
from vanillawell.tests.scheduler_cluster import Cluster, Member, until, until_state, with_cluster
from vanillawell.tests.scheduler_documents import PREFIX, job, step
from vanillawell.tests.store_setup import StoreSetup, take, with_store

if TYPE_CHECKING:
    from vanillawell.protocol.store import Transaction, TransactionResult

STOP_DURATION = 4.1
"""Seconds between the request to stop and the end of the process."""

MAX_START_DELAY = 3.0
"""Seconds within which a job has to start while there is free capacity."""

TAKE_OVER_TIME = 0.8
"""Seconds within which an entry takes a shard whose lease was revoked; well below that lease."""


class FinalDocumentsUnconfirmed:
    """Store wrapper that never confirms the final lease documents of an entry.

    Their writes are carried out and the answers are lost after `delay` seconds, or they are
    refused.
    """

    def __init__(self, member: Member, carried_out: bool, delay: float = 0.0) -> None:
        self._inner = member.store.inner
        self._carried_out = carried_out
        self._delay = delay
        self.tries = 0
        """Number of writes of a final lease document so far."""
        member.store.inner = cast("Any", self)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        if not any(_is_final_document(put) for put in transaction.puts):
            return await self._inner.transact(transaction)
        self.tries += 1
        if not self._carried_out:
            raise StoreUnavailableError("refused by the test")
        await self._inner.transact(transaction)
        await anyio.sleep(self._delay)
        raise StoreOutcomeUnknownError("lost by the test")


def _is_final_document(put: Put) -> bool:
    """Return whether this write is the final lease document of an owner with running tasks."""
    return "leases/" in put.key and bool(LeaseBounds.from_bytes(put.value).handed_over)


async def start_long_running_task(built: Cluster, owner: Member) -> str:
    """Start a long-running task, so that there are leases to hand over; return its name."""
    job_id = built.new_id()
    await owner.call("POST", PREFIX + job_id, job(step(longRunning=True), spec={"seconds": 60}))
    task = f"{job_id}.0.0.0"
    await until(lambda: task in built.audit.started)
    return task


async def wait_for_start(built: Cluster, member: Member, waits: list[float]) -> None:
    """Submit a job, wait until it starts, and append the seconds that this took to `waits`."""
    job_id, began = built.new_id(), clock.read()
    assert (await member.call("POST", PREFIX + job_id, job())).status == 200
    await until(lambda: f"{job_id}.0.0.0" in built.audit.started, 2 * MAX_START_DELAY)
    waits.append(clock.read() - began)


@with_cluster(members=2)
async def test_jobs_start_while_a_stopping_owner_cannot_hand_over(built: Cluster) -> None:
    """The answer to the final lease document of a stopping owner is lost, so it keeps the shard. If
    it ran no scheduling cycles, all jobs would wait for the end of its process and its lease."""
    owner, job_id = await built.owner(), built.new_id()
    other = next(member for member in built.members if member is not owner)
    built.store.faults.write_filter = lambda body: "leases/all" in body
    built.store.faults.lose_answers = 1
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_end_process, built, owner)
        await owner.node.hand_over()
        assert built.store.faults.lose_answers == 0
        assert (await other.call("POST", PREFIX + job_id, job())).status == 200
        await until(lambda: f"{job_id}.0.0.0" in built.audit.started, MAX_START_DELAY)


async def _end_process(built: Cluster, owner: Member) -> None:
    await anyio.sleep(STOP_DURATION)
    await built.kill(owner)


@with_cluster(members=2)
async def test_stopping_owner_retries_until_its_final_document_is_stored(built: Cluster) -> None:
    """The answer to the first write of the final lease document is lost. Without a retry all jobs
    would wait until the lease of the terminated owner expires."""
    owner = await built.owner()
    other = next(member for member in built.members if member is not owner)
    task = await start_long_running_task(built, owner)
    built.store.faults.write_filter = lambda body: "leases/all" in body
    built.store.faults.lose_answers = 1
    with anyio.fail_after(STOP_DURATION):
        await owner.node.hand_over()
        await until(lambda: other.owns, TAKE_OVER_TIME)
    await built.kill(owner)
    await anyio.sleep(6.0)
    assert built.audit.started[task] == 1
    assert any(task in executor.running for executor in built.executors)


@with_cluster(members=2)
async def test_owner_stopped_while_the_store_is_unreachable_hands_over_on_recovery(
    built: Cluster,
) -> None:
    """The store is unreachable when the owner is requested to stop, and recovers two seconds later.
    Another entry has to own the shard before the process of the previous owner has ended."""
    owner = await built.owner()
    other = next(member for member in built.members if member is not owner)
    built.store.faults.refuse = True
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(owner.node.hand_over)
        await anyio.sleep(2.0)
        built.store.faults.refuse = False
        await until(lambda: other.owns, STOP_DURATION - 2.0)


@pytest.mark.parametrize(
    ("carried_out", "delay"),
    [(True, 0.0), (True, 1.0), (False, 0.0)],
    ids=["answers lost", "answers lost late", "refused"],
)
def test_jobs_run_once_while_no_final_document_is_confirmed(
    carried_out: bool, delay: float
) -> None:
    """No final lease document of a stopping owner is ever confirmed, so it remains the owner until
    its process ends; after that no entry owns the shard until the lease expires. Jobs submitted
    meanwhile have to start exactly once, and long-running tasks have to keep running."""

    @with_cluster(members=2)
    async def run(built: Cluster) -> None:
        owner = await built.owner()
        other = next(member for member in built.members if member is not owner)
        task = await start_long_running_task(built, owner)
        lost = FinalDocumentsUnconfirmed(owner, carried_out, delay)
        waits: list[float] = []
        began = clock.read()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_end_process, built, owner)
            tasks.start_soon(owner.node.hand_over)
            for _ in range(16):
                tasks.start_soon(wait_for_start, built, other, waits)
                await anyio.sleep(0.2)
            await anyio.sleep(STOP_DURATION - (clock.read() - began))
            await until(lambda: other.owns, TAKE_OVER_TIME)
        assert lost.tries > 1
        assert max(waits) < MAX_START_DELAY
        await anyio.sleep(6.0)
        assert set(built.audit.started.values()) == {1}
        assert any(task in executor.running for executor in built.executors)

    run()


class FirstRevocationRefused:
    """Store wrapper that refuses the first revocation of a lease."""

    def __init__(self, member: Member) -> None:
        self._inner = member.store.inner
        self.tries = 0
        """Number of revocations so far."""
        member.store.inner = cast("Any", self)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)

    async def revoke(self, lease: int) -> None:
        self.tries += 1
        if self.tries == 1:
            raise StoreUnavailableError("refused by the test")
        await self._inner.revoke(lease)


@with_cluster(members=2)
async def test_owner_with_a_stored_final_document_retries_the_revocation_of_its_lease(
    built: Cluster,
) -> None:
    """The store accepts the final lease document and refuses to revoke the lease. The owner runs no
    more scheduling cycles, and no other entry can take the shard until the lease is revoked."""
    owner = await built.owner()
    other = next(member for member in built.members if member is not owner)
    store = FirstRevocationRefused(owner)
    await owner.node.hand_over()
    assert store.tries == 2
    await until(lambda: other.owns, TAKE_OVER_TIME)
    job_id = built.new_id()
    await other.call("POST", PREFIX + job_id, job())
    await until_state(other, job_id, "completed")


@with_store
async def test_write_without_retry_ends_at_its_deadline(setup: StoreSetup) -> None:
    """A process is about to end while the answer to its final lease document is lost. Without a
    deadline the process would end late. The outcome has to count as unknown, or the next write
    could be reported as stored although it is not."""
    stand_in, store = setup.stand_in, setup.store
    term = await take(store, "entry-0")
    stand_in.faults.lose_answers = 1
    began = clock.read()
    with pytest.raises(StoreOutcomeUnknownError):
        await term.write_without_retry(lambda: [Put("value/last", b"x")], began + 0.3)
    assert clock.read() - began < 1.0
    await term.write([Put("value/next", b"x")])
    assert "value/next" in stand_in.items


def test_closed_term_is_not_held() -> None:
    """Another entry may own the shard once the term is closed, so no more machine orders may be
    sent."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            store = PlatformStore(HttpClient(), listen(tasks, StandInStore()))
            term = await take(store, "entry-0")
            assert term.is_held(clock.read())
            term.close()
            assert not term.is_held(clock.read())
            tasks.cancel_scope.cancel()

    anyio.run(run)
