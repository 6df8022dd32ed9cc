"""Prove that an entry that can't carry a shard doesn't keep it from one that can.

While the store is slow or loses answers, an entry with half a core and a narrow link may be the
first to take a free shard. As its owner it needs seconds to store each turn, for as long as it
stays: jobs start seconds late, and at the end some that could run don't.
"""

from __future__ import annotations

import base64
from dataclasses import asdict
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination import challenger
from vanillawell.coordination.holder_watch import HolderWatch
from vanillawell.node import GIVE_WAY_BOUND
from vanillawell.platform.http import HttpClient
from vanillawell.platform.store import PlatformStore
from vanillawell.protocol.work_documents import Contender, WorkKeys
from vanillawell.standins.scheduler.store import StandInStore
from vanillawell.tests.scheduler_cluster import (
    PREFIX,
    job,
    listen,
    step,
    until,
    until_state,
    with_cluster,
)
from vanillawell.tests.stopping_owner_tests import LastWordsLost, lasting_task, wait_for_start

if TYPE_CHECKING:
    from vanillawell.tests.scheduler_cluster import Cluster, Member

WEAK: dict[str, float] = {"processor_share": 0.5, "link_mbit": 5}
STRONG: dict[str, float] = {"processor_speed": 2, "link_mbit": 100}

CHANGE_BOUND = 4.0
"""Seconds within which a stronger entry owns the shard; what runs holds leases for longer."""


LEASE_OF_TASKS = 6.0
"""Seconds after which what runs has ended unless its lease was renewed."""


async def weak_owner(built: Cluster) -> Member:
    """Let a weak entry own the shard, since it is the only one left."""
    weak = built.add_member("weak", WEAK)
    await anyio.sleep(0.3)
    await built.kill(built.members[0])
    await until(lambda: weak.owns, 3.0)
    return weak


def token(built: Cluster) -> int:
    """Return the fencing token of the present owner."""
    term = next(member.node.term for member in built.members if member.owns)
    assert term is not None
    return term.token


@with_cluster(members=1)
async def test_a_weak_owner_hands_its_shard_to_a_stronger_entry(built: Cluster) -> None:
    """A weak entry took the shard while no strong one was there. Once one is back it gets the
    shard, and nothing that runs is started again."""
    weak, job_id = await weak_owner(built), built.new_id()
    await weak.call("POST", PREFIX + job_id, job(step(longRunning=True), spec={"seconds": 60}))
    task = f"{job_id}.0.0.0"
    await until(lambda: task in built.audit.started)
    strong = built.add_member("strong", STRONG)
    await until(lambda: strong.owns, CHANGE_BOUND)
    next_id = built.new_id()
    await weak.call("POST", PREFIX + next_id, job())
    await until_state(strong, next_id, "completed", 2.0)
    await anyio.sleep(5.5)
    assert strong.owns
    assert built.audit.started[task] == 1


@with_cluster(members=1)
async def test_a_weak_owner_gives_way_while_the_store_is_slow(built: Cluster) -> None:
    """Each call to the store takes as long as the whole head start of strong entries, so one of
    many weak ones is the first. The shard still comes to a strong one."""
    await weak_owner(built)
    built.store.faults.delay = 0.25
    weaker = [built.add_member(f"weak-{number}", WEAK) for number in range(3)]
    strong = built.add_member("strong", STRONG)
    await until(lambda: strong.owns, 2 * CHANGE_BOUND)
    assert not any(member.owns for member in weaker)


@with_cluster(members=1)
async def test_a_shard_stays_where_it_is_among_entries_of_the_same_strength(
    built: Cluster,
) -> None:
    """No entry of a fleet has a whole core. Handing the shard round among them would interrupt all
    callers again and again for nothing."""
    await weak_owner(built)
    before = token(built)
    for number in range(3):
        built.add_member(f"weak-{number}", WEAK)
    await anyio.sleep(CHANGE_BOUND)
    assert token(built) == before


@with_cluster(members=1)
async def test_the_shard_is_not_left_to_an_entry_that_asked_for_it_and_died(
    built: Cluster,
) -> None:
    """A strong entry asks for the shard and is lost before it takes it. The weak one takes it back
    at once; callers don't wait for the dead one's request to lapse."""
    weak = await weak_owner(built)
    before = token(built)
    built.store.put_document(WorkKeys().bid("all"), asdict(Contender("gone/0", 0.0)))
    await until(lambda: not weak.owns, 2.0)
    began = clock.read()
    await until(lambda: weak.owns, 3.0)
    assert clock.read() - began < challenger.PRECEDENCE + 1.0
    assert token(built) > before


@with_cluster(members=1)
async def test_an_owner_that_fails_to_hand_over_goes_on(built: Cluster) -> None:
    """The store loses the answer to the last word of an owner that gives way. It may be in force,
    so nothing is renewed any more; the owner must go back on it, or all that runs ends."""
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
    await anyio.sleep(LEASE_OF_TASKS)
    assert built.audit.started[task] == 1
    assert token(built) == before
    await weak.call("POST", PREFIX + next_id, job())
    await until_state(weak, next_id, "completed", 2.0)


@with_cluster(members=1)
async def test_jobs_start_while_an_owner_fails_to_hand_over(built: Cluster) -> None:
    """An owner gives way, and no last word of it is ever confirmed. For the three seconds in which
    it tries it alone decides, and what it starts needs leases that it may extend."""
    weak = await weak_owner(built)
    task, before = await lasting_task(built, weak), token(built)
    lost = LastWordsLost(weak, carried_out=True, delay=0.5)
    built.store.put_document(WorkKeys().bid("all"), asdict(Contender("stronger/0", 0.0)))
    await until(lambda: lost.tries > 0)
    waits: list[float] = []
    while lost.tries < 3:
        await wait_for_start(built, weak, waits)
    assert max(waits) < 1.5
    await anyio.sleep(GIVE_WAY_BOUND)
    assert token(built) == before
    assert set(built.audit.started.values()) == {1}
    assert any(task in executor.running for executor in built.executors)


def test_a_damaged_holder_counts_as_one_that_can_carry_the_shard() -> None:
    """The holder's key has a form that this version can't read. Taken for a weak owner it would be
    asked for the shard again and again."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            stand_in, keys = StandInStore(), WorkKeys()
            stand_in.put(keys.holder("all"), base64.b64encode(b"entry-0/former").decode())
            watch = HolderWatch(PlatformStore(HttpClient(), listen(tasks, stand_in)), keys, "all")
            tasks.start_soon(watch.run)
            await until(lambda: watch.holder is not None)
            assert watch.holder == Contender("entry-0/former", 0.0)
            tasks.cancel_scope.cancel()

    anyio.run(run)
