"""Test when instances are lent for demand and when they are returned."""

from __future__ import annotations

import pytest

from vanillawell.state.lending import Lending, LendingPlanner, PeakForecast
from vanillawell.state.pool_steps import next_steps
from vanillawell.state.pools import (
    Assignment,
    FleetView,
    Home,
    Phase,
    Placement,
    PoolNeed,
    Wave,
    WaveState,
)

OWN_INSTANCES = 6
SLOTS_PER_INSTANCE = 8


def need(planner: LendingPlanner, mode: Lending, demand: float, now: float) -> PoolNeed:
    return planner.need("pool-a", mode, demand, OWN_INSTANCES, SLOTS_PER_INSTANCE, now)


def fleet(assignment: Assignment, spare_budget: int = 1, **needs: PoolNeed) -> FleetView:
    """Build two pools of two instances and a spare pool of three."""
    homes = {
        f"{pool[-1]}{number}": Home(pool, "zone-1", f"{pool}-{number}")
        for pool, size in (("pool-a", 2), ("pool-b", 2), ("pool-s", 3))
        for number in range(size)
    }
    return FleetView(
        homes,
        {"pool-a": 0, "pool-b": 0, "pool-s": spare_budget},
        frozenset(["pool-s"]),
        frozenset(homes),
        assignment,
        {name.replace("_", "-"): item for name, item in needs.items()},
    )


def lent_to(pool: str, *names: str) -> Assignment:
    return Assignment(1, {name: Placement(pool) for name in names})


def test_nothing_is_lent_if_lending_is_off() -> None:
    assert need(LendingPlanner(), Lending.OFF, 500.0, 0.0) == PoolNeed()


def test_buffer_cost_lends_few_instances_and_only_for_sustained_demand() -> None:
    planner = LendingPlanner()
    assert need(planner, Lending.BUFFER_COST, 60.0, 0.0).now == 0
    assert need(planner, Lending.BUFFER_COST, 60.0, 2.5).now == 0
    assert need(planner, Lending.BUFFER_COST, 60.0, 3.0).now == 2
    assert need(LendingPlanner(), Lending.NEARNESS, 60.0, 0.0).now == 4


def test_a_short_drop_in_demand_returns_no_instance() -> None:
    """Demand swings around the pool's capacity; each move takes an instance out of both pools."""
    planner = LendingPlanner()
    for now in range(20):
        demand = 60.0 if now % 2 == 0 else 10.0
        held = need(planner, Lending.NEARNESS, demand, float(now)).held
        assert held == 4
    assert need(planner, Lending.NEARNESS, 10.0, 40.0).held == 0


def test_instances_lent_for_a_burst_are_released_while_less_is_needed() -> None:
    planner = LendingPlanner()
    need(planner, Lending.NEARNESS, 100.0, 0.0)
    later = [need(planner, Lending.NEARNESS, 50.0, float(now)).held for now in range(1, 30)]
    assert later[0] > later[-1] == 3


def test_instances_are_lent_before_a_regular_peak() -> None:
    planner = LendingPlanner()
    for start in (0.0, 20.0, 40.0):
        need(planner, Lending.NEARNESS, 70.0, start)
        need(planner, Lending.NEARNESS, 5.0, start + 3.0)
    assert need(planner, Lending.NEARNESS, 5.0, 56.0).now == 0
    assert need(planner, Lending.NEARNESS, 5.0, 58.0).now > 0
    assert need(planner, Lending.NEARNESS, 5.0, 64.0).now == 0


def test_instances_lent_for_an_expected_peak_are_needed_from_its_start() -> None:
    """With buffer-cost, only unexpected demand must be sustained before instances are lent for it.

    Otherwise instances lent ahead of an expected peak would be moved away during it.
    """
    planner = LendingPlanner()
    for start in (0.0, 20.0, 40.0):
        need(planner, Lending.BUFFER_COST, 70.0, start)
        need(planner, Lending.BUFFER_COST, 5.0, start + 2.0)
    assert need(planner, Lending.BUFFER_COST, 5.0, 59.0).now == 3
    assert [need(planner, Lending.BUFFER_COST, 70.0, 60.0 + t).now for t in range(3)] == [3, 3, 3]
    assert need(planner, Lending.BUFFER_COST, 5.0, 63.0).now == 0
    assert need(planner, Lending.BUFFER_COST, 70.0, 70.0).now == 0


@pytest.mark.parametrize("starts", [(0.0, 20.0, 27.0), (0.0, 20.0)])
def test_irregular_or_few_peaks_are_not_predicted(starts: tuple[float, ...]) -> None:
    forecast = PeakForecast()
    for start in starts:
        forecast.record(60.0, 48.0, start)
        forecast.record(1.0, 48.0, start + 1.0)
    assert not any(forecast.expected(3.0, float(now)) for now in range(28, 60))


def test_the_spare_pool_keeps_its_own_budget() -> None:
    steps = next_steps(fleet(Assignment(), 1, pool_a=PoolNeed(5, 5)), 0.0)
    assert [step.placement.target for step in steps] == ["pool-a"]
    two_out = lent_to("pool-a", "s0", "s1")
    assert next_steps(fleet(two_out, 1, pool_a=PoolNeed(5, 5)), 0.0) == []


def test_instances_held_without_need_move_directly_to_a_pool_that_needs_them() -> None:
    needs = {"pool_a": PoolNeed(0, 2), "pool_b": PoolNeed(1, 1)}
    steps = next_steps(fleet(lent_to("pool-a", "s0", "s1"), 1, **needs), 0.0)
    assert [(step.placement.pool, step.placement.target) for step in steps] == [
        ("pool-a", "pool-b")
    ]


def test_held_instances_stay_and_others_are_returned() -> None:
    assignment = lent_to("pool-a", "s0", "s1")
    assert next_steps(fleet(assignment, 1, pool_a=PoolNeed(0, 2)), 0.0) == []
    steps = next_steps(fleet(assignment, 1, pool_a=PoolNeed(0, 1)), 0.0)
    assert [step.placement.target for step in steps] == ["pool-s"]


def test_a_wave_returns_lent_instances_and_lends_none_that_await_maintenance() -> None:
    """Demand continues throughout the wave. If spare instances were lent, their reboots would never
    begin."""
    wave = Wave("w", WaveState.RUNNING, ("s0", "s1", "s2"))
    lent = Assignment(1, {"s0": Placement("pool-a")}, wave)
    steps = next_steps(fleet(lent, 0, pool_a=PoolNeed(3, 3)), 0.0)
    assert ("s0", "pool-s") in [(step.instance, step.placement.target) for step in steps]
    assert not [step for step in steps if step.reason == "demand"]
    assert [step.placement.phase for step in steps if step.reason == "maintenance"] == [
        Phase.LEAVING
    ]
