"""Collect what one scheduling cycle has to store, and what may happen only after it is stored."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from vanillawell.protocol.store import Put
from vanillawell.protocol.work_documents import write_record

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from vanillawell.protocol.work_documents import WorkKeys
    from vanillawell.state.contention.write_order import PostponedChanges, StoreOrder
    from vanillawell.state.outbox import EndConfirmation
    from vanillawell.state.shard import Shard
    from vanillawell.state.work import JobRecord, Run

MAX_TRANSACTION_ENTRIES = 32
"""Maximum number of comparisons, writes and deletions in one transaction, as published for the
store."""

MAX_BATCH_ENTRIES = MAX_TRANSACTION_ENTRIES - 5
"""Maximum entries per transaction, which leaves room for the term's comparison and write, the
published job counts, the queue rules and the lease bounds."""


@dataclass(slots=True)
class CycleTransaction:
    """One transaction, and the starts and confirmations that it permits."""

    puts: list[Put] = field(default_factory=list)
    deletes: list[str] = field(default_factory=list)
    planned: list[Run] = field(default_factory=list)
    ends: list[EndConfirmation] = field(default_factory=list)
    jobs: list[str] = field(default_factory=list)
    """Ids of the jobs whose records it stores."""

    is_urgent: bool = False
    """Whether callers wait for it; other transactions may be postponed to a later cycle."""


@dataclass(slots=True)
class CycleBatch:
    """Everything that one scheduling cycle has to store."""

    records: dict[str, JobRecord]
    """Changed jobs by id."""

    order: StoreOrder
    """Order in which their records are stored."""

    accepted_requests: dict[str, set[str]]
    """Inbox keys by the job that they concern; the stored record replaces them."""

    deletes: list[str]
    planned: list[Run]
    ends: list[EndConfirmation]
    keys: WorkKeys

    @classmethod
    def collect(
        cls, shard: Shard, keys: WorkKeys, postponed: PostponedChanges, now: float, wall: float
    ) -> CycleBatch:
        """Take all pending changes out of the shard's job table and outbox."""
        changed, shard.job_table.changed = shard.job_table.changed, {}
        outbox = shard.outbox
        planned, outbox.planned = outbox.planned, []
        ends, outbox.ends = outbox.ends, []
        deletes, outbox.deletes = outbox.deletes, []
        for record in list(shard.job_table.removable(wall)):
            job_id = record.job.job_id
            shard.job_table.remove(job_id)
            changed.pop(job_id, None)
            deletes.extend(
                (keys.submitted_job(job_id), keys.job_rules(job_id), keys.record(job_id))
            )
        accepted_requests, outbox.accepted_requests = outbox.accepted_requests, {}
        deletes.extend(
            key
            for job_id, found in accepted_requests.items()
            if job_id not in changed
            for key in found
        )
        starting = {run.task.task_id.job_id for run in planned}
        ended = {job_id for job_id, record in changed.items() if record.state.final}
        order = postponed.order(changed, starting, ended, now)
        return cls(changed, order, accepted_requests, deletes, planned, ends, keys)

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to store."""
        return not (self.records or self.deletes or self.planned or self.ends)

    def parts(self, extra: Iterable[Put]) -> Iterator[CycleTransaction]:
        """Yield the transactions, urgent ones first; the writes in `extra` go into the first.

        The records are encoded as their transaction is yielded. An end may be confirmed once the
        record of its job is stored; ends of jobs without a change go with the first transaction.
        """
        urgent = len(self.order.urgent)
        parts = [
            CycleTransaction(jobs=chunk, is_urgent=start < urgent)
            for start, chunk in self._record_chunks()
        ]
        parts.extend(
            CycleTransaction(deletes=chunk) for chunk in _chunks(self.deletes, MAX_BATCH_ENTRIES)
        )
        if not parts:
            parts.append(CycleTransaction())
        parts[0].puts.extend(extra)
        parts[0].ends = [end for end in self.ends if end.job_id not in self.records]
        for part in parts:
            self._add_records(part)
            yield part

    def postpone(self, stored: Iterable[CycleTransaction], shard: Shard) -> list[str]:
        """Put back what this cycle has not stored; return the ids of the postponed jobs.

        Args:
            stored: The transactions that were stored.
            shard: The shard that the changes were taken from. Jobs that have changed again
                meanwhile are stored with their newest state.
        """
        stored = list(stored)
        done = {job_id for part in stored for job_id in part.jobs}
        deleted = {key for part in stored for key in part.deletes}
        left = [job_id for job_id in self.records if job_id not in done]
        shard.job_table.changed = {
            **{job_id: self.records[job_id] for job_id in left},
            **shard.job_table.changed,
        }
        outbox = shard.outbox
        for job_id in left:
            found = self.accepted_requests.get(job_id, set())
            if found:
                outbox.accepted_requests.setdefault(job_id, set()).update(found)
        left_jobs = set(left)
        outbox.ends[:0] = [end for end in self.ends if end.job_id in left_jobs]
        outbox.deletes.extend(key for key in self.deletes if key not in deleted)
        return left

    def _record_chunks(self) -> Iterator[tuple[int, list[str]]]:
        """Yield groups of job ids whose records and inbox deletions fit into one transaction, each
        with the position of its first job."""
        chunk: list[str] = []
        first, size = 0, 0
        for position, job_id in enumerate((*self.order.urgent, *self.order.rest)):
            entries = 1 + len(self.accepted_requests.get(job_id, ()))
            if size + entries > MAX_BATCH_ENTRIES:
                yield first, chunk
                first, chunk, size = position, [], 0
            chunk.append(job_id)
            size += entries
        if chunk:
            yield first, chunk

    def _add_records(self, part: CycleTransaction) -> None:
        """Add the records of a transaction's jobs, and what may happen once they are stored."""
        chosen = set(part.jobs)
        part.deletes.extend(
            key for job_id in part.jobs for key in self.accepted_requests.get(job_id, ())
        )
        part.puts.extend(
            Put(self.keys.record(job_id), write_record(self.records[job_id]))
            for job_id in part.jobs
        )
        part.planned = [run for run in self.planned if run.task.task_id.job_id in chosen]
        part.ends.extend(end for end in self.ends if end.job_id in chosen)


def _chunks(items: Iterable[str], size: int) -> Iterator[list[str]]:
    iterator = iter(items)
    while chunk := list(itertools.islice(iterator, size)):
        yield chunk
