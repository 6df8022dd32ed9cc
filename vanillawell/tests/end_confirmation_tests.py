"""Test that an end is confirmed only to the incarnation that listed it.

Report calls name the executor only. A new incarnation that receives its predecessor's numbers
forgets ends of its own, and their tasks start again.
"""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

import anyio
import pytest

from vanillawell import clock
from vanillawell.coordination.cycle_batch import CycleTransaction
from vanillawell.coordination.cycle_store import CycleStore
from vanillawell.coordination.executor_driver import ExecutorDriver
from vanillawell.coordination.executor_link import ExecutorLink
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
from vanillawell.protocol.executor_calls import HoldReport, ReportedEnd
from vanillawell.state.work import Ending
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ENDS = 3
"""Ends that the first incarnation has listed, and that are stored."""


class Reports:
    """Calls to an executor that records which ends it is told to forget."""

    def __init__(self) -> None:
        self.confirmed: list[int] = []
        self.error: Exception | None = None
        """What the next report call raises, if anything."""

        self.start_error: Exception | None = None
        self.clock = 0.0
        self.incarnation = 1

    async def hold(self, _target: Any, _fence: int, saved_end: int, *_: Any) -> HoldReport:
        self.confirmed.append(saved_end)
        error, self.error = self.error, None
        if error:
            raise error
        return HoldReport(self.clock or clock.read(), self.incarnation, [], [])

    async def start(self, *_: Any) -> float:
        if self.start_error:
            raise self.start_error
        return self.clock


class Scenario:
    """An executor whose ends are stored, and the driver that calls it."""

    def __init__(self, tasks: Any) -> None:
        self.harness = ShardHarness(facts("i-0"))
        self.harness.admit(job(step(4)))
        runs = self.harness.plan()
        self.harness.now = clock.read()
        for run in self.harness.order(runs[:ENDS]):
            self.harness.end(run)
        self.pending = runs[ENDS]
        self.executor = self.harness.shard.ledger.executors["i-0"]
        self.executor.unsaved_ends.clear()
        self.reports = Reports()
        leases = SimpleNamespace(may_extend=lambda _: True)
        term = SimpleNamespace(token=1, is_held=lambda _: True, lapsed_for=lambda _: 0.0)
        link = ExecutorLink(
            self.executor,
            cast("Any", self.reports),
            self.harness.shard,
            cast("Any", term),
            cast("Any", leases),
            lambda: None,
            lambda: 0.0,
            6.0,
            0.1,
        )
        self.driver = ExecutorDriver(link, tasks)


def with_scenario(test: Callable[[Scenario], Awaitable[None]]) -> Callable[[], None]:
    """Run an async test on a scenario whose executor has reported once."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            scenario = Scenario(tasks)
            await scenario.driver.hold(0.0)
            scenario.reports.confirmed.clear()
            await test(scenario)

    def plain() -> None:
        anyio.run(run)

    plain.__name__, plain.__doc__ = test.__name__, test.__doc__
    return plain


# Guards against confirming nothing at all.
@with_scenario
async def test_stored_ends_are_confirmed(scenario: Scenario) -> None:
    await scenario.driver.hold(0.0)
    assert scenario.reports.confirmed == [ENDS]


# Guards against the numbers of an incarnation whose connections ended reaching the next one.
@with_scenario
async def test_nothing_is_confirmed_after_an_unanswered_call_until_a_report(
    scenario: Scenario,
) -> None:
    scenario.reports.error = NoAnswerError("reset")
    with pytest.raises(NoAnswerError):
        await scenario.driver.hold(0.0)
    await scenario.driver.hold(0.0)
    await scenario.driver.hold(0.0)
    assert scenario.reports.confirmed == [ENDS, 0, ENDS]


# Guards against the same while only orders have shown that something is wrong.
@pytest.mark.parametrize("error", [NoAnswerError("reset"), NotSentError("refused")])
def test_nothing_is_confirmed_after_an_unanswered_start_until_a_report(error: Exception) -> None:
    async def test(scenario: Scenario) -> None:
        scenario.reports.start_error = error
        await scenario.driver.orders._send_start(scenario.pending, clock.read())
        await anyio.wait_all_tasks_blocked()
        assert scenario.reports.confirmed[0] == 0

    with_scenario(test)()


# Guards against missing that a new incarnation already answers starts, over new connections.
@with_scenario
async def test_nothing_is_confirmed_or_placed_after_an_answer_with_an_earlier_clock(
    scenario: Scenario,
) -> None:
    scenario.reports.clock = 0.2
    scenario.reports.incarnation = 2
    await scenario.driver.orders._send_start(scenario.pending, clock.read())
    assert not scenario.executor.accepts_tasks(clock.read())
    await anyio.wait_all_tasks_blocked()
    assert scenario.reports.confirmed == [0]


# Guards against the driver of a replaced executor, whose last calls would confirm its numbers.
@with_scenario
async def test_driver_of_a_replaced_executor_sends_no_report_call(scenario: Scenario) -> None:
    del scenario.harness.shard.ledger.executors["i-0"]
    scenario.harness.register(facts("i-0", incarnation=2))
    await scenario.driver.hold(0.0)
    assert scenario.reports.confirmed == []


# Guards against confirming an end that is not stored, since its number is one of a former life.
def test_stored_end_of_former_incarnation_releases_no_number_of_the_next() -> None:
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(2)))
    first, second = harness.place()
    harness.end(first)
    ends, harness.shard.outbox.ends = harness.shard.outbox.ends, []
    executor = harness.register(facts("i-0", incarnation=2))
    row = ReportedEnd(1, second.task.task_id, second.number, Ending.DONE, "")
    report = HoldReport(0.0, 2, [], [row])
    harness.shard.apply_report(executor, report, harness.now, harness.now, harness.now)
    unused = cast("Any", SimpleNamespace(store_writes=SimpleNamespace(inc=lambda _: None), token=1))
    store = CycleStore("s", harness.shard, unused, unused, unused, {}, unused, unused, 1_048_576)
    store._handle_stored(CycleTransaction(ends=ends), harness.now)
    assert executor.saved_end == 0
