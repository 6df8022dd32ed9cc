"""Test that runs on an executor that refuses all calls are released when its leases expire."""

from __future__ import annotations

from vanillawell.coordination.leases import TASK_LEASE
from vanillawell.tests.scheduler_cluster import Cluster, until, with_cluster
from vanillawell.tests.scheduler_documents import PREFIX, job, step

DETECTION_TIME = 1.5
"""Seconds after the end of a lease within which it is detected and the task has started
elsewhere."""


@with_cluster(executors=2)
async def test_task_is_restarted_when_executor_refuses_hold_calls(built: Cluster) -> None:
    """An executor answers that it is unhealthy and does nothing, so its runs end with their lease.
    A refused call renews nothing; if it counted as a renewal, the task would stay charged to the
    executor for as long as it refuses."""
    owner, job_id = await built.owner(), built.new_id()
    body = job(step(longRunning=True), spec={"seconds": 60})
    await owner.call("POST", PREFIX + job_id, body)
    task = f"{job_id}.0.0.0"
    await until(lambda: task in built.audit.started)
    (executor,) = [item for item in built.executors if task in item.running]
    executor.faults.unhealthy = True
    await until(lambda: task not in executor.running, TASK_LEASE + DETECTION_TIME)
    await until(lambda: built.audit.started[task] == 2, DETECTION_TIME)
