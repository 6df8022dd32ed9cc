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
    """What an entry knows about one team's queue for one pool."""

    length: int
    bound: int
    service_time: float
    """Mean seconds one request occupies a slot; 0 while unknown."""

    slots: float
    """Slots the team gets here while the queue drains."""


@dataclass(frozen=True, slots=True)
class Admission:
    """Whether to queue, and if not, why and for how long to stay away."""

    admitted: bool
    queue_full: bool = False
    retry_after: float | None = None


def admit(state: QueueState, time_left: float, rng: random.Random) -> Admission:
    """Admit a request unless its queue is full or it cannot finish in `time_left` seconds."""
    wait = drain_time(state)
    if state.length >= state.bound:
        return Admission(False, True, spread(wait, rng))
    if state.length and wait + state.service_time > time_left:
        return Admission(False, False, spread(wait + state.service_time - time_left, rng))
    return Admission(True)


def drain_time(state: QueueState) -> float:
    """Estimate the seconds until all that waits now has started."""
    return state.length * state.service_time / max(state.slots, 0.5)


def spread(seconds: float, rng: random.Random) -> float:
    """Turn a wait into a Retry-After with jitter."""
    return max(LEAST_RETRY_AFTER, seconds) * (1 + rng.uniform(0, JITTER))
