"""Decide how many additional instances each pool needs, now and for an expected peak.

A move takes a second or more and a peak lasts some seconds, so an instance that is lent when a peak
begins arrives late. Pools whose peaks are regular get instances ahead of time. Hysteresis prevents
instances from moving with each swing of demand: during a move an instance is missing from both
pools.
"""

from __future__ import annotations

import itertools
import math
import statistics
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from vanillawell.state.pools import NO_NEED, PoolNeed


class Lending(StrEnum):
    """Objective by which spare instances are lent for demand."""

    OFF = "off"
    """Spare instances only replace lost ones and those in maintenance."""

    BUFFER_COST = "buffer-cost"
    """Lend few instances for a short time, so that few spare instances serve all pools.

    A short unexpected peak is over before a late move pays off: lending after one second cost moves
    and answered no more requests than no lending. So demand must be sustained, or expected.
    """

    NEARNESS = "nearness"
    """Lend early and for long, so that pools are seldom full and organisations seldom lack
    capacity."""


@dataclass(frozen=True, slots=True)
class LendingRule:
    """Thresholds for lending instances."""

    target_fill: float
    """Part of an instance's slots that demand should fill before another one is lent."""

    min_demand_time: float
    """Seconds for which demand must exceed a pool's own slots before an instance is lent."""

    hold_time: float
    """Seconds for which an instance stays after it was last needed."""

    lead_time: float
    """Seconds before the expected start of a peak at which instances are lent for it."""


RULES = {
    Lending.BUFFER_COST: LendingRule(
        target_fill=1.0, min_demand_time=3.0, hold_time=2.0, lead_time=2.0
    ),
    Lending.NEARNESS: LendingRule(
        target_fill=0.75, min_demand_time=0.0, hold_time=10.0, lead_time=3.0
    ),
}

PEAK_END_PART = 0.5
"""Part of a pool's own slots below which demand must fall before another peak can start."""

MAX_RECORDED_PEAKS = 4
"""Number of recent peaks from which the next one is predicted."""

MIN_PEAKS = 3
"""Minimum number of observed peaks before one is predicted."""

MAX_INTERVAL_DEVIATION = 0.2
"""Maximum deviation of an interval from the median, as a part of the median, that counts as
regular."""


class PeakForecast:
    """Predict the next peak of one pool from the starts of previous ones."""

    def __init__(self) -> None:
        self._starts: deque[float] = deque(maxlen=MAX_RECORDED_PEAKS)
        self._heights: deque[float] = deque(maxlen=MAX_RECORDED_PEAKS)
        self._in_peak = False

    def record(self, demand: float, own_slots: float, now: float) -> None:
        """Record the present demand."""
        if demand > own_slots and not self._in_peak:
            self._in_peak = True
            self._starts.append(now)
            self._heights.append(demand)
        elif self._in_peak:
            self._heights[-1] = max(self._heights[-1], demand)
            self._in_peak = demand >= PEAK_END_PART * own_slots

    def expected(self, ahead: float, now: float) -> float:
        """Return the demand of a peak expected within `ahead` seconds; 0 if none is.

        A peak that does not come is expected for the same time again after it was due, and then no
        more.
        """
        if len(self._starts) < MIN_PEAKS or self._in_peak:
            return 0.0
        starts = list(self._starts)
        intervals = [later - earlier for earlier, later in itertools.pairwise(starts)]
        median_interval = statistics.median(intervals)
        if (
            max(abs(interval - median_interval) for interval in intervals)
            > MAX_INTERVAL_DEVIATION * median_interval
        ):
            return 0.0
        due = starts[-1] + median_interval
        return statistics.median(self._heights) if due - ahead <= now <= due + ahead else 0.0


@dataclass(slots=True)
class _PoolHistory:
    """History of one pool."""

    forecast: PeakForecast = field(default_factory=PeakForecast)
    exceeded_since: float | None = None
    recent: deque[tuple[float, int]] = field(default_factory=deque)
    """Time and number of needed instances, for as long as they are held."""


class LendingPlanner:
    """Derive the need for instances from the demand of each pool, with hysteresis.

    The history is kept in memory by the planning entry. After a change of planner it starts empty,
    so the first peaks get instances only once they begin.
    """

    def __init__(self) -> None:
        self._pools: dict[str, _PoolHistory] = {}

    def need(
        self, pool: str, mode: Lending, demand: float, own: int, slots: int, now: float
    ) -> PoolNeed:
        """Return what a pool needs beyond its `own` live instances of `slots` slots each."""
        if mode is Lending.OFF:
            self._pools.pop(pool, None)
            return NO_NEED
        rule = RULES[mode]
        history = self._pools.setdefault(pool, _PoolHistory())
        forecast_demand = history.forecast.expected(rule.lead_time, now)
        history.forecast.record(demand, own * slots, now)
        exceeds = demand > own * slots
        sustained = self._is_sustained(history, rule, exceeds, forecast_demand > 0, now)
        expected = 0.0 if exceeds else forecast_demand
        wanted = max(demand if sustained else 0.0, expected)
        needed = max(0, math.ceil(wanted / (slots * rule.target_fill)) - own)
        return self._with_hold(history, rule, needed, now)

    def _is_sustained(
        self, history: _PoolHistory, rule: LendingRule, exceeds: bool, predicted: bool, now: float
    ) -> bool:
        """Return whether demand has exceeded the slots for long enough, or was expected to."""
        if not exceeds:
            history.exceeded_since = None
            return False
        if history.exceeded_since is None:
            history.exceeded_since = now - rule.min_demand_time if predicted else now
        return now - history.exceeded_since >= rule.min_demand_time

    def _with_hold(
        self, history: _PoolHistory, rule: LendingRule, needed: int, now: float
    ) -> PoolNeed:
        history.recent.append((now, needed))
        while history.recent[0][0] < now - rule.hold_time:
            history.recent.popleft()
        return PoolNeed(needed, max(count for _, count in history.recent))
