"""Prove that an executor that starts again under its id is known for what it is.

The pattern: executors go down and up by turns. One that ran nothing is asked nothing, so its owner
hears of the new life from the registry first.
"""

from __future__ import annotations

import anyio

from vanillawell.coordination.leases import TASK_LEASE
from vanillawell.tests.scheduler_cluster import (
    PREFIX,
    Cluster,
    job,
    until,
    until_state,
    with_cluster,
)

FORMER_LIFE = 3.0
"""Seconds for which the former life's clock has run by far."""

ROUNDING = 0.1
"""Seconds."""


@with_cluster(executors=1)
async def test_leases_of_a_new_life_are_not_reckoned_by_the_clock_of_the_former(
    built: Cluster,
) -> None:
    """The new life's clock begins anew. A lease that ends by the former one's outlives what the
    owner believes by as long as that life lasted, and a task given up would run twice."""
    owner, job_id = await built.owner(), built.new_id()
    await owner.call("POST", PREFIX + job_id, job())
    await until_state(owner, job_id, "completed")
    await anyio.sleep(FORMER_LIFE)
    built.restart("i-0")
    built.register("i-0")
    executor = built.hosts["i-0"].executor
    await until(lambda: executor.hold_calls > 0)
    assert executor._lease_end / 1000 <= executor.clock / 1000 + TASK_LEASE + ROUNDING
