"""Choose executors for the tasks of a step."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from vanillawell.state.availability import has_long_running
from vanillawell.state.cheapest_executors import CheapestExecutors
from vanillawell.state.work import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping, Sequence

    from vanillawell.state.executors import Executor
    from vanillawell.state.progress import StepProgress, Task
    from vanillawell.state.work import Step


Cost = tuple[bool | int | float | str, ...]
"""Cost of placing a task on an executor, most important criterion first; the lowest cost wins."""

RACK_POSITION = 8
"""Position in a cost of the number of the step's tasks on the executor's rack."""


MIN_EXECUTORS_TO_SPREAD = 4
"""Executors with room in a zone from which a step that goes there leaves enough room for others."""


def cpu_utilisation(executor: Executor) -> float:
    """Return the charged part of an executor's processors, from 0 to 1."""
    capacity = executor.facts.capacity.cpu
    return executor.used.cpu / capacity if capacity else 1.0


def count_background_tasks(executor: Executor) -> int:
    """Return the number of background tasks on an executor."""
    return sum(run.task.step.spec.fills for run in executor.runs.values())


class StepPlacer:
    """Place the tasks of one step, one after the other, on eligible executors."""

    def __init__(
        self,
        step: StepProgress,
        candidates: Sequence[Executor],
        tickets: Mapping[str, str] | None,
        now: float,
        kept_free: Collection[str] = (),
    ) -> None:
        """Initialise the placer.

        Args:
            step: The step.
            candidates: Executors of its pool that accept tasks.
            tickets: Tickets by the executors that may run the step; None if it needs none.
            now: Present time.
            kept_free: Executors that are reserved for others.
        """
        spec = step.spec
        self._spec = spec
        self._tickets = tickets
        self._kept_free = kept_free
        self._now = now
        self._waiting = len(step.waiting)
        self._candidates = [item for item in candidates if self._may_run(item)]
        open_runs = [run for task in step.tasks for run in task.open_runs]
        self._on_executor = Counter(run.executor for run in open_runs)
        racks = {item.name: item.facts.rack for item in candidates}
        self._on_rack = Counter(racks.get(run.executor, "") for run in open_runs)
        self._rack = self._best_rack() if spec.same_rack else ""
        zones = {item.name: item.facts.zone for item in candidates}
        self._zones_in_use = Counter(zones[item] for item in self._on_executor if item in zones)
        self._home_zone: str | None = "" if spec.long_running else None
        """Zone in which the tasks are kept together; None until one can be placed, empty if they
        are spread."""

        self._home_rack = ""
        """Rack of the task that was placed last."""

        self._cheapest: CheapestExecutors | None = None
        """The executors by cost, for long-running tasks without an executor to avoid."""

        self._packed: Executor | None = None
        """Executor of the last task, reused for the next one while it has free capacity."""

    def _may_run(self, executor: Executor) -> bool:
        label = self._spec.required_label
        if label and label not in executor.facts.labels:
            return False
        return self._tickets is None or executor.name in self._tickets

    def _best_rack(self) -> str:
        """Return the rack with free capacity for the largest number of the step's tasks."""
        fitting: Counter[str] = Counter()
        for executor in self._candidates:
            fitting[executor.facts.rack] += count_fitting_tasks(self._spec, executor)
        best = fitting.most_common(1)
        return best[0][0] if best else ""

    def _choose_zone(self, fitting: Iterable[Executor]) -> str:
        """Return the zone in which the short tasks of the step are kept together.

        Spread over all zones, most jobs would have a task in each and be late if any zone is cut
        off. Kept in one, only the jobs of that zone are. Zones in which many executors have room
        take turns, so that a cut hits its part of the jobs. Where only few have room, the fullest
        zone that can take all tasks is chosen, so that gaps remain for wide steps and large tasks.
        """
        if self._zones_in_use:
            return self._zones_in_use.most_common(1)[0][0]
        capacity: Counter[str] = Counter()
        executors: Counter[str] = Counter()
        for executor in fitting:
            capacity[executor.facts.zone] += count_fitting_tasks(self._spec, executor)
            executors[executor.facts.zone] += 1
        sufficient = [zone for zone, places in capacity.items() if places >= self._waiting]
        ample = [zone for zone in sufficient if executors[zone] >= MIN_EXECUTORS_TO_SPREAD]
        if ample:
            return max(ample, key=lambda zone: (capacity[zone], zone))
        if sufficient:
            return min(sufficient, key=lambda zone: (capacity[zone], zone))
        return max(capacity, key=lambda zone: (capacity[zone], zone))

    @property
    def is_restricted(self) -> bool:
        """Return whether executors of the pool are reserved for others."""
        return bool(self._kept_free)

    def ticket(self, executor: Executor) -> str:
        """Return the ticket for an executor; empty if the step needs none."""
        return self._tickets[executor.name] if self._tickets else ""

    def choose(self, task: Task) -> Executor | None:
        """Return the executor for a task; None if none has capacity that is not kept free."""
        packed = self._packed
        if packed is not None and not task.failed_on and self._has_capacity(packed):
            return packed
        if self._spec.long_running and not task.failed_on:
            return self._choose_cheapest(task)
        best = self._search(task)
        if self._is_packing and not task.failed_on:
            self._packed = best
        return best

    @property
    def _is_packing(self) -> bool:
        """Return whether each placed task lowers the cost of its executor for the next one."""
        return not self._spec.long_running and not self._spec.fills

    def _has_capacity(self, executor: Executor) -> bool:
        return (
            executor.name not in self._kept_free
            and self._spec.reserved.fits(executor.free)
            and not self._is_at_step_limit(executor)
        )

    def _choose_cheapest(self, task: Task) -> Executor | None:
        """Return what `_search` would, without comparing all executors for each task."""
        if self._cheapest is None:
            self._cheapest = CheapestExecutors(
                self._candidates,
                lambda item: self._cost(item, task) if self._has_capacity(item) else None,
                RACK_POSITION,
            )
        return self._cheapest.best()

    def _search(self, task: Task) -> Executor | None:
        fitting = [item for item in self._candidates if self._has_capacity(item)]
        if not fitting:
            return None
        if self._home_zone is None:
            self._home_zone = self._choose_zone(fitting)
        return min(fitting, key=lambda item: self._cost(item, task))

    def _is_at_step_limit(self, executor: Executor) -> bool:
        limit = self._spec.most_per_executor
        return bool(limit) and self._on_executor[executor.name] >= limit

    def _cost(self, executor: Executor, task: Task) -> Cost:
        """Return the cost of placing a task on an executor.

        Long-running tasks avoid machines that a maintenance wave has yet to take down, since they
        would have to move again. They share machines with long-running tasks of other steps, since
        a machine with such a task cannot leave its pool after a peak; tasks with a latency target
        do not, since they slow each other down. They are spread over racks to limit the loss when
        a rack fails.

        All other tasks avoid executors that are slow after their start. They go to the rack of
        their data, then to the zone and the rack of the other tasks of their step, then to the
        fullest executor with free capacity. After a peak, whole machines then become empty within
        the run time of a task, and can move to the pool whose peak begins. Short tasks do not slow
        each other down.
        """
        spec = self._spec
        rack = executor.facts.rack
        preferred_rack = self._rack or spec.data_rack
        same_rack = self._on_rack[rack] if spec.long_running else 0
        same_executor = self._on_executor[executor.name] if spec.long_running else 0
        if spec.fills:
            same_executor += count_background_tasks(executor)
        used = cpu_utilisation(executor) if spec.long_running else -cpu_utilisation(executor)
        return (
            executor.name == task.failed_on,
            not spec.long_running and executor.is_cold(self._now),
            spec.long_running and executor.awaits_upkeep,
            bool(preferred_rack) and rack != preferred_rack,
            bool(self._home_zone) and executor.facts.zone != self._home_zone,
            bool(self._home_rack) and rack != self._home_rack,
            same_executor,
            spec.long_running and not spec.tail_target and not has_long_running(executor),
            same_rack,
            used,
            executor.name,
        )

    def record_placement(self, executor: Executor) -> None:
        """Count a task that was placed on an executor."""
        self._on_executor[executor.name] += 1
        self._on_rack[executor.facts.rack] += 1
        if not self._spec.long_running:
            self._home_rack = executor.facts.rack

    def eligible(self) -> list[Executor]:
        """Return the executors that may run another task of the step, whatever is free there."""
        return [item for item in self._candidates if not self._is_at_step_limit(item)]


def count_fitting_tasks(spec: Step, executor: Executor) -> int:
    """Return how many tasks of a step fit on an executor."""
    need, free = spec.reserved, executor.free
    pairs = ((free.cpu, need.cpu), (free.memory, need.memory), (free.gpu, need.gpu))
    counts = [max(0, available // needed) for available, needed in pairs if needed]
    fitting = min(counts, default=spec.count)
    limit = spec.most_per_executor or spec.count
    return min(fitting, limit, spec.count)


class FailedPlacements:
    """Needs that did not fit in the current pass, so that equal or larger ones are not tried.

    During a peak hundreds of steps wait; trying each on every executor in every pass would cost the
    owner more time than all its calls.
    """

    def __init__(self) -> None:
        self._failed: dict[str, list[Resources]] = {}

    def add(self, service: str, need: Resources) -> None:
        """Record that a need without further placement constraints did not fit."""
        self._failed.setdefault(service, []).append(need)

    def rules_out(self, service: str, need: Resources) -> bool:
        """Return whether a smaller or equal need did not fit in this pass."""
        return need != NO_RESOURCES and any(
            smaller.fits(need) for smaller in self._failed.get(service, ())
        )
