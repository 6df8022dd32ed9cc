"""Describe the orders that executors take and what they report, free of any wire format."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from vanillawell.state.work import Ending, TaskId


@dataclass(frozen=True, slots=True)
class Target:
    """Which life of which executor an order is meant for."""

    executor: str
    address: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Start one run of a task."""

    task_id: TaskId
    run: int
    payload: str
    lease_end: float
    """Seconds on the executor's clock at which everything on it is killed unless renewed."""

    checkpoint: str
    ticket: str


class OrderRefusal(Enum):
    """Why an executor did nothing on an order."""

    STALE_TOKEN = "a higher fencing token has been used"
    RUN_ENDED = "this run or a later one has already ended there"
    LEASE_END_PASSED = "the lease end in the order has passed"
    NO_CAPACITY = "no room"
    INVALID_TICKET = "the ticket is not valid"
    UNHEALTHY = "the executor is not healthy"
    MALFORMED = "the executor cannot read the order"


class OrderRefusedError(Exception):
    """The executor answered that it did nothing; `reason` says why."""

    def __init__(self, reason: OrderRefusal) -> None:
        super().__init__(reason.value)
        self.reason = reason


class WrongIncarnationError(Exception):
    """Another life of an executor, or another executor, lives at the address by now."""


@dataclass(frozen=True, slots=True)
class ReportedRun:
    """One run that an executor reports as present."""

    task_id: TaskId | None
    """None if the name is none that this product could have given."""

    run: int
    checkpoint: str
    percent: int
    measure: float
    """Tail of response times in milliseconds if the task has a target; else millicores in use."""


@dataclass(frozen=True, slots=True)
class ReportedEnd:
    """One run that an executor reports as ended."""

    sequence: int
    """Rises with each end in one life of the executor."""

    task_id: TaskId | None
    run: int
    ending: Ending
    checkpoint: str


@dataclass(frozen=True, slots=True)
class HoldReport:
    """Everything that is on an executor, and the ends that are not confirmed as stored."""

    clock: float
    """Seconds on the executor's own steady clock."""

    incarnation: int
    """Start time of the life that reports, in milliseconds since the epoch."""

    running: Sequence[ReportedRun]
    ended: Sequence[ReportedEnd]


class ExecutorCalls(Protocol):
    """Orders to executors.

    Each raises NotSentError if it had no effect for certain, NoAnswerError if it may still be
    carried out (even seconds later), OrderRefusedError, or WrongIncarnationError.
    """

    async def start(self, target: Target, order: StartOrder, fence: int) -> float:
        """Start a run; returns the executor's clock. Repeating it has no further effect."""

    async def stop(self, target: Target, task_id: TaskId, run: int, fence: int) -> float:
        """Stop a run, or see to it that it never begins; returns the executor's clock."""

    async def hold(
        self, target: Target, fence: int, saved_end: int, lease_end: float | None, wait: float
    ) -> HoldReport:
        """Renew leases, confirm stored ends and report; waits up to `wait` seconds for an end."""

    async def pace(
        self, target: Target, task_id: TaskId, run: int, percent: int, fence: int
    ) -> float:
        """Let a run work at a percentage of its full pace; returns the executor's clock."""
