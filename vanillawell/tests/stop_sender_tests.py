"""Prove on plain data which orders to stop go out at once, and which wait."""

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
    from vanillawell.state.work import Run


@dataclass
class NotedOrders:
    """Note the stops that a driver is given."""

    stopped: list[Run] = field(default_factory=list)
    orphans: list[OrphanedRun] = field(default_factory=list)

    def stop(self, run: Run) -> None:
        self.stopped.append(run)

    def stop_orphan(self, stray: OrphanedRun) -> None:
        self.orphans.append(stray)


@dataclass
class NotingDriver:
    """Stand in for the driver of one life of an executor."""

    executor: Executor
    orders: NotedOrders = field(default_factory=NotedOrders)


@dataclass
class FixedTerm:
    """A term whose lease holds as the test says."""

    held: bool = True

    def is_held(self, now: float) -> bool:
        return self.held


class Sending:
    """A shard with one run, and the sender of its stops."""

    def __init__(self) -> None:
        self.harness = ShardHarness(facts("i-0"))
        self.harness.admit(job(step(long_running=True)))
        (self.run,) = self.harness.place()
        self.drivers: dict[str, NotingDriver] = {}
        self.term = FixedTerm()
        fields: tuple[Any, ...] = (self.term, self.drivers)
        self.sender = StopSender(self.harness.shard, *fields)

    def drive(self) -> NotedOrders:
        """Give the executor its driver."""
        driver = NotingDriver(self.harness.shard.ledger.executors["i-0"])
        self.drivers["i-0"] = driver
        return driver.orders

    def send(self) -> None:
        self.sender.send(self.harness.now)


def test_a_stop_is_sent_once() -> None:
    sending = Sending()
    orders = sending.drive()
    sending.harness.shard.request_stop(sending.run)
    for _ in range(2):
        sending.send()
    assert orders.stopped == [sending.run]


def test_a_stop_waits_for_the_driver_of_its_executor(caplog: pytest.LogCaptureFixture) -> None:
    """A new owner finds the run of a cancelled job before it has driven any executor. Dropped, the
    stop would never be wanted again, and the run would go on for as long as its lease is renewed.
    """
    sending = Sending()
    sending.harness.shard.request_stop(sending.run)
    with caplog.at_level(logging.WARNING):
        for _ in range(3):
            sending.send()
    assert [record.getMessage() for record in caplog.records] == ["stops wait"]
    orders = sending.drive()
    sending.send()
    assert orders.stopped == [sending.run]


def test_a_stop_is_not_given_to_the_driver_of_an_executor_that_was_forgotten() -> None:
    """An executor has left with nothing on it, and registers again: its former driver ends."""
    sending = Sending()
    former = sending.drive()
    former_driver = sending.drivers["i-0"]
    former_driver.executor = ShardHarness(facts("i-0")).shard.ledger.executors["i-0"]
    sending.harness.shard.request_stop(sending.run)
    sending.send()
    assert former.stopped == []
    orders = sending.drive()
    sending.send()
    assert orders.stopped == [sending.run]


def test_nothing_is_stopped_while_the_lease_of_the_owner_has_lapsed() -> None:
    """The store is away, so nothing could start in place of what was stopped."""
    sending = Sending()
    orders = sending.drive()
    sending.term.held = False
    sending.harness.shard.request_stop(sending.run)
    sending.send()
    assert orders.stopped == []
    sending.term.held = True
    sending.send()
    assert orders.stopped == [sending.run]


def test_a_run_that_is_over_is_not_stopped() -> None:
    """Its end was reported while the stop waited."""
    sending = Sending()
    sending.harness.shard.request_stop(sending.run)
    sending.send()
    sending.harness.end(sending.run, Ending.STOPPED)
    orders = sending.drive()
    sending.send()
    assert orders.stopped == []
    assert sending.harness.shard.outbox.stops == []


def test_what_no_task_wants_is_stopped_even_while_the_lease_has_lapsed() -> None:
    """Nothing has to start in its place, and it may run beside the run that counts."""
    sending = Sending()
    orders = sending.drive()
    sending.term.held = False
    stray = OrphanedRun("i-0", sending.run.task.task_id, 7)
    sending.harness.shard.outbox.stop_orphan(stray)
    sending.send()
    assert orders.orphans == [stray]
