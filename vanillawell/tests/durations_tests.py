"""Test that run times are measured apart from the few tasks that take several times as long."""

from __future__ import annotations

import random
import statistics

import pytest

from vanillawell.state.durations import DurationStatistics
from vanillawell.tests.scheduling_builders import step

TAIL_SHARE = 0.03
TAIL_FACTOR = 7.0


def measure(runs: list[float]) -> DurationStatistics:
    durations = DurationStatistics()
    for seconds in runs:
        durations.record("q", step(), seconds)
    return durations


def test_a_single_long_run_does_not_change_what_is_expected_much() -> None:
    """One task in thirty-three runs seven times as long. If it raised the expected run time by more
    than half, objectives and pools of the next seconds would be that much too large."""
    durations = measure([1.0] * 20)
    durations.record("q", step(), TAIL_FACTOR)
    assert durations.expected("q", step()) <= 1.2
    assert durations.mean("q", step()) <= 1.5


@pytest.mark.parametrize("seed", range(5))
def test_the_mean_contains_the_tail(seed: int) -> None:
    """Pools are sized for all of the work; without the tail they would lack its part for good."""
    source = random.Random(seed)
    runs = [
        source.uniform(0.8, 1.2) * (TAIL_FACTOR if source.random() < TAIL_SHARE else 1.0)
        for _ in range(2_000)
    ]
    durations = measure(runs)
    assert durations.mean("q", step()) == pytest.approx(statistics.mean(runs), rel=0.15)
    assert durations.expected("q", step()) == pytest.approx(1.0, rel=0.25)


def test_a_program_that_has_become_slower_is_followed() -> None:
    """All runs take four times as long from some moment on. Taken for a tail, they would be
    expected to be short for ever."""
    durations = measure([1.0] * 50 + [4.0] * 40)
    assert durations.expected("q", step()) == pytest.approx(4.0, rel=0.1)


def test_estimates_count_until_runs_were_measured() -> None:
    assert measure([1.0, 1.0]).expected("q", step(seconds=5.0)) == 5.0
    assert measure([1.0, 1.0, 1.0]).expected("q", step(seconds=5.0)) == 1.0
