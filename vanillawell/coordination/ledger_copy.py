"""Hold what one entry knows of one organisation's ledger."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from vanillawell.state.limits import Ledger

PEAK_SECONDS = 3.0
"""Seconds that one half of the memory of recent peaks spans."""


@dataclass(slots=True)
class LedgerCopy:
    """What this entry knows of one organisation's ledger."""

    ledger: Ledger
    revision: int
    read_at: float
    cap: int | None = None
    """Bound on units while a write that gives some away may still be applied."""

    fenced_at: int = 0
    """Store revision that such a write compares with; once passed, it can no longer apply."""

    soft: int | None = None
    """Bound while other entries' demand claims a part of what is held here."""

    usable: int = 0
    peak: int = 0
    last_peak: int = 0
    peak_since: float = 0.0

    def note_wanted(self, wanted: int, now: float) -> None:
        """Remember the largest demand of the last seconds."""
        if now - self.peak_since > PEAK_SECONDS:
            self.last_peak, self.peak, self.peak_since = self.peak, 0, now
        self.peak = max(self.peak, wanted)

    @property
    def recent_peak(self) -> int:
        """Return the largest demand of the last seconds."""
        return max(self.peak, self.last_peak)
