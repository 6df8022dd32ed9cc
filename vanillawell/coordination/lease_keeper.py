"""Decide whose leases an owner extends, and keep for its successors how long the others may hold.

An executor that answers nothing may run its tasks until its leases have expired. Only its owner
knows when that is, and owners come and go: a successor that reckoned with the longest time from
its own start would begin the wait anew, and a lasting task stays away for as long as owners are
replaced. So the bound is stored, and an executor that it names gets no lease extended before the
store holds a newer document without it.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from vanillawell.coordination.leases import surely_passed
from vanillawell.protocol.lease_bounds import LeaseBounds
from vanillawell.protocol.store import Put

if TYPE_CHECKING:
    from collections.abc import Iterable

    from vanillawell.coordination.leases import ExecutorClocks
    from vanillawell.protocol.store import FollowedStore
    from vanillawell.state.executors import Executor

log = logging.getLogger(__name__)

READING_MARGIN = 0.1
"""Seconds added to a stored bound, for rounding."""

CLOCKS_KEPT = 5
"""Executors whose clocks are stored with the bounds; one of them should live on."""


class LeaseKeeper:
    """Own the leases of all executors of a shard for one term."""

    def __init__(
        self,
        store: FollowedStore,
        key: str,
        longest_doubt: float,
        clocks: ExecutorClocks,
    ) -> None:
        """Take the seconds for which an executor of which nothing is stored may hold leases."""
        self._store = store
        self._key = key
        self._longest_doubt = longest_doubt
        self._clocks = clocks
        self._former = LeaseBounds()
        self._stored: frozenset[str] = frozenset()
        self._on_its_way: frozenset[str] | None = None
        self._closed = False

    async def load(self) -> None:
        """Read what the former owner stored; raises StoreError."""
        found = await self._store.get(self._key)
        if found is None:
            return
        try:
            self._former = LeaseBounds.from_bytes(found.value)
        except ValueError as error:
            # Whoever is named there is renewed by nobody; the longest bound holds for all.
            log.error("lease bounds unreadable", extra={"why": str(error)})
            return
        self._stored = frozenset(self._former.left)

    def first_bound(self, executor: str, now: float) -> float:
        """Return the clock of decisions at which leases of a former term are surely over.

        Nothing is known yet of the time that has passed since the bounds were stored.
        """
        left = self._former.left.get(executor)
        if left is None:
            return now + self._longest_doubt
        return now + left + READING_MARGIN

    def tighten(self, executors: Iterable[Executor], now: float) -> None:
        """Take the time into account that has passed since the former owner stored its bounds."""
        waited_for = [
            item
            for item in executors
            if item.runs and not item.contacted and item.name in self._former.left
        ]
        if not waited_for:
            return
        passed = surely_passed(self._former.clocks, self._clocks.at_least(now))
        for executor in waited_for:
            left = max(0.0, self._former.left[executor.name] - passed)
            executor.lease_over = min(executor.lease_over, now + left + READING_MARGIN)

    def may_extend(self, executor: str) -> bool:
        """Tell whether leases of an executor may be extended."""
        named = self._stored | (self._on_its_way or frozenset())
        return not self._closed and executor not in named

    def close(self) -> None:
        """Extend no lease any more, since another entry will take over."""
        self._closed = True

    def reopen(self) -> None:
        """Extend leases again: the latest draft is not stored, and never will be."""
        self._closed, self._on_its_way = False, None

    def wants_write(self, executors: Iterable[Executor]) -> bool:
        """Tell whether the stored document has to change without waiting for another write.

        Executors that run nothing any more may stay in it for a while.
        """
        charged = [item for item in executors if item.runs]
        named = self._to_name(charged).keys()
        regained = any(item.name in self._stored - named for item in charged)
        return regained or not named <= self._stored

    def draft(self, executors: Iterable[Executor], now: float) -> Put | None:
        """Return what the next write has to contain; None if the stored document is right.

        There must be one write at a time, and `confirm` or `reopen` after each.
        """
        named = self._to_name(executors)
        if self._stored == named.keys():
            return None
        left = {name: max(0.0, item.lease_over - now) for name, item in named.items()}
        clocks = list(self._clocks.at_most(now).items())[:CLOCKS_KEPT]
        self._on_its_way = frozenset(left)
        return Put(self._key, LeaseBounds(left, dict(clocks)).to_bytes())

    def confirm(self) -> None:
        """Take in that the latest draft is stored, if there was one."""
        if self._on_its_way is None:
            return
        fields = {"named": len(self._on_its_way), "before": len(self._stored)}
        log.info("lease bounds stored", extra=fields)
        self._stored, self._on_its_way = self._on_its_way, None

    def _to_name(self, executors: Iterable[Executor]) -> dict[str, Executor]:
        return {
            item.name: item
            for item in executors
            if item.runs and (self._closed or item.is_out_of_touch)
        }
