"""Test that an entry without enough capacity for a shard hands it over to one that has it.

While the store is slow or loses answers, an entry with half a core and a slow network link may take
a free shard first. As the owner it needs seconds to store each scheduling cycle, so jobs start
seconds late or not at all.
"""

from __future__ import annotations

import base64
from dataclasses import asdict
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination import challenger
from vanillawell.coordination.holder_watch import HolderWatch
from vanillawell.node import BIDDER_HAND_OVER_TIMEOUT
from vanillawell.platform.http import HttpClient
from vanillawell.platform.store import PlatformStore
from vanillawell.protocol.ownership_documents import Contender
from vanillawell.protocol.work_keys import WorkKeys
from vanillawell.standins.scheduler.store import StandInStore
from vanillawell.tests.executor_hosts import listen
from vanillawell.tests.scheduler_cluster import until, until_state, with_cluster
from vanillawell.tests.scheduler_documents import PREFIX, job, step
from vanillawell.tests.stopping_owner_tests import (
    FinalDocumentsUnconfirmed,
    start_long_running_task,
    wait_for_start,
)

if TYPE_CHECKING:
    from vanillawell.tests.scheduler_cluster import Cluster, Member

WEAK_CAPACITY: dict[str, float] = {"processor_share": 0.5, "link_mbit": 5}
STRONG_CAPACITY: dict[str, float] = {"processor_speed": 2, "link_mbit": 100}

CHANGE_TIMEOUT = 4.0
"""Seconds within which a stronger entry owns the shard; shorter than the leases of running
tasks."""


TASK_LEASE = 6.0
"""Seconds after which a running task has ended unless its lease was renewed."""


async def weak_owner(built: Cluster) -> Member:
    """Make a weak entry the owner by stopping all others; return it."""
    weak = built.add_member("weak", WEAK_CAPACITY)
    await anyio.sleep(0.3)
    await built.kill(built.members[0])
    await until(lambda: weak.owns, 3.0)
    return weak


def token(built: Cluster) -> int:
    """Return the fencing token of the current owner."""
    term = next(member.node.term for member in built.members if member.owns)
    assert term is not None
    return term.token


@with_cluster(members=1)
async def test_weak_owner_hands_its_shard_over_to_a_stronger_entry(built: Cluster) -> None:
    """A weak entry took the shard while no strong one was running. Once one is, it gets the shard,
    and no running task is restarted."""
    weak, job_id = await weak_owner(built), built.new_id()
    await weak.call("POST", PREFIX + job_id, job(step(longRunning=True), spec={"seconds": 60}))
    task = f"{job_id}.0.0.0"
    await until(lambda: task in built.audit.started)
    strong = built.add_member("strong", STRONG_CAPACITY)
    await until(lambda: strong.owns, CHANGE_TIMEOUT)
    next_id = built.new_id()
    await weak.call("POST", PREFIX + next_id, job())
    await until_state(strong, next_id, "completed", 2.0)
    await anyio.sleep(5.5)
    assert strong.owns
    assert built.audit.started[task] == 1


@with_cluster(members=1)
async def test_weak_owner_hands_over_while_the_store_is_slow(built: Cluster) -> None:
    """Each call to the store takes as long as the delay that weak entries apply to their claims, so
    one of many weak entries may win. A strong entry still gets the shard in the end."""
    await weak_owner(built)
    built.store.faults.delay = 0.25
    weaker = [built.add_member(f"weak-{number}", WEAK_CAPACITY) for number in range(3)]
    strong = built.add_member("strong", STRONG_CAPACITY)
    await until(lambda: strong.owns, 2 * CHANGE_TIMEOUT)
    assert not any(member.owns for member in weaker)


