"""Test that an accepted job is completed although its queue is removed from the configuration."""

from __future__ import annotations

import time
from typing import Any

from vanillawell import clock
from vanillawell.tests.scheduler_cluster import Cluster, Member, until, with_cluster
from vanillawell.tests.scheduler_documents import ADVICE_PREFIX, PREFIX, config, job, step

TASKS_PER_EXECUTOR = 8
"""Number of tasks that fill the cluster's only executor."""

TAKE_OVER_TIME = 6.0
"""Seconds within which a lost owner is replaced and the executor has free capacity again."""


def _routes_without(prefix: str) -> list[dict[str, Any]]:
    routes: list[dict[str, Any]] = config()["routes"]
    return [route for route in routes if route["prefix"] != prefix]


async def _lose_all_after_removal(built: Cluster, prefix: str, body: bytes, **changes: Any) -> str:
    """Submit a job that stays in the inbox, remove its queue, and replace all schedulers.

    `changes` are further changes of the configuration that removes the queue.
    """
    owner, job_id = await built.owner(), built.new_id()
    other = next(member for member in built.members if member is not owner)
    owner.store.cut = True
    assert (await other.call("POST", prefix + job_id, body)).status == 200
    stored_with_job = built.store.items[f"vanillawell/rules/{job_id}"].revision
    assert stored_with_job == built.store.items[f"vanillawell/order/{job_id}"].revision
    newer = config(2, **{"routes": _routes_without(prefix), **changes})
    built.store.put_document("op/config", newer)
    await built.kill(owner)
    await built.kill(other)
    assert f"vanillawell/record/{job_id}" not in built.store.items
    built.add_member("entry-later")
    return job_id


def _applied_version(member: Member) -> object:
    return member.node.job_service.configuration_fields(clock.read())["configuration"]


def _is_applied_everywhere(built: Cluster, version: int) -> bool:
    return all(_applied_version(member) == version for member in built.members)


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
    built.store.put_document("op/config", config(2, routes=_routes_without(PREFIX)))
    await until(lambda: _is_applied_everywhere(built, 2))
    await built.kill(owner)
    await until(lambda: f"{waiting}.0.0.0" in built.audit.started, TAKE_OVER_TIME)


@with_cluster(members=2, executors=1)
async def test_job_in_the_inbox_begins_although_nobody_knows_its_queue_any_more(
    built: Cluster,
) -> None:
    """All schedulers are lost right after a configuration removed the queue of an accepted job that
    no owner had read yet; the job would never begin."""
    job_id = await _lose_all_after_removal(built, PREFIX, job())
    await until(lambda: f"{job_id}.0.0.0" in built.audit.started, TAKE_OVER_TIME)


@with_cluster(members=2, executors=1)
async def test_scheduled_job_in_the_inbox_begins_when_due_after_its_queue_was_removed(
    built: Cluster,
) -> None:
    """The same for a job with occurrences, which is due only after the loss."""
    due: dict[str, Any] = {"times": 2, "startTimeMs": (time.time() + 3) * 1000, "intervalMs": 200}
    job_id = await _lose_all_after_removal(built, PREFIX, job(**due))
    await until(lambda: f"{job_id}.1.0.0" in built.audit.started, TAKE_OVER_TIME)


@with_cluster(members=2, executors=1)
async def test_job_in_the_inbox_begins_although_its_service_was_removed_too(
    built: Cluster,
) -> None:
    """The same if the configuration removes the service as well. Executors of a service that nobody
    has named are not used, and the service is known only from the rules stored with the job."""
    job_id = await _lose_all_after_removal(built, PREFIX, job(), routes=[], services=[])
    await until(lambda: f"{job_id}.0.0.0" in built.audit.started, TAKE_OVER_TIME)


@with_cluster(members=2, executors=1)
async def test_job_that_needs_advice_begins_although_its_queue_was_removed(built: Cluster) -> None:
    """The same for a queue that requires advice: a start without a ticket would be refused."""
    job_id = await _lose_all_after_removal(built, ADVICE_PREFIX, job())
    await until(lambda: f"{job_id}.0.0.0" in built.audit.started, TAKE_OVER_TIME)


@with_cluster(members=2, executors=1)
async def test_job_begins_if_its_owner_never_read_the_configuration_with_its_queue(
    built: Cluster,
) -> None:
    """A configuration adds a queue and the next one removes it before the owner reads either. A job
    that another entry accepted in between would wait at that owner for good."""
    owner, job_id = await built.owner(), built.new_id()
    other = next(member for member in built.members if member is not owner)
    added = {**config()["routes"][0], "name": "brief", "prefix": "/brief/"}
    owner.store.hidden_prefix = "op/"
    built.store.put_document("op/config", config(2, routes=[*config()["routes"], added]))
    await until(lambda: _applied_version(other) == 2)
    assert (await other.call("POST", "/brief/" + job_id, job())).status == 200
    await until(lambda: f"vanillawell/record/{job_id}" in built.store.items)
    built.store.put_document("op/config", config(3))
    await until(lambda: f"{job_id}.0.0.0" in built.audit.started)
