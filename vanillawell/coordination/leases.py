"""Reckon with the leases of running tasks, on executors' clocks and on one's own."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping

TASK_LEASE = 5.0
"""Seconds for which running tasks outlive their owner's last word.

Longer than noticing a lost owner and taking over (2.5 s) with room for a short outage of the store;
and short, because tasks of an executor that fell silent start elsewhere only after it."""

CLOCK_DRIFT = 0.02
"""Largest relative slowness of an executor's clock, as published."""

LEASE_MARGIN = 0.1
"""Seconds added to the time after which a lease is taken as expired, for rounding."""

RENEWAL_AFTER_LAPSE = 3.0
"""Seconds for which an owner that lost touch with the store still renews what runs.

Nobody can take over while the store is away for all, and work should live through that: with the
leases on both sides it does for nine seconds. But a successor has to wait this much longer before
it gives up what an unreachable executor runs."""


REFERENCE_CLOCKS = 5
"""Executors whose clocks are stored for successors; one of them should live on."""


def longest_doubt(longest_lease: float, kill_grace: float) -> float:
    """Return the seconds after a take-over for which unreachable executors may still run tasks.

    The former owner's last renewal, the lease it gave on a slow clock, and the kill.
    """
    lease = min(TASK_LEASE, longest_lease)
    return RENEWAL_AFTER_LAPSE + lease * (1 + CLOCK_DRIFT) + kill_grace + LEASE_MARGIN


def min_elapsed(before: Mapping[str, float], present: Mapping[str, float]) -> float:
    """Return the seconds that have surely passed since executors' clocks showed `before` at most.

    Readings are by executors' lives; `present` is what the clocks show now at least. They may be
    slow but not fast, so the least that any of them shows counts; 0 if none is in both.
    """
    shown = [present[life] - reading for life, reading in before.items() if life in present]
    return max(0.0, min(shown, default=0.0))


@dataclass(slots=True)
class ExecutorClock:
    """Estimate an executor's steady clock from its answers.

    Each answer holds a reading that was made after the call was sent and before the answer was
    read: much later than it was made if the answer was held up, or this process.
    """

    value: float | None = None
    """Latest reading, in seconds."""

    read_at: float = 0.0
    _most_ahead: float = float("inf")
    """Seconds by which the clock is ahead of this process's at most, by all answers so far."""

    def add_reading(self, value: float, sent: float, now: float) -> None:
        """Take in a reading from the answer, read now, to a call that was sent at `sent`."""
        self.value, self.read_at = value, now
        self._most_ahead = min(self._most_ahead, value - sent)

    def forget(self) -> None:
        """Drop all readings, since the clock has begun anew."""
        self.value, self._most_ahead = None, float("inf")

    def at(self, now: float) -> float:
        """Return what the clock shows now, or a little less; it must have been read before."""
        assert self.value is not None
        return self.value + now - self.read_at

    def lower_bound(self, now: float) -> float:
        """Return what the clock surely shows now; it must have been read before."""
        assert self.value is not None
        return self.value + (now - self.read_at) * (1 - CLOCK_DRIFT)

    def upper_bound(self, now: float) -> float:
        """Return what the clock shows now at most; it must have been read before."""
        return now + self._most_ahead

    def lease_end(self, now: float, lease: float) -> float:
        """Return the executor's time at which a lease that begins now should end."""
        return self.at(now) + lease

    def latest_lease_end(self, now: float, lease: float) -> float:
        """Return when such a lease has surely ended, on this process's clock."""
        return now + (lease + now - self.read_at) * (1 + CLOCK_DRIFT) - (now - self.read_at)


class ExecutorClocks(Protocol):
    """Read the steady clocks of executors, in seconds by their lives."""

    def lower_bound(self, now: float) -> Mapping[str, float]:
        """Return what they surely show now."""

    def upper_bound(self, now: float) -> Mapping[str, float]:
        """Return what they show now at most, those that are likely to live on first."""
