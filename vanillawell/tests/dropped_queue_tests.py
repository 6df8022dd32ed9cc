"""Test that an accepted job is completed although its queue is removed from the configuration."""

from __future__ import annotations

from vanillawell import clock
from vanillawell.tests.scheduler_cluster import (
    ADVICE_PREFIX,
    PREFIX,
    Cluster,
    config,
    job,
    step,
    until,
    with_cluster,
)

TASKS_PER_EXECUTOR = 8
"""Number of tasks that fill the cluster's only executor."""

TAKE_OVER_TIME = 6.0
"""Seconds within which a lost owner is replaced and the executor has free capacity again."""


def _is_applied_everywhere(built: Cluster, version: int) -> bool:
    now = clock.read()
    return all(
        m.node.job_service.configuration_fields(now)["configuration"] == version
        for m in built.members
    )


@with_cluster(members=2, executors=1)
async def test_job_of_a_removed_queue_is_completed_by_the_next_owner(built: Cluster) -> None:
    """A job waits for free capacity while its queue is removed, and the owner that knew the queue's
    rules is lost. The next owner has only read the newer configuration, but the job was accepted.
    """
    owner, first, waiting = await built.owner(), built.new_id(), built.new_id()
    await owner.call(
        "POST", ADVICE_PREFIX + first, job(step(TASKS_PER_EXECUTOR), spec={"seconds": 1.0})
    )
    await until(lambda: len(built.audit.started) == TASKS_PER_EXECUTOR)
    await owner.call("POST", PREFIX + waiting, job())
    await until(lambda: f"vanillawell/record/{waiting}" in built.store.items)
    routes = [route for route in config()["routes"] if route["prefix"] != PREFIX]
    built.store.put_document("op/config", config(2, routes=routes))
    await until(lambda: _is_applied_everywhere(built, 2))
    await built.kill(owner)
    await until(lambda: f"{waiting}.0.0.0" in built.audit.started, TAKE_OVER_TIME)
