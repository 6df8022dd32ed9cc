"""Test that executors that are slow after their start are known and spared.

The pattern: machines join a pool in its peak, or a zone comes back, and state for how long they
remain slow.
"""

from __future__ import annotations

import pytest

from vanillawell.platform import documents
from vanillawell.state.stalls import stalled_runs
from vanillawell.tests.registration_documents import registration
from vanillawell.tests.scheduling_builders import QUEUE, ShardHarness, facts, job, step

COLD_SECONDS = 3.0


def _pool() -> ShardHarness:
    """Return a pool of an executor that is slow after its start and one that is not."""
    return ShardHarness(facts("i-0", cold_remaining=COLD_SECONDS), facts("i-1"))


def test_remaining_time_is_read_from_the_registration() -> None:
    value = registration(coldRemainingMs=2500)
    assert documents.read_executor("servers/i-0", value).cold_remaining == 2.5


def test_short_tasks_avoid_a_cold_executor() -> None:
    harness = _pool()
    harness.admit(job(step(3)))
    assert {run.executor for run in harness.place()} == {"i-1"}
    harness.now += COLD_SECONDS
    harness.admit(job(step(8)))
    assert "i-0" in {run.executor for run in harness.place()}


def test_cold_executor_is_used_when_all_others_are_full() -> None:
    """Sparing it must not make callers wait for capacity that exists."""
    harness = _pool()
    harness.admit(job(step(16)))
    assert len(harness.place()) == 16


def test_statement_that_is_read_again_does_not_prolong_the_time() -> None:
    harness = _pool()
    executor = harness.shard.ledger.executors["i-0"]
    harness.now += 2.0
    harness.register(facts("i-0", cold_remaining=COLD_SECONDS))
    assert executor.cold_until == pytest.approx(harness.now + COLD_SECONDS - 2.0)
    harness.register(facts("i-0", incarnation=2, cold_remaining=COLD_SECONDS))
    assert executor.cold_until == pytest.approx(harness.now + COLD_SECONDS)


def test_runs_on_a_cold_executor_teach_no_run_time() -> None:
    """The queue would look slow for the next jobs, and its pool would call too many machines."""
    harness = ShardHarness(facts("i-0", cold_remaining=COLD_SECONDS))
    spec = step(4, seconds=1.0)
    harness.admit(job(spec))
    runs = harness.place()
    harness.now += 9.0
    for run in runs:
        harness.end(run)
    assert harness.shard.durations.expected(QUEUE, spec) == 1.0


def test_cold_executor_is_not_taken_for_stalled() -> None:
    """Its tasks would be stopped and started elsewhere although they make progress slowly."""
    harness = ShardHarness(facts("i-0", cold_remaining=COLD_SECONDS))
    harness.admit(job(step(3)))
    for run in harness.place():
        run.first_reported_at = run.progressed_at = harness.now
    executor = harness.shard.ledger.executors["i-0"]
    assert stalled_runs(executor, harness.now + 2.0) == []
    assert len(stalled_runs(executor, harness.now + COLD_SECONDS)) == 3
