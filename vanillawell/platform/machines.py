"""Call the platform's services for machines and for placement advice."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from vanillawell.platform.http import refusal_reason
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
from vanillawell.protocol.checked_values import text
from vanillawell.protocol.machine_calls import (
    AdviceBusyError,
    Machine,
    MachineDuty,
    MachineState,
    UpkeepRefusal,
    UpkeepRefusedError,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from vanillawell.platform.http import HttpClient
    from vanillawell.state.work import TaskId

MACHINE_CALL_TIMEOUT = 2.0
"""Seconds to wait for the answer to a call about machines."""

ADVICE_TIMEOUT = 3.0
"""Seconds to wait for advice; the service answers one call at a time, so calls queue there."""

REFUSAL_REASONS = {
    "fence": UpkeepRefusal.STALE_TOKEN,
    "busy": UpkeepRefusal.BUSY,
    "wave": UpkeepRefusal.NOT_OF_WAVE,
}


class PlatformMachines:
    """Client of the service that manages all machines."""

    def __init__(self, http: HttpClient, address: str) -> None:
        self._http = http
        self._address = address

    async def list_machines(self) -> list[Machine]:
        """Return all machines, read page by page."""
        found: list[Machine] = []
        token = ""
        while True:
            path = f"/machines?pageToken={token}" if token else "/machines"
            answer = await self._http.call(self._address, "GET", path, timeout=MACHINE_CALL_TIMEOUT)
            if answer.status != 200:
                raise NotSentError(f"/machines: status {answer.status}")
            page, token = _page(answer.document())
            found.extend(page)
            if not token:
                return found

    async def begin_upkeep(self, machine: str, wave: int, duty: MachineDuty) -> None:
        """Begin the upkeep of a machine; repeating it has no further effect."""
        await self._order("/machine-upkeep", {"machine": machine, "wave": wave}, duty)

    async def move(self, machine: str, pool: str, duty: MachineDuty) -> None:
        """Move a machine to another pool; repeating it has no further effect."""
        await self._order("/machine-move", {"machine": machine, "pool": pool}, duty)

    async def _order(self, path: str, document: object, duty: MachineDuty) -> None:
        headers = {"X-Duty-Holder": duty.holder, "X-Fence-Token": str(duty.token)}
        answer = await self._http.call(
            self._address, "POST", path, document, MACHINE_CALL_TIMEOUT, headers
        )
        if answer.status == 200:
            return
        if answer.status == 409:
            reason = REFUSAL_REASONS.get(refusal_reason(answer))
            raise UpkeepRefusedError(reason or UpkeepRefusal.BUSY)
        if answer.status == 400:
            raise UpkeepRefusedError(UpkeepRefusal.NO_SUCH_MACHINE)
        if answer.status in (429, 503):
            raise NotSentError(f"{path}: status {answer.status}")
        raise NoAnswerError(f"{path}: status {answer.status}")


class PlatformAdvice:
    """Client of the service that decides which executors may run a step."""

    def __init__(self, http: HttpClient, address: str) -> None:
        self._http = http
        self._address = address

    async def request_tickets(self, task: TaskId, executors: Sequence[str]) -> dict[str, str]:
        """Return a ticket for each of the executors that may run the step of `task`."""
        document = {
            "step": f"{task.job_id}.{task.occurrence}.{task.step}",
            "workers": list(executors),
        }
        answer = await self._http.call(self._address, "POST", "/advise", document, ADVICE_TIMEOUT)
        if answer.status == 429:
            raise AdviceBusyError
        if answer.status != 200:
            raise NoAnswerError(f"/advise: status {answer.status}")
        content = answer.document()
        try:
            return {text(row[0]): text(row[1]) for row in content["good"]}
        except (KeyError, TypeError, ValueError, IndexError) as error:
            raise NoAnswerError(f"/advise: malformed answer: {error!r}") from error


def _page(content: Any) -> tuple[list[Machine], str]:
    """Decode a page of the list and the token of the next page, which is empty for the last."""
    try:
        return [_machine(item) for item in content["machines"]], text(
            content.get("nextToken") or ""
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise NoAnswerError(f"/machines: malformed list: {error!r}") from error


def _machine(item: Any) -> Machine:
    """Decode one item of the list; its `id` names the machine's executor."""
    return Machine(
        text(item["machine"]),
        text(item["pool"]),
        MachineState(item["state"]),
        None if item.get("id") is None else text(item["id"]),
        text(item.get("zone") or ""),
    )
