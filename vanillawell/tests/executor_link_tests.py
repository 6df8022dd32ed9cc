"""Test how long an owner assumes that an executor holds leases, on plain data."""

from __future__ import annotations

from typing import Any, cast

import pytest

from vanillawell.coordination.executor_link import ExecutorLink
from vanillawell.tests.scheduling_builders import ShardHarness, facts

KILL_GRACE = 0.1
"""Seconds."""


@pytest.fixture
def link() -> ExecutorLink:
    """Return the link to an executor whose clock was read at 0."""
    harness = ShardHarness(facts("i-0"))
    unused = cast("Any", None)
    executor = harness.shard.ledger.executors["i-0"]
    made = ExecutorLink(
        executor, unused, harness.shard, unused, unused, lambda: None, float, 6.0, KILL_GRACE
    )
    made.begin_incarnation(executor.facts.incarnation)
    made.record_answer(executor.facts.incarnation, 100.0, 0.0, 0.0)
    executor.lease_expires_at = 0.0
    return made


def test_lease_is_reverted_after_call_without_effect(link: ExecutorLink) -> None:
    """Otherwise a task stays charged to an executor that refuses all calls."""
    first = link.extend_lease(0.0)
    expiry = link.executor.lease_expires_at
    link.revert_extension(link.extend_lease(1.0))
    assert link.executor.lease_expires_at == expiry
    link.revert_extension(first)
    # A later lease had been sent, so the longer bound stays.
    assert link.executor.lease_expires_at == expiry


def test_refusal_does_not_revert_lease_of_later_call(link: ExecutorLink) -> None:
    """The later call may still arrive although the earlier one was refused; a task released too
    early would run twice. After a new clock reading, the later lease may even end slightly before
    the earlier one."""
    link.record_answer(link.executor.facts.incarnation, 102.0, 2.0, 2.0)
    first = link.extend_lease(3.0)
    link.record_answer(link.executor.facts.incarnation, 103.0, 3.0, 3.0)
    link.extend_lease(3.0)
    expiry = link.executor.lease_expires_at
    link.revert_extension(first)
    assert link.executor.lease_expires_at == expiry
