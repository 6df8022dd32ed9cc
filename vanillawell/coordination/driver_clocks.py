"""Read the steady clocks of all executors that an owner has contact with."""

from __future__ import annotations

from typing import TYPE_CHECKING

from vanillawell.state.availability import has_lasting
from vanillawell.state.upkeep import life_of

if TYPE_CHECKING:
    from collections.abc import Mapping

    from vanillawell.coordination.executor_driver import ExecutorDriver


class DriverClocks:
    """Provide the executor clocks that the drivers of a term have read."""

    def __init__(self, drivers: Mapping[str, ExecutorDriver]) -> None:
        self._drivers = drivers

    def at_least(self, now: float) -> dict[str, float]:
        """Return lower bounds of what the clocks show now, by executor incarnation."""
        return {
            life_of(item.executor): item.clock.at_least(now) for item in self._readable_drivers()
        }

    def at_most(self, now: float) -> dict[str, float]:
        """Return upper bounds of what the clocks show now, by executor incarnation.

        Clocks that a successor can probably read come first: those of reachable executors, then
        those of executors with long-running tasks, whose machines are not moved, then the most
        recently read ones.
        """
        read = sorted(
            self._readable_drivers(),
            key=lambda item: (
                item.executor.is_out_of_touch,
                not has_lasting(item.executor),
                -item.clock.read_at,
            ),
        )
        return {life_of(item.executor): item.clock.at_most(now) for item in read}

    def _readable_drivers(self) -> list[ExecutorDriver]:
        return [item for item in self._drivers.values() if item.has_clock_reading]
