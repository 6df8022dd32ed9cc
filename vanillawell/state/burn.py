"""Count how fast each service and organisation consumes its error budget.

A request is good if it was answered in time with a status below 400, and not counted if its status
is one of `CALLER_FAULT_STATUSES`. All others are bad, such as those that failed, that were late or
that were refused for lack of capacity. The burn rate is the fraction of bad requests divided by the
fraction that the objective allows: at 1 the budget is used up exactly at the end of its period;
14.4 over an hour uses up 2 % of a month's budget.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

BUCKET_SECONDS = 10.0
"""Seconds covered by one bucket."""

LONG_WINDOW = 3600.0
"""Seconds of the long window, and the retention time of buckets."""

SHORT_WINDOW = 300.0
"""Seconds of the short window, which shows whether the budget is still being consumed."""

CALLER_FAULT_STATUSES = frozenset((400, 401, 404, 409, 413, 422))
"""Response statuses for errors of the caller, which are not counted."""


@dataclass(slots=True)
class Bucket:
    """Counts of requests in one interval."""

    started: float
    good: int = 0
    bad: int = 0


@dataclass(frozen=True, slots=True)
class WindowCounts:
    """Good and bad requests in both windows."""

    good_short: int = 0
    bad_short: int = 0
    good_long: int = 0
    bad_long: int = 0

    def __add__(self, other: WindowCounts) -> WindowCounts:
        return WindowCounts(
            self.good_short + other.good_short,
            self.bad_short + other.bad_short,
            self.good_long + other.good_long,
            self.bad_long + other.bad_long,
        )


def burn_rate(good: int, bad: int, objective: float) -> float:
    """Return the fraction of bad requests divided by the fraction that the objective allows."""
    total = good + bad
    return bad / total / (1 - objective) if total else 0.0


@dataclass(slots=True)
class BucketSeries:
    """The buckets of one service and organisation."""

    buckets: deque[Bucket] = field(default_factory=deque)

    def add(self, good: bool, now: float) -> None:
        """Count one request."""
        if not self.buckets or now - self.buckets[-1].started >= BUCKET_SECONDS:
            self.buckets.append(Bucket(now))
        bucket = self.buckets[-1]
        bucket.good += good
        bucket.bad += not good

    def counts(self, now: float) -> WindowCounts:
        """Return the sums of both windows and remove expired buckets."""
        while self.buckets and now - self.buckets[0].started > LONG_WINDOW:
            self.buckets.popleft()
        recent = [item for item in self.buckets if now - item.started <= SHORT_WINDOW]
        return WindowCounts(
            sum(item.good for item in recent),
            sum(item.bad for item in recent),
            sum(item.good for item in self.buckets),
            sum(item.bad for item in self.buckets),
        )


class BurnCounters:
    """The counts of all services and organisations of one entry."""

    def __init__(self) -> None:
        self._series: dict[tuple[str, str], BucketSeries] = {}

    def record(
        self, service: str, organisation: str, status: int, in_time: bool, now: float
    ) -> None:
        """Count a request unless its caller was at fault."""
        if status in CALLER_FAULT_STATUSES:
            return
        series = self._series.setdefault((service, organisation), BucketSeries())
        series.add(status < 400 and in_time, now)

    def counts(self, now: float) -> dict[tuple[str, str], WindowCounts]:
        """Return the counts by service and organisation."""
        return {key: series.counts(now) for key, series in self._series.items()}
