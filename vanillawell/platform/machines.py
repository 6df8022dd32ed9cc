"""Call the services for machines and for advice."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
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

MACHINE_BOUND = 2.0
"""Seconds to wait for the answer to a call about machines."""

ADVICE_BOUND = 3.0
"""Seconds to wait for advice; calls are answered in turn, so some wait for others."""

REFUSALS = {
    "fence": UpkeepRefusal.STALE_TOKEN,
    "busy": UpkeepRefusal.BUSY,
    "wave": UpkeepRefusal.NOT_OF_WAVE,
}


class PlatformMachines:
    """Speak to the service that owns all machines."""

    def __init__(self, http: HttpClient, address: str) -> None:
        self._http = http
        self._address = address

    async def list_machines(self) -> list[Machine]:
        """Return all machines."""
        found: list[Machine] = []
        token = ""
        while True:
            path = f"/machines?pageToken={token}" if token else "/machines"
            answer = await self._http.call(self._address, "GET", path, timeout=MACHINE_BOUND)
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
            self._address, "POST", path, document, MACHINE_BOUND, headers
        )
        if answer.status == 200:
            return
        if answer.status == 409:
            reason = REFUSALS.get(answer.document().get("reason"))
            raise UpkeepRefusedError(reason or UpkeepRefusal.BUSY)
        if answer.status == 400:
            raise UpkeepRefusedError(UpkeepRefusal.NO_SUCH_MACHINE)
        if answer.status in (429, 503):
            raise NotSentError(f"{path}: status {answer.status}")
        raise NoAnswerError(f"{path}: status {answer.status}")


class PlatformAdvice:
    """Speak to the service that says which executors may run a step."""

    def __init__(self, http: HttpClient, address: str) -> None:
        self._http = http
        self._address = address

    async def request_tickets(self, task: TaskId, executors: Sequence[str]) -> dict[str, str]:
        """Return a ticket for each of the executors that may run the step of `task`."""
        document = {
            "step": f"{task.job_id}.{task.occurrence}.{task.step}",
            "workers": list(executors),
        }
        answer = await self._http.call(self._address, "POST", "/advise", document, ADVICE_BOUND)
        if answer.status == 429:
            raise AdviceBusyError
        if answer.status != 200:
            raise NoAnswerError(f"/advise: status {answer.status}")
        return {row[0]: row[1] for row in answer.document()["good"]}


def _page(content: Any) -> tuple[list[Machine], str]:
    """Read a page of the list, and what to ask the next one with; empty for the last."""
    try:
        return [_machine(item) for item in content["machines"]], content.get("nextToken") or ""
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise NoAnswerError(f"/machines: malformed list: {error!r}") from error


def _machine(item: Any) -> Machine:
    """Read one entry of the list; `id` is that of the machine's executor."""
    return Machine(
        item["machine"],
        item["pool"],
        MachineState(item["state"]),
        item.get("id"),
        item.get("zone") or "",
    )
