"""Submit and show deferrable jobs."""

from __future__ import annotations

import time
import uuid
from typing import TYPE_CHECKING

import anyio

from vanillawell.commands.printing import print_document, print_rows
from vanillawell.exceptions import ConflictError, SettingsError, StoreOutcomeUnknownError
from vanillawell.protocol.store import Compare, Put, Transaction
from vanillawell.state.jobs import Job, JobRegistry

if TYPE_CHECKING:
    from vanillawell.commands.context import CommandContext
    from vanillawell.protocol.store import Store

MAX_TRIES = 20
"""Maximum number of tries against a job runner that writes to the same document."""


def submit(
    context: CommandContext, organisation: str, kind: str, work: float, cores: float, within: float
) -> None:
    """Add a job that must be done within `within` seconds."""
    if work <= 0 or cores <= 0 or within <= 0:
        raise SettingsError("--core-seconds, --cores and --within must be above 0")
    job_id = f"{kind}-{uuid.uuid4().hex[:8]}"
    job = Job(job_id, organisation, kind, work, cores, time.time() + within)
    anyio.run(_submit, context, job)
    print_document({"job": job_id})


async def _submit(context: CommandContext, job: Job) -> None:
    async with context.connect() as store:
        current = await context.editor(store).current()
        if current is None or job.organisation not in current.tree.of_kind("organisation"):
            raise SettingsError(f"no organisation is named {job.organisation!r}")
        for _ in range(MAX_TRIES):
            if await _try_submit(context, store, job):
                return
    raise ConflictError("the job runner kept changing the jobs; run the command again")


async def _try_submit(context: CommandContext, store: Store, job: Job) -> bool:
    """Try once to add a job, and return whether it is stored.

    A job that is already stored was added by an earlier try whose answer was lost.
    """
    key = context.keys.jobs
    stored = await store.get(key)
    registry = JobRegistry.from_bytes(stored.value) if stored else JobRegistry()
    if job.job_id in registry.jobs:
        return True
    compare = Compare(key, stored.mod_revision if stored else 0)
    put = Put(key, registry.with_job(job).to_bytes())
    try:
        result = await store.transact(Transaction(compares=[compare], puts=[put]))
    except StoreOutcomeUnknownError:
        return False
    return result.succeeded


def show(context: CommandContext) -> None:
    """Print all jobs."""
    anyio.run(_show, context)


async def _show(context: CommandContext) -> None:
    async with context.connect() as store:
        stored = await store.get(context.keys.jobs)
    registry = JobRegistry.from_bytes(stored.value) if stored else JobRegistry()
    rows = [
        {
            "job": job.job_id,
            "organisation": job.organisation,
            "state": job.state,
            "worker": job.worker or "-",
            "attempts": job.attempt,
            "saved_core_seconds": round(job.checkpoint, 1),
            "finish_in": round(job.finish_by - time.time()),
            "error": job.error or "-",
        }
        for job in sorted(registry.jobs.values(), key=lambda item: item.finish_by)
    ]
    print_rows(rows, context.output)
