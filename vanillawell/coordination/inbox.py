"""Take in what callers ask for: new jobs, and the wish to cancel one."""

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
    from vanillawell.protocol.work_documents import WorkKeys
    from vanillawell.state.shard import Shard

log = logging.getLogger(__name__)

FOLLOW_WAIT = 2.0
"""Seconds one call waits for news of the inbox."""

INBOX_SILENCE = 0.25
"""Seconds without news of the inbox after which it is read; some four reads a second in a lull."""


class Inbox:
    """Follow the inbox of a shard for one term."""

    def __init__(
        self, store: PolledStore, keys: WorkKeys, shard: Shard, wake: Callable[[], None]
    ) -> None:
        self._store = store
        self._keys = keys
        self._shard = shard
        self._wake = wake
        self._heard = 0.0
        self.is_read = False
        """Whether everything is known that callers asked for before this term."""
        self._follower = PrefixWatch(
            store, keys.inbox, FOLLOW_WAIT, self._take_listing, self._take_changes
        )

    async def run(self) -> None:
        """Follow the inbox until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follower.run)
            tasks.start_soon(self._look)

    def _take_listing(self, listing: Listing) -> None:
        """Take in all that is in the inbox, jobs before the wish to cancel one of them."""
        jobs_first = sorted(
            listing.items, key=lambda item: bool(self._keys.cancelled_job_id(item.key))
        )
        for item in jobs_first:
            self._take(item.key, item.value)
        if not self.is_read:
            self.is_read = True
            log.info("inbox read", extra={"keys": len(jobs_first)})
        self._wake()

    async def _look(self) -> None:
        """Read the inbox itself while nothing is heard of it.

        The store may keep changes from those who wait for them for a second, in the middle of a
        peak; jobs would wait that long for their first start. The inbox holds only what was not
        taken in yet, so reading it is cheap.
        """
        while True:
            await anyio.sleep(INBOX_SILENCE)
            if not self.is_read or clock.read() - self._heard < INBOX_SILENCE:
                continue
            try:
                listing = await self._store.list(self._keys.inbox)
            except StoreError as error:
                log.debug("inbox not read", extra={"why": str(error)})
                continue
            if listing.items:
                self._take_listing(listing)

    def _take_changes(self, changes: Changes) -> None:
        self._heard = clock.read()
        for change in changes.changes:
            if change.value is not None:
                self._take(change.key, change.value)
        self._wake()

    def _take(self, key: str, value: bytes) -> None:
        cancelled = self._keys.cancelled_job_id(key)
        if cancelled:
            if cancelled in self._shard.job_table.jobs:
                self._cancel(cancelled)
                self._note_taken(cancelled, key)
            return
        job_id = self._keys.new_job_id(key)
        if not job_id:
            return
        self._note_taken(job_id, key)
        if job_id in self._shard.job_table.jobs:
            return
        try:
            job = read_job(value)
        except ValueError as error:
            log.error("unreadable job", extra={"job": job_id, "reason": str(error)})
            return
        record = self._shard.admit(job, clock.read(), is_backlog=not self.is_read)
        if record is not None:
            log.info(
                "job admitted",
                extra={
                    "job": job_id,
                    "queue": job.queue,
                    "organisation": job.organisation,
                    "tasks": sum(step.count for step in job.steps),
                    "objective": round(record.deadline - record.seen_at, 3),
                    "waited": round(time.time() - job.accepted_at, 3),
                },
            )

    def _note_taken(self, job_id: str, key: str) -> None:
        """Let a key of the inbox go together with the record that replaces it."""
        self._shard.outbox.accepted_requests.setdefault(job_id, set()).add(key)

    def _cancel(self, job_id: str) -> None:
        if self._shard.cancel(job_id, time.time()):
            log.info("job cancelled", extra={"job": job_id})
