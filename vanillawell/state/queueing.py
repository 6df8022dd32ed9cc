"""Queue requests by organisation and select the next one fairly, urgent requests first."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

DECAY_TIME = 10.0
"""Time constant of the exponential decay of past slot use."""


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that waits for a slot."""

    organisation: str
    urgent: bool
    arrived: float
    deadline: float
    tried: set[str] = field(default_factory=set)
    """Executors on which an attempt of this request has failed."""


class SlotUse:
    """Measure one organisation's use of slots in slot-seconds, with past use decaying.

    Actual occupation is measured, since declared sizes and run times are inaccurate.
    """

    def __init__(self, now: float) -> None:
        self._used = 0.0
        self._running = 0
        self._updated = now

    @property
    def running(self) -> int:
        """Return the slots occupied now."""
        return self._running

    def change(self, delta: int, now: float) -> None:
        """Record that `delta` slots were taken or, if negative, freed."""
        self._used = self.used(now)
        self._updated = now
        self._running += delta

    def used(self, now: float) -> float:
        """Return the decayed slot-seconds up to `now`."""
        elapsed = max(0.0, now - self._updated)
        decay = math.exp(-elapsed / DECAY_TIME)
        return self._used * decay + self._running * DECAY_TIME * (1 - decay)


class OrganisationQueue:
    """Requests of one organisation that wait for one pool, urgent ones in a separate queue."""

    def __init__(self) -> None:
        self._urgent: deque[WaitingRequest] = deque()
        self._deferrable: deque[WaitingRequest] = deque()

    def __len__(self) -> int:
        return len(self._urgent) + len(self._deferrable)

    def __iter__(self) -> Iterator[WaitingRequest]:
        yield from self._urgent
        yield from self._deferrable

    def queue_for(self, urgent: bool) -> deque[WaitingRequest]:
        """Return the queue of urgent or of deferrable requests."""
        return self._urgent if urgent else self._deferrable

    def add(self, item: WaitingRequest, front: bool = False) -> None:
        """Append a request; one that is requeued after a refusal goes to the front."""
        queue = self.queue_for(item.urgent)
        if front:
            queue.appendleft(item)
        else:
            queue.append(item)

    def remove(self, item: WaitingRequest) -> bool:
        """Remove a cancelled request; return False if it no longer waits."""
        try:
            self.queue_for(item.urgent).remove(item)
        except ValueError:
            return False
        return True


class FairQueue:
    """All requests that wait for one pool in this entry."""

    def __init__(self) -> None:
        self._organisations: dict[str, OrganisationQueue] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._organisations.values())

    def __iter__(self) -> Iterator[WaitingRequest]:
        for queue in self._organisations.values():
            yield from queue

    def length(self, organisation: str) -> int:
        """Return how many requests of an organisation wait."""
        return len(self._organisations.get(organisation, ()))

    def lengths(self) -> dict[str, int]:
        """Return how many requests wait by organisation, without empty queues."""
        return {
            organisation: len(queue)
            for organisation, queue in self._organisations.items()
            if len(queue)
        }

    def add(self, item: WaitingRequest, front: bool = False) -> None:
        """Add a request to the queue of its organisation."""
        self._organisations.setdefault(item.organisation, OrganisationQueue()).add(item, front)

    def remove(self, item: WaitingRequest) -> bool:
        """Remove a cancelled request; return False if it no longer waits."""
        queue = self._organisations.get(item.organisation)
        return queue is not None and queue.remove(item)

    def pick(
        self, may_start: Callable[[str], bool], weighted_use: Callable[[WaitingRequest], float]
    ) -> WaitingRequest | None:
        """Remove and return the next request to start, or None if none may start.

        Urgent requests take precedence. Among those of equal urgency, the request with the least
        `weighted_use` at the head of a queue is next. Normally that is the organisation's slot use
        divided by its share.
        """
        for urgent in (True, False):
            heads = [
                queue.queue_for(urgent)[0]
                for organisation, queue in self._organisations.items()
                if queue.queue_for(urgent) and may_start(organisation)
            ]
            if heads:
                first = min(heads, key=lambda item: (weighted_use(item), item.organisation))
                return self._organisations[first.organisation].queue_for(urgent).popleft()
        return None
