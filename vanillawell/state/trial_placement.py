"""Count the machines that a pool lacks to place all waiting long-running tasks."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from vanillawell.state.work import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from vanillawell.state.executors import Executor
    from vanillawell.state.progress import StepProgress


@dataclass(slots=True)
class _Bin:
    """Capacity that is available to long-running tasks on each of some machines alike."""

    free: Resources
    machines: int = 1
    is_spare: bool = False
    """Whether these are machines that the pool does not have yet."""

    of_step: Counter[StepProgress] = field(default_factory=Counter)

    def count_fitting(self, step: StepProgress, most: int) -> int:
        """Return how many tasks of a step fit on one machine, up to `most`."""
        need, free = step.spec.reserved, self.free
        pairs = ((free.cpu, need.cpu), (free.memory, need.memory), (free.gpu, need.gpu))
        counts = [available // needed for available, needed in pairs if needed]
        limit = step.spec.most_per_executor
        if limit:
            counts.append(limit - self.of_step[step])
        return max(0, min(most, *counts)) if counts else most

    def add(self, step: StepProgress, tasks: int = 1) -> None:
        """Place tasks of a step on each of the machines."""
        need = step.spec.reserved
        self.free -= Resources(tasks * need.cpu, tasks * need.memory, tasks * need.gpu)
        self.of_step[step] += tasks

    def split(self, machines: int) -> _Bin:
        """Take some machines out and return them."""
        self.machines -= machines
        return _Bin(self.free, machines, self.is_spare, self.of_step.copy())


def _place_on_trial(step: StepProgress, count: int, bins: list[_Bin]) -> list[_Bin]:
    """Place tasks on the first machines that have room, as many as fit on each.

    Equal tasks and equal machines are counted rather than walked: a job may have thousands of tasks
    that never find a place, and this runs many times a second.

    Args:
        step: The step that all the tasks are of.
        count: Number of the tasks; no machine counts for them that takes none.
        bins: The machines in order; the last has room for all tasks that find none before it.

    Returns:
        The machines after that, in order.
    """
    placed: list[_Bin] = []
    for bin_ in bins:
        each = bin_.count_fitting(step, count) if count else 0
        filled = min(bin_.machines, count // each) if each else 0
        if filled:
            part = bin_.split(filled)
            part.add(step, each)
            placed.append(part)
            count -= filled * each
        if bin_.machines and 0 < count < each:
            part = bin_.split(1)
            part.add(step, count)
            placed.append(part)
            count = 0
        if bin_.machines:
            placed.append(bin_)
    return placed


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
    spare = needed.total()
    bins = [_bin_of(item) for item in executors]
    bins += [_Bin(capacity, arriving)] if arriving else []
    bins.append(_Bin(capacity, spare, is_spare=True))
    for step, count in needed.items():
        if step.spec.reserved.fits(capacity):
            bins = _place_on_trial(step, count, bins)
    unused = sum(item.machines for item in bins if not item.of_step and item.is_spare)
    return spare - unused
