"""Describe an accepted request on its way to its single final outcome."""

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
    """Say how many requests of an organisation may run here."""

    def usable(self, organisation: str, now: float) -> int:
        """Return the units of the organisation's limit that this entry may use now."""

    def note_demand(self, organisation: str) -> None:
        """Note that the organisation's demand here has changed."""

    def can_acquire(self) -> bool:
        """Tell whether units can be had from the store now."""


@dataclass(frozen=True, slots=True)
class CheckedRequest:
    """One authenticated, checked request."""

    request_id: str
    organisation: str
    pool: str
    urgent: bool
    idempotent: bool
    deadline: float
    forward: ForwardedRequest


@dataclass(slots=True, eq=False)
class Ticket:
    """One accepted request on its way to its single final outcome."""

    request: CheckedRequest
    waiting: WaitingRequest
    done: anyio.Event = field(default_factory=anyio.Event)
    outcome: Answer | Refusal | None = None
    may_have_run: bool = False
    """An attempt of it went out and gave no whole answer."""

    last_answer: Answer | None = None
    """A whole answer with a status of 5xx, kept in case no retry does better."""

    running: int = 0
    """Attempts of it that are under way."""

    hedged: bool = False
    """A second attempt was made because the first one was overdue."""

    on_late_outcome: Callable[[Answer | None, Verdict], None] | None = None
    """Hears how a request ended that had been given up on while it ran."""

    def finish(self, outcome: Answer | Refusal) -> None:
        """Set the outcome, once."""
        if self.outcome is None:
            self.outcome = outcome
            self.done.set()

    def conclude_late(self, answer: Answer | None) -> None:
        """Tell how the last attempt of a request ended that was given up on."""
        if self.on_late_outcome:
            self.on_late_outcome(answer, Verdict.RAN if answer else self.verdict_if_given_up)

    @property
    def verdict_if_given_up(self) -> Verdict:
        """Return what is known if nothing more is tried."""
        return Verdict.MAY_HAVE_RUN if self.may_have_run else Verdict.NOT_RUN


def delivered_to(
    ticket: Ticket, delivered: list[Answer], pool: PoolRuntime, attempt: Attempt
) -> Callable[[Answer], None]:
    """Build the function that receives an attempt's answer.

    A large answer goes to the caller when its first part is here; a small one waits for the
    decision whether a retry may do better.
    """

    def deliver(answer: Answer) -> None:
        delivered.append(answer)
        pool.service_time.add(clock.read() - attempt.started)
        if answer.remaining_body is not None:
            ticket.finish(answer)

    return deliver


def failure_of(error: AttemptError | None, answer: Answer | None) -> Failure | None:
    """Return how an attempt failed, None if it did not."""
    if error is not None:
        return error.failure
    if answer is not None and answer.status >= 500:
        return Failure.SERVER_ERROR
    return None
