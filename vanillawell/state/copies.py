"""Choose tasks to start a second time because nobody can say what becomes of their runs.

When the path to a zone is cut, what runs there may go on, and is given up only once its lease is
surely over, seconds later. Callers can allow a step's tasks to run twice; such tasks need not wait.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from vanillawell.state.work import RunPhase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from vanillawell.state.executors import Executor
    from vanillawell.state.work import Run

COPIED_AFTER = 0.4
"""Seconds of silence after which tasks are started elsewhere: a single lost answer is made good
within half of that."""


def to_copy(executors: Iterable[Executor], now: float) -> list[Run]:
    """Return the runs on silent executors beside which another may be started."""
    silent = (
        item
        for item in executors
        if item.unresponsive_since is not None and now >= item.unresponsive_since + COPIED_AFTER
    )
    runs = itertools.chain.from_iterable(item.runs.values() for item in silent)
    return [run for run in runs if _may_copy(run)]


def _may_copy(run: Run) -> bool:
    task, spec = run.task, run.task.step.spec
    allowed = spec.speculative and not spec.gang and not spec.long_running
    open_still = not task.done and not task.step.record.state.final and not run.stop_requested
    return allowed and open_still and task.run is run and not task.superseded_runs and _is_out(run)


def _is_out(run: Run) -> bool:
    """Tell whether the order for a run has gone out, or may have."""
    return run.phase is not RunPhase.PLANNED
