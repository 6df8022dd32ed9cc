"""Count what each team has running, also where nobody waits for the answer any more.

A request that an entry gave up on may still run at its backend server. Its unit of the limit
stays charged until that cannot be so any longer, otherwise the team would exceed its limit.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter


class ChargeBook:
    """Hold the units that are in use, by team."""

    def __init__(self) -> None:
        self._charged: Counter[str] = Counter()
        self._lingering: list[tuple[float, int, str]] = []
        self._order = itertools.count()

    def charged(self, team: str) -> int:
        """Return the units of a team in use."""
        return self._charged[team]

    @property
    def total(self) -> int:
        """Return all units in use."""
        return self._charged.total()

    @property
    def lingering(self) -> int:
        """Return the units in use by requests that were given up on."""
        return len(self._lingering)

    def charge(self, team: str) -> None:
        """Take one unit."""
        self._charged[team] += 1

    def release(self, team: str) -> None:
        """Free one unit: its request is known to run no longer."""
        self._charged[team] -= 1

    def release_later(self, team: str, at: float) -> None:
        """Free one unit at a time when its request cannot run any longer."""
        heapq.heappush(self._lingering, (at, next(self._order), team))

    def release_due(self, now: float) -> set[str]:
        """Free the units that are due and return the teams they belonged to."""
        freed: set[str] = set()
        while self._lingering and self._lingering[0][0] <= now:
            _, _, team = heapq.heappop(self._lingering)
            self.release(team)
            freed.add(team)
        return freed
