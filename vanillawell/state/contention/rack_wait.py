"""Decide how long tasks wait for a place on the rack that holds their data.

The load: many jobs want the same rack, which is full. Away from their data tasks take several times
as long, and occupy that much more of the pool; but a place there may become free too late.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from vanillawell.state.executors import Executor
    from vanillawell.state.progress import StepProgress

MAX_RACK_WAIT = 1.5
"""Maximum seconds of a wait: run times may be known badly, and a job that waits shows no progress.
"""


@dataclass(slots=True)
class RackQueues:
    """Tasks that wait for racks, in one pass over all steps."""

    remote_factor: float
    """Multiple of its run time that a task takes away from its data."""

    _ahead: Counter[str] = field(default_factory=Counter)
    """Tasks of earlier steps that wait for a rack."""

    def waits(self, step: StepProgress, places: int, seconds: float, now: float) -> bool:
        """Return whether a step's tasks wait for their rack; if so, later steps queue behind them.

        They wait for at most as long as their runs would be prolonged elsewhere, so that a wait in
        vain costs no more than once that time. Behind a queue that takes longer they don't wait.

        Args:
            step: A step whose data is on a full rack.
            places: Number of its tasks that fit on the rack at a time.
            seconds: Expected run time of a task near its data.
            now: Present time.
        """
        patience = min(MAX_RACK_WAIT, (self.remote_factor - 1.0) * seconds)
        if step.rack_wait_since is None:
            step.rack_wait_since = now
        rack = step.spec.data_rack
        if not places or now - step.rack_wait_since >= patience:
            return False
        if seconds * self._ahead[rack] / places >= patience:
            return False
        self._ahead[rack] += len(step.waiting)
        return True


def places_on_rack(step: StepProgress, executors: Iterable[Executor]) -> int:
    """Return how many tasks of a step fit on its data's rack if nothing else runs there."""
    spec = step.spec
    cpu = max(1, spec.reserved.cpu)
    return sum(
        item.facts.capacity.cpu // cpu for item in executors if item.facts.rack == spec.data_rack
    )
