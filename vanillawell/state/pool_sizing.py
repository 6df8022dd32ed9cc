"""Decide which machines move between pools so that capacity follows demand.

The queues peak in turn: within four or five seconds a queue's demand exceeds the capacity of its
own machines and falls again, while the other queues need a twentieth of that. Machines in a standby
pool cost nothing, and a machine that is moved starts to work in less than two seconds. By then a
growing peak needs more than when the move was ordered, so growth is provided for in advance; the
objectives leave too little slack to catch up afterwards.
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

TARGET_UTILISATION = 0.9
"""Part of a pool's processors that demand may use before the pool gets another machine. Tasks are
of uneven size, so the last tenth is hard to fill."""

SURPLUS_HOLD_TIME = 1.0
"""Seconds for which a pool must have had surplus machines before one returns to standby.

Longer than the gaps between arrivals within a peak, and shorter than the time until the next peak.
"""

BACKLOG_DRAIN_TIME = 2.0
"""Seconds within which waiting work is to be done in addition to new arrivals. Capacity for all of
it at once would bring machines that are idle again when they arrive."""

MIN_POOL_SIZE = 2
"""Minimum number of machines of a pool, so that the loss of one does not stop its queues."""


@dataclass(slots=True)
class PoolDemand:
    """Machines that one pool has and needs."""

    service: str
    machines: int = 0
    """Machines in the pool, including those on their way."""

    cores: float = 0.0
    """Cores of one machine of the pool."""

    wanted_cores: float = 0.0
    """Cores needed for running and waiting tasks, or to keep up with arrivals, whichever is
    more."""

    floor: int = MIN_POOL_SIZE
    """Minimum number of machines, kept for long-running tasks regardless of other demand."""

    shortfall: int = 0
    """Additional machines without which some long-running tasks cannot be placed."""

    @property
    def wanted(self) -> int:
        """Return the number of machines that the pool should have now."""
        if not self.cores:
            return self.machines
        for_cores = math.ceil(self.wanted_cores / (self.cores * TARGET_UTILISATION))
        for_places = self.machines + self.shortfall if self.shortfall else 0
        return max(self.floor, for_cores, for_places)


@dataclass(frozen=True, slots=True)
class MachineMove:
    """A move of a machine to another pool."""

    machine: str
    pool: str
    reason: str


@dataclass(slots=True)
class PoolSizer:
    """Derive moves from demand, with hysteresis when demand falls."""

    _recent_needs: dict[str, list[tuple[float, int]]] = field(default_factory=dict)

    def recent_maximum(self, pool: PoolDemand, now: float) -> int:
        """Return the maximum number of machines that a pool has needed recently.

        At the first call this is at least the number that it has.
        """
        before = self._recent_needs.get(pool.service, [(now, pool.machines)])
        recent = [(moment, wanted) for moment, wanted in before if moment > now - SURPLUS_HOLD_TIME]
        recent.append((now, pool.wanted))
        self._recent_needs[pool.service] = recent
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

        `spare` holds machines of the standby pool, `idle` the idle machines of each other pool. A
        pool that needs machines takes surplus ones of another pool first, then machines on standby.
        Machines that no pool has needed recently return to standby.
        """
        pools = list(pools)
        recent = {pool.service: self.recent_maximum(pool, now) for pool in pools}
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
            surplus = pool.machines - recent[pool.service]
            for name in idle_left.get(pool.service, [])[: max(0, surplus)]:
                moves.append(MachineMove(name, standby, "no longer needed"))
        return moves

    @staticmethod
    def _take_idle(
        pools: list[PoolDemand], recipient: PoolDemand, idle: dict[str, list[str]]
    ) -> str | None:
        for donor in pools:
            names = idle.get(donor.service)
            if donor is not recipient and names and donor.machines > donor.wanted:
                donor.machines -= 1
                return names.pop()
        return None


def min_long_running_machines(steps: Iterable[StepProgress]) -> int:
    """Return the number of machines that a pool needs to place all of its long-running tasks.

    None is kept in reserve for a loss: a replacement arrives from standby within two seconds, and a
    machine kept for a minute costs more than a task's absence during that time.
    """
    min_machines = 0
    for step in steps:
        spec = step.spec
        if spec.long_running:
            min_machines = max(
                min_machines, math.ceil(spec.count / (spec.most_per_executor or spec.count))
            )
    return max(MIN_POOL_SIZE, min_machines)


def demanded_cores(
    executors: Iterable[Executor], steps: Iterable[StepProgress], durations: DurationStatistics
) -> float:
    """Return the cores of the charged runs and those needed to catch up with waiting tasks."""
    charged = sum(executor.used.cpu for executor in executors) / MILLICORES_PER_CORE
    return charged + sum(_cores_to_catch_up(step, durations) for step in steps)


def _cores_to_catch_up(step: StepProgress, durations: DurationStatistics) -> float:
    """Return the cores needed to finish a step's waiting tasks in time, at most one place for
    each."""
    places = len(step.waiting) * step.spec.reserved.cpu / MILLICORES_PER_CORE
    if step.spec.long_running:
        return places
    seconds = durations.expected(step.record.job.queue, step.spec)
    return places * min(1.0, seconds / BACKLOG_DRAIN_TIME)
