"""Share the places for start orders to one executor among organisations and jobs.

An executor is sent a few orders at a time. In the order of their decision, thousands of starts of
one job would hold up everybody's for seconds.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

import anyio

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

TURN_LENGTH = 16
"""Starts of one organisation, and of one job, that wait in the order of their decision; those
beyond yield to others. More than an executor holds of tasks of a usual size."""


class QueuePosition(NamedTuple):
    """Position in the queue; lower ones go first."""

    organisation_turn: int
    """Number of full turns of its organisation that were waiting before it."""

    job_turn: int
    arrival: int


class StartSlots:
    """A bounded number of concurrent starts, and the queue for them."""

    def __init__(self, slots: int) -> None:
        self._free = slots
        self._waiting: list[tuple[QueuePosition, anyio.Event]] = []
        self._of_organisation: Counter[str] = Counter()
        self._of_job: Counter[str] = Counter()
        self._arrivals = itertools.count()

    @asynccontextmanager
    async def slot(self, organisation: str, job_id: str) -> AsyncIterator[None]:
        """Wait for a slot and hold it."""
        await self._acquire(organisation, job_id)
        try:
            yield
        finally:
            self._release()

    async def _acquire(self, organisation: str, job_id: str) -> None:
        if self._free:
            self._free -= 1
            # As with a semaphore, tasks that read answers go before the next start is judged.
            try:
                await anyio.lowlevel.checkpoint()
            except BaseException:
                self._release()
                raise
            return
        position = QueuePosition(
            self._of_organisation[organisation] // TURN_LENGTH,
            self._of_job[job_id] // TURN_LENGTH,
            next(self._arrivals),
        )
        granted = anyio.Event()
        heapq.heappush(self._waiting, (position, granted))
        self._of_organisation[organisation] += 1
        self._of_job[job_id] += 1
        try:
            await granted.wait()
        except BaseException:
            self._leave(position, granted)
            raise
        finally:
            _count_down(self._of_organisation, organisation)
            _count_down(self._of_job, job_id)

    def _leave(self, position: QueuePosition, granted: anyio.Event) -> None:
        """Give up the place of a cancelled start, or the slot that it was granted meanwhile."""
        if granted.is_set():
            self._release()
            return
        self._waiting.remove((position, granted))
        heapq.heapify(self._waiting)

    def _release(self) -> None:
        if self._waiting:
            heapq.heappop(self._waiting)[1].set()
        else:
            self._free += 1


def _count_down(counts: Counter[str], key: str) -> None:
    counts[key] -= 1
    if not counts[key]:
        del counts[key]
