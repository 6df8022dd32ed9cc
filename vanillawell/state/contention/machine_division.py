"""Divide the machines among pools when there are fewer than the pools want together.

The load: the peaks of two pools meet, or one pool still works off jobs that nobody waits for while
the peak of another begins, and no machine is left on standby.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from vanillawell.state.availability import has_long_running

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from vanillawell.state.executors import Executor
    from vanillawell.state.pool_sizing import PoolDemand


MIN_POOL_SIZE = 2
"""Minimum number of machines of a pool, so that the loss of one does not stop its queues."""


def divide_machines(pools: Sequence[PoolDemand], supply: int) -> dict[str, int]:
    """Return the number of machines that each pool should have, by service.

    Each pool gets the minimum of machines, then its floor. What is left goes to required work, to
    each pool the same part of what it lacks, and only then to optional work: surplus, and jobs that
    have lost their value.

    Args:
        pools: Demand of the pools.
        supply: Machines in all pools and on standby.
    """
    floors = {pool.service: min(pool.floor, pool.wanted) for pool in pools}
    required = {pool.service: min(pool.required, pool.wanted) for pool in pools}
    wanted = {pool.service: pool.wanted for pool in pools}
    least = {pool.service: min(MIN_POOL_SIZE, pool.wanted) for pool in pools}
    shares = _raise(dict.fromkeys(wanted, 0), least, supply)
    shares = _raise(shares, floors, supply)
    shares = _raise(shares, required, supply)
    return _raise(shares, wanted, supply)


def choose_vacated(pool: Sequence[Executor], count: int, now: float) -> list[Executor]:
    """Return up to `count` executors of a pool that should get no further tasks.

    Those with the least work become idle first. Executors with long-running tasks are spared, and
    so are those that get no tasks for another reason.
    """
    candidates = [
        item
        for item in pool
        if item.is_healthy(now) and not item.withheld and not has_long_running(item)
    ]
    candidates.sort(key=lambda item: (not item.vacating, item.used.cpu, item.name))
    return candidates[:count]


def _raise(shares: Mapping[str, int], targets: Mapping[str, int], supply: int) -> dict[str, int]:
    """Raise shares towards targets, by the same part of each distance as far as there is supply."""
    distances = {name: max(0, targets[name] - share) for name, share in shares.items()}
    total = sum(distances.values())
    left = min(total, max(0, supply - sum(shares.values())))
    if not left:
        return dict(shares)
    exact = {name: distance * left / total for name, distance in distances.items()}
    granted = {name: math.floor(value) for name, value in exact.items()}
    remainder = left - sum(granted.values())
    by_fraction = sorted(exact, key=lambda name: (granted[name] - exact[name], name))
    for name in by_fraction[:remainder]:
        granted[name] += 1
    return {name: share + granted[name] for name, share in shares.items()}
