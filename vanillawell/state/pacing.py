"""Slow tasks that live on left-over processor time while they harm tasks with response times.

A controller with hysteresis: it halves the pace as soon as a tail comes near its target, and gives
it back in small steps once all tails have been well below for a while.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from vanillawell.state.executors import Executor
    from vanillawell.state.work import Run

NEAR = 0.85
"""Part of the target above which a tail calls for a slower pace."""

FAR = 0.6
"""Part of the target below which all tails must be before the pace rises; the gap between the two
keeps the pace from swinging."""

SLOWER = 0.4
"""Factor by which the pace falls; three steps bring it below a tenth within two seconds."""

FASTER = 20
"""Percentage points by which it rises."""

REST = 1.0
"""Seconds between two changes: tails are reported over the last half second."""

LOWEST = 7
"""Pace in per cent below which a task is stopped working altogether."""


@dataclass(slots=True)
class Pacer:
    """Decide the pace of the filling tasks of one executor."""

    percent: int = 100
    changed: float = 0.0

    def decide(self, executor: Executor, now: float) -> Iterator[tuple[Run, int]]:
        """Yield each run whose pace has to change, with its new percentage."""
        runs = list(executor.runs.values())
        filling = [run for run in runs if run.task.step.spec.fills and run.started is not None]
        if not filling:
            self.percent = 100
            return
        self._adjust(runs, now)
        for run in filling:
            if run.pace != self.percent:
                yield run, self.percent

    def _adjust(self, runs: list[Run], now: float) -> None:
        nearness = [
            run.tail / run.task.step.spec.tail_target
            for run in runs
            if run.task.step.spec.tail_target and run.is_available
        ]
        if not nearness or now - self.changed < REST:
            return
        before = self.percent
        if max(nearness) > NEAR:
            slower = int(self.percent * SLOWER)
            self.percent = slower if slower >= LOWEST else 0
        elif max(nearness) < FAR:
            self.percent = min(100, self.percent + FASTER)
        if self.percent != before:
            self.changed = now
