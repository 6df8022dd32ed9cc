"""Keep what belongs to one incarnation of an executor, so that none of it reaches the next one.

An executor that starts again under its id knows nothing of before, may be of another kind and
counts its ends from 1 again. Numbers, confirmations and capacity are therefore those of one
incarnation: whoever holds them holds the incarnation, not the executor.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from vanillawell.state.orphans import Orphans

if TYPE_CHECKING:
    from vanillawell.state.work import TaskId


@dataclass(slots=True, eq=False)
class Incarnation:
    """One incarnation of an executor."""

    executor: str
    """Id of the executor."""

    started: int
    """Start time, in milliseconds since the epoch."""

    is_registered: bool = False
    """Whether its own registration has been read, which states its kind and its capacity."""

    is_doubted: bool = False
    """Whether an answer came from another incarnation, which has yet to report."""

    last_applied_end: int = 0
    """Highest sequence number of an end that was applied from its reports."""

    has_unlisted_ends: bool = False
    """Whether its last report may have left out ends, which it lists once others are confirmed."""

    unsaved_ends: set[int] = field(default_factory=set)
    """Sequence numbers of ends whose effect is not stored yet."""

    confirmed_end: int = 0
    """Highest sequence number that it has been told to forget."""

    orphans: Orphans = field(default_factory=Orphans)
    """Runs that it has reported and that no task is charged for."""

    open_orders: set[tuple[TaskId, int]] = field(default_factory=set)
    """Runs of former incarnations whose start orders may still reach this one, which has yet to
    confirm that it rejects them."""

    @property
    def may_get_tasks(self) -> bool:
        """Return whether it is known which incarnation answers, and what room it has."""
        is_room_known = self.is_registered and not self.orphans.has_unknown
        return is_room_known and not self.is_doubted and not self.open_orders

    @property
    def saved_end(self) -> int:
        """Return the highest sequence number up to which all ends are stored."""
        return min(self.unsaved_ends) - 1 if self.unsaved_ends else self.last_applied_end
