"""Run deferrable jobs on the platform's workers, from the one entry that holds the role.

A start is recorded in the store before it is requested from the platform, and its task id is the
same for every attempt. So neither a replaced job runner nor a lost answer can start a job twice.
"""

from __future__ import annotations

import logging
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from vanillawell.coordination.role import NotHolderError, Role, run_while_held
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
"""Seconds until a task expires after its last renewal; longer than a take-over of the role."""


class JobRunner:
    """Start, stop and track jobs while this entry holds the role."""

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
        self._registry = JobRegistry()
        self._revision = 0
        self._started: set[str] = set()
        """Ids of tasks whose start the platform has confirmed to this process."""

    async def run(self) -> None:
        """Acquire the role when it is free and manage jobs while it is held, until cancelled."""
        await run_while_held("job runner", self._round, self._membership, self._telemetry)

    async def _round(self) -> None:
        await self._role.acquire()
        await self._read()
        if not any(self._active()):
            return
        await self._sync_running_tasks()
        pressure, now = self._pressure(), time.time()
        for job in jobs_to_stop(self._registry, pressure, now):
            await self._platform.stop_task(job.task_id)
        workers = await self._platform.workers()
        for job, worker in jobs_to_start(self._registry, workers, pressure, now):
            await self._start(job, worker)

    def _active(self) -> list[Job]:
        ended = (JobState.DONE, JobState.FAILED)
        return [job for job in self._registry.jobs.values() if job.state not in ended]

    async def _read(self) -> None:
        stored = await self._store.get(self._key)
        self._registry = JobRegistry.from_bytes(stored.value) if stored else JobRegistry()
        self._revision = stored.mod_revision if stored else 0

    async def _write(self, registry: JobRegistry) -> None:
        """Write the job registry; raise NotHolderError if it or the role has changed meanwhile."""
        if registry is self._registry:
            return
        result = await self._store.transact(
            Transaction(
                compares=[self._role.guard, Compare(self._key, self._revision)],
                puts=[Put(self._key, registry.to_bytes())],
            )
        )
        if not result.succeeded:
            raise NotHolderError
        self._registry = registry
        self._revision = result.revision

    async def _start(self, job: Job, worker: str) -> None:
        started = replace(job, state=JobState.RUNNING, worker=worker, attempt=job.attempt + 1)
        await self._write(self._registry.with_job(started))
        self._log(started, "running")
        await self._request_start(started)

    async def _request_start(self, job: Job) -> None:
        await self._platform.start_task(job, self._registry.expected_cores(job), TASK_TTL)
        self._started.add(job.task_id)

    async def _sync_running_tasks(self) -> None:
        """Update running jobs from the platform's task reports, and renew tasks that still run."""
        running = [job for job in self._active() if job.state is JobState.RUNNING]
        if not running:
            return
        self._started.intersection_update(job.task_id for job in running)
        reports = await self._platform.tasks([job.task_id for job in running], TASK_TTL)
        for job in running:
            report = reports.get(job.task_id)
            if report is None and job.task_id not in self._started:
                # The request may be on its way; the same id never starts a second task.
                await self._request_start(job)
                continue
            report = report or TaskReport(TaskState.LOST, 0.0, 0.0, 0.0)
            await self._write(apply_report(self._registry, job, report))
            if report.state is not TaskState.RUNNING:
                self._log(job, report.state)

    def _log(self, job: Job, state: str) -> None:
        fields = {"subject": f"job {job.job_id}", "state": state, "worker": job.worker}
        logging.getLogger(__name__).info("state changed", extra=fields)
