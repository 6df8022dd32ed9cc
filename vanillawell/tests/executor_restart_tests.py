"""Test that a restarted executor with the same id is recognised as a new incarnation.

Executors go down and up in turn. One that ran nothing is not called, so its owner learns of the new
incarnation from the registry first.
"""

from __future__ import annotations

import anyio

from vanillawell.coordination.leases import TASK_LEASE
from vanillawell.tests.scheduler_cluster import Cluster, until, until_state, with_cluster
from vanillawell.tests.scheduler_documents import PREFIX, job

PREVIOUS_UPTIME = 3.0
"""Minimum seconds for which the previous incarnation's clock has run."""

CLOCK_TOLERANCE = 0.1
"""Seconds."""


@with_cluster(executors=1)
async def test_leases_of_new_incarnation_use_its_own_clock(
    built: Cluster,
) -> None:
    """The new incarnation's clock starts again at zero. A lease end computed from the previous
    clock would lie that incarnation's uptime beyond the expiry that the owner assumes, and a task
    released by then would run twice."""
    owner, job_id = await built.owner(), built.new_id()
    await owner.call("POST", PREFIX + job_id, job())
    await until_state(owner, job_id, "completed")
    await anyio.sleep(PREVIOUS_UPTIME)
    built.restart("i-0")
    built.register("i-0")
    executor = built.hosts["i-0"].executor
    await until(lambda: executor.hold_calls > 0)
    assert executor._lease_end / 1000 <= executor.clock / 1000 + TASK_LEASE + CLOCK_TOLERANCE
