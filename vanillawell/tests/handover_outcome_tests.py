"""Test planned stops and freezes of an owner while the store is unreachable or loses answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

import anyio
from hypothesis import given
from hypothesis import strategies as st

from vanillawell.coordination.lease_manager import STORED_BOUND_MARGIN
from vanillawell.coordination.leases import CLOCK_DRIFT, ExecutorClock
from vanillawell.exceptions import StoreOutcomeUnknownError
from vanillawell.protocol.store import Put
from vanillawell.protocol.work_keys import WorkKeys
from vanillawell.tests.lease_manager_tests import Owner, bounds, unreached
from vanillawell.tests.scheduler_cluster import Cluster, until, until_state, with_cluster
from vanillawell.tests.scheduler_documents import PREFIX, job, step
from vanillawell.tests.scheduling_builders import ShardHarness, facts
from vanillawell.tests.store_setup import StoreSetup, take, with_store

if TYPE_CHECKING:
    from vanillawell.protocol.store import Transaction, TransactionResult
    from vanillawell.tests.scheduler_cluster import Member

OUTAGE = 6.0
"""Seconds for which the store is unreachable; running tasks have to survive nine."""

DETECTION_TIME = 2.6
"""Seconds within which an owner detects that an executor of long-running tasks is unresponsive."""

STOP_DURATION = 4.1
"""Seconds between the request to stop and the end of the process."""


@with_store
async def test_write_after_a_cancelled_one_is_stored_or_repeated(setup: StoreSetup) -> None:
    """A stopping owner cancels its hand-over while the store's answer is lost. The next write must
    not be reported as stored unless it is, since ends of runs are confirmed on that basis."""
    stand_in, store = setup.stand_in, setup.store
    term = await take(store, "entry-0")
    stand_in.faults.lose_answers = 1
    with anyio.move_on_after(0.3):
        await term.write([Put("value/bounds", b"x")])
    assert "value/bounds" in stand_in.items
    with anyio.fail_after(5):
        await term.write([Put("value/turn", b"x")])
    assert "value/turn" in stand_in.items


@with_cluster(members=2)
async def test_running_tasks_survive_a_planned_stop_while_the_store_is_unreachable(
    built: Cluster,
) -> None:
    """The store becomes unreachable just before the owner is requested to stop. No entry can take
    over, so the owner renews running tasks until its process ends."""
    owner, job_id = await built.owner(), built.new_id()
    await owner.call("POST", PREFIX + job_id, job(step(longRunning=True), spec={"seconds": 60}))
    task = f"{job_id}.0.0.0"
    await until(lambda: task in built.audit.started)
    await anyio.sleep(1.0)
    built.store.faults.refuse = True
    began = anyio.current_time()
    await owner.node.hand_over()
    await anyio.sleep(STOP_DURATION - (anyio.current_time() - began))
    await built.kill(owner)
    await anyio.sleep(OUTAGE - (anyio.current_time() - began))
    built.store.faults.refuse = False
    await built.owner()
    await anyio.sleep(4.0)
    assert built.audit.started[task] == 1
    assert any(task in executor.running for executor in built.executors)


def test_answers_read_late_do_not_shorten_a_stored_bound() -> None:
    """An owner is frozen for a second. Answers that arrived meanwhile hold clock readings from
    before the end of the freeze; the next owner must not count that second twice."""
    frozen, left = 1.2, 4.0
    reading = ExecutorClock()
    reading.add_reading(100.0, sent=10.0, now=10.0)
    # This answer was sent during the freeze and is read after it.
    reading.add_reading(100.0 + 0.5, sent=10.0, now=10.0 + 0.5 + frozen)
    stored = reading.upper_bound(10.0 + 0.5 + frozen)
    harness = ShardHarness()
    passed = 2.0
    shown = {"i-2@1": 100.0 + 0.5 + frozen + passed}
    owner = Owner(bounds({"i-1": left}, {"i-2@1": stored}), shown)
    executor = unreached(harness, owner, "i-1")
    owner.manager.subtract_elapsed_time([executor], harness.now)
    assert executor.lease_expires_at >= harness.now + left - passed - 1e-9
    assert frozen > STORED_BOUND_MARGIN, "the margin does not cover it"


@given(st.lists(st.tuples(st.floats(0, 3), st.floats(0, 3), st.floats(0, 3)), min_size=1))
def test_executor_clock_lies_between_the_bounds_of_its_readings(
    calls: list[tuple[float, float, float]],
) -> None:
    """Calls and answers are delayed arbitrarily, and the clock is as slow as permitted. Wrong
    bounds would shorten or extend the leases of running tasks."""
    estimate, now = ExecutorClock(), 1_000.0
    for request_delay, answer_delay, interval in calls:
        sent, made = now, now + request_delay
        now = made + answer_delay
        estimate.add_reading(_slow_clock(made), sent, now)
        now += interval
        assert estimate.lower_bound(now) <= _slow_clock(now) + 1e-6
        assert estimate.upper_bound(now) >= _slow_clock(now) - 1e-6


def _slow_clock(now: float) -> float:
    return 70.0 + (now - 1_000.0) * (1 - CLOCK_DRIFT)


def test_unresponsive_executor_gets_no_tasks_when_its_placement_block_ends() -> None:
    """Its leases may not be extended, so each start would be dropped unsent and planned again, with
    a write in each scheduling cycle until the next call fails."""
    harness = ShardHarness(facts("i-1"))
    executor = harness.shard.ledger.executors["i-1"]
    executor.unresponsive_since = harness.now - 5.0
    assert not executor.accepts_tasks(harness.now)


@with_cluster(executors=1)
async def test_executor_that_was_unresponsive_beyond_its_leases_takes_tasks_again(
    built: Cluster,
) -> None:
    """An executor is unresponsive until all its leases have expired, and then answers again. No
    runs are charged to it any more. The owner must still poll it, or each start is dropped
    unsent."""
    owner, long_running, later = await built.owner(), built.new_id(), built.new_id()
    body = job(step(longRunning=True), spec={"seconds": 60})
    await owner.call("POST", PREFIX + long_running, body)
    task = f"{long_running}.0.0.0"
    await until(lambda: task in built.audit.started)
    executor = built.hosts["i-0"].executor
    executor.faults.unresponsive = True
    await anyio.sleep(OUTAGE + DETECTION_TIME)
    executor.faults.unresponsive = False
    await owner.call("POST", PREFIX + later, job())
    await until_state(owner, later, "completed", 5)


@with_cluster(members=2)
async def test_end_is_stored_before_it_is_confirmed_when_a_hand_over_fails(
    built: Cluster,
) -> None:
    """The owner is requested to stop, and the answer to the write of its final lease document is
    lost. Tasks end meanwhile. If an end were confirmed but not stored, the task would be started
    again."""
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
    await anyio.sleep(STOP_DURATION - 1.0)
    built.store.faults.delay = 0.0
    await built.kill(owner)
    await until(lambda: other.owns, 4)
    for job_id in job_ids:
        await until_state(other, job_id, "completed")
    assert {task: built.audit.started[task] for task in tasks} == dict.fromkeys(tasks, 1)


class AnswerLostThenUnreachable:
    """Store wrapper that loses the answer to the write of the bounds, then refuses all calls."""

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
    """The store carries out the write of a stopping owner's final lease document, fails before it
    answers, and refuses the next try. A new owner relies on the stored bounds, so an extension
    could make a task run twice. No other entry is running that could extend the lease itself."""
    owner, job_id = await built.owner(), built.new_id()
    await owner.call("POST", PREFIX + job_id, job(step(longRunning=True), spec={"seconds": 60}))
    await until(lambda: f"{job_id}.0.0.0" in built.audit.started)
    owner.store.inner = cast("Any", AnswerLostThenUnreachable(owner))
    built.tasks.start_soon(owner.node.hand_over)
    await anyio.sleep(1.0)
    executor = built.hosts["i-0"].executor
    before = executor._lease_end
    await anyio.sleep(1.5)
    assert owner.store.cut, "the bounds were written"
    assert executor._lease_end == before


@with_cluster(executors=2)
async def test_owner_that_has_handed_over_writes_nothing_more(built: Cluster) -> None:
    """Tasks still end after the final lease document is stored. Each further write would change the
    term document, and the claim of the best suited candidate would fail because of it."""
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
async def test_owner_with_a_slow_write_hands_over_once_it_is_stored(built: Cluster) -> None:
    """An owner with a slow network link is stopped during a write that takes longer than it waits
    to hand over. Without a later hand-over it would keep the shard for seconds without starting
    tasks, until its lease expires, and store no bounds of responsive executors."""
    owner = await built.owner()
    (other,) = [member for member in built.members if member is not owner]
    owner.store.answer_time = 1.5
    async with anyio.create_task_group() as callers:
        callers.start_soon(other.call, "POST", PREFIX + built.new_id(), job())
        await anyio.sleep(0.2)
        await owner.node.hand_over()
        owner.store.answer_time = 0.0
        await until(lambda: other.owns, 2.6)
