"""Log what one turn of a shard's owner started and what it took in as done.

Peaks start and end hundreds of tasks a second. With a line for each, the bound on lines of a kind
would leave out just those that explain a late job; so a line holds many tasks, each whole.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from vanillawell.state.outbox import CompletedTask
    from vanillawell.state.work import Run

log = logging.getLogger(__name__)

ROWS_IN_A_LINE = 32
"""Tasks told in one line, some two kilobytes."""


def log_started_tasks(runs: Sequence[Run], token: int) -> None:
    """Tell which tasks start where; rows hold the task's id, its run and the executor."""
    _tell("tasks started", [[*run.task.task_id, run.number, run.executor] for run in runs], token)


def log_done_tasks(tasks: Sequence[CompletedTask], token: int) -> None:
    """Tell which tasks are done; rows hold the id, run, executor and seconds from its start."""
    _tell("tasks done", [[*item.task_id, *item[1:]] for item in tasks], token)


def _tell(message: str, rows: list[list[object]], token: int) -> None:
    for first in range(0, len(rows), ROWS_IN_A_LINE):
        log.info(message, extra={"runs": rows[first : first + ROWS_IN_A_LINE], "token": token})
