"""Test that callers are refused promptly and correctly while the store is known to be unresponsive.

The failure: the store is down for some seconds during a load peak. A caller that is told that its
job has not run retries within three seconds, but a caller whose write may have been carried out
cannot be told so.
"""

from __future__ import annotations

import anyio

from vanillawell import clock
from vanillawell.coordination.store_health import StoreHealth
from vanillawell.tests.scheduler_cluster import Cluster, until, with_cluster
from vanillawell.tests.scheduler_documents import PREFIX as JOBS
from vanillawell.tests.scheduler_documents import job

REFUSAL_TIME = 0.7
"""Seconds within which a caller is told that the store does not answer."""

WATCH_FAILURE_TIME = 2.5
"""Seconds after which an entry's pending watch call to an unresponsive store has failed."""


@with_cluster(members=1)
async def test_callers_are_told_to_retry_after_an_unanswered_write(built: Cluster) -> None:
    """The first caller's write is not answered. Later callers have to be told promptly that their
    jobs have not run, instead of waiting for an unknown outcome, and the jobs must not run."""
    member, jobs = await built.owner(), [built.new_id() for _ in range(4)]
    built.store.faults.down = True
    first = await member.call("POST", JOBS + jobs[0], job())
    assert first.status == 504
    for job_id in jobs[1:]:
        began = clock.read()
        reply = await member.call("POST", JOBS + job_id, job())
        assert reply.status == 503
        assert "retry-after" in reply.headers
        assert clock.read() - began < REFUSAL_TIME
    built.store.faults.down = False
    await anyio.sleep(0.5)
    assert not any(f"vanillawell/order/{job_id}" in built.store.items for job_id in jobs[1:])
    again = await member.call("POST", JOBS + jobs[1], job())
    assert again.status == 200


@with_cluster(members=1)
async def test_no_job_is_written_after_an_unanswered_watch_of_the_store(
    built: Cluster,
) -> None:
    """The store is down, and the entry's own watch call was not answered. If the first job of each
    entry were written all the same, its caller would get an unknown outcome and could not retry."""
    member, job_id = await built.owner(), built.new_id()
    built.store.faults.down = True
    await anyio.sleep(WATCH_FAILURE_TIME)
    began = clock.read()
    reply = await member.call("POST", JOBS + job_id, job())
    assert reply.status == 503
    assert clock.read() - began < REFUSAL_TIME


def test_single_lost_answer_does_not_count_as_an_unresponsive_store() -> None:
    """A write gets no answer within its timeout, while another call was answered meanwhile."""
    health = StoreHealth()
    health.record_answer(now=1.0)
    health.record_timeout(sent=0.5, now=2.0)
    assert health.needs_probe() and not health.is_unresponsive(2.0)
    health.record_timeout(sent=1.5, now=3.0)
    assert health.is_unresponsive(3.0)


@with_cluster(members=1)
async def test_callers_are_accepted_after_a_single_lost_answer(built: Cluster) -> None:
    """One write was carried out and its answer lost. The store answers all other calls, so the next
    caller's job has to be accepted."""
    member, jobs = await built.owner(), [built.new_id() for _ in range(2)]
    built.store.faults.write_filter = lambda body: "vanillawell/order/" in body
    built.store.faults.lose_answers = 1
    async with anyio.create_task_group() as callers:
        callers.start_soon(member.call, "POST", JOBS + jobs[0], job())
        await until(lambda: built.store.faults.lose_answers == 0)
        await anyio.sleep(1.6)
        assert (await member.call("POST", JOBS + jobs[1], job())).status == 200
