"""Prove what a planned stop, or a freeze, of an owner must not lose in trouble of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

import anyio
from hypothesis import given
from hypothesis import strategies as st

from vanillawell.coordination.lease_manager import STORED_BOUND_MARGIN
from vanillawell.coordination.leases import CLOCK_DRIFT, ExecutorClock
from vanillawell.exceptions import StoreOutcomeUnknownError
from vanillawell.platform.http import HttpClient
from vanillawell.platform.store import PlatformStore
from vanillawell.protocol.store import Put
from vanillawell.protocol.work_documents import WorkKeys
from vanillawell.standins.scheduler.store import StandInStore
from vanillawell.tests.lease_manager_tests import Owner, bounds, unreached
from vanillawell.tests.scheduler_cluster import (
    PREFIX,
    Cluster,
    job,
    listen,
    step,
    until,
    until_state,
    with_cluster,
)
from vanillawell.tests.scheduling_builders import ShardHarness, facts
from vanillawell.tests.term_tests import _take

if TYPE_CHECKING:
    from vanillawell.protocol.store import Transaction, TransactionResult
    from vanillawell.tests.scheduler_cluster import Member

OUTAGE = 6.0
"""Seconds for which the store is away; sound work is to live through nine."""

NOTICED = 2.6
"""Seconds within which an owner notices that an executor of lasting tasks answers nothing."""

PROCESS_END = 4.1
"""Seconds between the request to stop and the end of the process."""


def test_a_write_after_one_that_was_broken_off_is_stored_or_repeated() -> None:
    """A stopping owner breaks its hand-over off while the store's answer is lost. What it writes
    next must be in the store once it is taken as stored: ends are confirmed on that ground."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            stand_in = StandInStore()
            store = PlatformStore(HttpClient(), listen(tasks, stand_in))
            term = await _take(store, "entry-0")
            stand_in.faults.lose_answers = 1
            with anyio.move_on_after(0.3):
                await term.write([Put("value/bounds", b"x")])
            assert "value/bounds" in stand_in.items
            with anyio.fail_after(5):
                await term.write([Put("value/turn", b"x")])
            assert "value/turn" in stand_in.items
            tasks.cancel_scope.cancel()

    anyio.run(run)


@with_cluster(members=2)
async def test_sound_work_outlives_a_planned_stop_while_the_store_is_away(built: Cluster) -> None:
    """The store goes away a moment before the owner is asked to stop. Nobody can take over, so the
    owner goes on renewing what runs until its process ends."""
    owner, job_id = await built.owner(), built.new_id()
    await owner.call("POST", PREFIX + job_id, job(step(longRunning=True), spec={"seconds": 60}))
    task = f"{job_id}.0.0.0"
    await until(lambda: task in built.audit.started)
    await anyio.sleep(1.0)
    built.store.faults.refuse = True
    began = anyio.current_time()
    await owner.node.hand_over()
    await anyio.sleep(PROCESS_END - (anyio.current_time() - began))
    await built.kill(owner)
    await anyio.sleep(OUTAGE - (anyio.current_time() - began))
    built.store.faults.refuse = False
    await built.owner()
    await anyio.sleep(4.0)
    assert built.audit.started[task] == 1
    assert any(task in executor.running for executor in built.executors)


def test_answers_that_came_late_do_not_shorten_a_stored_bound() -> None:
    """An owner is frozen for a second. The answers that waited for it show clocks of then, and it
    stores them as those of now; its successor must not count that second as passed once more."""
    frozen, left = 1.2, 4.0
    reading = ExecutorClock()
    reading.add_reading(100.0, sent=10.0, now=10.0)
    # answered during the freeze, read after it
    reading.add_reading(100.0 + 0.5, sent=10.0, now=10.0 + 0.5 + frozen)
    stored = reading.upper_bound(10.0 + 0.5 + frozen)
    harness = ShardHarness()
    passed = 2.0
    shown = {"i-2@1": 100.0 + 0.5 + frozen + passed}
    owner = Owner(bounds({"i-1": left}, {"i-2@1": stored}), shown)
    executor = unreached(harness, owner, "i-1")
    owner.keeper.count_time_passed([executor], harness.now)
    assert executor.lease_expires_at >= harness.now + left - passed - 1e-9
    assert frozen > STORED_BOUND_MARGIN, "the margin does not cover it"


@given(st.lists(st.tuples(st.floats(0, 3), st.floats(0, 3), st.floats(0, 3)), min_size=1))
def test_an_executors_clock_lies_between_the_bounds_of_its_readings(
    calls: list[tuple[float, float, float]],
) -> None:
    """Answers are late by any time on the way there and back, and the clock is as slow as it may
    be. Bounds that missed it would shorten or prolong the leases of work."""
    estimate, now = ExecutorClock(), 1_000.0
    for there, back, pause in calls:
        sent, made = now, now + there
        now = made + back
        estimate.add_reading(_slow_clock(made), sent, now)
        now += pause
        assert estimate.lower_bound(now) <= _slow_clock(now) + 1e-6
        assert estimate.upper_bound(now) >= _slow_clock(now) - 1e-6


def _slow_clock(now: float) -> float:
    return 70.0 + (now - 1_000.0) * (1 - CLOCK_DRIFT)


