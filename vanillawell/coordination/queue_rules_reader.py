"""Read the rules that jobs were accepted with, where an owner's configuration lacks their queue."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from vanillawell.coordination.prefix_watch import Backoff
from vanillawell.exceptions import StoreError
from vanillawell.protocol.queue_documents import read_queue

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.protocol.store import KeyValue, PolledStore
    from vanillawell.protocol.work_keys import WorkKeys
    from vanillawell.state.shard import Shard
    from vanillawell.state.work import Job

log = logging.getLogger(__name__)


class QueueRulesReader:
    """Read missing rules of queues during one term, one job for each queue.

    A job's queue may be unknown here: the job waited in the inbox while a newer configuration
    dropped the queue and all owners that knew it were lost, or the configuration that named the
    queue was replaced before this entry read it.
    """

    def __init__(
        self, store: PolledStore, keys: WorkKeys, shard: Shard, on_restored: Callable[[], None]
    ) -> None:
        """Initialise the reader; `on_restored` is called after rules were added to the shard."""
        self._store = store
        self._keys = keys
        self._shard = shard
        self._on_restored = on_restored
        self._wake_event = anyio.Event()
        self._read_jobs: set[str] = set()
        """Ids of the jobs whose rules have been read; earlier versions stored none."""

    def wake_if_needed(self) -> None:
        """Start reading if rules are missing; cheap enough to run in every scheduling cycle."""
        if self._missing():
            self._wake_event.set()

    async def run(self) -> None:
        """Read missing rules until cancelled."""
        backoff = Backoff()
        while True:
            job = self._next_job()
            if job is None:
                await self._wake_event.wait()
                self._wake_event = anyio.Event()
                continue
            try:
                stored = await self._store.get(self._keys.job_rules(job.job_id))
            except StoreError as error:
                log.warning("rules of queue not read", extra={**_describe(job), "why": str(error)})
                await backoff.wait()
                continue
            backoff.reset()
            self._read_jobs.add(job.job_id)
            self._apply(job, stored)

    def _missing(self) -> set[str]:
        """Return the queues with jobs that neither the configuration nor a document has named."""
        return self._shard.queues.missing() if self._shard.policy is not None else set()

    def _next_job(self) -> Job | None:
        """Return the latest job that may bring missing rules, if there is one."""
        missing = self._missing()
        if not missing:
            return None
        jobs = (
            record.job
            for record in self._shard.job_table.jobs.values()
            if record.job.queue in missing and not record.state.final
        )
        unread = (job for job in jobs if job.job_id not in self._read_jobs)
        return max(unread, key=lambda job: job.accepted_at, default=None)

    def _apply(self, job: Job, stored: KeyValue | None) -> None:
        if stored is None:
            log.warning("no rules of queue stored", extra=_describe(job))
            return
        try:
            queue = read_queue(stored.value)
        except ValueError as error:
            log.error("rules of queue unreadable", extra={**_describe(job), "why": str(error)})
            return
        log.info("rules of queue read", extra=_describe(job))
        self._shard.restore_queue_rules({job.queue: queue})
        self._on_restored()


def _describe(job: Job) -> dict[str, object]:
    return {"job": job.job_id, "queue": job.queue}
