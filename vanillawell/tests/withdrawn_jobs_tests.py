"""Test that a cancellation that finds no job leaves none behind."""

from __future__ import annotations

from unittest.mock import patch

import anyio

from vanillawell.protocol.work_keys import WorkKeys
from vanillawell.standins.scheduler.store import LATE_WRITE_DELAY
from vanillawell.tests.scheduler_cluster import Cluster, until, until_state, with_cluster
from vanillawell.tests.scheduler_documents import PREFIX, job

KEYS = WorkKeys()


def _hold_back(built: Cluster, job_id: str) -> None:
    """Carry both writes that an entry makes to create a job out late, without an answer."""
    built.store.faults.write_filter = lambda body: KEYS.new_job(job_id) in body
    built.store.faults.late_writes = 2


# Guards against a job that was cancelled while its acceptance was in doubt, whose caller heard that
# there is none, and that appears seconds later and runs.
@with_cluster(members=2)
async def test_job_that_a_cancellation_did_not_find_never_appears(built: Cluster) -> None:
    job_id, (first, second) = built.new_id(), built.members
    _hold_back(built, job_id)
    reply = await first.call("POST", PREFIX + job_id, job(spec={"seconds": 30}), wait_ms=500)
    assert reply.status == 504
    assert (await second.call("DELETE", PREFIX + job_id)).status == 410
    await anyio.sleep(LATE_WRITE_DELAY + 0.3)
    assert await first.state(job_id) == "status 410"
    assert KEYS.submitted_job(job_id) not in built.store.items
    assert not built.audit.started


# Guards against a repeated hand-in that arrives after its job's cancellation and runs.
@with_cluster()
async def test_job_that_is_handed_in_after_its_cancellation_is_refused(built: Cluster) -> None:
    job_id, (member,) = built.new_id(), built.members
    assert (await member.call("DELETE", PREFIX + job_id)).status == 410
    reply = await member.call("POST", PREFIX + job_id, job())
    assert (reply.status, reply.document["verdict"]) == (409, "not-run")
    assert (await member.call("DELETE", PREFIX + job_id)).status == 410


# Guards against an answer "no such job" for a job that came to exist between two calls.
@with_cluster(members=2)
async def test_job_that_appears_during_its_cancellation_is_cancelled(built: Cluster) -> None:
    job_id, (first, second) = built.new_id(), built.members
    read = second.store.inner.get

    async def read_then_create(key: str) -> object:
        found = await read(key)
        if key == KEYS.submitted_job(job_id) and found is None:
            reply = await first.call("POST", PREFIX + job_id, job(spec={"seconds": 30}))
            assert reply.status == 200
        return found

    with patch.object(second.store.inner, "get", read_then_create):
        assert (await second.call("DELETE", PREFIX + job_id)).status == 200
    await until_state(first, job_id, "cancelled")


# Guards against a cancellation whose write got no answer and is then told to have found no job.
@with_cluster()
async def test_withdrawal_without_an_answer_is_repeated(built: Cluster) -> None:
    job_id, (member,) = built.new_id(), built.members
    built.store.faults.write_filter = lambda body: KEYS.withdrawn_job(job_id) in body
    built.store.faults.lose_answers = 1
    assert (await member.call("DELETE", PREFIX + job_id, wait_ms=4_000)).status == 410


# Guards against an entry that cancels nothing any more once the lease of its withdrawals has ended.
@with_cluster()
async def test_withdrawals_outlast_the_end_of_their_lease(built: Cluster) -> None:
    (member,) = built.members
    assert (await member.call("DELETE", PREFIX + built.new_id())).status == 410
    (key,) = (key for key in built.store.items if key.startswith(KEYS.withdrawn_job("")))
    built.store._revoke_lease(built.store.items[key].lease)
    await until(lambda: key not in built.store.items)
    assert (await member.call("DELETE", PREFIX + built.new_id())).status == 410


# Guards against a request to cancel that stays in the inbox for ever, since its job was removed
# between the two calls of the cancellation.
@with_cluster()
async def test_cancellation_of_a_job_that_is_removed_meanwhile_leaves_nothing(
    built: Cluster,
) -> None:
    job_id, (member,) = built.new_id(), built.members
    await member.call("POST", PREFIX + job_id, job(spec={"seconds": 0.05}))
    await until_state(member, job_id, "completed")
    read = member.store.inner.get

    async def read_then_remove(key: str) -> object:
        found = await read(key)
        if key == KEYS.submitted_job(job_id) and found is not None:
            built.store.delete(key)
        return found

    with patch.object(member.store.inner, "get", read_then_remove):
        assert (await member.call("DELETE", PREFIX + job_id)).status == 410
    assert not [key for key in built.store.items if key.startswith(KEYS.inbox)]
