"""Read what previous owners of a shard have stored, and restore its jobs and runs."""

from __future__ import annotations

import functools
import logging
import time
from typing import TYPE_CHECKING

from vanillawell import clock
from vanillawell.coordination.prefix_watch import Backoff
from vanillawell.exceptions import StoreError
from vanillawell.protocol.queue_documents import read_queues
from vanillawell.protocol.record_parts import count_parts, join
from vanillawell.protocol.work_documents import read_job, read_record

if TYPE_CHECKING:
    from vanillawell.coordination.lease_manager import LeaseManager
    from vanillawell.coordination.term import Term
    from vanillawell.protocol.store import Listing, PolledStore
    from vanillawell.protocol.work_keys import WorkKeys
    from vanillawell.state.progress import JobRecord, Run
    from vanillawell.state.shard import Shard

log = logging.getLogger(__name__)


class ShardLoader:
    """Load the jobs of one shard for a new owner."""

    def __init__(
        self,
        name: str,
        term: Term,
        store: PolledStore,
        keys: WorkKeys,
        shard: Shard,
        leases: LeaseManager,
    ) -> None:
        self._name = name
        self._term = term
        self._store = store
        self._keys = keys
        self._shard = shard
        self._leases = leases

    async def load(self) -> None:
        """Read all jobs and job records that previous owners stored."""
        backoff = Backoff()
        while True:
            try:
                orders = await self._store.list(self._keys.submitted_jobs)
                records = await self._store.list(self._keys.records)
                break
            except StoreError as error:
                log.warning("shard not loaded", extra={"why": str(error)})
                await backoff.wait()
        self._restore(orders, records)
        if self._shard.queues.missing():
            await self._restore_queue_rules()

    async def _restore_queue_rules(self) -> None:
        """Read the stored rules of queues that have jobs but are no longer configured."""
        backoff = Backoff()
        while True:
            try:
                stored = await self._store.get(self._keys.queues(self._name))
                break
            except StoreError as error:
                log.warning("rules of queues not read", extra={"why": str(error)})
                await backoff.wait()
        if stored is None:
            log.warning("no rules of queues stored", extra={"token": self._term.token})
            return
        try:
            queues = read_queues(stored.value)
        except ValueError as error:
            log.error("rules of queues unreadable", extra={"why": str(error)})
            return
        log.info("rules of queues recalled", extra={"queues": len(queues)})
        self._shard.restore_queue_rules(queues)

    def _restore(self, orders: Listing, records: Listing) -> None:
        now = clock.read()
        values = {item.key: item.value for item in records.items}
        loaded: list[tuple[JobRecord, list[Run]]] = []
        for item in orders.items:
            job_id = item.key.removeprefix(self._keys.submitted_jobs)
            key = self._keys.record(job_id)
            if key not in values:
                continue  # the job is still in the inbox, which is read next
            try:
                parts = count_parts(values[key])
                data = join(key, parts, values)
                record, runs = read_record(read_job(item.value, job_id), data, now, time.time())
                record.stored_parts = parts
            except ValueError as error:
                log.error("job document unreadable", extra={"job": job_id, "reason": str(error)})
                continue
            loaded.append((record, runs))
        bound = functools.partial(self._leases.inherited_bound, now=now)
        for record, runs in sorted(loaded, key=lambda item: item[0].seen_at):
            self._shard.restore(record, runs, bound)
        inherited_runs = sum(len(runs) for _, runs in loaded)
        jobs = len(self._shard.job_table.jobs)
        fields = {"shard": self._name, "token": self._term.token}
        log.info("shard loaded", extra={**fields, "jobs": jobs, "runs": inherited_runs})
