"""Test what an evacuated availability zone counts for: routing, budgets, lending and waves."""

from __future__ import annotations

from dataclasses import replace

from vanillawell.config.tree import Evacuation
from vanillawell.config.validation import check_tree
from vanillawell.state.policy import compile_policy, place_executors
from vanillawell.state.pool_steps import next_steps
from vanillawell.state.pools import Assignment, FleetView, Home, Wave, WaveState
from vanillawell.tests.builders import instance, organisation_limit, tree

EVACUATION = Evacuation(author="operator", since=1.0)


def test_pool_has_no_executors_in_an_evacuated_zone() -> None:
    pool = {
        "kind": "pool",
        "parent": "fleet",
        "service": "check",
        "instances": {"check-1": instance("zone-1"), "check-2": instance("zone-2", port=8002)},
    }
    evacuated = tree(**{"pool-check": pool}).model_copy(
        update={"evacuations": {"zone-2": EVACUATION}}
    )
    policy = compile_policy(evacuated, 1, {"guild": organisation_limit(10).changes})
    placed = place_executors(policy, Assignment())
    assert [item.name for item in placed.pools["pool-check"].executors] == ["check-1"]


def test_evacuation_of_a_zone_without_instances_is_an_error() -> None:
    mistyped = tree().model_copy(update={"evacuations": {"zone-9": EVACUATION}})
    assert [item.key for item in check_tree(mistyped).errors] == ["evacuations.zone-9"]


def test_evacuation_of_all_zones_is_a_warning() -> None:
    found = check_tree(tree().model_copy(update={"evacuations": {"zone-1": EVACUATION}}))
    assert not found.errors
    assert "evacuations" in {item.key for item in found.warnings}


def _view(spare_zones: tuple[str, ...], budget: int, wave: Wave = Wave()) -> FleetView:
    """Return a pool with two instances in each of two zones, and spares in the given zones."""
    homes = {
        f"p{number}": Home("pool", f"zone-{1 + number // 2}", f"rack-{number}")
        for number in range(4)
    }
    spares = {
        f"s{number}": Home("spare", zone, f"rack-s{number}")
        for number, zone in enumerate(spare_zones)
    }
    everything = homes | spares
    return FleetView(
        everything,
        {"pool": budget, "spare": 0},
        frozenset({"spare"}),
        frozenset(everything),
        Assignment(wave=wave),
    )


def test_spares_replace_instances_of_an_evacuated_zone() -> None:
    """An evacuation takes a pool below its budget, as a failure would. A spare instance of another
    zone replaces what is missing; one of the evacuated zone would get no requests either."""
    view = _view(("zone-2", "zone-1"), budget=2)
    assert not next_steps(view, 0.0)
    steps = next_steps(replace(view, evacuated_zones=frozenset({"zone-2"})), 0.0)
    assert [(step.instance, step.placement.target) for step in steps] == [("s1", "pool")]


def test_wave_takes_the_instances_of_an_evacuated_zone_first() -> None:
    """They serve nobody, so their maintenance needs no margin, even if the pool has none left."""
    wave = Wave("wave", WaveState.RUNNING, ("p0", "p1", "p2", "p3"))
    view = replace(_view((), budget=4, wave=wave), evacuated_zones=frozenset({"zone-2"}))
    assert [step.instance for step in next_steps(view, 0.0)] == ["p2"]
