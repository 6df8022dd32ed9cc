"""Count what each organisation has running, also where nobody waits for the answer any more.

A request that an entry gave up on may still run at its backend server. Its unit of the limit
stays charged until that cannot be so any longer, otherwise the organisation would exceed its limit.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter


class ChargeCounter:
    """Hold the units that are in use, by organisation."""

    def __init__(self) -> None:
        self._charged: Counter[str] = Counter()
        self._lingering: list[tuple[float, int, str]] = []
        self._order = itertools.count()

    def charged(self, organisation: str) -> int:
        """Return the units of an organisation in use."""
        return self._charged[organisation]

    @property
    def total(self) -> int:
        """Return all units in use."""
        return self._charged.total()

    @property
    def lingering(self) -> int:
        """Return the units in use by requests that were given up on."""
        return len(self._lingering)

    def charge(self, organisation: str) -> None:
        """Take one unit."""
        self._charged[organisation] += 1

    def release(self, organisation: str) -> None:
        """Free one unit: its request is known to run no longer."""
        self._charged[organisation] -= 1

    def release_later(self, organisation: str, at: float) -> None:
        """Free one unit at a time when its request cannot run any longer."""
        heapq.heappush(self._lingering, (at, next(self._order), organisation))

    def release_due(self, now: float) -> set[str]:
        """Free the units that are due and return the organisations they belonged to."""
        freed: set[str] = set()
        while self._lingering and self._lingering[0][0] <= now:
            _, _, organisation = heapq.heappop(self._lingering)
            self.release(organisation)
            freed.add(organisation)
        return freed
