"""Divide a full pool's slots between organisations by share, and between entries by demand.

All entries compute the same division from the same reports, so that together they serve every
organisation near its share without coordinating each request. If their reports differ, an executor
that is full refuses the request, which did not run and is requeued.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Mapping
from dataclasses import dataclass

AmountByOrganisation = Mapping[str, float]
"""Slots, demand or share by organisation."""


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """Running or queued requests of one pool, by source (an entry or a zone) and organisation."""

    by_source: Mapping[str, Mapping[str, int]]

    def by_organisation(self) -> dict[str, int]:
        """Return the demand of each organisation, summed over all sources."""
        organisations = sorted(
            {organisation for row in self.by_source.values() for organisation in row}
        )
        return {
            organisation: sum(row.get(organisation, 0) for row in self.by_source.values())
            for organisation in organisations
        }


def fair_slots(
    slots: float, demand: AmountByOrganisation, shares: AmountByOrganisation
) -> dict[str, float]:
    """Divide `slots` by weighted max-min fairness.

    An organisation that wants less than its part gets what it wants. The remainder goes to the
    others in proportion to their shares, so that no slot stays idle while any request waits.
    """
    result = dict.fromkeys(demand, 0.0)
    unsatisfied = {organisation for organisation, wanted in demand.items() if wanted > 0}
    remaining = slots
    while unsatisfied and remaining > 0:
        weight = sum(shares[organisation] for organisation in unsatisfied)
        satisfied = {
            organisation
            for organisation in unsatisfied
            if demand[organisation] <= remaining * shares[organisation] / weight
        }
        if not satisfied:
            parts = {
                organisation: remaining * shares[organisation] / weight
                for organisation in unsatisfied
            }
            return result | parts
        result |= {organisation: float(demand[organisation]) for organisation in satisfied}
        remaining -= sum(demand[organisation] for organisation in satisfied)
        unsatisfied -= satisfied
    return result


def round_parts(parts: Mapping[str, float], total: int) -> dict[str, int]:
    """Round parts to whole slots whose sum is at most `total`, by the largest remainder method."""
    floors = {name: math.floor(part) for name, part in parts.items()}
    left_over = max(0, min(total, round(sum(parts.values()))) - sum(floors.values()))
    by_remainder = sorted(parts, key=lambda name: (floors[name] - parts[name], name))
    rounded_up = set(by_remainder[:left_over])
    return {name: floors[name] + (name in rounded_up) for name in sorted(parts)}


def source_targets(
    slots: int, demand: PoolDemand, shares: AmountByOrganisation
) -> dict[str, dict[str, float]]:
    """Return, for each source, the slots that each of its organisations should occupy."""
    totals = demand.by_organisation()
    allocated = fair_slots(slots, totals, shares)
    return {
        source: {
            organisation: allocated[organisation] * count / totals[organisation]
            for organisation, count in row.items()
            if count
        }
        for source, row in demand.by_source.items()
    }


def executor_quotas(
    parts: Mapping[str, int], executors: tuple[str, ...], slots_each: int, source: str
) -> dict[str, int]:
    """Return how many slots of each executor belong to `source`.

    The pool's slots are numbered round robin over the executors and each source gets a consecutive
    range, so no slot belongs to two sources and each source uses many executors.
    """
    if not executors:
        return {}
    offsets = itertools.accumulate(parts[name] for name in sorted(parts))
    ends = dict(zip(sorted(parts), offsets, strict=True))
    end = min(ends[source], len(executors) * slots_each)
    numbers = range(max(0, ends[source] - parts[source]), end)
    own_slots = [executors[number % len(executors)] for number in numbers]
    return {name: own_slots.count(name) for name in executors}
