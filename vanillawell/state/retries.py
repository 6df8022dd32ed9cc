"""Decide whether a failed attempt may be tried again."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from vanillawell.protocol.verdict import Verdict

BUDGET_CAP = 20.0
"""Most retries saved up in quiet times, so that a burst of failures stays small."""

BUDGET_START = 5.0
"""Retries allowed before any first attempt was seen."""


class RetryBudget:
    """Allow retries as a fraction of first attempts, so that they never multiply an overload."""

    def __init__(self, ratio: float, bounded: bool = True) -> None:
        self._ratio = ratio
        self._bounded = bounded
        self._tokens = BUDGET_START

    def record_first_attempt(self) -> None:
        """Earn a fraction of one retry."""
        self._tokens = min(BUDGET_CAP, self._tokens + self._ratio)

    def take(self) -> bool:
        """Spend one retry if there is one."""
        if not self._bounded:
            return True
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Failure(Enum):
    """How an attempt failed."""

    REFUSED_FULL = auto()
    """The backend server refused since it is full; nothing ran and nothing is broken."""

    NOT_SENT = auto()
    """No byte went out."""

    TOO_LATE = auto()
    """This entry may not send it any more; nothing went out and nothing is broken."""

    INCOMPLETE_RESPONSE = auto()
    """It went out, and no answer or half an answer came back."""

    SERVER_ERROR = auto()
    """A whole answer with a status of 5xx came back."""


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """One failed attempt of a request."""

    failure: Failure
    idempotent: bool
    executors_tried: int
    """Different executors this request has failed on, this one included."""

    time_left: float
    """Seconds to the request's deadline."""

    @property
    def verdict(self) -> Verdict:
        """Return what the failure proves."""
        if self.failure in (Failure.REFUSED_FULL, Failure.NOT_SENT, Failure.TOO_LATE):
            return Verdict.NOT_RUN
        return Verdict.RAN if self.failure is Failure.SERVER_ERROR else Verdict.MAY_HAVE_RUN


class RetryDecision(Enum):
    """What follows a failed attempt."""

    REQUEUE = auto()
    """It was refused as full: wait in the queue for a slot, at no cost to the budget."""

    RETRY = auto()
    """Try another executor."""

    GIVE_UP = auto()
    """Give the final answer now."""


def decide(attempt: FailedAttempt, attempts: int, budget: RetryBudget) -> RetryDecision:
    """Decide what follows; `attempts` bounds the executors that one request may fail on."""
    if attempt.time_left <= 0:
        return RetryDecision.GIVE_UP
    if attempt.failure in (Failure.REFUSED_FULL, Failure.TOO_LATE):
        return RetryDecision.REQUEUE
    safe = attempt.verdict is Verdict.NOT_RUN or attempt.idempotent
    if not safe or attempt.executors_tried >= attempts or not budget.take():
        return RetryDecision.GIVE_UP
    return RetryDecision.RETRY
