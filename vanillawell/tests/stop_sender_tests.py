"""Test which stop orders are sent at once and which wait, on plain data."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from vanillawell.coordination.stop_sender import StopSender
from vanillawell.state.outbox import OrphanedRun
from vanillawell.state.work import Ending
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

if TYPE_CHECKING:
    import pytest

    from vanillawell.state.executors import Executor
    from vanillawell.state.progress import Run


@dataclass
class RecordingOrders:
    """Record the stops that are passed to a driver."""

    stopped: list[Run] = field(default_factory=list)
    orphans: list[OrphanedRun] = field(default_factory=list)

    def stop(self, run: Run) -> None:
        self.stopped.append(run)

    def stop_orphan(self, orphan: OrphanedRun) -> None:
        self.orphans.append(orphan)


@dataclass
class RecordingDriver:
    """Stand in for the driver of one incarnation of an executor."""

    executor: Executor
    orders: RecordingOrders = field(default_factory=RecordingOrders)


@dataclass
class FixedTerm:
    """A term whose lease state is set by the test."""

    held: bool = True

    def is_held(self, now: float) -> bool:
        return self.held


class StopScenario:
    """A shard with one run, and the sender of its stops."""

    def __init__(self) -> None:
        self.harness = ShardHarness(facts("i-0"))
        self.harness.admit(job(step(long_running=True)))
        (self.run,) = self.harness.place()
        self.drivers: dict[str, RecordingDriver] = {}
        self.term = FixedTerm()
        fields: tuple[Any, ...] = (self.term, self.drivers)
        self.sender = StopSender(self.harness.shard, *fields)

    def add_driver(self) -> RecordingOrders:
        """Add the driver of the executor."""
        driver = RecordingDriver(self.harness.shard.ledger.executors["i-0"])
        self.drivers["i-0"] = driver
        return driver.orders

    def send(self) -> None:
        self.sender.send(self.harness.now)


def test_stop_is_sent_once() -> None:
    scenario = StopScenario()
    orders = scenario.add_driver()
    scenario.harness.shard.request_stop(scenario.run)
    for _ in range(2):
        scenario.send()
    assert orders.stopped == [scenario.run]


def test_stop_waits_until_executor_has_driver(caplog: pytest.LogCaptureFixture) -> None:
    """A new owner loads the run of a cancelled job before the executor has a driver. If the stop
    were dropped, it would never be requested again, and the run would go on for as long as its
    lease is renewed."""
    scenario = StopScenario()
    scenario.harness.shard.request_stop(scenario.run)
    with caplog.at_level(logging.WARNING):
        for _ in range(3):
            scenario.send()
    assert [record.getMessage() for record in caplog.records] == ["stops wait"]
    orders = scenario.add_driver()
    scenario.send()
    assert orders.stopped == [scenario.run]


def test_stop_is_not_sent_through_driver_of_removed_executor() -> None:
    """An executor left without any runs and registers again, so its previous driver terminates."""
    scenario = StopScenario()
    previous_orders = scenario.add_driver()
    previous_driver = scenario.drivers["i-0"]
    previous_driver.executor = ShardHarness(facts("i-0")).shard.ledger.executors["i-0"]
    scenario.harness.shard.request_stop(scenario.run)
    scenario.send()
    assert previous_orders.stopped == []
    orders = scenario.add_driver()
    scenario.send()
    assert orders.stopped == [scenario.run]


def test_stops_wait_while_owner_lease_is_expired() -> None:
    """The store is unavailable, so nothing could start in place of the stopped run."""
    scenario = StopScenario()
    orders = scenario.add_driver()
    scenario.term.held = False
    scenario.harness.shard.request_stop(scenario.run)
    scenario.send()
    assert orders.stopped == []
    scenario.term.held = True
    scenario.send()
    assert orders.stopped == [scenario.run]


def move_of_one_of_two_tasks() -> tuple[StopScenario, RecordingOrders, Run]:
    """Return a scenario whose run is to move while the owner's lease is expired, and the run of the
    other task of its step, which allows one of them to be away."""
    scenario = StopScenario()
    scenario.harness.register(facts("i-1"))
    scenario.harness.admit(job(step(2, long_running=True, most_away=1, most_per_executor=1)))
    runs = scenario.harness.place()
    for run in runs:
        run.is_available = True
    orders = scenario.add_driver()
    scenario.run = next(run for run in runs if run.executor == "i-0")
    scenario.term.held = False
    scenario.harness.shard.request_move(scenario.run)
    scenario.send()
    return scenario, orders, next(run for run in runs if run is not scenario.run)


# Guards against a step with more tasks away than it allows: another of its tasks was lost while the
# order to move this one waited for the owner's lease.
def test_move_that_waited_is_withdrawn_if_another_task_is_away_by_then() -> None:
    scenario, orders, other = move_of_one_of_two_tasks()
    other.is_available = False
    scenario.term.held = True
    scenario.send()
    assert orders.stopped == []
    assert not scenario.run.stop_requested
    other.is_available = True
    scenario.harness.shard.request_move(scenario.run)
    scenario.send()
    assert orders.stopped == [scenario.run]


# Guards against a cancelled job that goes on, since its stop was taken for a move.
def test_stop_that_is_requested_after_a_move_is_not_withdrawn() -> None:
    scenario, orders, other = move_of_one_of_two_tasks()
    other.is_available = False
    scenario.harness.shard.request_stop(scenario.run)
    scenario.term.held = True
    scenario.send()
    assert orders.stopped == [scenario.run]


def test_move_that_waited_is_sent_if_its_step_still_allows_it() -> None:
    scenario, orders, _ = move_of_one_of_two_tasks()
    scenario.term.held = True
    scenario.send()
    assert orders.stopped == [scenario.run]


def test_ended_run_is_not_stopped() -> None:
    """The end of the run was reported while the stop waited."""
    scenario = StopScenario()
    scenario.harness.shard.request_stop(scenario.run)
    scenario.send()
    scenario.harness.end(scenario.run, Ending.STOPPED)
    orders = scenario.add_driver()
    scenario.send()
    assert orders.stopped == []
    assert scenario.harness.shard.outbox.stops == []


def test_orphaned_run_is_stopped_while_owner_lease_is_expired() -> None:
    """Nothing has to start in its place, and it may run in parallel with the task's current run."""
    scenario = StopScenario()
    orders = scenario.add_driver()
    scenario.term.held = False
    orphan = OrphanedRun("i-0", scenario.run.task.task_id, 7)
    scenario.harness.shard.outbox.stop_orphan(orphan)
    scenario.send()
    assert orders.orphans == [orphan]
