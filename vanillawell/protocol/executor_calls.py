"""Define orders to executors and the reports they return, independently of the wire format."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from vanillawell.state.work import Ending, TaskId


@dataclass(frozen=True, slots=True)
class Target:
    """The executor incarnation that an order is addressed to."""

    executor: str
    address: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start one run of a task."""

    task_id: TaskId
    run: int
    payload: str
    lease_end: float
    """Executor clock, in seconds, at which it kills all its runs unless the lease is renewed."""

    checkpoint: str
    ticket: str


class OrderRefusal(Enum):
    """Why an executor did not carry out an order."""

    STALE_TOKEN = "a higher fencing token has been used"
    RUN_ENDED = "this run or a later one has already ended there"
    LEASE_END_PASSED = "the lease end in the order has passed"
    NO_CAPACITY = "no room"
    INVALID_TICKET = "the ticket is not valid"
    UNHEALTHY = "the executor is not healthy"
    MALFORMED = "the executor cannot read the order"


class OrderRefusedError(Exception):
    """The executor answered that it did not carry out the order; `reason` says why."""

    def __init__(self, reason: OrderRefusal) -> None:
        super().__init__(reason.value)
        self.reason = reason


class WrongIncarnationError(Exception):
    """Another incarnation of the executor, or another executor, now runs at the address."""


@dataclass(frozen=True, slots=True)
class ReportedRun:
    """One run that an executor reports as running."""

    task_id: TaskId | None
    """None if the reported name is not a task name of vanillawell."""

    run: int
    checkpoint: str
    percent: int
    measure: float
    """Tail latency in milliseconds if the task has a latency target, else millicores in use."""


@dataclass(frozen=True, slots=True)
class ReportedEnd:
    """One run that an executor reports as ended."""

    sequence: int
    """Number of the end; increases within one incarnation of the executor."""

    task_id: TaskId | None
    run: int
    ending: Ending
    checkpoint: str


@dataclass(frozen=True, slots=True)
class HoldReport:
    """All active runs on an executor, and ended runs whose end is not yet confirmed as stored."""

    clock: float
    """Seconds on the executor's own monotonic clock."""

    incarnation: int
    """Start time of the reporting incarnation, in milliseconds since the epoch."""

    running: Sequence[ReportedRun]
    ended: Sequence[ReportedEnd]
    """The oldest unconfirmed ends, in the order of their numbers."""

    lists_all_ends: bool = True
    """Whether `ended` certainly contains all unconfirmed ends.

    Otherwise a run in neither list may have ended with an outcome that a later report tells, once
    the listed ends are confirmed.
    """


class ExecutorCalls(Protocol):
    """Orders to executors.

    Each raises NotSentError if it certainly had no effect, NoAnswerError if the order may still
    be carried out (even seconds later), OrderRefusedError, or WrongIncarnationError.
    """

    async def start(self, target: Target, order: StartOrder, fence: int) -> float:
        """Start a run and return the executor's clock; a repeated order has no further effect."""

    async def stop(self, target: Target, task_id: TaskId, run: int, fence: int) -> float:
        """Stop a run, or prevent it from ever starting, and return the executor's clock."""

    async def hold(
        self, target: Target, fence: int, saved_end: int, lease_end: float | None, wait: float
    ) -> HoldReport:
        """Renew leases, confirm the ends stored so far and return a report.

        The executor waits up to `wait` seconds for a run to end before it answers.
        """

    async def pace(
        self, target: Target, task_id: TaskId, run: int, percent: int, fence: int
    ) -> float:
        """Limit a run to a percentage of its full speed and return the executor's clock."""
