"""Prove that work on an executor that refuses all calls is given up when its leases are over."""

from __future__ import annotations

from vanillawell.coordination.leases import TASK_LEASE
from vanillawell.tests.scheduler_cluster import (
    PREFIX,
    Cluster,
    job,
    step,
    until,
    with_cluster,
)

KNOWN = 1.5
"""Seconds beyond a lease in which its end is known and the task has begun elsewhere."""


@with_cluster(executors=2)
async def test_a_task_leaves_an_executor_that_refuses_to_be_held(built: Cluster) -> None:
    """An executor answers that it is unhealthy and does nothing, so what runs there ends with its
    lease. A refusal renews nothing; reckoned as if it might have, it would keep the task charged
    there for as long as the executor refuses."""
    owner, job_id = await built.owner(), built.new_id()
    body = job(step(longRunning=True), spec={"seconds": 60})
    await owner.call("POST", PREFIX + job_id, body)
    task = f"{job_id}.0.0.0"
    await until(lambda: task in built.audit.started)
    (executor,) = [item for item in built.executors if task in item.running]
    executor.faults.unhealthy = True
    await until(lambda: task not in executor.running, TASK_LEASE + KNOWN)
    await until(lambda: built.audit.started[task] == 2, KNOWN)
