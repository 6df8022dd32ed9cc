"""Choose speculative tasks to start again because their executors are unresponsive.

When the connection to a zone is lost, the runs there may continue. They are closed only when their
lease has expired for certain, seconds later. Callers can allow the tasks of a step to run more than
once; such tasks are started elsewhere without waiting for that.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from vanillawell.state.progress import RunPhase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from vanillawell.state.executors import Executor
    from vanillawell.state.progress import Run

COPY_DELAY = 0.4
"""Seconds without an answer after which tasks are started elsewhere; a single lost answer is
recovered within half of that."""


def runs_to_copy(executors: Iterable[Executor], now: float) -> list[Run]:
    """Return the runs on unresponsive executors beside which another run may be started."""
    unresponsive = (
        item
        for item in executors
        if item.unresponsive_since is not None and now >= item.unresponsive_since + COPY_DELAY
    )
    runs = itertools.chain.from_iterable(item.runs.values() for item in unresponsive)
    return [run for run in runs if _may_copy(run)]


def _may_copy(run: Run) -> bool:
    task, spec = run.task, run.task.step.spec
    allowed = spec.speculative and not spec.gang and not spec.long_running
    is_open = not task.done and not task.step.record.state.final and not run.stop_requested
    return allowed and is_open and task.run is run and not task.superseded_runs and _is_ordered(run)


def _is_ordered(run: Run) -> bool:
    """Return whether the start order of a run has been sent, or may have been."""
    return run.phase is not RunPhase.PLANNED