@with_cluster(members=1)
async def test_owner_does_not_change_among_entries_of_equal_capacity(
    built: Cluster,
) -> None:
    """No entry of a fleet has a whole core. Changes of owner among them would interrupt all callers
    repeatedly without any benefit."""
    await weak_owner(built)
    before = token(built)
    for number in range(3):
        built.add_member(f"weak-{number}", WEAK_CAPACITY)
    await anyio.sleep(CHANGE_TIMEOUT)
    assert token(built) == before


@with_cluster(members=1)
async def test_previous_owner_takes_the_shard_back_if_the_bidder_was_lost(
    built: Cluster,
) -> None:
    """A strong entry bids for the shard and is lost before it takes it. The weak one takes the
    shard back promptly; callers do not wait until the bid expires."""
    weak = await weak_owner(built)
    before = token(built)
    built.store.put_document(WorkKeys().bid("all"), asdict(Contender("gone/0", 0.0)))
    await until(lambda: not weak.owns, 2.0)
    began = clock.read()
    await until(lambda: weak.owns, 3.0)
    assert clock.read() - began < challenger.BIDDER_HEAD_START + 1.0
    assert token(built) > before


@with_cluster(members=1)
async def test_owner_that_fails_to_hand_over_continues(built: Cluster) -> None:
    """The answer to the final lease document is lost during a hand-over to a bidder. Since the
    document may be stored, no lease may be renewed; the owner has to replace it, or all running
    tasks end."""
    weak, job_id, next_id = await weak_owner(built), built.new_id(), built.new_id()
    await weak.call("POST", PREFIX + job_id, job(step(longRunning=True), spec={"seconds": 60}))
    task = f"{job_id}.0.0.0"
    await until(lambda: task in built.audit.started)
    before = token(built)
    built.store.faults.write_filter = lambda body: "leases/all" in body
    built.store.faults.lose_answers = 3
    built.store.put_document(WorkKeys().bid("all"), asdict(Contender("stronger/0", 0.0)))
    await until(lambda: built.store.faults.lose_answers < 3)
    built.store.faults.lose_answers = 1
    await anyio.sleep(TASK_LEASE)
    assert built.audit.started[task] == 1
    assert token(built) == before
    await weak.call("POST", PREFIX + next_id, job())
    await until_state(weak, next_id, "completed", 2.0)


@with_cluster(members=1)
async def test_jobs_start_while_an_owner_fails_to_hand_over(built: Cluster) -> None:
    """No final lease document of an owner that hands over to a bidder is ever confirmed. It remains
    the owner for the three seconds in which it tries, and has to start jobs and extend their
    leases."""
    weak = await weak_owner(built)
    task, before = await start_long_running_task(built, weak), token(built)
    lost = FinalDocumentsUnconfirmed(weak, carried_out=True, delay=0.5)
    built.store.put_document(WorkKeys().bid("all"), asdict(Contender("stronger/0", 0.0)))
    await until(lambda: lost.tries > 0)
    waits: list[float] = []
    while lost.tries < 3:
        await wait_for_start(built, weak, waits)
    assert max(waits) < 1.5
    await anyio.sleep(BIDDER_HAND_OVER_TIMEOUT)
    assert token(built) == before
    assert set(built.audit.started.values()) == {1}
    assert any(task in executor.running for executor in built.executors)


def test_unreadable_holder_counts_as_having_no_shortfall() -> None:
    """The holder document has a format that this version cannot read. If the holder counted as
    weak, entries would bid for its shard repeatedly."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            stand_in, keys = StandInStore(), WorkKeys()
            lease = 1  # of the holder; a key without one is nobody's
            stand_in.put(keys.holder("all"), base64.b64encode(b"entry-0/former").decode(), lease)
            watch = HolderWatch(PlatformStore(HttpClient(), listen(tasks, stand_in)), keys, "all")
            tasks.start_soon(watch.run)
            await until(lambda: watch.holder is not None)
            assert watch.holder == Contender("entry-0/former", 0.0)
            tasks.cancel_scope.cancel()

    anyio.run(run)
