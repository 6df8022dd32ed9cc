"""Call executors over HTTP: start, stop and pace runs, renew their leases, read reports."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

from vanillawell.platform.http import refusal_reason
from vanillawell.protocol.call_errors import NoAnswerError
from vanillawell.protocol.checked_values import number, text, whole
from vanillawell.protocol.executor_calls import (
    HoldReport,
    OrderRefusal,
    OrderRefusedError,
    ReportedEnd,
    ReportedRun,
    StartOrder,
    Target,
    WrongIncarnationError,
)
from vanillawell.state.work import Ending, TaskId

if TYPE_CHECKING:
    from vanillawell.platform.http import HttpClient

ORDER_TIMEOUT = 0.5
"""Seconds to wait for the answer to an order. A healthy executor answers within milliseconds; an
order without an answer delays the start of the task elsewhere by this time."""

HOLD_TIMEOUT_MARGIN = 0.5
"""Seconds to wait for a report beyond the wait that was requested of the executor."""

MAX_REPORTED_ENDS = 500
"""Number of ends that one report lists at most; one with fewer lists all of them."""

TASK_NAME = re.compile(r"([0-9a-fA-F]{16})\.(\d+)\.(\d+)\.(\d+)")

REFUSAL_REASONS = {
    "fence": OrderRefusal.STALE_TOKEN,
    "old": OrderRefusal.RUN_ENDED,
    "late": OrderRefusal.LEASE_END_PASSED,
    "room": OrderRefusal.NO_CAPACITY,
    "ticket": OrderRefusal.INVALID_TICKET,
}


def task_name(task_id: TaskId) -> str:
    """Return the name by which the platform knows a task."""
    return f"{task_id.job_id}.{task_id.occurrence}.{task_id.step}.{task_id.task}"


def read_task_name(name: str) -> TaskId | None:
    """Parse a task's name; return None if it does not have the format of `task_name`."""
    match = TASK_NAME.fullmatch(name)
    if match is None:
        return None
    return TaskId(match[1], int(match[2]), int(match[3]), int(match[4]))


class PlatformExecutors:
    """Client of all executors."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def start(self, target: Target, order: StartOrder, fence: int) -> float:
        """Start a run and return the executor's clock."""
        document: dict[str, Any] = {
            "task": task_name(order.task_id),
            "run": order.run,
            "spec": order.payload,
            "deadlineMs": int(order.lease_end * 1000),
            "fence": fence,
        }
        if order.checkpoint:
            document["lastCheckpoint"] = order.checkpoint
        if order.ticket:
            document["ticket"] = order.ticket
        return _clock(await self._order(target, "/run-start", document))

    async def stop(self, target: Target, task_id: TaskId, run: int, fence: int) -> float:
        """Stop a run, or prevent its start if it is yet to begin; return the executor's clock."""
        document = {"task": task_name(task_id), "run": run, "fence": fence}
        return _clock(await self._order(target, "/run-stop", document))

    async def pace(
        self, target: Target, task_id: TaskId, run: int, percent: int, fence: int
    ) -> float:
        """Limit a run to a percentage of its full pace and return the executor's clock."""
        document = {"task": task_name(task_id), "run": run, "percent": percent, "fence": fence}
        return _clock(await self._order(target, "/pace", document))

    async def hold(
        self, target: Target, fence: int, saved_end: int, lease_end: float | None, wait: float
    ) -> HoldReport:
        """Renew leases, confirm stored ends of runs, and return the executor's report."""
        document: dict[str, Any] = {"fence": fence, "lastSeen": saved_end}
        if lease_end is not None:
            document["deadlineMs"] = int(lease_end * 1000)
        if wait:
            document["waitMs"] = round(wait * 1000)
        content = await self._order(target, "/hold", document, HOLD_TIMEOUT_MARGIN + wait)
        try:
            ended = [_end(row) for row in content["finished"]]
            return HoldReport(
                _clock(content),
                whole(content.get("born", target.incarnation)),
                [_running(row) for row in content["running"]],
                ended,
                lists_all_ends=len(ended) < MAX_REPORTED_ENDS,
            )
        except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
            raise NoAnswerError(f"/hold: malformed report: {error!r}") from error

    async def _order(
        self, target: Target, path: str, document: dict[str, Any], timeout: float = ORDER_TIMEOUT
    ) -> Any:
        answer = await self._http.call(
            target.address,
            "POST",
            path,
            document,
            timeout,
            {"X-Expect-Instance": target.executor},
        )
        if answer.status == 200:
            return answer.document()
        if answer.status == 421:
            raise WrongIncarnationError(target.executor)
        if answer.status == 409:
            reason = REFUSAL_REASONS.get(refusal_reason(answer))
            raise OrderRefusedError(reason or OrderRefusal.MALFORMED)
        if answer.status in (429, 503):
            raise OrderRefusedError(OrderRefusal.UNHEALTHY)
        if answer.status == 400:
            raise OrderRefusedError(OrderRefusal.MALFORMED)
        raise NoAnswerError(f"{path}: status {answer.status}")


def _clock(content: Any) -> float:
    try:
        return number(content["clockMs"]) / 1000
    except (KeyError, TypeError, ValueError) as error:
        raise NoAnswerError(f"no clock in the answer: {error!r}") from error


def _running(row: list[Any]) -> ReportedRun:
    """Decode [task, run, checkpoint, percent, measure]; plain tasks report no measure."""
    measure = number(row[4]) if len(row) > 4 and row[4] is not None else 0.0
    return ReportedRun(
        read_task_name(row[0]), whole(row[1]), text(row[2] or ""), int(number(row[3])), measure
    )


def _end(row: list[Any]) -> ReportedEnd:
    """Decode [number, task, run, ending, checkpoint]."""
    return ReportedEnd(
        whole(row[0]), read_task_name(row[1]), whole(row[2]), Ending(row[3]), text(row[4] or "")
    )
