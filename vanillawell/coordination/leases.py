"""Calculate the leases of running tasks on executors' clocks and on this process's clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping

TASK_LEASE = 5.0
"""Seconds for which running tasks outlive their owner's last renewal.

Longer than detecting a lost owner and taking over (2.5 s), with a margin for a short outage of the
store; and short, since tasks of an unresponsive executor are restarted elsewhere only after it."""

CLOCK_DRIFT = 0.02
"""Largest relative slowness of an executor's clock, as published by the platform."""

LEASE_MARGIN = 0.1
"""Seconds added to the time after which a lease counts as expired, for rounding."""

RENEWAL_AFTER_LAPSE = 3.0
"""Seconds for which an owner that has lost the store still renews the leases of running tasks.

No entry can take over while the store is unreachable for all, and running tasks should survive
that: together with the leases before and after, they do for nine seconds. In return, a new owner
has to wait this much longer before it counts the tasks of an unreachable executor as lost."""


READING_TOLERANCE = 0.01
"""Seconds by which a reading may be below its bounds, for rounding."""

REFERENCE_CLOCKS = 5
"""Number of executors whose clock readings are stored for the next owner; at least one should still
be running then."""


def max_inherited_lease(longest_lease: float, kill_grace: float) -> float:
    """Return the seconds after a take-over for which unreachable executors may still run tasks.

    That is the sum of the time until the previous owner's last renewal, its lease on a slow clock,
    and the grace period for the kill.
    """
    lease = min(TASK_LEASE, longest_lease)
    return RENEWAL_AFTER_LAPSE + lease * (1 + CLOCK_DRIFT) + kill_grace + LEASE_MARGIN


def min_elapsed(before: Mapping[str, float], present: Mapping[str, float]) -> float:
    """Return the minimum number of seconds that have passed between two sets of clock readings.

    Clocks may be slow but not fast, so the smallest difference is a lower bound; 0 if no executor
    is in both.

    Args:
        before: Upper bounds of the earlier readings, by incarnation of the executor.
        present: Lower bounds of the current readings, by incarnation of the executor.
    """
    differences = [
        present[incarnation] - reading
        for incarnation, reading in before.items()
        if incarnation in present
    ]
    return max(0.0, min(differences, default=0.0))


@dataclass(slots=True)
class ExecutorClock:
    """Estimate of an executor's monotonic clock, based on the readings in its answers.

    A reading was made after the call was sent and before the answer was read, possibly long before
    it was read if the answer or this process was delayed.
    """

    value: float | None = None
    """Latest reading, in seconds."""

    read_at: float = 0.0
    _max_offset: float = float("inf")
    """Maximum seconds by which the clock is ahead of this process's, given all answers so far."""

    def add_reading(self, value: float, sent: float, now: float) -> None:
        """Add the reading of an answer that is read now, to a call that was sent at `sent`."""
        self.value, self.read_at = value, now
        self._max_offset = min(self._max_offset, value - sent)

    def is_behind(self, value: float, sent: float) -> bool:
        """Return whether a reading is lower than any of this clock since a call was sent at `sent`.

        Clocks never run backwards, so the reading is of another clock.
        """
        if self.value is None:
            return False
        elapsed = sent - self.read_at
        least = self.value + (elapsed * (1 - CLOCK_DRIFT) if elapsed > 0 else elapsed)
        return value < least - READING_TOLERANCE

    def forget(self) -> None:
        """Drop all readings, since the executor's clock has restarted."""
        self.value, self._max_offset = None, float("inf")

    def at(self, now: float) -> float:
        """Return the estimated clock now, or slightly less; requires a reading."""
        assert self.value is not None
        return self.value + now - self.read_at

    def lower_bound(self, now: float) -> float:
        """Return the minimum that the clock shows now; requires a reading."""
        assert self.value is not None
        return self.value + (now - self.read_at) * (1 - CLOCK_DRIFT)

    def upper_bound(self, now: float) -> float:
        """Return the maximum that the clock shows now; requires a reading."""
        return now + self._max_offset

    def lease_end(self, now: float, lease: float) -> float:
        """Return the time on the executor's clock at which a lease that begins now should end."""
        return self.at(now) + lease

    def latest_lease_end(self, now: float, lease: float) -> float:
        """Return the time on this process's clock by which such a lease has certainly ended."""
        return now + (lease + now - self.read_at) * (1 + CLOCK_DRIFT) - (now - self.read_at)


class ExecutorClocks(Protocol):
    """Bounds on the monotonic clocks of executors, in seconds by incarnation."""

    def lower_bound(self, now: float) -> Mapping[str, float]:
        """Return the minimum that each clock shows now."""

    def upper_bound(self, now: float) -> Mapping[str, float]:
        """Return the maximum that each clock shows now, executors likely to keep running first."""
