"""Read the steady clocks of all executors that an owner is in touch with."""

from __future__ import annotations

from typing import TYPE_CHECKING

from vanillawell.state.availability import has_long_running
from vanillawell.state.upkeep import incarnation_id

if TYPE_CHECKING:
    from collections.abc import Mapping

    from vanillawell.coordination.executor_driver import ExecutorDriver


class DriverClocks:
    """The clocks that the drivers of a term have read."""

    def __init__(self, drivers: Mapping[str, ExecutorDriver]) -> None:
        self._drivers = drivers

    def lower_bound(self, now: float) -> dict[str, float]:
        """Return what the clocks surely show now, by executors' lives."""
        return {incarnation_id(item.executor): item.clock.lower_bound(now) for item in self._read()}

    def upper_bound(self, now: float) -> dict[str, float]:
        """Return what the clocks show now at most, by executors' lives.

        Those come first that a successor can probably read: of executors in touch, those with
        lasting tasks, since their machines are not moved, and then those that were heard of last.
        """
        read = sorted(
            self._read(),
            key=lambda item: (
                item.executor.is_unconfirmed,
                not has_long_running(item.executor),
                -item.clock.read_at,
            ),
        )
        return {incarnation_id(item.executor): item.clock.upper_bound(now) for item in read}

    def _read(self) -> list[ExecutorDriver]:
        return [item for item in self._drivers.values() if item.knows_clock]
