"""Decide at arrival whether a request can finish in time, and when to ask again."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

JITTER = 0.5
"""Largest part added to a Retry-After, so that refused callers do not come back together."""

LEAST_RETRY_AFTER = 0.2
"""Seconds below which asking again only adds load."""


@dataclass(frozen=True, slots=True)
class QueueState:
    """What an entry knows about one organisation's queue for one pool."""

    length: int
    bound: int
    service_time: float
    """Mean seconds one request occupies a slot; 0 while unknown."""

    slots: float
    """Slots the organisation gets here while the queue drains."""


@dataclass(frozen=True, slots=True)
class Admission:
    """Whether to queue, and if not, why and for how long to stay away."""

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

    While others wait, every slot is taken: what runs has to end first, then what waits. Left out
    of the sum, the running request makes each queued one start just too late to finish.
    """
    if not state.length:
        return 0.0
    return (state.length + 1) * state.service_time / max(state.slots, 0.5)


def worth_starting(time_left: float, typical_minimum: float, others_wait: bool) -> bool:
    """Tell whether to start a request that has waited, rather than the next one of its
    organisation.

    A request that starts shortly before its deadline occupies a slot and is given up on. Once the
    queue is that old, each one that starts does so too late: every slot is busy and no caller
    gets an answer. While nobody else waits the slot has no better use, and its run keeps the
    measured times fresh, so that a service that was slow once is not refused for ever.
    """
    return not others_wait or time_left >= typical_minimum


def with_jitter(seconds: float, rng: random.Random) -> float:
    """Turn a wait into a Retry-After with jitter."""
    return max(LEAST_RETRY_AFTER, seconds) * (1 + rng.uniform(0, JITTER))
