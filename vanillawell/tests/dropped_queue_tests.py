"""Prove that an accepted job is finished though the configuration drops its queue meanwhile."""

from __future__ import annotations

from vanillawell import clock
from vanillawell.tests.scheduler_cluster import (
    HINTED_PREFIX,
    PREFIX,
    Cluster,
    config,
    job,
    step,
    until,
    with_cluster,
)

FULL = 8
"""Tasks that fill the cluster's only executor."""

TAKEN_OVER = 6.0
"""Seconds in which a lost owner is replaced and the executor has room again."""


def _is_applied_everywhere(built: Cluster, version: int) -> bool:
    now = clock.read()
    return all(m.node.job_service.basis(now)["configuration"] == version for m in built.members)


@with_cluster(members=2, executors=1)
async def test_a_job_of_a_dropped_queue_is_finished_by_the_next_owner(built: Cluster) -> None:
    """A job waits for room while its queue is dropped, and the owner that knew the queue's rules is
    lost. Its successor has read only the newer configuration; the job was accepted all the same."""
    owner, first, waiting = await built.owner(), built.new_id(), built.new_id()
    await owner.call("POST", HINTED_PREFIX + first, job(step(FULL), spec={"seconds": 1.0}))
    await until(lambda: len(built.audit.started) == FULL)
    await owner.call("POST", PREFIX + waiting, job())
    await until(lambda: f"vanillawell/record/{waiting}" in built.store.items)
    routes = [route for route in config()["routes"] if route["prefix"] != PREFIX]
    built.store.put_document("op/config", config(2, routes=routes))
    await until(lambda: _is_applied_everywhere(built, 2))
    await built.kill(owner)
    await until(lambda: f"{waiting}.0.0.0" in built.audit.started, TAKEN_OVER)
