"""Track the demand that other entries last reported, by source.

A source is an entry of this zone, or another zone as a whole, reported by one entry of it.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from vanillawell.state.slot_allocation import PoolDemand

if TYPE_CHECKING:
    from collections.abc import Mapping

REPORT_LIFETIME = 5.0
"""Seconds after which a report expires if it is not renewed."""


MIN_REPORTED_PART = 0.5
"""Part of an entry's even share of slots or limit below which its demand has no effect."""


def is_significant(demand: int, total: int, entries: int) -> bool:
    """Return whether the demand in this entry has to be reported.

    If every entry stays below half of its even share, the pool or limit is at most half used and no
    other entry needs the figures. Between peaks almost no rows are sent.
    """
    return demand > 0 and demand >= MIN_REPORTED_PART * total / max(1, entries)


@dataclass(frozen=True, slots=True)
class Row:
    """Demand and past use of one source in one pool for one organisation."""

    pool: str
    organisation: str
    demand: int
    """Running or queued requests."""

    used: float
    """Decayed slot-seconds."""


@dataclass(slots=True)
class Report:
    """The latest rows of one source."""

    entries: int
    """Number of entries that the source represents."""

    sequence: int
    """Increases with each report, so that an older one that arrives late is ignored."""

    received: float
    rows: dict[tuple[str, str], Row] = field(default_factory=dict)


class DemandTable:
    """The latest report of each source."""

    def __init__(self) -> None:
        self._reports: dict[str, Report] = {}

    @property
    def reports(self) -> Mapping[str, Report]:
        """Return the reports by source."""
        return self._reports

    def receive(
        self, source: str, entries: int, sequence: int, rows: tuple[Row, ...], now: float
    ) -> bool:
        """Store a report; return False if a newer one was already received."""
        old = self._reports.get(source)
        if old and old.sequence >= sequence and now - old.received < REPORT_LIFETIME:
            return False
        table = {(row.pool, row.organisation): row for row in rows}
        self._reports[source] = Report(entries, sequence, now, table)
        return True

    def expire(self, now: float) -> None:
        """Remove sources whose reports have expired."""
        self._reports = {
            source: report
            for source, report in self._reports.items()
            if now - report.received < REPORT_LIFETIME
        }

    def entries(self) -> int:
        """Return how many other entries have reported."""
        return sum(report.entries for report in self._reports.values())

    def pool_demand(self, pool: str, source: str, own: Mapping[str, int]) -> PoolDemand:
        """Return the demand on a pool of all sources, with this entry's own as `source`."""
        others = {
            name: {row.organisation: row.demand for row in report.rows.values() if row.pool == pool}
            for name, report in self._reports.items()
        }
        return PoolDemand({**others, source: own})

    def slots_used(self, pool: str) -> Counter[str]:
        """Return the decayed slot-seconds of each organisation in a pool, over all other
        sources."""
        used: Counter[str] = Counter()
        for report in self._reports.values():
            for row in report.rows.values():
                if row.pool == pool:
                    used[row.organisation] += row.used  # type: ignore[assignment]
        return used

    def units_needed(self, organisation: str, floor: int) -> int:
        """Return the units of an organisation's limit that all other entries need."""
        return sum(
            max(
                sum(row.demand for row in report.rows.values() if row.organisation == organisation),
                floor * report.entries,
            )
            for report in self._reports.values()
        )
