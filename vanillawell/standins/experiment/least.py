"""Compute what a policy that knew all arrivals in advance would have held."""

from __future__ import annotations

import itertools
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from vanillawell.standins.experiment.workload import Prices


@dataclass(frozen=True, slots=True)
class StepDemand:
    """Cores that a step uses while it runs, by seconds from the start of the day."""

    begin: float
    end: float
    cores: float


@dataclass(frozen=True, slots=True)
class LeastHolding:
    """Machine-seconds and moves of the cheapest plan."""

    machine_seconds: float
    moves: int


def least_holding(
    demand: Sequence[float], machine_cores: float, prices: Prices, tick: float
) -> LeastHolding:
    """Return the cheapest plan that holds enough machines of one pool at every tick.

    `demand` is the pool's demand in cores by tick. The n-th machine is needed whenever the demand
    exceeds n - 1 machines. Between two such times it is either held, or sent away and called again,
    whichever costs less; these choices don't depend on one another, so together they are the
    optimum. Tasks of uneven size are taken to fill machines completely.
    """
    needed = [math.ceil(cores / machine_cores - 1e-9) for cores in demand]
    plans = [
        _hold_one([count > number for count in needed], prices, tick)
        for number in range(max(needed, default=0))
    ]
    return LeastHolding(
        sum(plan.machine_seconds for plan in plans), sum(plan.moves for plan in plans)
    )


def _hold_one(is_needed: Sequence[bool], prices: Prices, tick: float) -> LeastHolding:
    """Return the cheapest plan for one machine."""
    times = [number for number, needed in enumerate(is_needed) if needed]
    gaps = [(after - before - 1) * tick for before, after in itertools.pairwise(times)]
    held = [gap for gap in gaps if gap * prices.machine_second <= 2 * prices.move]
    left = sum(gap > 0 for gap in gaps) - sum(gap > 0 for gap in held)
    return LeastHolding(len(times) * tick + sum(held), 2 + 2 * left)


def earliest_demand(steps: Iterable[StepDemand], ticks: int, tick: float) -> list[float]:
    """Return the cores in use by tick if every task runs as early as it can."""
    demand = [0.0] * ticks
    for step in steps:
        last = ticks if math.isinf(step.end) else min(ticks, math.ceil(step.end / tick))
        for number in range(int(step.begin / tick), last):
            demand[number] += step.cores
    return demand
