"""Prove that callers are refused at once, and truly, while the store is known to be silent.

The pattern: the store is down for some seconds in a peak, and a caller asks again within three
seconds if it is told that nothing was run. One whose write may have been carried out can't be told
so.
"""

from __future__ import annotations

import anyio

from vanillawell import clock
from vanillawell.coordination.store_health import StoreHealth
from vanillawell.tests.scheduler_cluster import PREFIX as JOBS
from vanillawell.tests.scheduler_cluster import Cluster, job, until, with_cluster

AT_ONCE = 0.7
"""Seconds within which a caller is told that the store does not answer."""

WATCH_LOST = 2.5
"""Seconds after which an entry's next waiting call to a silent store has failed."""


@with_cluster(members=1)
async def test_after_an_unanswered_write_callers_are_told_to_come_back(built: Cluster) -> None:
    """The first caller's write goes unanswered. All later ones would wait as long for an answer
    that leaves them in doubt; they have to hear soon that nothing was run, and nothing may be."""
    member, jobs = await built.owner(), [built.new_id() for _ in range(4)]
    built.store.faults.down = True
    first = await member.call("POST", JOBS + jobs[0], job())
    assert first.status == 504
    for job_id in jobs[1:]:
        began = clock.read()
        reply = await member.call("POST", JOBS + job_id, job())
        assert reply.status == 503
        assert "retry-after" in reply.headers
        assert clock.read() - began < AT_ONCE
    built.store.faults.down = False
    await anyio.sleep(0.5)
    assert not any(f"vanillawell/order/{job_id}" in built.store.items for job_id in jobs[1:])
    again = await member.call("POST", JOBS + jobs[1], job())
    assert again.status == 200


@with_cluster(members=1)
async def test_an_entry_that_hears_nothing_of_the_store_writes_no_job_into_it(
    built: Cluster,
) -> None:
    """The store is away, and the entry's own waiting call has got no answer. Written all the same,
    the first job of each entry would leave its caller in doubt, and unable to try again."""
    member, job_id = await built.owner(), built.new_id()
    built.store.faults.down = True
    await anyio.sleep(WATCH_LOST)
    began = clock.read()
    reply = await member.call("POST", JOBS + job_id, job())
    assert reply.status == 503
    assert clock.read() - began < AT_ONCE


def test_an_answer_that_was_lost_among_others_is_no_silence() -> None:
    """A write gets no answer within its bound, while a waiting call was answered meanwhile."""
    doubt = StoreHealth()
    doubt.note_answer(now=1.0)
    doubt.note_silence(sent=0.5, now=2.0)
    assert doubt.is_doubtful() and not doubt.is_silent(2.0)
    doubt.note_silence(sent=1.5, now=3.0)
    assert doubt.is_silent(3.0)


@with_cluster(members=1)
async def test_a_single_lost_answer_shuts_nobody_out(built: Cluster) -> None:
    """One write was carried out and its answer lost. The store answers all others; the next
    caller's job is taken."""
    member, jobs = await built.owner(), [built.new_id() for _ in range(2)]
    built.store.faults.write_filter = lambda body: "vanillawell/order/" in body
    built.store.faults.lose_answers = 1
    async with anyio.create_task_group() as callers:
        callers.start_soon(member.call, "POST", JOBS + jobs[0], job())
        await until(lambda: built.store.faults.lose_answers == 0)
        await anyio.sleep(1.6)
        assert (await member.call("POST", JOBS + jobs[1], job())).status == 200
