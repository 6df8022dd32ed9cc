"""Test that runs stay charged until it is proved that they are over."""

from __future__ import annotations

from vanillawell.protocol.executor_calls import HoldReport
from vanillawell.state.work import Resources
from vanillawell.tests.scheduling_builders import Bench, facts, job, step


def test_a_late_report_for_a_forgotten_executor_leaves_its_return_alone() -> None:
    """An executor leaves the registry while it has nothing to do, and comes back while a report
    that was asked for before is still on its way. That report must not make its runs forgotten:
    the executor would be given twice what it has room for."""
    bench = Bench(facts("i-0"))
    shard = bench.shard
    before = shard.ledger.executors["i-0"]
    shard.ledger.unregister("i-0")
    after = bench.register(facts("i-0"))
    bench.admit(job(step(8)))
    assert len(bench.place()) == 8
    report = HoldReport(0.0, 1, [], [])
    shard.take_report(before, report, bench.now, bench.now, bench.now)
    assert shard.ledger.executors["i-0"] is after
    assert after.free == Resources(0, 64_000 - 80)
