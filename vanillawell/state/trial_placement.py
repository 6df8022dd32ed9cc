"""Tell how many more machines it takes until lasting tasks that wait all have a place."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from vanillawell.state.work import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from vanillawell.state.executors import Executor
    from vanillawell.state.work import StepProgress


@dataclass(slots=True)
class _Bin:
    """What a machine has left for lasting tasks."""

    free: Resources
    of_step: Counter[StepProgress] = field(default_factory=Counter)

    def takes(self, step: StepProgress) -> bool:
        """Tell whether a task of a step has a place here."""
        bound = step.spec.most_per_executor
        crowded = bool(bound) and self.of_step[step] >= bound
        return not crowded and step.spec.reserved.fits(self.free)

    def put(self, step: StepProgress) -> None:
        """Give a task of a step a place."""
        self.free -= step.spec.reserved
        self.of_step[step] += 1


def _bin_of(executor: Executor) -> _Bin:
    """Return what an executor has left beside its lasting tasks; the others end soon."""
    found = _Bin(executor.facts.capacity)
    for run in executor.runs.values():
        if run.task.step.spec.long_running:
            found.put(run.task.step)
    return found


def count_missing_machines(
    executors: Iterable[Executor],
    on_their_way: int,
    capacity: Resources,
    steps: Sequence[StepProgress],
) -> int:
    """Return how many machines of a `capacity` lasting tasks of `steps` still lack.

    Memory and the bounds of a step fill machines as well as processors do. What speaks against
    single executors, such as labels, is left out: more machines would not help there.
    """
    waiting = [(step, len(step.waiting)) for step in steps if step.spec.long_running]
    if not any(count for _, count in waiting):
        return 0
    bins = [_bin_of(item) for item in executors] + [_Bin(capacity) for _ in range(on_their_way)]
    had = len(bins)
    for step, count in waiting:
        if not step.spec.reserved.fits(capacity):
            continue
        for _ in range(count):
            place = next((item for item in bins if item.takes(step)), None)
            if place is None:
                place = _Bin(capacity)
                bins.append(place)
            place.put(step)
    return len(bins) - had
