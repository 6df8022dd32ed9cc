"""Decide on arrival whether a request can finish in time, and when to retry if not."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

MAX_JITTER = 0.5
"""Maximum part added to a Retry-After, so that refused callers do not retry at the same time."""

MIN_RETRY_AFTER = 0.2
"""Minimum Retry-After in seconds; earlier retries only add load."""


@dataclass(frozen=True, slots=True)
class QueueState:
    """State of one organisation's queue for one pool in this entry."""

    length: int
    bound: int
    service_time: float
    """Mean seconds for which one request occupies a slot; 0 if unknown."""

    slots: float
    """Slots that the organisation gets in this entry while the queue drains."""


@dataclass(frozen=True, slots=True)
class Admission:
    """Whether to queue a request, and if not, why and when to retry."""

    admitted: bool
    queue_full: bool = False
    retry_after: float | None = None


def admit(state: QueueState, time_left: float, rng: random.Random) -> Admission:
    """Admit a request unless its queue is full or it cannot finish in `time_left` seconds."""
    wait = start_delay(state)
    if state.length >= state.bound:
        return Admission(False, True, with_jitter(wait, rng))
    if state.length and wait + state.service_time > time_left:
        return Admission(False, False, with_jitter(wait + state.service_time - time_left, rng))
    return Admission(True)


def start_delay(state: QueueState) -> float:
    """Estimate the seconds until a request that arrives now would start.

    While others wait, every slot is taken: running requests have to finish first, then waiting
    ones. Without the running request in the sum, each queued request would start just too late to
    finish.
    """
    if not state.length:
        return 0.0
    return (state.length + 1) * state.service_time / max(state.slots, 0.5)


def worth_starting(time_left: float, typical_minimum: float, others_wait: bool) -> bool:
    """Return whether to start a queued request instead of the next one of its organisation.

    A request that starts shortly before its deadline occupies a slot and is abandoned. Once
    requests have waited that long, all of them start too late: every slot is busy and no caller
    gets an answer. If no other request waits, the slot has no better use, and the run keeps the
    measured times up to date, so that a service that was once slow is not refused forever.
    """
    return not others_wait or time_left >= typical_minimum


def with_jitter(seconds: float, rng: random.Random) -> float:
    """Return a Retry-After with jitter for a waiting time."""
    return max(MIN_RETRY_AFTER, seconds) * (1 + rng.uniform(0, MAX_JITTER))
