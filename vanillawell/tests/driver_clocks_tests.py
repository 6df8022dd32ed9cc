"""Test whose clocks an owner leaves for its successors to tell the time by."""

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
class Reader:
    """What a driver knows of the clock of its executor."""

    executor: Executor
    clock: ExecutorClock = field(default_factory=ExecutorClock)

    @property
    def knows_clock(self) -> bool:
        """Tell whether the clock was read."""
        return self.clock.value is not None

    def read(self, now: float) -> None:
        """Read the clock, which shows the time since 90."""
        self.clock.add_reading(now - 90.0, now, now)


def test_the_clocks_of_silent_executors_are_not_left_before_those_of_sound_ones() -> None:
    """All executors with lasting tasks are out of touch. A successor can read none of their clocks,
    so no time would count as passed for it, and the wait for their leases begins anew."""
    harness, lost = ShardHarness(), []
    for number in range(REFERENCE_CLOCKS):
        reader = Reader(busy_executor(harness, f"i-{number}"))
        reader.read(harness.now)
        reader.executor.unresponsive_since = harness.now
        lost.append(reader)
    assert all(has_long_running(reader.executor) for reader in lost)
    sound = Reader(harness.register(facts("i-sound")))
    sound.read(harness.now + 1.0)
    readers = {item.executor.name: item for item in (*lost, sound)}
    clocks = DriverClocks(cast("dict[str, ExecutorDriver]", readers)).upper_bound(harness.now + 1.0)
    assert "i-sound@1" in itertools.islice(clocks, REFERENCE_CLOCKS)
