"""Define an accepted request and its state until its final outcome."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

import anyio

from vanillawell import clock
from vanillawell.protocol.verdict import Verdict
from vanillawell.state.retries import Failure

if TYPE_CHECKING:
    from vanillawell.coordination.pool_runtime import PoolRuntime
    from vanillawell.protocol.backend_calls import Answer, Attempt, AttemptError, ForwardedRequest
    from vanillawell.protocol.refusals import Refusal
    from vanillawell.state.queueing import WaitingRequest


class LimitSource(Protocol):
    """Source of the number of requests of an organisation that may run on this entry."""

    def usable(self, organisation: str, now: float) -> int:
        """Return the units of the organisation's limit that this entry may use now."""

    def handle_demand_change(self, organisation: str) -> None:
        """Handle a change of the organisation's demand on this entry."""

    def can_acquire(self) -> bool:
        """Return whether more units can be acquired now."""


@dataclass(frozen=True, slots=True)
class CheckedRequest:
    """An authenticated and validated request."""

    request_id: str
    organisation: str
    pool: str
    urgent: bool
    idempotent: bool
    deadline: float
    forward: ForwardedRequest


@dataclass(slots=True, eq=False)
class Ticket:
    """An accepted request and its state until its single final outcome."""

    request: CheckedRequest
    waiting: WaitingRequest
    done: anyio.Event = field(default_factory=anyio.Event)
    outcome: Answer | Refusal | None = None
    may_have_run: bool = False
    """Whether an attempt was sent and did not return a complete answer."""

    last_answer: Answer | None = None
    """The last complete answer with a 5xx status, returned if no retry succeeds."""

    running: int = 0
    """Number of attempts in progress."""

    hedged: bool = False
    """Whether a second attempt was made because the first one was overdue."""

    on_late_outcome: Callable[[Answer | None, Verdict], None] | None = None
    """Callback for the result of a request that was aborted while an attempt was running."""

    def finish(self, outcome: Answer | Refusal) -> None:
        """Set the outcome, once."""
        if self.outcome is None:
            self.outcome = outcome
            self.done.set()

    def conclude_late(self, answer: Answer | None) -> None:
        """Report the result of the last attempt of an aborted request."""
        if self.on_late_outcome:
            self.on_late_outcome(answer, Verdict.RAN if answer else self.verdict_if_aborted)

    @property
    def verdict_if_aborted(self) -> Verdict:
        """Return the verdict if no further attempt is made."""
        return Verdict.MAY_HAVE_RUN if self.may_have_run else Verdict.NOT_RUN


def delivered_to(
    ticket: Ticket, delivered: list[Answer], pool: PoolRuntime, attempt: Attempt
) -> Callable[[Answer], None]:
    """Return the function that receives an attempt's answer.

    A large answer is passed to the caller as soon as its first part has arrived; a small one is
    held until it is decided whether the request is retried.
    """

    def deliver(answer: Answer) -> None:
        delivered.append(answer)
        pool.service_time.add(clock.read() - attempt.started)
        if answer.remaining_body is not None:
            ticket.finish(answer)

    return deliver


def failure_of(error: AttemptError | None, answer: Answer | None) -> Failure | None:
    """Return how an attempt failed, or None if it succeeded."""
    if error is not None:
        return error.failure
    if answer is not None and answer.status >= 500:
        return Failure.SERVER_ERROR
    return None
