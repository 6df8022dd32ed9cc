"""Keep the room of runs that an executor reports and that no task is charged for.

They are being stopped. Until they have ended, they use capacity like any other run.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from vanillawell.state.progress import Task
from vanillawell.state.work import NO_RESOURCES, Resources, TaskId

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from vanillawell.protocol.executor_calls import HoldReport, ReportedRun


@dataclass(frozen=True, slots=True)
class Orphan:
    """One such run."""

    listed_at: float
    """When a report listed it last."""

    room: Resources | None
    """What it uses; None if its job is not known."""


@dataclass(slots=True)
class Orphans:
    """Orphaned runs of one incarnation of an executor."""

    room: Resources = NO_RESOURCES
    """What those of known jobs use."""

    has_unknown: bool = False
    """Whether one belongs to no known job, so that nobody knows what it uses."""

    _found: dict[tuple[TaskId, int], Orphan] = field(default_factory=dict)

    def __bool__(self) -> bool:
        """Return whether there are any."""
        return bool(self._found)

    def update(
        self,
        rows: Iterable[ReportedRun],
        report: HoldReport,
        sent: float,
        now: float,
        find: Callable[[TaskId], Task | None],
    ) -> None:
        """Apply the orphans of a report, the answer to a call that was sent at `sent`.

        A report on a call that was sent before another one listed a run does not show its end. Nor
        does one that may leave out ends, unless it lists that of the run: room is free only once
        the end is listed.
        """
        ended = {(end.task_id, end.run) for end in report.ended}
        kept = {
            key: item
            for key, item in self._found.items()
            if sent < item.listed_at or not (report.lists_all_ends or key in ended)
        }
        for row in rows:
            if row.task_id is not None:
                task = find(row.task_id)
                room = task.step.spec.reserved if task else None
                kept[row.task_id, row.run] = Orphan(now, room)
        if not kept and not self._found:
            return
        self._found = kept
        self.has_unknown = any(item.room is None for item in kept.values())
        self.room = sum((item.room for item in kept.values() if item.room), NO_RESOURCES)
