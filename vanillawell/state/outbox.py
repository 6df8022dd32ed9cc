"""Collect the effects of scheduling decisions on a shard until its owner executes them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.state.incarnations import Incarnation
    from vanillawell.state.progress import Run
    from vanillawell.state.work import TaskId


@dataclass(frozen=True, slots=True)
class OrphanedRun:
    """A run to stop that an executor reported and that is not charged to any task."""

    executor: str
    task_id: TaskId
    run: int


@dataclass(frozen=True, slots=True)
class EndConfirmation:
    """An end of a run, to be confirmed to the incarnation that listed it once it is stored."""

    incarnation: Incarnation
    sequence: int
    job_id: str
    """Job whose record has to be stored before."""


class CompletedTask(NamedTuple):
    """A task that was completed, for the log."""

    task_id: TaskId
    run: int
    executor: str
    seconds: float | None
    """Seconds from its confirmed start to the report of its end.

    None if this process did not see the start."""


def _ignore_stop() -> None:
    """Do nothing, as long as no listener for stops is set."""


@dataclass(slots=True)
class Outbox:
    """Effects of the decisions so far that are not executed yet."""

    planned: list[Run] = field(default_factory=list)
    ends: list[EndConfirmation] = field(default_factory=list)
    stops: list[Run] = field(default_factory=list)
    orphan_stops: list[OrphanedRun] = field(default_factory=list)
    done: list[CompletedTask] = field(default_factory=list)
    accepted_requests: dict[str, set[str]] = field(default_factory=dict)
    """Inbox keys of accepted callers' requests, by the job that they concern."""

    deletes: list[str] = field(default_factory=list)
    """Keys that a former cycle has left to be deleted."""

    on_stop: Callable[[], None] = _ignore_stop
    """Called when a stop is requested; unlike other effects, stops are not delayed until the next
    scheduling cycle."""

    def stop(self, run: Run) -> None:
        """Request that a run is stopped."""
        self.stops.append(run)
        self.on_stop()

    def stop_orphan(self, orphan: OrphanedRun) -> None:
        """Request that a run is stopped that is not charged to any task."""
        self.orphan_stops.append(orphan)
        self.on_stop()
