"""Test the forecast of arriving work.

Scenario: the arrivals of each queue in turn grow to about five times their mean within four or five
seconds and fall again; the sizes of single jobs vary widely.
"""

from __future__ import annotations

import pytest

from vanillawell.state.arrivals import ArrivalMeter, expected_arrivals, expected_growth
from vanillawell.state.durations import DurationStatistics
from vanillawell.tests.scheduling_builders import POOL, ShardHarness, facts, job, step


def test_peak_is_detected_before_its_tasks_accumulate() -> None:
    """Arrivals rise from one job per second to fourteen.

    After a third of a second only a few tasks run, but the machines for the peak must already be
    requested.
    """
    meter, durations = ArrivalMeter(), DurationStatistics()
    item = job(step(6, cpu=1_800, seconds=0.8), step(4, cpu=1_800, seconds=0.8, after=(0,)))
    for number in range(5):
        meter.record("a", item, durations, number / 14)
    assert meter.required_cores("a", 0.36) > 50
    assert meter.required_cores("a", 2.0) == 0


def test_peak_at_its_height_requests_little_additional_capacity() -> None:
    """Forty jobs arrive in each window, as many as in the one before.

    Capacity for seventy would bring unused machines that the pool with the next peak needs.
    """
    assert expected_growth(40, 40) < 1.4
    assert expected_growth(400, 400) < 1.2


def test_beginning_peak_gets_capacity_for_its_growth() -> None:
    """Arrivals have tripled between two windows, and a machine needs two more to be ready."""
    assert expected_growth(12, 4) > 2


def test_backlog_of_a_new_owner_does_not_count_as_a_peak() -> None:
    """Forty jobs have waited for an owner for seconds, and are all admitted at once.

    Counted as arrivals of that moment, they requested all idle machines, and the pool with the next
    peak got none. Their need is counted as waiting work instead.
    """
    harness = ShardHarness(facts("i-0"))
    for _ in range(40):
        harness.shard.admit(job(step(4)), harness.now, is_backlog=True)
    assert harness.shard.arrivals.required_cores(POOL, harness.now) == 0
    assert len(harness.shard.job_table.open_steps) == 40


def test_single_large_job_does_not_count_as_a_peak() -> None:
    """One job with forty times the usual work arrives among usual ones, as happens by chance."""
    meter, durations = ArrivalMeter(), DurationStatistics()
    for number in range(60):
        meter.record("a", job(step(4, seconds=1.0)), durations, number * 0.1)
    before = meter.required_cores("a", 5.9)
    meter.record("a", job(step(4, seconds=40.0)), durations, 5.95)
    assert meter.required_cores("a", 6.0) < 3 * before


@pytest.mark.parametrize(
    ("recent", "previous", "expected"),
    [
        (20, 16, 18.0),  # differs by less than chance explains: both windows count
        (16, 20, 18.0),
        (20, 10, 20 + 2.3 * 10),  # grows: extrapolated until a requested machine is ready
        (10, 20, 10.0),  # falls: taken as it is now
        (8, 1, 8 + 2.3 * 7),
        (4, 0, 4 + 2.3 * 4),
    ],
)
def test_load_changes_only_if_chance_does_not_explain_it(
    recent: int, previous: int, expected: float
) -> None:
    """Counts of a steady load differ from window to window. Each difference that was taken for a
    peak called machines that were sent away a second later."""
    assert expected_arrivals(recent, previous) == pytest.approx(expected)


def test_lone_job_is_no_beginning_peak() -> None:
    """Between peaks a job arrives now and then. Extrapolated, each would call machines for four."""
    assert expected_arrivals(1, 0) == 1
