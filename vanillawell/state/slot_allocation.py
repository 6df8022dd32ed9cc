"""Divide a full pool's slots between organisations by share, and between entries by demand.

All entries compute the same division from the same reports, so that together they serve every
organisation near its share without asking anyone for each request. When reports differ, the
executors' own refusal when full is the backstop: a refused request did not run and goes back to
its queue.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Mapping
from dataclasses import dataclass

Rates = Mapping[str, float]
"""Slots by organisation, or demand by organisation."""


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """Requests running or queued in one pool: by source (an entry or a zone), then by organisation.
    Requests running or queued in one pool: by source (an entry or a zone), then by organisation."""

    by_source: Mapping[str, Mapping[str, int]]

    def by_organisation(self) -> dict[str, int]:
        """Sum the demand of each organisation over all sources."""
        organisations = sorted(
            {organisation for row in self.by_source.values() for organisation in row}
        )
        return {
            organisation: sum(row.get(organisation, 0) for row in self.by_source.values())
            for organisation in organisations
        }


def fair_slots(slots: float, demand: Rates, shares: Rates) -> dict[str, float]:
    """Divide `slots` by weighted max-min fairness.

    An organisation that wants less than its part gets what it wants; what it leaves goes to the
    others in proportion to their shares, so that no slot stays idle while anyone waits.
    """
    result = dict.fromkeys(demand, 0.0)
    open_organisations = {organisation for organisation, wanted in demand.items() if wanted > 0}
    left = slots
    while open_organisations and left > 0:
        weight = sum(shares[organisation] for organisation in open_organisations)
        sated = {
            organisation
            for organisation in open_organisations
            if demand[organisation] <= left * shares[organisation] / weight
        }
        if not sated:
            parts = {
                organisation: left * shares[organisation] / weight
                for organisation in open_organisations
            }
            return result | parts
        result |= {organisation: float(demand[organisation]) for organisation in sated}
        left -= sum(demand[organisation] for organisation in sated)
        open_organisations -= sated
    return result


def round_parts(parts: Mapping[str, float], total: int) -> dict[str, int]:
    """Round parts to whole slots that sum to `total` at most, by largest remainder."""
    floors = {name: math.floor(part) for name, part in parts.items()}
    spare = max(0, min(total, round(sum(parts.values()))) - sum(floors.values()))
    by_remainder = sorted(parts, key=lambda name: (floors[name] - parts[name], name))
    lucky = set(by_remainder[:spare])
    return {name: floors[name] + (name in lucky) for name in sorted(parts)}


def source_targets(slots: int, demand: PoolDemand, shares: Rates) -> dict[str, dict[str, float]]:
    """Return, for each source, the slots each of its organisations should occupy."""
    totals = demand.by_organisation()
    entitled = fair_slots(slots, totals, shares)
    return {
        source: {
            organisation: entitled[organisation] * count / totals[organisation]
            for organisation, count in row.items()
            if count
        }
        for source, row in demand.by_source.items()
    }


def executor_quotas(
    parts: Mapping[str, int], executors: tuple[str, ...], slots_each: int, source: str
) -> dict[str, int]:
    """Return how many slots of each executor belong to `source`.

    The pool's slots are numbered round robin over the executors, and each source gets the next
    run of numbers, so that no slot belongs to two sources and each source meets many executors.
    """
    if not executors:
        return {}
    offsets = itertools.accumulate(parts[name] for name in sorted(parts))
    ends = dict(zip(sorted(parts), offsets, strict=True))
    end = min(ends[source], len(executors) * slots_each)
    numbers = range(max(0, ends[source] - parts[source]), end)
    mine = [executors[number % len(executors)] for number in numbers]
    return {name: mine.count(name) for name in executors}
