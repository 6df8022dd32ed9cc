"""Test that an unexpected error of an owner is visible and ends neither its entry nor its work."""

from __future__ import annotations

from unittest.mock import patch

from vanillawell.tests.scheduler_cluster import Cluster, Member, until, until_state, with_cluster
from vanillawell.tests.scheduler_documents import PREFIX, job

TAKE_OVER_TIME = 6.0
"""Seconds within which the shard has an owner again."""


def _shard_drops(member: Member) -> float:
    return float(member.node.telemetry.shard_drops.get({}))


@with_cluster()
async def test_shard_dropped_after_an_error_is_counted_and_owned_again(built: Cluster) -> None:
    """A bug ends an owner's task. Its shard has another owner seconds later, so that without a
    counter nobody would notice the bug until it happens often."""
    owner = await built.owner()
    term = owner.node.term
    assert _shard_drops(owner) == 0
    shard = owner.node.owned_shard
    assert shard is not None
    with patch.object(shard, "expire", side_effect=RuntimeError("injected by the test")):
        await until(lambda: owner.node.term is not term)
    assert _shard_drops(owner) == 1
    await until(lambda: owner.owns, TAKE_OVER_TIME)
    job_id = built.new_id()
    await owner.call("POST", PREFIX + job_id, job())
    await until_state(owner, job_id, "completed")
    assert _shard_drops(owner) == 1
