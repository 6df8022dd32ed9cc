"""Define an entry's local copy of the ledger of an organisation's limit."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from vanillawell.state.limits import Ledger

PEAK_WINDOW = 3.0
"""Seconds of one measurement window of peak demand; the current and the previous one count."""


@dataclass(slots=True)
class LedgerCopy:
    """A local copy of one organisation's ledger, with this entry's bounds on its units."""

    ledger: Ledger
    revision: int
    read_at: float
    unconfirmed_bound: int | None = None
    """Bound on usable units while a write that releases some may still be applied."""

    fenced_revision: int = 0
    """Revision that such a write compares with; once the ledger is newer, it cannot be applied."""

    contention_bound: int | None = None
    """Bound on usable units while other entries need some of the units held here."""

    usable: int = 0
    current_peak: int = 0
    previous_peak: int = 0
    peak_since: float = 0.0

    def record_demand(self, wanted: int, now: float) -> None:
        """Update the peak demand of the current window."""
        if now - self.peak_since > PEAK_WINDOW:
            self.previous_peak, self.current_peak, self.peak_since = self.current_peak, 0, now
        self.current_peak = max(self.current_peak, wanted)

    @property
    def recent_peak(self) -> int:
        """Return the peak demand of the current and the previous window."""
        return max(self.current_peak, self.previous_peak)
