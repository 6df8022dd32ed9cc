"""Test what arrivals say of the next seconds.

The pattern: each queue in its turn grows within four or five seconds to about five times its mean
and falls again; single jobs are of very uneven size.
"""

from __future__ import annotations

from vanillawell.state.arrivals import ArrivalMeter, expected_growth
from vanillawell.state.durations import DurationStatistics
from vanillawell.tests.scheduling_builders import POOL, ShardHarness, facts, job, step


def test_a_peak_is_seen_before_its_tasks_have_piled_up() -> None:
    """Fourteen jobs a second begin to come where one came before. After a third of a second only a
    few tasks run, and the moves that the peak needs are under way already."""
    meter, durations = ArrivalMeter(), DurationStatistics()
    item = job(step(6, cpu=1_800, seconds=0.8), step(4, cpu=1_800, seconds=0.8, after=(0,)))
    for number in range(5):
        meter.note("a", item, durations, number / 14)
    assert meter.required_cores("a", 0.36) > 50
    assert meter.required_cores("a", 2.0) == 0


def test_a_peak_at_its_height_brings_little_more_than_it_asks_for() -> None:
    """Forty jobs come in each window, as many as in the one before. Room for seventy would bring
    machines that nobody uses, and that the pool whose turn is next would miss."""
    assert expected_growth(40, 40) < 1.4
    assert expected_growth(400, 400) < 1.2


def test_a_peak_that_begins_has_room_for_its_growth() -> None:
    """Jobs have tripled from one window to the next, and a machine takes two more to come."""
    assert expected_growth(12, 4) > 2


def test_what_a_new_owner_finds_waiting_is_taken_for_no_peak() -> None:
    """Forty jobs have waited for an owner for seconds, and are all taken in at once. Taken for what
    arrives within that moment, they called all idle machines, and the pool whose turn was next had
    none; what they need is counted as waiting work."""
    harness = ShardHarness(facts("i-0"))
    for _ in range(40):
        harness.shard.admit(job(step(4)), harness.now, is_backlog=True)
    assert harness.shard.arrivals.required_cores(POOL, harness.now) == 0
    assert len(harness.shard.job_table.open_steps) == 40


def test_one_large_job_is_taken_for_no_peak() -> None:
    """One job of forty times the usual work comes among usual ones, as happens by chance."""
    usual, durations = ArrivalMeter(), DurationStatistics()
    for number in range(60):
        usual.note("a", job(step(4, seconds=1.0)), durations, number * 0.1)
    before = usual.required_cores("a", 5.9)
    usual.note("a", job(step(4, seconds=40.0)), durations, 5.95)
    assert usual.required_cores("a", 6.0) < 3 * before
