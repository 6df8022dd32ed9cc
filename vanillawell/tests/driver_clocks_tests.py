"""Test which executors' clocks an owner stores for its successors."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast

from vanillawell.coordination.driver_clocks import DriverClocks
from vanillawell.coordination.leases import REFERENCE_CLOCKS, ExecutorClock
from vanillawell.state.availability import has_lasting
from vanillawell.tests.lease_keeper_tests import busy_executor
from vanillawell.tests.scheduling_builders import Bench, facts

if TYPE_CHECKING:
    from vanillawell.coordination.executor_driver import ExecutorDriver
    from vanillawell.state.executors import Executor


@dataclass
class StubDriver:
    """Stand in for a driver that reads the clock of its executor."""

    executor: Executor
    clock: ExecutorClock = field(default_factory=ExecutorClock)

    @property
    def has_clock_reading(self) -> bool:
        """Return whether the clock was read."""
        return self.clock.value is not None

    def read(self, now: float) -> None:
        """Read the clock, which shows the time since 90."""
        self.clock.note(now - 90.0, now, now)


def test_clocks_of_healthy_executors_precede_those_of_unresponsive_ones() -> None:
    """All executors with long-running tasks are unreachable. A successor could read none of their
    clocks, so it could count no elapsed time and would wait for their full leases again."""
    bench, unresponsive = Bench(), []
    for number in range(REFERENCE_CLOCKS):
        driver = StubDriver(busy_executor(bench, f"i-{number}"))
        driver.read(bench.now)
        driver.executor.silent_since = bench.now
        unresponsive.append(driver)
    assert all(has_lasting(driver.executor) for driver in unresponsive)
    healthy = StubDriver(bench.register(facts("i-sound")))
    healthy.read(bench.now + 1.0)
    drivers = {item.executor.name: item for item in (*unresponsive, healthy)}
    clocks = DriverClocks(cast("dict[str, ExecutorDriver]", drivers)).at_most(bench.now + 1.0)
    assert "i-sound@1" in itertools.islice(clocks, REFERENCE_CLOCKS)
