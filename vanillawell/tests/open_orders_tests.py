"""Test that an order to one incarnation of an executor is not carried out by the next one."""

from __future__ import annotations

import anyio

from vanillawell.protocol.executor_calls import HoldReport
from vanillawell.state.end_proofs import EndProof
from vanillawell.state.progress import Run, RunPhase
from vanillawell.tests.delayed_starts_tests import fall_silent, return_under_its_id
from vanillawell.tests.scheduler_cluster import Cluster, until_state, with_cluster
from vanillawell.tests.scheduler_documents import PREFIX
from vanillawell.tests.scheduler_documents import job as job_body
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

LEASE = 5.0
"""Seconds."""

CONTACT_TIME = 1.0
"""Seconds within which an executor that has registered again is called."""

ORDER_TIME = 0.3
"""Seconds within which an order that has arrived is carried out."""


def unanswered_run() -> tuple[ShardHarness, Run]:
    """Return a run whose start order got no answer."""
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(1)))
    (run,) = harness.place()
    run.enter_phase(RunPhase.UNCERTAIN, harness.now)
    return harness, run


def check_rejection_comes_first(harness: ShardHarness, run: Run) -> None:
    """Let the next incarnation register and report, and check what it gets."""
    executor = harness.register(facts("i-0", incarnation=2))
    assert executor.incarnation.open_orders == {(run.task.task_id, run.number)}
    assert harness.place() == []
    executor.incarnation.open_orders.clear()
    assert len(harness.place()) == 1


# Guards against new tasks beside an order that was on its way when the executor was proved to end.
def test_next_incarnation_first_rejects_unanswered_orders_of_an_ended_one() -> None:
    harness, run = unanswered_run()
    harness.shard.mark_terminated("i-0", 1, EndProof.MACHINE_LIST, harness.now, harness.now)
    check_rejection_comes_first(harness, run)


# Guards against the same after the leases of an executor have expired; the clock of its next
# incarnation starts anew, so that the order comes in time there.
def test_next_incarnation_first_rejects_unanswered_orders_of_expired_leases() -> None:
    harness, run = unanswered_run()
    harness.shard.ledger.executors["i-0"].lease_expires_at = harness.now + LEASE
    harness.now += LEASE
    harness.shard.expire(harness.now, harness.now)
    check_rejection_comes_first(harness, run)


# Guards against waiting for the rejection of runs whose outcome was known.
def test_next_incarnation_rejects_no_order_that_was_answered() -> None:
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(1)))
    assert len(harness.place()) == 1
    harness.shard.mark_terminated("i-0", 1, EndProof.MACHINE_LIST, harness.now, harness.now)
    executor = harness.register(facts("i-0", incarnation=2))
    assert not executor.incarnation.open_orders
    assert len(harness.place()) == 1


# Guards against taking an incarnation's promise to reject an order for the next one's.
def test_stop_that_the_former_incarnation_confirmed_is_requested_again() -> None:
    harness, run = unanswered_run()
    executor = harness.shard.ledger.executors["i-0"]
    harness.shard.request_stop(run)
    run.stop_confirmed = harness.now
    harness.now += 1.0
    report = HoldReport(0.0, 2, [], [])
    harness.shard.apply_report(executor, report, harness.now, harness.now, harness.now)
    assert run.task.run is run
    assert harness.shard.outbox.stops == [run, run]


# Guards against a second run of a task by an order that was on its way while the executor was
# proved to have ended, the task was done elsewhere, and the executor started again under its id.
@with_cluster(executors=1)
async def test_order_on_its_way_is_not_carried_out_by_the_next_incarnation(built: Cluster) -> None:
    host = built.hosts["i-0"]
    await fall_silent(built, "i-0")
    host.late_starts = anyio.Event()
    owner, job_id = await built.owner(), built.new_id()
    await owner.call("POST", PREFIX + job_id, job_body())
    await built.add_executor("i-1")
    await until_state(owner, job_id, "completed")
    returned = return_under_its_id(built, "i-0")
    await anyio.sleep(CONTACT_TIME)
    host.late_starts.set()
    await anyio.sleep(ORDER_TIME)
    assert returned.start_count == 0
