"""Collect what one scheduling cycle has to store, and what may happen only after it is stored."""

from __future__ import annotations

import itertools
import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from vanillawell.protocol.record_parts import MAX_PARTS, divide, stale_parts
from vanillawell.protocol.store import Put
from vanillawell.protocol.work_documents import write_record

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from vanillawell.protocol.work_keys import WorkKeys
    from vanillawell.state.contention.write_order import PostponedChanges, StoreOrder
    from vanillawell.state.outbox import EndConfirmation
    from vanillawell.state.progress import JobRecord, Run
    from vanillawell.state.shard import Shard

log = logging.getLogger(__name__)

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

    part_counts: dict[str, int] = field(default_factory=dict)
    """Number of parts that it divides the record of a job into, by job id."""

    is_urgent: bool = False
    """Whether callers wait for it; other transactions may be postponed to a later cycle."""

    @property
    def entries(self) -> int:
        """Return the number of keys that it writes or deletes."""
        return len(self.puts) + len(self.deletes)

    def add_record(self, job_id: str, entries: RecordEntries) -> None:
        """Add the record of a job."""
        self.jobs.append(job_id)
        self.puts.extend(entries.puts)
        self.deletes.extend(entries.deletes)
        self.part_counts[job_id] = len(entries.puts) - 1


@dataclass(frozen=True, slots=True)
class RecordEntries:
    """The writes of one job's record, and the keys that are deleted with it."""

    puts: list[Put]
    deletes: list[str]

    def __len__(self) -> int:
        return len(self.puts) + len(self.deletes)


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
    value_limit: int
    """Bytes of the largest value that the store holds."""

    @classmethod
    def collect(
        cls,
        shard: Shard,
        keys: WorkKeys,
        postponed: PostponedChanges,
        now: float,
        wall: float,
        value_limit: int,
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
            record_key = keys.record(job_id)
            deletes.extend((keys.submitted_job(job_id), keys.job_rules(job_id), record_key))
            deletes.extend(stale_parts(record_key, record.stored_parts, 0))
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
        return cls(changed, order, accepted_requests, deletes, planned, ends, keys, value_limit)

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to store."""
        return not (self.records or self.deletes or self.planned or self.ends)

    def parts(self, extra: Iterable[Put]) -> Iterator[CycleTransaction]:
        """Yield the transactions, at least one, urgent ones first; the writes in `extra` go into
        the first.

        The records are encoded as their transaction is yielded. An end may be confirmed once the
        record of its job is stored; ends of jobs without a change go with the first transaction.
        """
        parts = itertools.chain(self._record_transactions(), self._deletions())
        first = next(parts, CycleTransaction())
        first.puts.extend(extra)
        first.ends.extend(end for end in self.ends if end.job_id not in self.records)
        yield first
        yield from parts

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

    def _record_transactions(self) -> Iterator[CycleTransaction]:
        """Yield transactions with the records of as many jobs as fit into each."""
        urgent = len(self.order.urgent)
        part = CycleTransaction(is_urgent=urgent > 0)
        for position, job_id in enumerate((*self.order.urgent, *self.order.rest)):
            entries = self._record_entries(job_id)
            if part.jobs and part.entries + len(entries) > MAX_BATCH_ENTRIES:
                yield self._with_effects(part)
                part = CycleTransaction(is_urgent=position < urgent)
            part.add_record(job_id, entries)
        if part.jobs:
            yield self._with_effects(part)

    def _record_entries(self, job_id: str) -> RecordEntries:
        """Encode the record of a job, in parts if it is too large for one value."""
        record, key = self.records[job_id], self.keys.record(job_id)
        puts = divide(key, write_record(record), record.state, self.value_limit)
        if len(puts) > MAX_PARTS + 1:
            # What the tasks have saved may be of any length. A next owner would begin them anew.
            data = write_record(record, with_checkpoints=False)
            puts = divide(key, data, record.state, self.value_limit)
            fields = {"job": job_id, "parts": len(puts) - 1}
            log.warning("record too large for checkpoints", extra=fields)
        stale = stale_parts(key, record.stored_parts, len(puts) - 1)
        return RecordEntries(puts, [*self.accepted_requests.get(job_id, ()), *stale])

    def _with_effects(self, part: CycleTransaction) -> CycleTransaction:
        """Add to a transaction what may happen once the records of its jobs are stored."""
        chosen = set(part.jobs)
        part.planned = [run for run in self.planned if run.task.task_id.job_id in chosen]
        part.ends.extend(end for end in self.ends if end.job_id in chosen)
        return part

    def _deletions(self) -> Iterator[CycleTransaction]:
        return (
            CycleTransaction(deletes=chunk) for chunk in _chunks(self.deletes, MAX_BATCH_ENTRIES)
        )


def _chunks(items: Iterable[str], size: int) -> Iterator[list[str]]:
    iterator = iter(items)
    while chunk := list(itertools.islice(iterator, size)):
        yield chunk
