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
    from vanillawell.state.outbox import EndConfirmation
    from vanillawell.state.shard import Shard
    from vanillawell.state.work import Run

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


@dataclass(slots=True)
class CycleBatch:
    """Everything that one scheduling cycle has to store."""

    records: dict[str, bytes]
    """Encoded job records by job id."""

    accepted_requests: dict[str, set[str]]
    """Inbox keys by the job that they concern; the stored record replaces them."""

    deletes: list[str]
    planned: list[Run]
    ends: list[EndConfirmation]
    keys: WorkKeys

    @classmethod
    def collect(cls, shard: Shard, keys: WorkKeys, wall: float) -> CycleBatch:
        """Take all pending changes out of the shard's job table and outbox."""
        changed, shard.job_table.changed = shard.job_table.changed, {}
        outbox = shard.outbox
        planned, outbox.planned = outbox.planned, []
        ends, outbox.ends = outbox.ends, []
        deletes: list[str] = []
        for record in list(shard.job_table.removable(wall)):
            job_id = record.job.job_id
            shard.job_table.remove(job_id)
            changed.pop(job_id, None)
            deletes.extend((keys.submitted_job(job_id), keys.record(job_id)))
        accepted_requests, outbox.accepted_requests = outbox.accepted_requests, {}
        deletes.extend(
            key
            for job_id, found in accepted_requests.items()
            if job_id not in changed
            for key in found
        )
        records = {job_id: write_record(record) for job_id, record in changed.items()}
        return cls(records, accepted_requests, deletes, planned, ends, keys)

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to store."""
        return not (self.records or self.deletes or self.planned or self.ends)

    def parts(self, extra: Iterable[Put]) -> Iterator[CycleTransaction]:
        """Yield the transactions; the writes in `extra` go into the first.

        Ends may be confirmed after the last transaction: by then the records of all jobs are
        stored, so the job that an end belongs to does not matter.
        """
        parts = [self._records_part(chunk) for chunk in self._record_chunks()]
        parts.extend(
            CycleTransaction(deletes=chunk) for chunk in _chunks(self.deletes, MAX_BATCH_ENTRIES)
        )
        if not parts:
            parts.append(CycleTransaction())
        parts[0].puts.extend(extra)
        parts[-1].ends = self.ends
        yield from parts

    def _record_chunks(self) -> Iterator[list[str]]:
        """Yield groups of job ids whose records and inbox deletions fit into one transaction."""
        chunk: list[str] = []
        size = 0
        for job_id in self.records:
            entries = 1 + len(self.accepted_requests.get(job_id, ()))
            if size + entries > MAX_BATCH_ENTRIES:
                yield chunk
                chunk, size = [], 0
            chunk.append(job_id)
            size += entries
        if chunk:
            yield chunk

    def _records_part(self, job_ids: list[str]) -> CycleTransaction:
        deletes = [key for job_id in job_ids for key in self.accepted_requests.get(job_id, ())]
        puts = [Put(self.keys.record(job_id), self.records[job_id]) for job_id in job_ids]
        chosen = set(job_ids)
        planned = [run for run in self.planned if run.task.task_id.job_id in chosen]
        return CycleTransaction(puts=puts, deletes=deletes, planned=planned)


def _chunks(items: Iterable[str], size: int) -> Iterator[list[str]]:
    iterator = iter(items)
    while chunk := list(itertools.islice(iterator, size)):
        yield chunk
