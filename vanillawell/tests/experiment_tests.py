"""Test the comparison of decisions on simulated days."""

from __future__ import annotations

from pathlib import Path

import pytest

from vanillawell.config.loader import load_model
from vanillawell.standins.experiment.least import StepDemand, earliest_demand, least_holding
from vanillawell.standins.experiment.play import play_day
from vanillawell.standins.experiment.workload import Prices, Workload

EXPERIMENTS = Path(__file__).parents[2] / "examples" / "experiments"

SMALL = Workload.model_validate(
    {
        "machines": 8,
        "initial_pool_size": 2,
        "day_seconds": 6.0,
        "rhythm": {"peak_seconds": 3.0},
        "kinds": [{"per_second": 2, "steps": 1, "width": 2, "seconds": 0.5, "cores": 1}] * 2,
    }
)


@pytest.mark.parametrize("file", sorted(EXPERIMENTS.glob("*.jsonc")), ids=lambda file: file.stem)
def test_example_workloads_are_valid(file: Path) -> None:
    assert load_model(file, Workload).kinds


def test_a_day_repeats_with_its_seed() -> None:
    """Paired comparisons would show differences of the days instead of the decisions."""
    assert play_day(SMALL, 3) == play_day(SMALL, 3)
    assert play_day(SMALL, 3) != play_day(SMALL, 4)


def test_cheapest_plan_holds_a_machine_through_a_short_gap_only() -> None:
    prices = Prices(machine_second=1.0, move=1.0)
    short_gap = least_holding([4, 0, 4], 4, prices, tick=1.0)
    assert (short_gap.machine_seconds, short_gap.moves) == (3.0, 2)
    long_gap = least_holding([4, 0, 0, 0, 4], 4, prices, tick=1.0)
    assert (long_gap.machine_seconds, long_gap.moves) == (2.0, 4)


def test_cheapest_plan_counts_each_machine_for_itself() -> None:
    plan = least_holding([4, 9, 4], 4, Prices(machine_second=1.0, move=9.0), tick=1.0)
    assert (plan.machine_seconds, plan.moves) == (3.0 + 1.0 + 1.0, 6)


def test_demand_adds_up_steps_that_overlap() -> None:
    steps = [StepDemand(0.0, 2.0, 3.0), StepDemand(1.0, 9.0, 1.0)]
    assert earliest_demand(steps, 4, 1.0) == [3.0, 4.0, 1.0, 1.0]
