"""Find the cheapest of many items again and again, while costs only rise."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from vanillawell.state.placement import Cost

Item = TypeVar("Item")


class CheapestFirst(Generic[Item]):
    """Items in the order of their costs, of which some rise between two calls and none falls.

    So an item whose stored cost is lowest and still right is the cheapest. Items without a cost
    have none later, either. Costs of two items are never equal.
    """

    def __init__(self, items: Iterable[Item], cost: Callable[[Item], Cost | None]) -> None:
        self._cost = cost
        costs = ((cost(item), item) for item in items)
        self._heap = [(value, item) for value, item in costs if value is not None]
        heapq.heapify(self._heap)

    def best(self) -> tuple[Cost, Item] | None:
        """Return the cheapest item with its cost; None if none has a cost."""
        while self._heap:
            stored, item = self._heap[0]
            present = self._cost(item)
            if present == stored:
                return stored, item
            if present is None:
                heapq.heappop(self._heap)
            else:
                heapq.heapreplace(self._heap, (present, item))
        return None
