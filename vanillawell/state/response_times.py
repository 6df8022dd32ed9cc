"""Detect overdue responses from the response times measured so far.

An open connection can become unresponsive for good while new ones work, because a component between
the two ends has lost its state. No error is reported: the request never gets a response. The limit
follows the retransmission timer of RFC 6298 (smoothed mean plus a multiple of the smoothed
deviation), so that slow services are not taken for unresponsive ones.
"""

from __future__ import annotations

MEAN_WEIGHT = 1 / 8
"""Weight of a new sample in the smoothed mean (RFC 6298, alpha)."""

DEVIATION_WEIGHT = 1 / 4
"""Weight of a new sample in the smoothed deviation (RFC 6298, beta)."""

OVERDUE_DEVIATIONS = 8.0
"""Deviations above the mean after which a response is overdue; high, because real run times differ
widely from declared ones."""

MIN_OVERDUE_TIME = 1.0
"""Minimum seconds after which a response counts as overdue."""


class ServiceTime:
    """Smoothed time from sending a request to receiving the head of its response."""

    def __init__(self) -> None:
        self._mean: float | None = None
        self._deviation = 0.0

    @property
    def mean(self) -> float:
        """Return the smoothed mean in seconds; 0 if unknown."""
        return self._mean or 0.0

    @property
    def typical_minimum(self) -> float:
        """Return the seconds within which few responses arrive; 0 if the deviation is too large to
        tell."""
        return max(0.0, self.mean - self._deviation)

    def add(self, seconds: float) -> None:
        """Add one sample in seconds."""
        if self._mean is None:
            self._mean, self._deviation = seconds, seconds / 2
            return
        error = abs(seconds - self._mean)
        self._deviation += DEVIATION_WEIGHT * (error - self._deviation)
        self._mean += MEAN_WEIGHT * (seconds - self._mean)

    def overdue_after(self) -> float:
        """Return the seconds after which a missing response justifies a probe."""
        return max(MIN_OVERDUE_TIME, self.mean + OVERDUE_DEVIATIONS * self._deviation)
