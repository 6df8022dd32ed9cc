"""Decide which changed jobs a scheduling cycle stores first.

The load: more jobs change in one cycle than a few transactions hold, while the store is slow. Each
transaction of an owner follows the previous one, and no further start is decided until a cycle has
been stored. Callers wait for starts and for completed jobs; they do not notice when the end of a
single task or the arrival of a job that finds no room is stored.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_POSTPONEMENT = 1.0
"""Seconds for which a change may be postponed; what is not stored has to be learned anew by the
next owner, from the inbox and from the executors."""


@dataclass(frozen=True, slots=True)
class StoreOrder:
    """Ids of changed jobs in the order in which they are stored."""

    urgent: list[str]
    """Jobs that have a planned start, have ended or were postponed for long."""

    rest: list[str]
    """All others, those that have waited longest first."""


@dataclass(slots=True)
class PostponedChanges:
    """Remember since when the changes of jobs have been postponed."""

    _since: dict[str, float] = field(default_factory=dict)

    def order(
        self, changed: Iterable[str], starting: set[str], ended: set[str], now: float
    ) -> StoreOrder:
        """Return the order in which to store changed jobs.

        Args:
            changed: Ids of all changed jobs.
            starting: Ids of the jobs of planned runs.
            ended: Ids of jobs that have reached a final state.
            now: Time of this cycle.
        """
        jobs = list(changed)
        overdue = {job for job in jobs if now - self._since.get(job, now) >= MAX_POSTPONEMENT}
        required = starting | ended | overdue
        urgent = [job for job in jobs if job in required]
        rest = [job for job in jobs if job not in required]
        rest.sort(key=lambda job: self._since.get(job, now))
        return StoreOrder(urgent, rest)

    def update(self, postponed: Iterable[str], now: float) -> None:
        """Record which changes a cycle that was decided at `now` has left for the next one."""
        self._since = {job: self._since.get(job, now) for job in postponed}
