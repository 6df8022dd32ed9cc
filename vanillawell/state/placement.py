"""Choose executors for the tasks of a step."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from vanillawell.state.availability import has_long_running
from vanillawell.state.work import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

    from vanillawell.state.executors import Executor
    from vanillawell.state.work import Step, StepProgress, Task


Cost = tuple[bool, bool, bool, int, bool, int, float, str]
"""What speaks against an executor for a task, most important first; the least one is chosen."""


def cpu_utilisation(executor: Executor) -> float:
    """Return the part of an executor's processors that is charged."""
    capacity = executor.facts.capacity.cpu
    return executor.used.cpu / capacity if capacity else 1.0


def fills_on(executor: Executor) -> int:
    """Return the number of tasks there that live on what others leave."""
    return sum(run.task.step.spec.fills for run in executor.runs.values())


class StepPlacer:
    """Place tasks of one step, one after the other, on executors that may run them."""

    def __init__(
        self, step: StepProgress, candidates: Sequence[Executor], tickets: Mapping[str, str] | None
    ) -> None:
        spec = step.spec
        self._spec = spec
        self._tickets = tickets
        self._candidates = [item for item in candidates if self._may_run(item)]
        held = [run for task in step.tasks for run in task.open_runs]
        self._on_executor = Counter(run.executor for run in held)
        racks = {item.name: item.facts.rack for item in candidates}
        self._on_rack = Counter(racks.get(run.executor, "") for run in held)
        self._rack = self._gang_rack() if spec.same_rack else ""
        self._filling: Executor | None = None
        """Best executor for the last task, and for the next one as long as it has room."""

    def _may_run(self, executor: Executor) -> bool:
        label = self._spec.required_label
        if label and label not in executor.facts.labels:
            return False
        return self._tickets is None or executor.name in self._tickets

    def _gang_rack(self) -> str:
        """Return the rack that has room for most of the step's tasks."""
        fitting: Counter[str] = Counter()
        for executor in self._candidates:
            fitting[executor.facts.rack] += fits_times(self._spec, executor)
        best = fitting.most_common(1)
        return best[0][0] if best else ""

    def choose(self, task: Task, taken: Collection[str] = ()) -> Executor | None:
        """Return the executor for a task, None if none has room; `taken` ones are left out."""
        filling = self._filling
        if filling is not None and not task.failed_on and self._has_room(filling, taken):
            return filling
        best = self._search(task, taken)
        if self._packs and not task.failed_on:
            self._filling = best
        return best

    @property
    def _packs(self) -> bool:
        """Tell whether the best executor gets better with each task that it is given."""
        return not self._spec.long_running and not self._spec.fills

    def _has_room(self, executor: Executor, taken: Collection[str]) -> bool:
        return (
            executor.name not in taken
            and self._spec.reserved.fits(executor.free)
            and not self._is_full_of_step(executor)
        )

    def _search(self, task: Task, taken: Collection[str]) -> Executor | None:
        fitting = [item for item in self._candidates if self._has_room(item, taken)]
        if not fitting:
            return None
        return min(fitting, key=lambda item: self._cost(item, task))

    def _is_full_of_step(self, executor: Executor) -> bool:
        bound = self._spec.most_per_executor
        return bool(bound) and self._on_executor[executor.name] >= bound

    def _cost(self, executor: Executor, task: Task) -> Cost:
        """Return what speaks against an executor, most important first.

        Tasks that last stay off machines that a wave has yet to take down, where they would be
        moved again. They share machines with those of other steps, since a machine that holds one
        can't leave its pool after a peak; not those that have to answer quickly, which disturb each
        other. They are spread over racks, so that one lost takes few. All others
        go where their data is, then onto the fullest executor that has room: what a peak leaves
        behind then empties whole machines within the length of a task, and they can go to the pool
        whose peak begins. Short tasks don't slow each other.
        """
        spec = self._spec
        rack = executor.facts.rack
        wanted = self._rack or spec.data_rack
        spread = self._on_rack[rack] if spec.long_running else 0
        crowd = self._on_executor[executor.name] if spec.long_running else 0
        if spec.fills:
            crowd += fills_on(executor)
        used = cpu_utilisation(executor) if spec.long_running else -cpu_utilisation(executor)
        return (
            executor.name == task.failed_on,
            spec.long_running and executor.awaits_upkeep,
            bool(wanted) and rack != wanted,
            crowd,
            spec.long_running and not spec.tail_target and not has_long_running(executor),
            spread,
            used,
            executor.name,
        )

    def placed(self, executor: Executor) -> None:
        """Count a task that was placed."""
        self._on_executor[executor.name] += 1
        self._on_rack[executor.facts.rack] += 1

    def roomiest(self) -> Executor | None:
        """Return the executor that is nearest to having room, to be kept free for the step."""
        allowed = [item for item in self._candidates if not self._is_full_of_step(item)]
        return min(allowed, key=lambda item: (cpu_utilisation(item), item.name), default=None)


def fits_times(spec: Step, executor: Executor) -> int:
    """Return how many tasks of a step have room on an executor."""
    need, free = spec.reserved, executor.free
    pairs = ((free.cpu, need.cpu), (free.memory, need.memory), (free.gpu, need.gpu))
    counts = [max(0, have // want) for have, want in pairs if want]
    fitting = min(counts, default=spec.count)
    bound = spec.most_per_executor or spec.count
    return min(fitting, bound, spec.count)


class FullMemo:
    """Remember in one pass what found no room, so that equal or larger needs are not tried.

    Under a peak hundreds of steps wait; trying each on each executor in every pass would cost the
    owner more time than all its calls.
    """

    def __init__(self) -> None:
        self._failed: dict[str, list[Resources]] = {}

    def failed(self, service: str, need: Resources) -> None:
        """Note that a need without further conditions found no room."""
        self._failed.setdefault(service, []).append(need)

    def hopeless(self, service: str, need: Resources) -> bool:
        """Tell whether a smaller or equal need found no room in this pass."""
        return need != NO_RESOURCES and any(
            smaller.fits(need) for smaller in self._failed.get(service, ())
        )
