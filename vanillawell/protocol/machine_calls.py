"""Define orders for machines and calls for advice, independently of the wire format."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from vanillawell.state.work import TaskId


class MachineState(StrEnum):
    """State of a machine."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Machine:
    """One machine as listed by the service that owns all machines."""

    name: str
    pool: str
    state: MachineState
    executor: str | None
    """Id of the executor that currently runs on it."""

    zone: str = ""
    """Its availability zone; empty if not reported."""


@dataclass(frozen=True, slots=True)
class MachineDuty:
    """Sender of an order for a machine; a token lower than one used before is refused."""

    holder: str
    token: int


class UpkeepRefusal(Enum):
    """Why an order for a machine was refused."""

    STALE_TOKEN = "a higher fencing token has been used"
    BUSY = "the machine is not up"
    NOT_OF_WAVE = "the wave does not name the machine"
    NO_SUCH_MACHINE = "there is no such machine, or not in this pool"


class UpkeepRefusedError(Exception):
    """The order had no effect; `reason` says why."""

    def __init__(self, reason: UpkeepRefusal) -> None:
        super().__init__(reason.value)
        self.reason = reason


class AdviceBusyError(Exception):
    """Too many calls for advice are waiting already; no call was sent."""


class MachineCalls(Protocol):
    """Calls to the service that owns all machines.

    Each raises NotSentError, NoAnswerError or UpkeepRefusedError.
    """

    async def list_machines(self) -> list[Machine]:
        """Return all machines."""

    async def begin_upkeep(self, machine: str, wave: int, duty: MachineDuty) -> None:
        """Begin the upkeep of a machine; repeating it has no further effect."""

    async def move(self, machine: str, pool: str, duty: MachineDuty) -> None:
        """Move a machine to another pool; repeating it has no further effect."""


class AdviceCalls(Protocol):
    """Calls to the advice service, which decides which executors may run a step."""

    async def request_tickets(self, task: TaskId, executors: Sequence[str]) -> dict[str, str]:
        """Return a ticket for each of the executors that may run the step of `task`.

        Raises NotSentError, NoAnswerError or AdviceBusyError; the call has no side effect.
        """
