"""Run work that may wait on the platform's workers, from the one entry that holds the role.

A start is reserved in the store before the platform hears of it, and its id is the same at every
try. So neither a planner that was replaced nor an answer that got lost starts a job twice.
"""

from __future__ import annotations

import logging
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from vanillawell.coordination.role import NotHolderError, Role, act_while_held
from vanillawell.protocol.store import Compare, Put, Transaction
from vanillawell.state.jobs import (
    Job,
    JobRegistry,
    JobState,
    TaskReport,
    TaskState,
    apply_report,
    jobs_to_start,
    jobs_to_stop,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.coordination.membership import Membership
    from vanillawell.protocol.documents import StoreKeys
    from vanillawell.protocol.platform_calls import PlatformCalls
    from vanillawell.protocol.store import Store
    from vanillawell.telemetry import Telemetry

TASK_TTL = 15.0
"""Seconds that a task outlives its last renewal; longer than another entry takes to take over."""


class JobRunner:
    """Start, stop and follow jobs while this entry holds the role."""

    def __init__(
        self,
        store: Store,
        keys: StoreKeys,
        platform: PlatformCalls,
        membership: Membership,
        pressure: Callable[[], float],
        telemetry: Telemetry,
    ) -> None:
        self._store = store
        self._key = keys.jobs
        self._platform = platform
        self._membership = membership
        self._pressure = pressure
        self._telemetry = telemetry
        self._role = Role(store, keys.job_runner, membership)
        self._book = JobRegistry()
        self._revision = 0

    async def run(self) -> None:
        """Take the role when it is free and act while it is held, until cancelled."""
        await act_while_held("job runner", self._round, self._membership, self._telemetry)

    async def _round(self) -> None:
        await self._role.hold()
        await self._read()
        if not any(self._active()):
            return
        await self._follow()
        pressure, now = self._pressure(), time.time()
        for job in jobs_to_stop(self._book, pressure, now):
            await self._platform.stop_task(job.task_id)
        workers = await self._platform.workers()
        for job, worker in jobs_to_start(self._book, workers, pressure, now):
            await self._start(job, worker)

    def _active(self) -> list[Job]:
        ended = (JobState.DONE, JobState.FAILED)
        return [job for job in self._book.jobs.values() if job.state not in ended]

    async def _read(self) -> None:
        found = await self._store.get(self._key)
        self._book = JobRegistry.from_bytes(found.value) if found else JobRegistry()
        self._revision = found.mod_revision if found else 0

    async def _write(self, book: JobRegistry) -> None:
        """Write the book; raises NotHolderError if the role or the book changed meanwhile."""
        if book is self._book:
            return
        result = await self._store.transact(
            Transaction(
                compares=[self._role.guard, Compare(self._key, self._revision)],
                puts=[Put(self._key, book.to_bytes())],
            )
        )
        if not result.succeeded:
            raise NotHolderError
        self._book = book
        self._revision = result.revision

    async def _start(self, job: Job, worker: str) -> None:
        started = replace(job, state=JobState.RUNNING, worker=worker, attempt=job.attempt + 1)
        await self._write(self._book.with_job(started))
        self._log(started, "running")
        await self._platform.start_task(started, self._book.expected_cores(started), TASK_TTL)

    async def _follow(self) -> None:
        """Take over what became of running tasks, and renew those that go on."""
        running = [job for job in self._active() if job.state is JobState.RUNNING]
        if not running:
            return
        reports = await self._platform.tasks([job.task_id for job in running], TASK_TTL)
        for job in running:
            report = reports.get(job.task_id)
            if report is None:
                # The reservation was written and the platform never heard of it.
                report = TaskReport(TaskState.LOST, 0.0, 0.0, 0.0)
            await self._write(apply_report(self._book, job, report))
            if report.state is not TaskState.RUNNING:
                self._log(job, report.state)

    def _log(self, job: Job, state: str) -> None:
        fields = {"subject": f"job {job.job_id}", "state": state, "worker": job.worker}
        logging.getLogger(__name__).info("state changed", extra=fields)
