"""Log the tasks that one scheduling cycle started and those it recorded as done.

At peak load hundreds of tasks start and end per second. With one line per task, the limit on lines
of a kind would drop exactly the lines that explain a late job. Each line therefore holds several
tasks, each with all its fields.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from vanillawell.state.outbox import DoneTask
    from vanillawell.state.work import Run

log = logging.getLogger(__name__)

TASKS_PER_LINE = 32
"""Tasks per log line; a line of 32 tasks takes about two kilobytes."""


def log_started_tasks(runs: Sequence[Run], token: int) -> None:
    """Log which tasks start where; each row holds the task's id, its run and the executor."""
    _log_rows(
        "tasks started", [[*run.task.task_id, run.number, run.executor] for run in runs], token
    )


def log_done_tasks(tasks: Sequence[DoneTask], token: int) -> None:
    """Log which tasks are done; each row holds the task's id, its run, the executor and the seconds
    since its start."""
    _log_rows("tasks done", [[*item.task_id, *item[1:]] for item in tasks], token)


def _log_rows(message: str, rows: list[list[object]], token: int) -> None:
    for first in range(0, len(rows), TASKS_PER_LINE):
        log.info(message, extra={"runs": rows[first : first + TASKS_PER_LINE], "token": token})
