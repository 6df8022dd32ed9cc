"""Play seeded days of a workload and summarise each."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from vanillawell.standins.experiment.least import earliest_demand, least_holding
from vanillawell.standins.experiment.simulation import TICK, SimulatedDay

if TYPE_CHECKING:
    from collections.abc import Sequence

    from vanillawell.standins.experiment.outcome import DayOutcome
    from vanillawell.standins.experiment.workload import Workload

WINDOW = 2.0
"""Seconds of one window."""


@dataclass(frozen=True, slots=True)
class DaySummary:
    """The figures of one day."""

    seed: int
    in_time: float
    """Share of the work in time."""

    worst_windows: float
    """Mean of the two worst windows."""

    worst_queue: float
    machine_seconds: float
    moves: int
    least_machine_seconds: float
    """Machine-seconds of the cheapest plan of a policy that knew all arrivals."""

    least_moves: int
    price: float
    """What machines and moves cost."""


def play_days(workload: Workload, seeds: Sequence[int], processes: int) -> list[DaySummary]:
    """Play one day for each seed, several at a time."""
    if processes == 1:
        return [play_day(workload, seed) for seed in seeds]
    with ProcessPoolExecutor(processes) as pool:
        return list(pool.map(partial(play_day, workload), seeds))


def play_day(workload: Workload, seed: int) -> DaySummary:
    """Play one day."""
    return summarise(workload, seed, SimulatedDay(workload, seed).simulate())


def summarise(workload: Workload, seed: int, day: DayOutcome) -> DaySummary:
    """Return the figures of a day."""
    ticks = int(workload.day_seconds / TICK)
    prices = workload.prices
    least = [
        least_holding(earliest_demand(steps, ticks, TICK), workload.cores, prices, TICK)
        for steps in day.earliest
    ]
    return DaySummary(
        seed=seed,
        in_time=day.in_time(),
        worst_windows=day.worst_windows(WINDOW, workload.day_seconds),
        worst_queue=min(day.in_time(queue=queue) for queue in range(len(workload.kinds))),
        machine_seconds=day.machine_seconds,
        moves=day.moves,
        least_machine_seconds=sum(item.machine_seconds for item in least),
        least_moves=sum(item.moves for item in least),
        price=day.machine_seconds * prices.machine_second + day.moves * prices.move,
    )
