"""Count the machines that a pool lacks to place all waiting long-running tasks."""

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
    """Capacity of a machine that is available to long-running tasks."""

    free: Resources
    of_step: Counter[StepProgress] = field(default_factory=Counter)

    def fits(self, step: StepProgress) -> bool:
        """Return whether a task of a step fits on the machine."""
        limit = step.spec.most_per_executor
        at_limit = bool(limit) and self.of_step[step] >= limit
        return not at_limit and step.spec.reserved.fits(self.free)

    def add(self, step: StepProgress) -> None:
        """Place a task of a step on the machine."""
        self.free -= step.spec.reserved
        self.of_step[step] += 1


def _bin_of(executor: Executor) -> _Bin:
    """Return an executor's capacity less its long-running tasks; all other tasks end soon."""
    bin_ = _Bin(executor.facts.capacity)
    for run in executor.runs.values():
        if run.task.step.spec.long_running:
            bin_.add(run.task.step)
    return bin_


def _tasks_to_move(emptied: Iterable[Executor]) -> Counter[StepProgress]:
    """Return how many tasks of each step have to leave executors next, as its limit allows."""
    tasks = Counter(
        run.task.step
        for executor in emptied
        for run in executor.runs.values()
        if run.task.step.spec.long_running
    )
    limits = {step: step.spec.most_away or count for step, count in tasks.items()}
    return Counter({step: min(count, limits[step]) for step, count in tasks.items()})


def count_missing_machines(
    executors: Iterable[Executor],
    arriving: int,
    capacity: Resources,
    steps: Sequence[StepProgress],
    emptied: Iterable[Executor] = (),
) -> int:
    """Return how many more machines the waiting long-running tasks of `steps` need, and those that
    have to leave `emptied` executors next.

    A task leaves only once it has a place elsewhere. If no machine was called for it before, each
    move would wait for one, and the tasks of a step move one after the other.

    The result counts machines of the given `capacity`, beyond the `executors` and the machines that
    are `arriving`. Memory and the per-executor limits of steps are considered as well as
    processors. Labels and other constraints on single executors are not: more machines would not
    help there.
    """
    needed = _tasks_to_move(emptied)
    needed.update({step: len(step.waiting) for step in steps if step.spec.long_running})
    if not needed.total():
        return 0
    bins = [_bin_of(item) for item in executors] + [_Bin(capacity) for _ in range(arriving)]
    existing = len(bins)
    for step, count in needed.items():
        if not step.spec.reserved.fits(capacity):
            continue
        for _ in range(count):
            target = next((item for item in bins if item.fits(step)), None)
            if target is None:
                target = _Bin(capacity)
                bins.append(target)
            target.add(step)
    return len(bins) - existing
