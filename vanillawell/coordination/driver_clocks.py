"""Read the monotonic clocks of all executors that an owner has contact with."""

from __future__ import annotations

from typing import TYPE_CHECKING

from vanillawell.state.availability import has_long_running
from vanillawell.state.upkeep import incarnation_id

if TYPE_CHECKING:
    from collections.abc import Mapping

    from vanillawell.coordination.executor_driver import ExecutorDriver


class DriverClocks:
    """Provide the executor clocks that the drivers of a term have read."""

    def __init__(self, drivers: Mapping[str, ExecutorDriver]) -> None:
        self._drivers = drivers

    def lower_bound(self, now: float) -> dict[str, float]:
        """Return lower bounds of what the clocks show now, by executor incarnation."""
        return {
            incarnation_id(item.executor): item.clock.lower_bound(now)
            for item in self._readable_drivers()
        }

    def upper_bound(self, now: float) -> dict[str, float]:
        """Return upper bounds of what the clocks show now, by executor incarnation.

        Clocks that a successor can probably read come first: those of reachable executors, among
        these the ones with long-running tasks, whose machines are not moved, and among these the
        most recently read ones.
        """
        read = sorted(
            self._readable_drivers(),
            key=lambda item: (
                item.executor.is_unconfirmed,
                not has_long_running(item.executor),
                -item.clock.read_at,
            ),
        )
        return {incarnation_id(item.executor): item.clock.upper_bound(now) for item in read}

    def _readable_drivers(self) -> list[ExecutorDriver]:
        return [item for item in self._drivers.values() if item.has_clock_reading]
