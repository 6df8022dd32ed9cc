"""Queue requests by organisation and pick the next one fairly, urgent work first."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

DECAY_SECONDS = 10.0
"""Time constant after which past use of slots counts for little."""


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """One request that waits for a slot."""

    organisation: str
    urgent: bool
    arrived: float
    deadline: float
    tried: set[str] = field(default_factory=set)
    """Executors that an attempt of it has failed on."""


class SlotUse:
    """Measure one organisation's use of slots in slot-seconds, past use decaying.

    It counts what was really occupied, since declared sizes and run times are far off.
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
        """Note that `delta` slots were taken or, if negative, freed."""
        self._used = self.used(now)
        self._updated = now
        self._running += delta

    def used(self, now: float) -> float:
        """Return the decayed slot-seconds up to `now`."""
        elapsed = max(0.0, now - self._updated)
        decay = math.exp(-elapsed / DECAY_SECONDS)
        return self._used * decay + self._running * DECAY_SECONDS * (1 - decay)


class OrganisationQueue:
    """Requests of one organisation that wait for one pool, urgent ones apart."""

    def __init__(self) -> None:
        self._urgent: deque[WaitingRequest] = deque()
        self._deferrable: deque[WaitingRequest] = deque()

    def __len__(self) -> int:
        return len(self._urgent) + len(self._deferrable)

    def __iter__(self) -> Iterator[WaitingRequest]:
        yield from self._urgent
        yield from self._deferrable

    def line(self, urgent: bool) -> deque[WaitingRequest]:
        """Return one of the two lines."""
        return self._urgent if urgent else self._deferrable

    def add(self, item: WaitingRequest, front: bool = False) -> None:
        """Append a request; one that goes back after a refusal keeps its place in front."""
        line = self.line(item.urgent)
        if front:
            line.appendleft(item)
        else:
            line.append(item)

    def remove(self, item: WaitingRequest) -> bool:
        """Take a cancelled request out; False if it no longer waits."""
        try:
            self.line(item.urgent).remove(item)
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
        """Return how many requests wait by organisation, without empty ones."""
        return {
            organisation: len(queue)
            for organisation, queue in self._organisations.items()
            if len(queue)
        }

    def add(self, item: WaitingRequest, front: bool = False) -> None:
        """Let a request wait."""
        self._organisations.setdefault(item.organisation, OrganisationQueue()).add(item, front)

    def remove(self, item: WaitingRequest) -> bool:
        """Take a cancelled request out; False if it no longer waits."""
        queue = self._organisations.get(item.organisation)
        return queue is not None and queue.remove(item)

    def pick(
        self, may_start: Callable[[str], bool], debt: Callable[[WaitingRequest], float]
    ) -> WaitingRequest | None:
        """Take out the next request to start, or None if none may.

        Urgent lines go first. Within a line the organisation whose first request has the least
        `debt`, normally the organisation's slot use over its share, is next.
        """
        for urgent in (True, False):
            heads = [
                queue.line(urgent)[0]
                for organisation, queue in self._organisations.items()
                if queue.line(urgent) and may_start(organisation)
            ]
            if heads:
                first = min(heads, key=lambda item: (debt(item), item.organisation))
                return self._organisations[first.organisation].line(urgent).popleft()
        return None
