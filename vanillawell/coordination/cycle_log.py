"""Log the tasks that one scheduling cycle started and those it recorded as done.

Peaks start and end hundreds of tasks a second. With one line for each, the budget of log lines with
the same message would be exceeded, and the dropped lines would be those that explain a late job. So
each line lists many tasks, with all their fields.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from vanillawell.state.outbox import CompletedTask
    from vanillawell.state.progress import Run

log = logging.getLogger(__name__)

MAX_TASKS_PER_LINE = 32
"""Maximum number of tasks in one log line, which makes about two kilobytes."""


def log_started_tasks(runs: Sequence[Run], token: int) -> None:
    """Log which tasks start where; each row holds the task's id, its run and the executor."""
    _log_rows(
        "tasks started", [[*run.task.task_id, run.number, run.executor] for run in runs], token
    )


def log_done_tasks(tasks: Sequence[CompletedTask], token: int) -> None:
    """Log which tasks are done; each row holds the task's id, its run, the executor and the seconds
    since its start."""
    _log_rows("tasks done", [[*item.task_id, *item[1:]] for item in tasks], token)


def _log_rows(message: str, rows: list[list[object]], token: int) -> None:
    for first in range(0, len(rows), MAX_TASKS_PER_LINE):
        log.info(message, extra={"runs": rows[first : first + MAX_TASKS_PER_LINE], "token": token})
