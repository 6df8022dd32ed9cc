"""Receive requests of callers from the store: new jobs and cancellations."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.prefix_watch import PrefixWatch
from vanillawell.exceptions import StoreError
from vanillawell.protocol.work_documents import read_job

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.protocol.store import Changes, Listing, PolledStore
    from vanillawell.protocol.work_keys import WorkKeys
    from vanillawell.state.shard import Shard

log = logging.getLogger(__name__)

WATCH_TIMEOUT = 2.0
"""Seconds that one call to the store waits for changes of the inbox."""

POLL_AFTER_SILENCE = 0.25
"""Seconds without a change of the inbox after which it is listed; about four listings a second
while it is idle."""

MAX_JOB_AGE = 5.0
"""Seconds of a job's age that are believed, since the clocks of entries differ."""


class Inbox:
    """Watch the inbox of a shard for one term."""

    def __init__(
        self, store: PolledStore, keys: WorkKeys, shard: Shard, wake: Callable[[], None]
    ) -> None:
        self._store = store
        self._keys = keys
        self._shard = shard
        self._wake = wake
        self._last_change_at = 0.0
        self.is_read = False
        """Whether all requests that callers made before this term have been read."""
        self._watch = PrefixWatch(
            store, keys.inbox, WATCH_TIMEOUT, self._apply_listing, self._apply_changes
        )

    async def run(self) -> None:
        """Watch the inbox until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch.run)
            tasks.start_soon(self._poll)

    def _apply_listing(self, listing: Listing) -> None:
        """Apply all requests in the inbox, jobs before cancellations."""
        jobs_first = sorted(
            listing.items, key=lambda item: bool(self._keys.cancelled_job_id(item.key))
        )
        for item in jobs_first:
            self._apply(item.key, item.value)
        if not self.is_read:
            self.is_read = True
            log.info("inbox read", extra={"keys": len(jobs_first)})
        self._wake()

    async def _poll(self) -> None:
        """List the inbox while no changes arrive.

        The store may deliver changes to a watch a second late, even during a load peak, and jobs
        would wait that long for their first start. The inbox holds only requests that were not
        accepted yet, so listing it is cheap.
        """
        while True:
            await anyio.sleep(POLL_AFTER_SILENCE)
            if not self.is_read or clock.read() - self._last_change_at < POLL_AFTER_SILENCE:
                continue
            try:
                listing = await self._store.list(self._keys.inbox)
            except StoreError as error:
                log.debug("inbox not read", extra={"why": str(error)})
                continue
            if listing.items:
                self._apply_listing(listing)

    def _apply_changes(self, changes: Changes) -> None:
        self._last_change_at = clock.read()
        for change in changes.changes:
            if change.value is not None:
                self._apply(change.key, change.value)
        self._wake()

    def _apply(self, key: str, value: bytes) -> None:
        cancelled = self._keys.cancelled_job_id(key)
        if cancelled:
            if cancelled in self._shard.job_table.jobs:
                self._cancel(cancelled)
                self._record_accepted(cancelled, key)
            return
        job_id = self._keys.new_job_id(key)
        if not job_id:
            return
        self._record_accepted(job_id, key)
        if job_id in self._shard.job_table.jobs:
            return
        try:
            job = read_job(value, job_id)
        except ValueError as error:
            log.error("job document unreadable", extra={"job": job_id, "reason": str(error)})
            return
        age = min(MAX_JOB_AGE, max(0.0, time.time() - job.accepted_at))
        record = self._shard.admit(job, clock.read(), is_backlog=not self.is_read, age=age)
        if record is not None:
            log.info(
                "job admitted",
                extra={
                    "job": job_id,
                    "queue": job.queue,
                    "organisation": job.organisation,
                    "surplus": record.surplus,
                    "tasks": sum(step.count for step in job.steps),
                    "objective": round(record.deadline - record.seen_at, 3),
                    "waited": round(time.time() - job.accepted_at, 3),
                },
            )

    def _record_accepted(self, job_id: str, key: str) -> None:
        """Mark a key of the inbox for deletion, together with the write of the job's record."""
        self._shard.outbox.accepted_requests.setdefault(job_id, set()).add(key)

    def _cancel(self, job_id: str) -> None:
        if self._shard.cancel(job_id, time.time()):
            log.info("job cancelled", extra={"job": job_id})
