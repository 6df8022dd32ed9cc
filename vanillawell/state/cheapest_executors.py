"""Choose executors for thousands of tasks of one step without comparing all of them each time.

A comparison of all executors for each task would hold the owner's loop for seconds, longer than its
lease, with one job of thousands of long-running tasks.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from vanillawell.state.cheapest_first import CheapestFirst

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from vanillawell.state.executors import Executor
    from vanillawell.state.placement import Cost

ExecutorsOfRack = CheapestFirst["Executor"]


class CheapestExecutors:
    """Executors of a pool by the cost of placing a task of one step on them.

    Each placed task raises the cost of its executor and, by the same, of the whole rack. So the
    executors of each rack are kept in an order of their own, which that does not change.
    """

    def __init__(
        self,
        executors: Iterable[Executor],
        cost: Callable[[Executor], Cost | None],
        rack_position: int,
    ) -> None:
        """Initialise the order.

        Args:
            executors: The executors.
            cost: Returns the cost of an executor; None once it has no capacity left.
            rack_position: Position in a cost of the part that is the same for a whole rack.
        """
        self._executor_cost = cost
        self._rack_position = rack_position
        by_rack: defaultdict[str, list[Executor]] = defaultdict(list)
        for executor in executors:
            by_rack[executor.facts.rack].append(executor)
        racks = [CheapestFirst(items, self._cost_in_rack) for items in by_rack.values()]
        self._racks = CheapestFirst(racks, self._rack_cost)

    def best(self) -> Executor | None:
        """Return the cheapest executor with free capacity; None if there is none."""
        found = self._racks.best()
        if found is None:
            return None
        _, rack = found
        cheapest = rack.best()
        return cheapest[1] if cheapest else None

    def _cost_in_rack(self, executor: Executor) -> Cost | None:
        cost = self._executor_cost(executor)
        if cost is None:
            return None
        return (*cost[: self._rack_position], *cost[self._rack_position + 1 :])

    def _rack_cost(self, rack: ExecutorsOfRack) -> Cost | None:
        cheapest = rack.best()
        return self._executor_cost(cheapest[1]) if cheapest else None
