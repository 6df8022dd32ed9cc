"""Test on plain data how long an executor is taken to hold leases."""

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
    nothing = cast("Any", None)
    executor = harness.shard.ledger.executors["i-0"]
    made = ExecutorLink(
        executor, nothing, harness.shard, nothing, nothing, lambda: None, float, 6.0, KILL_GRACE
    )
    made.enter_life(executor.facts.incarnation)
    made.answered(executor.facts.incarnation, 100.0, 0.0, 0.0)
    executor.lease_expires_at = 0.0
    return made


def test_a_call_that_did_nothing_extends_no_lease(link: ExecutorLink) -> None:
    """Else a task stays charged to an executor that refuses all calls."""
    first = link.extend_lease(0.0)
    over = link.executor.lease_expires_at
    link.take_back(link.extend_lease(1.0))
    assert link.executor.lease_expires_at == over
    link.take_back(first)
    assert (
        link.executor.lease_expires_at == over
    )  # a later call was under way, so this stays too long


def test_a_refusal_takes_back_no_lease_of_a_later_call(link: ExecutorLink) -> None:
    """A later call may arrive though an earlier one was refused; a task given up too early would
    run twice. After a new reading the later lease may even end a little before the earlier one."""
    link.answered(link.executor.facts.incarnation, 102.0, 2.0, 2.0)
    first = link.extend_lease(3.0)
    link.answered(link.executor.facts.incarnation, 103.0, 3.0, 3.0)
    link.extend_lease(3.0)
    over = link.executor.lease_expires_at
    link.take_back(first)
    assert link.executor.lease_expires_at == over
