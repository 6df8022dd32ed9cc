"""Eject executors that fail most of their requests, and readmit them by probes.

An executor that fails every request at once looks idle, so least-loaded routing sends all load to
it. Such an executor shows a high failure ratio and a short service time. Failures are counted over
a window of recent attempts with a minimum sample. A cap on ejections prevents a common cause, such
as a request that fails everywhere, from emptying the pool.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from statistics import fmean

OUTCOME_WINDOW = 20
"""Number of recent attempts that determine the failure ratio."""

MINIMUM_SAMPLE = 5
"""Minimum number of attempts before the failure ratio is evaluated."""

INITIAL_EJECTION = 2.0
"""Seconds of the first ejection; each further one doubles it."""

MAX_EJECTION = 60.0
"""Maximum seconds of an ejection before the next probe."""

NOT_SENT_WEIGHT = 3
"""Weight of an attempt that could not be sent, in failed attempts."""

CONCURRENCY_WINDOW_GROWTH = 1.0
"""Attempts by which the concurrency window grows per window of successful ones."""

CONCURRENCY_WINDOW_LIFETIME = 0.5
"""Seconds after the last refusal until an executor's concurrency window no longer applies."""

FULL_RETRY_DELAY = 0.02
"""Seconds without new attempts after an executor refused as full."""


@dataclass(slots=True)
class ExecutorHealth:
    """Health of one executor as observed by one entry."""

    outcomes: deque[bool] = field(default_factory=lambda: deque(maxlen=OUTCOME_WINDOW))
    """Recent attempts; True for a successful one."""

    ejected_until: float = 0.0
    ejections: int = 0
    full_until: float = 0.0
    refused_at: float = float("-inf")
    concurrency_window: float = 0.0
    """Maximum number of concurrent attempts of this entry since the executor last refused as
    full."""

    probing: bool = False
    """Whether an attempt is running as a probe after an ejection."""

    @property
    def failure_ratio(self) -> float:
        """Return the part of recent attempts that failed."""
        return self.outcomes.count(False) / len(self.outcomes) if self.outcomes else 0.0

    def ejected(self, now: float) -> bool:
        """Return whether the executor is ejected now."""
        return now < self.ejected_until

    def on_trial(self, now: float) -> bool:
        """Return whether its ejection has ended and no attempt has succeeded since."""
        return self.ejections > 0 and not self.ejected(now)

    def available(self, now: float, running: int = 0) -> bool:
        """Return whether an attempt may be sent to it; one at a time while on trial."""
        if self.ejected(now) or now < self.full_until:
            return False
        if now - self.refused_at < CONCURRENCY_WINDOW_LIFETIME and running >= int(
            self.concurrency_window
        ):
            return False
        return not (self.on_trial(now) and self.probing)


class PoolHealth:
    """Track the health of all executors of one pool."""

    def __init__(self, eject_ratio: float, eject_cap: float) -> None:
        self._eject_ratio = eject_ratio
        self._eject_cap = eject_cap
        self._executors: dict[str, ExecutorHealth] = {}

    def of(self, executor: str) -> ExecutorHealth:
        """Return the health of an executor."""
        return self._executors.setdefault(executor, ExecutorHealth())

    def retain_only(self, executors: set[str]) -> None:
        """Remove executors that have left the pool."""
        self._executors = {key: value for key, value in self._executors.items() if key in executors}

    def record_start(self, executor: str, now: float) -> None:
        """Record the start of an attempt."""
        health = self.of(executor)
        health.probing = health.on_trial(now)

    def record_full(self, executor: str, now: float, running: int) -> None:
        """Record a refusal because the executor is full with `running` attempts of this entry.

        This does not count as a failure. Several entries that each expect a free slot would retry
        over and over; the concurrency window limits each entry to the number of attempts that the
        executor has accepted from it.
        """
        health = self.of(executor)
        health.probing = False
        health.full_until = now + FULL_RETRY_DELAY
        health.refused_at = now
        health.concurrency_window = max(1.0, float(running))

    def record_success(self, executor: str) -> None:
        """Record a successful attempt, which ends a trial."""
        health = self.of(executor)
        if health.ejections:
            health.outcomes.clear()
        health.ejections = 0
        health.probing = False
        health.concurrency_window += CONCURRENCY_WINDOW_GROWTH / max(1.0, health.concurrency_window)
        health.outcomes.append(True)

    def record_failure(self, executor: str, now: float, pool_size: int, sent: bool) -> bool:
        """Record a failed attempt; return True if it leads to an ejection.

        An attempt that could not be sent says more about the executor than about the request, so it
        weighs more.
        """
        health = self.of(executor)
        on_trial = health.on_trial(now)
        health.probing = False
        health.outcomes.extend([False] * (1 if sent else NOT_SENT_WEIGHT))
        must_eject = on_trial or self._is_outlier(executor)
        if health.ejected(now) or not must_eject or not self._may_eject(now, pool_size):
            return False
        duration = min(MAX_EJECTION, INITIAL_EJECTION * 2**health.ejections)
        health.ejected_until = now + duration
        health.ejections += 1
        return True

    def _is_outlier(self, executor: str) -> bool:
        """Return whether it fails far more often than the others; a faulty request fails on all
        alike."""
        health = self.of(executor)
        if len(health.outcomes) < MINIMUM_SAMPLE or health.failure_ratio <= self._eject_ratio:
            return False
        others = [item.failure_ratio for name, item in self._executors.items() if name != executor]
        return health.failure_ratio > 2 * fmean(others or [0.0])

    def _may_eject(self, now: float, pool_size: int) -> bool:
        ejected_count = sum(health.ejected(now) for health in self._executors.values())
        return (ejected_count + 1) <= self._eject_cap * pool_size