def test_an_executor_that_answers_nothing_gets_no_work_when_its_suspicion_ends() -> None:
    """Its leases may not be extended, so each start would be given up unsent, and planned anew
    with a write in each turn until the next call fails."""
    harness = ShardHarness(facts("i-1"))
    executor = harness.shard.ledger.executors["i-1"]
    executor.unresponsive_since = harness.now - 5.0
    assert not executor.accepts_tasks(harness.now)


@with_cluster(executors=1)
async def test_an_executor_that_was_silent_beyond_its_leases_takes_work_again(
    built: Cluster,
) -> None:
    """An executor answers nothing until all its leases are over, and then answers again. Nothing is
    charged to it any more, so nobody asks whether it does, and each start is given up unsent."""
    owner, lasting, later = await built.owner(), built.new_id(), built.new_id()
    body = job(step(longRunning=True), spec={"seconds": 60})
    await owner.call("POST", PREFIX + lasting, body)
    task = f"{lasting}.0.0.0"
    await until(lambda: task in built.audit.started)
    executor = built.hosts["i-0"].executor
    executor.faults.unresponsive = True
    await anyio.sleep(OUTAGE + NOTICED)
    executor.faults.unresponsive = False
    await owner.call("POST", PREFIX + later, job())
    await until_state(owner, later, "completed", 5)


@with_cluster(members=2)
async def test_an_end_is_stored_before_it_is_confirmed_when_a_hand_over_fails(
    built: Cluster,
) -> None:
    """The owner is asked to stop, and the store's answer to its last word on leases is lost.
    Tasks end meanwhile. One that is confirmed but not stored would be started once more."""
    owner = await built.owner()
    other = next(member for member in built.members if member is not owner)
    job_ids = [built.new_id() for _ in range(12)]
    for number, job_id in enumerate(job_ids):
        await owner.call("POST", PREFIX + job_id, job(spec={"seconds": 1.5 + 0.1 * number}))
    tasks = [f"{job_id}.0.0.0" for job_id in job_ids]
    await until(lambda: all(task in built.audit.started for task in tasks))
    built.store.faults.delay = 0.3
    await until(lambda: tasks[0] in built.audit.done)
    built.store.faults.write_filter = lambda body: "leases/all" in body
    built.store.faults.lose_answers = 1
    await owner.node.hand_over()
    await anyio.sleep(PROCESS_END - 1.0)
    built.store.faults.delay = 0.0
    await built.kill(owner)
    await until(lambda: other.owns, 4)
    for job_id in job_ids:
        await until_state(other, job_id, "completed")
    assert {task: built.audit.started[task] for task in tasks} == dict.fromkeys(tasks, 1)


class AnswerLostThenAway:
    """Stand between an entry and the store: the write of the bounds is carried out and its answer
    is lost; every call after it is refused."""

    def __init__(self, member: Member) -> None:
        self._member = member
        self._inner = member.store.inner

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        result = await self._inner.transact(transaction)
        if any("leases/" in put.key for put in transaction.puts):
            self._member.store.cut = True
            raise StoreOutcomeUnknownError("lost by the test")
        return result


@with_cluster(executors=1)
async def test_no_lease_is_extended_once_its_bound_may_be_stored(built: Cluster) -> None:
    """The store takes the last word of a stopping owner in, breaks off before it answers, and then
    refuses the next try. A successor trusts what it has stored, and would start tasks twice. None
    is there that would extend the lease itself."""
    owner, job_id = await built.owner(), built.new_id()
    await owner.call("POST", PREFIX + job_id, job(step(longRunning=True), spec={"seconds": 60}))
    await until(lambda: f"{job_id}.0.0.0" in built.audit.started)
    owner.store.inner = cast("Any", AnswerLostThenAway(owner))
    built.tasks.start_soon(owner.node.hand_over)
    await anyio.sleep(1.0)
    executor = built.hosts["i-0"].executor
    before = executor._lease_end
    await anyio.sleep(1.5)
    assert owner.store.cut, "the bounds were written"
    assert executor._lease_end == before


@with_cluster(executors=2)
async def test_an_owner_that_has_handed_over_writes_nothing_more(built: Cluster) -> None:
    """Tasks go on ending for a moment after an owner's last word. Each write of a turn would move
    the document that candidates take the shard by, and the best suited would fail at it first."""
    owner = await built.owner()
    for number in range(12):
        body = job(spec={"seconds": 1.0 + 0.05 * number})
        await owner.call("POST", PREFIX + built.new_id(), body)
    await until(lambda: len(built.audit.started) == 12)
    await until(lambda: sum(len(executor.running) for executor in built.executors) < 12)
    await owner.node.hand_over()
    key = WorkKeys().term("all")
    before = built.store.items[key].revision
    await anyio.sleep(1.0)
    assert not any(member.owns for member in built.members if member is not owner)
    assert built.store.items[key].revision == before


@with_cluster(members=2, executors=1)
async def test_an_owner_whose_turn_is_slow_hands_over_once_it_is_stored(built: Cluster) -> None:
    """An owner with a narrow link is stopped while it stores a turn, for longer than it waits to
    hand over. It lives on for seconds, starts nothing any more, and keeps the shard all the while;
    then its lease has to end, and of executors in touch no bound is left."""
    owner = await built.owner()
    (other,) = [member for member in built.members if member is not owner]
    owner.store.answer_time = 1.5
    async with anyio.create_task_group() as callers:
        callers.start_soon(other.call, "POST", PREFIX + built.new_id(), job())
        await anyio.sleep(0.2)
        await owner.node.hand_over()
        owner.store.answer_time = 0.0
        await until(lambda: other.owns, 2.6)
