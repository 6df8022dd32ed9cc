"""Store what a scheduling cycle has changed, then carry out what that permits."""

from __future__ import annotations

import itertools
import logging
import time
from typing import TYPE_CHECKING

import orjson

from vanillawell import clock
from vanillawell.coordination import cycle_log
from vanillawell.coordination.cycle_batch import CycleBatch
from vanillawell.protocol.queue_documents import write_queues
from vanillawell.protocol.store import Put
from vanillawell.state.contention.write_order import PostponedChanges

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from vanillawell.coordination.cycle_batch import CycleTransaction
    from vanillawell.coordination.executor_driver import ExecutorDriver
    from vanillawell.coordination.inbox import Inbox
    from vanillawell.coordination.lease_manager import LeaseManager
    from vanillawell.coordination.term import Term
    from vanillawell.protocol.work_keys import WorkKeys
    from vanillawell.scheduler_telemetry import SchedulerTelemetry
    from vanillawell.state.progress import Run
    from vanillawell.state.shard import Shard
    from vanillawell.state.work_policy import Queue

log = logging.getLogger(__name__)

SLOW_WRITE_TIME = 0.1
"""Seconds that a cycle's first write has to take so that the cycle stores only what callers wait
for."""


class CycleStore:
    """Store the scheduling cycles of one term."""

    def __init__(
        self,
        name: str,
        shard: Shard,
        term: Term,
        keys: WorkKeys,
        leases: LeaseManager,
        drivers: Mapping[str, ExecutorDriver],
        inbox: Inbox,
        telemetry: SchedulerTelemetry,
        value_limit: int,
    ) -> None:
        self._name = name
        self._shard = shard
        self._term = term
        self._keys = keys
        self._leases = leases
        self._drivers = drivers
        self._inbox = inbox
        self._telemetry = telemetry
        self._value_limit = value_limit
        self._postponed = PostponedChanges()
        self._published_pending: dict[str, int] | None = None
        self._stored_queues: dict[str, Queue] = {}

    async def store(self) -> None:
        """Store the changes of a cycle, send its starts and confirm its ended runs.

        The first transaction replaces the term document; the others follow side by side. While the
        store is slow, changes that no caller waits for are left for a later cycle: no start is
        decided before the present cycle is over.

        Raises:
            TermLostError: Another entry has taken the shard over.
        """
        began = clock.read()
        batch = CycleBatch.collect(
            self._shard, self._keys, self._postponed, began, time.time(), self._value_limit
        )
        pending = (
            self._shard.job_table.pending() if self._inbox.is_read else self._published_pending
        )
        queues = self._shard.queues.in_use()
        is_published = pending == self._published_pending and queues == self._stored_queues
        executors = self._shard.ledger.executors.values()
        is_due = not batch.is_empty or not is_published
        if not is_due and not self._leases.needs_write(executors, clock.read()):
            return
        parts = batch.parts([*self._pending_puts(pending), *self._queue_puts(queues)])
        stored = await self._store_parts(parts, began)
        self._published_pending, self._stored_queues = pending, queues
        left = batch.postpone(stored, self._shard)
        self._postponed.update(left, began)
        self._telemetry.postponed_changes.set({}, len(left))
        if left:
            figures = {"stored": len(batch.records) - len(left), "left": len(left)}
            log.info("changes postponed", extra=figures)

    async def _store_parts(
        self, parts: Iterable[CycleTransaction], began: float
    ) -> list[CycleTransaction]:
        """Store transactions; return those that were stored."""
        stored: list[CycleTransaction] = []

        def handle_stored(part: CycleTransaction, stored_at: float) -> None:
            stored.append(part)
            self._handle_stored(part, stored_at)

        remaining = iter(parts)
        first = next(remaining)
        stored_at = await self._term.write(first.puts, first.deletes, self._draft_bounds)
        if self._leases.confirm():
            self._notify(self._drivers)
        handle_stored(first, stored_at)
        is_slow = clock.read() - began > SLOW_WRITE_TIME
        chosen = itertools.takewhile(lambda part: part.is_urgent or not is_slow, remaining)
        await self._term.write_beside(chosen, handle_stored)
        return stored

    def _handle_stored(self, part: CycleTransaction, stored_at: float) -> None:
        """Send the starts and confirm the ends that a stored transaction permits."""
        self._telemetry.store_writes.inc({"kind": "turn"})
        for job_id, parts in part.part_counts.items():
            self._shard.job_table.jobs[job_id].stored_parts = parts
        for end in part.ends:
            end.incarnation.unsaved_ends.discard(end.sequence)
        cycle_log.log_started_tasks(part.planned, self._term.token)
        for run in part.planned:
            self._submit(run, stored_at)
        self._notify(end.incarnation.executor for end in part.ends)

    def _submit(self, run: Run, stored_at: float) -> None:
        driver = self._drivers.get(run.executor)
        if driver is None:
            self._shard.mark_not_started(run, clock.read(), time.time())
        else:
            driver.orders.submit(run, stored_at)

    def _draft_bounds(self) -> list[Put]:
        """Return the write that updates the stored lease bounds, if they have to change."""
        put = self._leases.draft(self._shard.ledger.executors.values(), clock.read())
        return [] if put is None else [put]

    def _pending_puts(self, pending: dict[str, int] | None) -> list[Put]:
        """Return the write that publishes the number of pending jobs, if it has changed."""
        if pending == self._published_pending:
            return []
        return [Put(self._keys.pending(self._name), orjson.dumps(pending))]

    def _queue_puts(self, queues: dict[str, Queue]) -> list[Put]:
        """Return the write of the rules of queues that have jobs, if they have changed.

        The next owner may only see a configuration without such a queue. Without the stored rules
        the accepted jobs of that queue would never run.
        """
        if queues == self._stored_queues:
            return []
        return [Put(self._keys.queues(self._name), write_queues(queues))]

    def _notify(self, executors: Iterable[str]) -> None:
        """Wake the drivers of executors for which something was stored."""
        for name in set(executors):
            driver = self._drivers.get(name)
            if driver is not None:
                driver.notify()
