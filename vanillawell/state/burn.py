"""Keep how fast each service and organisation uses up its error budget.

A request is good if a backend server's answer below 500 came in time, bad if it was refused for
want of room or failed, and does not count if the caller was at fault. Burn is the bad part over
the part that the objective allows: 1 uses up the budget just in time, 14.4 over an hour uses up
2 % of a month's.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

BUCKET_SECONDS = 10.0
"""Width of one count."""

LONG_WINDOW = 3600.0
"""Seconds of the long window, and of all that is kept."""

SHORT_WINDOW = 300.0
"""Seconds of the short window, which tells whether it still burns."""

CALLER_FAULTS = frozenset((400, 401, 404, 409, 413, 422))
"""Statuses that say nothing about the service."""


@dataclass(slots=True)
class Bucket:
    """Requests of one span of time."""

    started: float
    good: int = 0
    bad: int = 0


@dataclass(frozen=True, slots=True)
class WindowCounts:
    """Good and bad requests of both windows."""

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
    """Return the bad part over the part that the objective allows."""
    total = good + bad
    return bad / total / (1 - objective) if total else 0.0


@dataclass(slots=True)
class BurnLine:
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
        """Add up both windows and forget what is older."""
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
    """Hold the counts of all services and organisations of one entry."""

    def __init__(self) -> None:
        self._lines: dict[tuple[str, str], BurnLine] = {}

    def note(self, service: str, organisation: str, status: int, in_time: bool, now: float) -> None:
        """Count a request unless its caller was at fault."""
        if status in CALLER_FAULTS:
            return
        line = self._lines.setdefault((service, organisation), BurnLine())
        line.add(status < 400 and in_time, now)

    def counts(self, now: float) -> dict[tuple[str, str], WindowCounts]:
        """Return the counts by service and organisation."""
        return {key: line.counts(now) for key, line in self._lines.items()}
