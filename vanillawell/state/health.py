"""Leave out executors that fail most of what they start, and readmit them by probes.

An executor that fails everything at once looks idle, so least-loaded routing sends it all load.
It shows as a high share of failed attempts with a short service time. Counting failures over a
window with a minimum sample takes it out; the cap keeps a common fault, such as a request that
fails everywhere, from emptying the pool.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from statistics import fmean

WINDOW = 20
"""Recent attempts that are judged."""

MINIMUM_SAMPLE = 5
"""Attempts below which nothing is concluded."""

FIRST_EJECTION = 2.0
"""Seconds of the first ejection; each further one doubles it."""

LONGEST_EJECTION = 60.0
"""Seconds that an ejection lasts at most before the next probe."""

NOT_SENT_WEIGHT = 3
"""Failed attempts that one attempt which could not be sent counts for."""

WINDOW_GROWTH = 1.0
"""Attempts by which the window grows over one window's worth of good ones."""

WINDOW_LIFETIME = 0.5
"""Seconds after the last refusal when an executor's window is forgotten."""

FULL_PAUSE = 0.02
"""Seconds to leave an executor alone after it refused as full."""


@dataclass(slots=True)
class ExecutorHealth:
    """What one entry has seen of one executor."""

    outcomes: deque[bool] = field(default_factory=lambda: deque(maxlen=WINDOW))
    """Recent attempts, True for a good one."""

    ejected_until: float = 0.0
    ejections: int = 0
    full_until: float = 0.0
    refused_at: float = float("-inf")
    window: float = 0.0
    """Attempts that this entry keeps there at once since the executor last refused as full."""

    probing: bool = False
    """One attempt runs as a probe after an ejection has passed."""

    @property
    def failure_ratio(self) -> float:
        """Return the part of recent attempts that failed."""
        return self.outcomes.count(False) / len(self.outcomes) if self.outcomes else 0.0

    def ejected(self, now: float) -> bool:
        """Tell whether it is left out now."""
        return now < self.ejected_until

    def on_trial(self, now: float) -> bool:
        """Tell whether its ejection has passed and no good attempt has followed."""
        return self.ejections > 0 and not self.ejected(now)

    def available(self, now: float, running: int = 0) -> bool:
        """Tell whether an attempt may be sent to it: one at a time while on trial."""
        if self.ejected(now) or now < self.full_until:
            return False
        if now - self.refused_at < WINDOW_LIFETIME and running >= int(self.window):
            return False
        return not (self.on_trial(now) and self.probing)


class PoolHealth:
    """Judge all executors of one pool."""

    def __init__(self, eject_ratio: float, eject_cap: float) -> None:
        self._eject_ratio = eject_ratio
        self._eject_cap = eject_cap
        self._executors: dict[str, ExecutorHealth] = {}

    def of(self, executor: str) -> ExecutorHealth:
        """Return what is known about an executor."""
        return self._executors.setdefault(executor, ExecutorHealth())

    def keep(self, executors: set[str]) -> None:
        """Forget executors that left the pool."""
        self._executors = {key: value for key, value in self._executors.items() if key in executors}

    def record_start(self, executor: str, now: float) -> None:
        """Note that an attempt begins."""
        health = self.of(executor)
        health.probing = health.on_trial(now)

    def record_full(self, executor: str, now: float, running: int) -> None:
        """Note a refusal since the executor is full while `running` attempts stay there.

        That is no failure. Several entries that each find an executor with room would try it
        over and over; the window lets each keep just what the executor has taken from it.
        """
        health = self.of(executor)
        health.probing = False
        health.full_until = now + FULL_PAUSE
        health.refused_at = now
        health.window = max(1.0, float(running))

    def record_success(self, executor: str) -> None:
        """Note a good attempt; it ends a trial."""
        health = self.of(executor)
        if health.ejections:
            health.outcomes.clear()
        health.ejections = 0
        health.probing = False
        health.window += WINDOW_GROWTH / max(1.0, health.window)
        health.outcomes.append(True)

    def record_failure(self, executor: str, now: float, pool_size: int, sent: bool) -> bool:
        """Note a failed attempt; True if it leads to an ejection.

        An attempt that could not even be sent says more about the executor than about the
        request, so it weighs more.
        """
        health = self.of(executor)
        on_trial = health.on_trial(now)
        health.probing = False
        health.outcomes.extend([False] * (1 if sent else NOT_SENT_WEIGHT))
        bad = on_trial or self._stands_out(executor)
        if health.ejected(now) or not bad or not self._may_eject(now, pool_size):
            return False
        length = min(LONGEST_EJECTION, FIRST_EJECTION * 2**health.ejections)
        health.ejected_until = now + length
        health.ejections += 1
        return True

    def _stands_out(self, executor: str) -> bool:
        """Tell whether it fails far more than the others; a bad request fails on all alike."""
        health = self.of(executor)
        if len(health.outcomes) < MINIMUM_SAMPLE or health.failure_ratio <= self._eject_ratio:
            return False
        others = [item.failure_ratio for name, item in self._executors.items() if name != executor]
        return health.failure_ratio > 2 * fmean(others or [0.0])

    def _may_eject(self, now: float, pool_size: int) -> bool:
        out = sum(health.ejected(now) for health in self._executors.values())
        return (out + 1) <= self._eject_cap * pool_size
