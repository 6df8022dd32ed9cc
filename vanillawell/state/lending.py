"""Decide how many instances each pool needs for its demand, now and for a peak about to come.

A move takes a second or more and a peak lasts some seconds, so an instance that is lent when a
peak shows comes late. Queues that peak at regular times are lent to ahead of time. Without
hysteresis instances would wander at each swing of demand, and each move takes them out of both
pools for a while.
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
    """Which measure weighs most when spare instances are lent for demand."""

    OFF = "off"
    """Spare instances cover losses and maintenance only."""

    BUFFER_COST = "buffer-cost"
    """Lend little and for a short time, so that few spare instances serve all pools.

    A peak that nobody foresaw is over before a late move pays: lending after a second cost moves
    and answered no more than lending nothing. So it must last, or come at its regular time.
    """

    NEARNESS = "nearness"
    """Lend early and keep long, so that pools are seldom full and organisations seldom short."""


@dataclass(frozen=True, slots=True)
class LendingRule:
    """How eagerly instances are lent."""

    filled: float
    """Part of an instance's slots that demand should fill before another one is lent."""

    patience: float
    """Seconds that demand must exceed a pool's own slots before any is lent."""

    hold: float
    """Seconds that an instance stays after it was last needed."""

    ahead: float
    """Seconds before the expected start of a peak at which instances are lent for it."""


RULES = {
    Lending.BUFFER_COST: LendingRule(filled=1.0, patience=3.0, hold=2.0, ahead=2.0),
    Lending.NEARNESS: LendingRule(filled=0.75, patience=0.0, hold=10.0, ahead=3.0),
}

PEAK_ENDS_BELOW = 0.5
"""Part of a pool's own slots below which demand must fall before another peak can start."""

PEAKS_KEPT = 4
"""Starts of peaks that the next one is foreseen from."""

LEAST_PEAKS = 3
"""Peaks that must have been seen before one is foreseen."""

REGULAR_WITHIN = 0.2
"""Largest difference between intervals, as a part of their median, that counts as regular."""


class PeakForecast:
    """Foresee the next peak of one pool from the starts of those before."""

    def __init__(self) -> None:
        self._starts: deque[float] = deque(maxlen=PEAKS_KEPT)
        self._heights: deque[float] = deque(maxlen=PEAKS_KEPT)
        self._in_peak = False

    def note(self, demand: float, own_slots: float, now: float) -> None:
        """Take over the demand of now."""
        if demand > own_slots and not self._in_peak:
            self._in_peak = True
            self._starts.append(now)
            self._heights.append(demand)
        elif self._in_peak:
            self._heights[-1] = max(self._heights[-1], demand)
            self._in_peak = demand >= PEAK_ENDS_BELOW * own_slots

    def expected(self, ahead: float, now: float) -> float:
        """Return the demand of a peak that starts within `ahead` seconds, 0 if none is foreseen.

        A peak that fails to come is expected for as long again, and then no more.
        """
        if len(self._starts) < LEAST_PEAKS or self._in_peak:
            return 0.0
        starts = list(self._starts)
        gaps = [later - earlier for earlier, later in itertools.pairwise(starts)]
        usual = statistics.median(gaps)
        if max(abs(gap - usual) for gap in gaps) > REGULAR_WITHIN * usual:
            return 0.0
        due = starts[-1] + usual
        return statistics.median(self._heights) if due - ahead <= now <= due + ahead else 0.0


@dataclass(slots=True)
class _Tracked:
    """What is remembered of one pool."""

    forecast: PeakForecast = field(default_factory=PeakForecast)
    exceeded_since: float | None = None
    recent: deque[tuple[float, int]] = field(default_factory=deque)
    """When how many instances were needed, for as long as they are held."""


class LendingPlanner:
    """Turn the demand of each pool into a need of instances, with hysteresis.

    This is kept in memory by the entry that plans. Its successor starts without it: for some
    peaks it lends only when they show.
    """

    def __init__(self) -> None:
        self._pools: dict[str, _Tracked] = {}

    def need(
        self, pool: str, weigh: Lending, demand: float, own: int, slots: int, now: float
    ) -> PoolNeed:
        """Return what a pool needs beyond its `own` live instances of `slots` slots each."""
        if weigh is Lending.OFF:
            self._pools.pop(pool, None)
            return NO_NEED
        rule = RULES[weigh]
        tracked = self._pools.setdefault(pool, _Tracked())
        foreseen = tracked.forecast.expected(rule.ahead, now)
        tracked.forecast.note(demand, own * slots, now)
        exceeds = demand > own * slots
        lasting = self._lasting(tracked, rule, exceeds, foreseen > 0, now)
        expected = 0.0 if exceeds else foreseen
        wanted = max(demand if lasting else 0.0, expected)
        needed = max(0, math.ceil(wanted / (slots * rule.filled)) - own)
        return self._with_hold(tracked, rule, needed, now)

    def _lasting(
        self, tracked: _Tracked, rule: LendingRule, exceeds: bool, foreseen: bool, now: float
    ) -> bool:
        """Tell whether demand has exceeded the pool for long enough, or was expected to."""
        if not exceeds:
            tracked.exceeded_since = None
            return False
        if tracked.exceeded_since is None:
            tracked.exceeded_since = now - rule.patience if foreseen else now
        return now - tracked.exceeded_since >= rule.patience

    def _with_hold(self, tracked: _Tracked, rule: LendingRule, needed: int, now: float) -> PoolNeed:
        tracked.recent.append((now, needed))
        while tracked.recent[0][0] < now - rule.hold:
            tracked.recent.popleft()
        return PoolNeed(needed, max(count for _, count in tracked.recent))
