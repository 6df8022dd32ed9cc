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

from vanillawell.state.contention.machine_division import MIN_POOL_SIZE, divide_machines
from vanillawell.state.ranking import is_optional
from vanillawell.state.work import MILLICORES_PER_CORE

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from vanillawell.state.durations import DurationStatistics
    from vanillawell.state.executors import Executor
    from vanillawell.state.progress import Run, StepProgress

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

    optional_cores: float = 0.0
    """Cores of those for running and waiting tasks that are not required: surplus, and jobs that
    have lost their value. Only determined when machines are scarce."""

    arriving_cores: float = 0.0
    """Cores needed to keep up with arrivals."""

    floor: int = MIN_POOL_SIZE
    """Minimum number of machines, kept for long-running tasks regardless of other demand."""

    shortfall: int = 0
    """Additional machines without which some long-running tasks cannot be placed."""

    @property
    def wanted(self) -> int:
        """Return the number of machines that the pool should have now."""
        return self._machines_for(self.wanted_cores)

    @property
    def required(self) -> int:
        """Return the number of machines without which required work would wait."""
        required_cores = self.wanted_cores - self.optional_cores
        return self._machines_for(max(required_cores, self.arriving_cores))

    def _machines_for(self, cores: float) -> int:
        if not self.cores:
            return self.machines
        for_cores = math.ceil(cores / (self.cores * TARGET_UTILISATION))
        for_places = self.machines + self.shortfall if self.shortfall else 0
        return max(self.floor, for_cores, for_places)


@dataclass(frozen=True, slots=True)
class MachineMove:
    """A move of a machine to another pool."""

    machine: str
    pool: str
    reason: str


@dataclass(slots=True)
class RecentMaximum:
    """The maximum of a number over the time for which surplus machines are held."""

    _values: list[tuple[float, int]] = field(default_factory=list)

    def update(self, value: int, now: float) -> int:
        """Add the present value and return the recent maximum."""
        recent = [item for item in self._values if item[0] > now - SURPLUS_HOLD_TIME]
        self._values = [*recent, (now, value)]
        return max(value for _, value in self._values)


@dataclass(frozen=True, slots=True)
class MovePlan:
    """What to do with machines now."""

    moves: list[MachineMove]
    vacated: dict[str, int]
    """Machines of each pool that get no further tasks, so that other pools can have them."""

    shares: dict[str, int] | None = None
    """Machines that each pool should have; None while there are enough for all."""


@dataclass(slots=True)
class PoolSizer:
    """Derive moves from demand, with hysteresis when demand falls."""

    _wanted: dict[str, RecentMaximum] = field(default_factory=dict)
    _required: dict[str, RecentMaximum] = field(default_factory=dict)

    def recent_maximum(self, pool: PoolDemand, now: float) -> int:
        """Return the maximum number of machines that a pool has needed recently.

        At the first call this is at least the number that it has.
        """
        first = RecentMaximum([(now, pool.machines)])
        return self._wanted.setdefault(pool.service, first).update(pool.wanted, now)

    def plan(
        self,
        pools: Iterable[PoolDemand],
        standby: str,
        spare: list[str],
        idle: Mapping[str, list[str]],
        now: float,
    ) -> MovePlan:
        """Return the moves to order now, and the machines to vacate for other pools.

        A pool that needs machines takes surplus ones of another pool first, then machines on
        standby. Machines that no pool has needed recently return to standby. When the pools want
        more machines than there are, each gets its share (`machine_division`), and pools that hold
        more than that vacate some.

        Args:
            pools: Demand of the pools.
            standby: Name of the standby pool.
            spare: Machines of the standby pool.
            idle: Idle machines of each other pool.
            now: Present time.
        """
        pools = list(pools)
        recent = {pool.service: self.recent_maximum(pool, now) for pool in pools}
        required = {
            pool.service: self._required.setdefault(pool.service, RecentMaximum()).update(
                pool.required, now
            )
            for pool in pools
        }
        supply = sum(pool.machines for pool in pools) + len(spare)
        is_scarce = sum(pool.wanted for pool in pools) > supply
        shares = divide_machines(pools, supply) if is_scarce else None
        targets = shares or {pool.service: pool.wanted for pool in pools}
        moves, lacking = _fill_pools(pools, targets, spare, idle)
        taken = {move.machine for move in moves}
        for pool in pools:
            surplus = pool.machines - recent[pool.service]
            left = [name for name in idle.get(pool.service, []) if name not in taken]
            moves.extend(
                MachineMove(name, standby, "no longer needed") for name in left[: max(0, surplus)]
            )
        vacated = _machines_to_vacate(pools, targets, required, lacking) if is_scarce else {}
        return MovePlan(moves, vacated, shares)


def _fill_pools(
    pools: Sequence[PoolDemand],
    targets: Mapping[str, int],
    spare: Sequence[str],
    idle: Mapping[str, list[str]],
) -> tuple[list[MachineMove], int]:
    """Return the moves that bring pools nearer to their targets, and how many machines they lack
    after these. Donors lose the machines that they give."""
    free = list(spare)
    idle_left = {service: list(names) for service, names in idle.items()}
    moves: list[MachineMove] = []
    lacking = 0
    for pool in sorted(pools, key=lambda item: item.machines - targets[item.service]):
        for missing in range(max(0, targets[pool.service] - pool.machines), 0, -1):
            name = _take_idle(pools, pool, targets, idle_left) or (free.pop() if free else None)
            if name is None:
                lacking += missing
                break
            moves.append(MachineMove(name, pool.service, "demand"))
    return moves, lacking


def _take_idle(
    pools: Sequence[PoolDemand],
    recipient: PoolDemand,
    targets: Mapping[str, int],
    idle: Mapping[str, list[str]],
) -> str | None:
    for donor in pools:
        names = idle.get(donor.service)
        if donor is not recipient and names and donor.machines > targets[donor.service]:
            donor.machines -= 1
            return names.pop()
    return None


def _machines_to_vacate(
    pools: Sequence[PoolDemand],
    targets: Mapping[str, int],
    required: Mapping[str, int],
    lacking: int,
) -> dict[str, int]:
    """Return how many machines each pool vacates for others that lack some.

    A pool keeps what its required work has needed recently: demand differs from one moment to the
    next, and a machine that left takes seconds to return.
    """
    vacated: dict[str, int] = {}
    for pool in pools:
        kept = max(targets[pool.service], required[pool.service])
        count = min(lacking, max(0, pool.machines - kept))
        if count:
            vacated[pool.service] = count
            lacking -= count
    return vacated


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


def optional_cores(
    runs: Iterable[Run],
    steps: Iterable[StepProgress],
    durations: DurationStatistics,
    now: float,
) -> float:
    """Return the part of the demanded cores that is for optional work (`ranking.is_optional`)."""
    charged = sum(run.reserved.cpu for run in runs if is_optional(run.task.step, now))
    waiting = sum(_cores_to_catch_up(step, durations) for step in steps if is_optional(step, now))
    return charged / MILLICORES_PER_CORE + waiting


def _cores_to_catch_up(step: StepProgress, durations: DurationStatistics) -> float:
    """Return the cores needed to finish a step's waiting tasks in time, at most one place for
    each."""
    places = len(step.waiting) * step.spec.reserved.cpu / MILLICORES_PER_CORE
    if step.spec.long_running:
        return places
    seconds = durations.mean(step.record.job.queue, step.spec)
    return places * min(1.0, seconds / BACKLOG_DRAIN_TIME)
