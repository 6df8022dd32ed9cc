"""Test that runs stay charged until they are confirmed to have ended."""

from __future__ import annotations

from vanillawell.protocol.executor_calls import HoldReport, ReportedEnd
from vanillawell.state.end_proofs import EndProof
from vanillawell.state.progress import RunPhase
from vanillawell.state.work import Ending, Resources
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step


def test_late_report_for_removed_executor_does_not_affect_its_new_registration() -> None:
    """An idle executor unregisters, and registers again while an earlier report is in flight.

    If that report dropped the new runs, the executor would be charged too little and get twice the
    work that it has capacity for.
    """
    harness = ShardHarness(facts("i-0"))
    shard = harness.shard
    before = shard.ledger.executors["i-0"]
    shard.ledger.unregister("i-0")
    after = harness.register(facts("i-0"))
    harness.admit(job(step(8)))
    assert len(harness.place()) == 8
    report = HoldReport(0.0, 1, [], [])
    shard.apply_report(before, report, harness.now, harness.now, harness.now)
    assert shard.ledger.executors["i-0"] is after
    assert after.free == Resources(0, 64_000 - 80)


def test_new_executor_on_a_machine_ends_the_runs_of_the_previous_one() -> None:
    """Maintenance of a machine terminates its executor without a report.

    Once another executor on the machine answers and the previous one does not, the runs of the
    previous one have ended, and their tasks start again without waiting for its leases.
    """
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(2)))
    assert len(harness.place()) == 2
    harness.shard.ledger.executors["i-0"].lease_expires_at = harness.now + 5.0
    harness.register(facts("i-1", incarnation=2, machine="m-i-0"))
    assert harness.place() == []
    harness.shard.ledger.executors["i-0"].unresponsive_since = harness.now
    assert [run.executor for run in harness.place()] == ["i-1", "i-1"]


def test_registration_of_terminated_incarnation_is_ignored() -> None:
    """An executor's machine was moved, and its old registration is read before it is removed.

    No task may be placed there. A new incarnation under the same id is used once it registers.
    """
    harness = ShardHarness(facts("i-0"))
    harness.shard.mark_terminated("i-0", 1, EndProof.MACHINE_ORDERED, harness.now, harness.now)
    harness.shard.register(facts("i-0"), harness.now)
    assert not harness.shard.ledger.executors
    harness.register(facts("i-0", incarnation=2))
    harness.admit(job(step()))
    assert [run.executor for run in harness.place()] == ["i-0"]


def test_runs_of_unresponsive_executor_end_only_when_its_lease_has_expired() -> None:
    harness = ShardHarness(facts("i-0"), facts("i-1"))
    harness.admit(job(step(1)))
    (run,) = harness.place()
    unresponsive = harness.shard.ledger.executors[run.executor]
    unresponsive.lease_expires_at = harness.now + 5.0
    unresponsive.registered = False
    harness.shard.expire(harness.now + 4.9, 0.0)
    assert harness.place() == []
    harness.shard.expire(harness.now + 5.1, 0.0)
    (again,) = harness.place()
    assert (again.number, again.executor != run.executor) == (2, True)


def test_unanswered_order_stays_charged_until_a_stop_is_confirmed() -> None:
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(1)))
    (run,) = harness.place()
    run.enter_phase(RunPhase.UNCERTAIN, harness.now)
    executor = harness.shard.ledger.executors["i-0"]
    empty = HoldReport(0.0, 1, [], [])
    harness.shard.apply_report(executor, empty, harness.now + 1, harness.now + 1, 0.0)
    assert run.stop_requested
    assert run.task.run is run
    run.stop_confirmed = harness.now + 2
    harness.shard.apply_report(executor, empty, harness.now + 1.5, harness.now + 3, 0.0)
    assert run.task.run is run
    harness.shard.apply_report(executor, empty, harness.now + 3, harness.now + 3, 0.0)
    assert run.task.run is None


def test_repeated_end_counts_once() -> None:
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(1)))
    (run,) = harness.place()
    executor = harness.shard.ledger.executors["i-0"]
    end = ReportedEnd(1, run.task.task_id, 1, Ending.FAILED, "")
    for _ in range(3):
        harness.shard.apply_report(executor, HoldReport(0.0, 1, [], [end]), 101, 101, 0.0)
    assert run.task.failures == 1
    assert executor.saved_end == 0
