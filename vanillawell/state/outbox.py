"""Collect what the decisions on a shard ask for, until its owner carries it out."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.state.executors import Executor
    from vanillawell.state.work import Run, TaskId


@dataclass(frozen=True, slots=True)
class OrphanedRun:
    """A run to stop that is not charged to any task."""

    executor: str
    task_id: TaskId
    run: int


@dataclass(frozen=True, slots=True)
class EndConfirmation:
    """An end that may be confirmed to its executor once it is stored."""

    executor: Executor
    sequence: int


class CompletedTask(NamedTuple):
    """A task that was done, for the log."""

    task_id: TaskId
    run: int
    executor: str
    seconds: float | None
    """From its confirmed start to the news of its end; None if the start was not seen here."""


def _nobody() -> None:
    """Stand for the listener that there is none of yet."""


@dataclass(slots=True)
class Outbox:
    """What the decisions so far ask for."""

    planned: list[Run] = field(default_factory=list)
    ends: list[EndConfirmation] = field(default_factory=list)
    stops: list[Run] = field(default_factory=list)
    orphan_stops: list[OrphanedRun] = field(default_factory=list)
    done: list[CompletedTask] = field(default_factory=list)
    accepted_requests: dict[str, set[str]] = field(default_factory=dict)
    """What callers asked for and is taken in now: keys by the job that they concern."""

    on_stop: Callable[[], None] = _nobody
    """Called when a stop is asked for; unlike all else it waits for no turn."""

    def stop(self, run: Run) -> None:
        """Ask for a run to be stopped."""
        self.stops.append(run)
        self.on_stop()

    def stop_orphan(self, stray: OrphanedRun) -> None:
        """Ask for a run to be stopped that is not charged to any task."""
        self.orphan_stops.append(stray)
        self.on_stop()
