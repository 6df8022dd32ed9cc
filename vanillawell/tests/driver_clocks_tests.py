"""Test which executors' clocks an owner stores for its successors."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast

from vanillawell.coordination.driver_clocks import DriverClocks
from vanillawell.coordination.leases import REFERENCE_CLOCKS, ExecutorClock
from vanillawell.state.availability import has_long_running
from vanillawell.tests.lease_manager_tests import busy_executor
from vanillawell.tests.scheduling_builders import ShardHarness, facts

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
        self.clock.add_reading(now - 90.0, now, now)


def test_clocks_of_healthy_executors_precede_those_of_unresponsive_ones() -> None:
    """All executors with long-running tasks are unreachable. A successor could read none of their
    clocks, so it could count no elapsed time and would wait for their full leases again."""
    harness, unresponsive = ShardHarness(), []
    for number in range(REFERENCE_CLOCKS):
        driver = StubDriver(busy_executor(harness, f"i-{number}"))
        driver.read(harness.now)
        driver.executor.unresponsive_since = harness.now
        unresponsive.append(driver)
    assert all(has_long_running(driver.executor) for driver in unresponsive)
    healthy = StubDriver(harness.register(facts("i-sound")))
    healthy.read(harness.now + 1.0)
    drivers = {item.executor.name: item for item in (*unresponsive, healthy)}
    clocks = DriverClocks(cast("dict[str, ExecutorDriver]", drivers)).upper_bound(harness.now + 1.0)
    assert "i-sound@1" in itertools.islice(clocks, REFERENCE_CLOCKS)
