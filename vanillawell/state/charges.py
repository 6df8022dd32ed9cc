"""Count the units that each organisation uses, including those of abandoned requests.

A request that an entry abandoned may still be running at its backend server. Its unit of the limit
stays charged until it cannot be running any longer; otherwise the organisation could exceed its
limit.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter


class ChargeCounter:
    """The units that are in use, by organisation."""

    def __init__(self) -> None:
        self._charged: Counter[str] = Counter()
        self._abandoned: list[tuple[float, int, str]] = []
        self._sequence = itertools.count()

    def charged(self, organisation: str) -> int:
        """Return the units of an organisation in use."""
        return self._charged[organisation]

    @property
    def total(self) -> int:
        """Return all units in use."""
        return self._charged.total()

    @property
    def lingering(self) -> int:
        """Return the units in use by abandoned requests."""
        return len(self._abandoned)

    def charge(self, organisation: str) -> None:
        """Charge one unit."""
        self._charged[organisation] += 1

    def release(self, organisation: str) -> None:
        """Release one unit, because its request is confirmed to have ended."""
        self._charged[organisation] -= 1

    def release_later(self, organisation: str, at: float) -> None:
        """Release one unit at a time after which its request cannot be running any longer."""
        heapq.heappush(self._abandoned, (at, next(self._sequence), organisation))

    def release_due(self, now: float) -> set[str]:
        """Release the units that are due and return their organisations."""
        freed: set[str] = set()
        while self._abandoned and self._abandoned[0][0] <= now:
            _, _, organisation = heapq.heappop(self._abandoned)
            self.release(organisation)
            freed.add(organisation)
        return freed
