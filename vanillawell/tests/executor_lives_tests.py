"""Test that nothing of one incarnation of an executor reaches the next one, on plain data."""

from __future__ import annotations

from vanillawell.protocol.executor_calls import HoldReport
from vanillawell.state.executors import Executor
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

SECOND = 2
"""Start of the incarnation that follows the one that `facts` describes."""


def report_of_second(harness: ShardHarness, executor: Executor) -> None:
    """Let the second incarnation report before it has registered."""
    harness.now += 1.0
    report = HoldReport(0.0, SECOND, [], [])
    harness.shard.apply_report(executor, report, harness.now, harness.now, harness.now)


# Guards against filling a smaller incarnation to the capacity of the one before.
def test_nothing_is_placed_on_an_incarnation_before_its_registration() -> None:
    harness = ShardHarness(facts("i-0", cpu=8_000))
    executor = harness.shard.ledger.executors["i-0"]
    report_of_second(harness, executor)
    harness.admit(job(step(8)))
    assert harness.place() == []
    harness.register(facts("i-0", cpu=2_000, incarnation=SECOND))
    assert len(harness.place()) == 2


# Guards against an incarnation that never gets work, since its entry was read before its report.
def test_registration_read_before_the_first_report_counts() -> None:
    harness = ShardHarness(facts("i-0"))
    executor = harness.register(facts("i-0", incarnation=SECOND))
    report_of_second(harness, executor)
    harness.admit(job())
    assert len(harness.place()) == 1


# Guards against taking a new incarnation for warm, as its statement equals its predecessor's.
def test_cold_time_of_an_incarnation_that_reported_before_it_registered_counts() -> None:
    harness = ShardHarness(facts("i-0", cold_remaining=5.0))
    executor = harness.shard.ledger.executors["i-0"]
    harness.now += 10.0
    report_of_second(harness, executor)
    harness.register(facts("i-0", incarnation=SECOND, cold_remaining=5.0))
    assert executor.is_cold(harness.now)
