"""Decide which machines change their pool, so that room follows demand.

Each queue's demand peaks by turns: within four or five seconds it grows to more than its own
machines hold, and falls again, while the others need a twentieth. Machines in a standby pool cost
nothing; one that is moved is at work after less than two seconds. By then a growing peak asks for
more than when the move was ordered, so growth is provided for; objectives leave too little slack to
catch up afterwards.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from vanillawell.state.work import MILLICORES_PER_CORE

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from vanillawell.state.durations import DurationStatistics
    from vanillawell.state.executors import Executor
    from vanillawell.state.work import StepProgress

FULL = 0.9
"""Part of a pool's processors that demand may take before it gets another machine: tasks are of
uneven size, so the last tenth is hard to fill."""

IDLE_BEFORE_LEAVING = 1.0
"""Seconds for which a pool must have had machines to spare before one leaves for standby.

Longer than the gaps in what arrives within a peak, and shorter than the wait for the next one."""

BACKLOG_TIME = 2.0
"""Seconds within which waiting work is to be done, beside what arrives meanwhile. Room for all of
it at once would bring machines that are idle again when they arrive."""

SMALLEST_POOL = 2
"""Machines that a pool keeps in any case, so that the loss of one does not stop its queues."""


@dataclass(slots=True)
class PoolDemand:
    """What one pool has and needs."""

    service: str
    machines: int = 0
    """Machines in the pool, those on their way included."""

    cores: float = 0.0
    """Cores of one of its machines."""

    wanted_cores: float = 0.0
    """Cores of what runs and waits, or of what keeps up with arrivals, whichever is more."""

    floor: int = SMALLEST_POOL
    """Machines that it keeps for tasks that last, however little else there is to do."""

    lacking: int = 0
    """Machines beyond those it has without which tasks that last find no place."""

    @property
    def wanted(self) -> int:
        """Return the number of machines that the pool should have now."""
        if not self.cores:
            return self.machines
        for_cores = math.ceil(self.wanted_cores / (self.cores * FULL))
        for_places = self.machines + self.lacking if self.lacking else 0
        return max(self.floor, for_cores, for_places)


@dataclass(frozen=True, slots=True)
class MachineMove:
    """Give a machine to another pool."""

    machine: str
    pool: str
    reason: str


@dataclass(slots=True)
class PoolSizer:
    """Turn demand into moves, with hysteresis on the way back."""

    _needed_until: dict[str, list[tuple[float, int]]] = field(default_factory=dict)

    def lately_wanted(self, pool: PoolDemand, now: float) -> int:
        """Return the most machines that a pool has needed lately; at first, all that it has."""
        before = self._needed_until.get(pool.service, [(now, pool.machines)])
        recent = [
            (moment, wanted) for moment, wanted in before if moment > now - IDLE_BEFORE_LEAVING
        ]
        recent.append((now, pool.wanted))
        self._needed_until[pool.service] = recent
        return max(wanted for _, wanted in recent)

    def plan(
        self,
        pools: Iterable[PoolDemand],
        standby: str,
        spare: list[str],
        idle: Mapping[str, list[str]],
        now: float,
    ) -> list[MachineMove]:
        """Return the moves to order now.

        `spare` are machines of the standby pool, `idle` those of each other pool on which nothing
        runs. A pool in need takes what another one has to spare now, then from standby; what nobody
        has needed lately goes back there.
        """
        pools = list(pools)
        lately = {pool.service: self.lately_wanted(pool, now) for pool in pools}
        free = list(spare)
        idle_left = {service: list(names) for service, names in idle.items()}
        moves: list[MachineMove] = []
        for pool in sorted(pools, key=lambda item: item.machines - item.wanted):
            for _ in range(max(0, pool.wanted - pool.machines)):
                name = self._take_idle(pools, pool, idle_left) or (free.pop() if free else None)
                if name is None:
                    break
                moves.append(MachineMove(name, pool.service, "demand"))
        for pool in pools:
            surplus = pool.machines - lately[pool.service]
            for name in idle_left.get(pool.service, [])[: max(0, surplus)]:
                moves.append(MachineMove(name, standby, "no longer needed"))
        return moves

    @staticmethod
    def _take_idle(
        pools: list[PoolDemand], needy: PoolDemand, idle: dict[str, list[str]]
    ) -> str | None:
        for donor in pools:
            names = idle.get(donor.service)
            if donor is not needy and names and donor.machines > donor.wanted:
                donor.machines -= 1
                return names.pop()
        return None


def min_long_running_machines(steps: Iterable[StepProgress]) -> int:
    """Return the machines that a pool needs so that all of its lasting tasks find places.

    None is kept for the loss of one: from standby another comes within two seconds, and a machine
    kept for a minute costs more than a task is worth that is away for those.
    """
    widest = 0
    for step in steps:
        spec = step.spec
        if spec.long_running:
            widest = max(widest, math.ceil(spec.count / (spec.most_per_executor or spec.count)))
    return max(SMALLEST_POOL, widest)


def demanded_cores(
    executors: Iterable[Executor], steps: Iterable[StepProgress], durations: DurationStatistics
) -> float:
    """Return the cores of what is charged and of what it takes to catch up with what waits."""
    charged = sum(executor.used.cpu for executor in executors) / MILLICORES_PER_CORE
    return charged + sum(_cores_to_catch_up(step, durations) for step in steps)


def _cores_to_catch_up(step: StepProgress, durations: DurationStatistics) -> float:
    """Return the cores that do a step's waiting tasks in time, at most one place for each."""
    places = len(step.waiting) * step.spec.reserved.cpu / MILLICORES_PER_CORE
    if step.spec.long_running:
        return places
    seconds = durations.expected(step.record.job.queue, step.spec)
    return places * min(1.0, seconds / BACKLOG_TIME)
