"""Decide whether a failed attempt is retried."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from vanillawell.protocol.verdict import Verdict

MAX_SAVED_RETRIES = 20.0
"""Maximum number of retries saved up, so that a burst of failures causes few retries."""

INITIAL_RETRIES = 5.0
"""Retries allowed before the first attempt."""


class RetryBudget:
    """Allow retries as a fraction of first attempts, so that they do not amplify an overload."""

    def __init__(self, ratio: float, bounded: bool = True) -> None:
        self._ratio = ratio
        self._bounded = bounded
        self._tokens = INITIAL_RETRIES

    def record_first_attempt(self) -> None:
        """Add a fraction of one retry to the budget."""
        self._tokens = min(MAX_SAVED_RETRIES, self._tokens + self._ratio)

    def take(self) -> bool:
        """Take one retry from the budget; return False if it is exhausted."""
        if not self._bounded:
            return True
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Failure(Enum):
    """Reason why an attempt failed."""

    REFUSED_FULL = auto()
    """The backend server refused because it is full; the request did not run and nothing is
    broken."""

    NOT_SENT = auto()
    """No byte was sent."""

    TOO_LATE = auto()
    """The entry may not send it any more; nothing was sent and nothing is broken."""

    INCOMPLETE_RESPONSE = auto()
    """It was sent, and no response or an incomplete one arrived."""

    SERVER_ERROR = auto()
    """A complete response with a 5xx status arrived."""


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """A failed attempt of a request."""

    failure: Failure
    idempotent: bool
    executors_tried: int
    """Distinct executors on which this request has failed, including this one."""

    time_left: float
    """Seconds until the request's deadline."""

    @property
    def verdict(self) -> Verdict:
        """Return whether the request ran, as far as the failure shows."""
        if self.failure in (Failure.REFUSED_FULL, Failure.NOT_SENT, Failure.TOO_LATE):
            return Verdict.NOT_RUN
        return Verdict.RAN if self.failure is Failure.SERVER_ERROR else Verdict.MAY_HAVE_RUN


class RetryDecision(Enum):
    """Action after a failed attempt."""

    REQUEUE = auto()
    """It was refused as full: wait in the queue for a slot, without using the retry budget."""

    RETRY = auto()
    """Retry on another executor."""

    GIVE_UP = auto()
    """Answer the caller now."""


def decide(attempt: FailedAttempt, attempts: int, budget: RetryBudget) -> RetryDecision:
    """Return the action after a failed attempt.

    `attempts` limits the number of executors on which one request may fail.
    """
    if attempt.time_left <= 0:
        return RetryDecision.GIVE_UP
    if attempt.failure in (Failure.REFUSED_FULL, Failure.TOO_LATE):
        return RetryDecision.REQUEUE
    may_repeat = attempt.verdict is Verdict.NOT_RUN or attempt.idempotent
    if not may_repeat or attempt.executors_tried >= attempts or not budget.take():
        return RetryDecision.GIVE_UP
    return RetryDecision.RETRY
