"""Throttle background tasks on an executor while they slow down latency-sensitive tasks.

A controller with hysteresis reduces the pace of background tasks as soon as a tail latency comes
near its target, and raises it in small steps once all tail latencies are well below their targets.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from vanillawell.state.executors import Executor
    from vanillawell.state.progress import Run

SLOW_DOWN_ABOVE = 0.85
"""Part of the target above which a tail latency reduces the pace."""

SPEED_UP_BELOW = 0.6
"""Part of the target below which all tail latencies must be before the pace rises. The gap between
the two limits prevents oscillation."""

SLOW_DOWN_FACTOR = 0.4
"""Factor by which the pace falls; three reductions bring it below a tenth within two seconds."""

SPEED_UP_STEP = 20
"""Percentage points by which the pace rises."""

MIN_CHANGE_INTERVAL = 1.0
"""Minimum seconds between two changes: tail latencies are reported over the last half second."""

MIN_PACE = 7
"""Pace in per cent below which a task is paused altogether."""


INHERITED_PACE = 20
"""Pace in per cent with which an owner begins where a previous one may have paced tasks down: their
full pace could bring tail latencies over their targets at once."""


@dataclass(slots=True)
class Pacer:
    """Decide the pace of the background tasks of one executor."""

    percent: int = 100
    changed_at: float = 0.0

    def decide(self, executor: Executor, now: float) -> Iterator[tuple[Run, int]]:
        """Yield each run whose pace has to change, with its new percentage."""
        runs = list(executor.runs.values())
        background = [run for run in runs if run.task.step.spec.fills and run.started is not None]
        serving = [run for run in runs if run.task.step.spec.tail_target]
        if not background or not serving:
            self.percent = 100
        elif any(run.pace is None for run in background):
            self._begin_carefully(now)
        else:
            self._adjust(serving, now)
        for run in background:
            if run.pace != self.percent:
                yield run, self.percent

    def _begin_carefully(self, now: float) -> None:
        """Limit the pace while that of a run is unknown."""
        if self.percent > INHERITED_PACE:
            self.percent, self.changed_at = INHERITED_PACE, now

    def _adjust(self, serving: list[Run], now: float) -> None:
        target_ratios = [
            run.tail / run.task.step.spec.tail_target for run in serving if run.is_available
        ]
        if not target_ratios or now - self.changed_at < MIN_CHANGE_INTERVAL:
            return
        before = self.percent
        if max(target_ratios) > SLOW_DOWN_ABOVE:
            reduced = int(self.percent * SLOW_DOWN_FACTOR)
            self.percent = reduced if reduced >= MIN_PACE else 0
        elif max(target_ratios) < SPEED_UP_BELOW:
            self.percent = min(100, self.percent + SPEED_UP_STEP)
        if self.percent != before:
            self.changed_at = now
