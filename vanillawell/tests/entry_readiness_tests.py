"""Test that an entry sends callers elsewhere while it can't serve them, and returns gradually."""

from __future__ import annotations

import pytest

from vanillawell import clock
from vanillawell.state.contention.entry_readiness import (
    MAX_LAG,
    MIN_RETURN_DELAY,
    RETURN_SPREAD,
    STORE_GRACE,
    EntryReadiness,
)
from vanillawell.tests.scheduler_cluster import Cluster, until, with_cluster
from vanillawell.tests.scheduler_documents import PREFIX, job

NOW = 100.0


def test_an_entry_is_ready_from_its_start() -> None:
    assert EntryReadiness("entry-0").is_ready(NOW)


def test_an_entry_that_the_store_turns_away_leaves_and_returns() -> None:
    """The store turns a third of the entries away for seconds and serves the others. Callers that
    are still sent there are refused, and lose the time that they would have been served in."""
    entry = EntryReadiness("entry-0")
    entry.record_store(False, NOW)
    assert entry.is_ready(NOW + STORE_GRACE / 2)
    assert not entry.is_ready(NOW + STORE_GRACE)
    assert not entry.is_ready(NOW + 8.0)
    entry.record_store(True, NOW + 8.0)
    assert not entry.is_ready(NOW + 8.0 + MIN_RETURN_DELAY / 2)
    assert entry.is_ready(NOW + 8.0 + MIN_RETURN_DELAY + RETURN_SPREAD)


def test_a_single_broken_connection_is_no_reason_to_leave() -> None:
    entry = EntryReadiness("entry-0")
    entry.record_store(False, NOW)
    entry.record_store(True, NOW + 0.2)
    assert entry.is_ready(NOW + 1.0)


@pytest.mark.parametrize(("lag", "ready"), [(MAX_LAG / 2, True), (2 * MAX_LAG, False)])
def test_an_entry_that_cannot_keep_up_leaves(lag: float, ready: bool) -> None:
    """A small entry gets more callers than it can answer. Each waits behind all others."""
    entry = EntryReadiness("entry-0")
    entry.record_lag(lag, NOW)
    assert entry.is_ready(NOW) is ready
    assert entry.is_ready(NOW + MIN_RETURN_DELAY + RETURN_SPREAD)


def test_entries_return_one_after_the_other() -> None:
    """The store was down for all. If all entries returned at the same moment, each would get the
    callers that have waited for it at once."""
    entries = [EntryReadiness(f"entry-{number}") for number in range(30)]
    for entry in entries:
        entry.record_lag(1.0, NOW)
    half = NOW + MIN_RETURN_DELAY + RETURN_SPREAD / 2
    assert 8 <= sum(entry.is_ready(half) for entry in entries) <= 22


@with_cluster(members=2)
async def test_a_refusing_entry_closes_the_connection(built: Cluster) -> None:
    """The path of one entry to the store is cut. Its callers keep their connection and would be
    refused again and again, although the load balancer knows entries that serve them."""
    member = built.members[0]
    member.store.cut = True

    def is_out() -> bool:
        return not member.node.job_service.is_ready(clock.read())

    await until(is_out)
    answer = await member.call("POST", PREFIX + built.new_id(), job())
    assert answer.status == 503
    assert answer.headers.get("connection") == "close"
    member.store.cut = False
    await until(lambda: not is_out())
    assert (await member.call("POST", PREFIX + built.new_id(), job())).status == 200
