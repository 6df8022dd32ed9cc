"""Test maintenance and moves during failures, on plain data."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

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
    current_pools,
)

BUDGETS = {"pool-a": 2, "pool-b": 3, "pool-spare": 0}


def homes() -> dict[str, Home]:
    """Build two pools of six instances, four to a rack, and a spare pool of four."""
    served = {
        f"{pool[-1]}{number}": Home(pool, f"zone-{1 + number // 4}", f"{pool}-{number // 4}")
        for pool in ("pool-a", "pool-b")
        for number in range(6)
    }
    spare = {f"s{number}": Home("pool-spare", "zone-3", f"spare-{number}") for number in range(4)}
    return served | spare


def view(assignment: Assignment, down: set[str] | None = None) -> FleetView:
    everything = homes()
    live = frozenset(everything) - (down or set())
    return FleetView(everything, BUDGETS, frozenset(["pool-spare"]), live, assignment)


def wave() -> Assignment:
    return Assignment(1, {}, Wave("w", WaveState.RUNNING, tuple(sorted(homes()))))


class MaintenanceRaces(RuleBasedStateMachine):
    """A wave runs while instances fail and recover and operators move some."""

    def __init__(self) -> None:
        super().__init__()
        self.assignment = wave()
        self.down: set[str] = set()
        self.needs: dict[str, PoolNeed] = {}

    def change(self, name: str, placement: Placement) -> None:
        home = self.assignment.home_of(name, homes()[name].pool)
        self.assignment = self.assignment.with_placement(name, placement, home)

    def current_view(self) -> FleetView:
        places = {
            name: replace(home, pool=self.assignment.home_of(name, home.pool))
            for name, home in homes().items()
        }
        return replace(view(self.assignment, self.down), homes=places, needs=self.needs)

    @rule(pool=st.sampled_from(["pool-a", "pool-b"]), now=st.integers(0, 5), more=st.integers(0, 3))
    def demand_changes(self, pool: str, now: int, more: int) -> None:
        self.needs = {**self.needs, pool: PoolNeed(now, now + more)}

    @rule()
    def plan(self) -> None:
        before = self.current_view()
        for step in next_steps(before, 0.0):
            leaving = before.placement(step.instance).pool
            if leaving != "pool-spare" and step.reason == "maintenance":
                assert before.margin_without(leaving, step.instance) >= 0
            self.change(step.instance, step.placement)

    @rule(pick=st.integers(0, 15))
    def advance(self, pick: int) -> None:
        moving = [
            (name, item)
            for name, item in sorted(self.assignment.placements.items())
            if item.phase is not Phase.SERVING
        ]
        if not moving:
            return
        name, item = moving[pick % len(moving)]
        if item.phase is Phase.LEAVING and item.target:
            self.change(name, Placement(item.target))
        elif item.phase is Phase.LEAVING:
            self.change(name, Placement(item.pool, Phase.REBOOTING))
        else:
            self.change(name, Placement(item.pool))
            left = tuple(n for n in self.assignment.wave.remaining if n != name)
            done = replace(self.assignment.wave, remaining=left)
            self.assignment = replace(self.assignment, wave=done)

    @precondition(lambda self: not self.down)
    @rule(pool=st.sampled_from(["pool-a", "pool-b"]), part=st.integers(0, 1))
    def rack_fails(self, pool: str, part: int) -> None:
        self.down = {name for name, home in homes().items() if home.rack == f"{pool}-{part}"}

    @rule()
    def instances_recover(self) -> None:
        self.down = set()

    @rule(name=st.sampled_from(sorted(homes())), pool=st.sampled_from(["pool-a", "pool-b"]))
    def operator_moves(self, name: str, pool: str) -> None:
        if list(self.assignment.wanted) or homes()[name].pool == "pool-spare":
            return
        placement = self.current_view().placement(name)
        self.assignment = replace(
            self.assignment,
            wanted={name: pool},
            placements={**self.assignment.placements, name: placement},
        )

    @invariant()
    def no_pool_is_planned_below_its_budget(self) -> None:
        pools = current_pools({k: h.pool for k, h in homes().items()}, self.assignment)
        counts = Counter(pools.values())
        assert all(counts[pool] >= budget for pool, budget in BUDGETS.items())


MaintenanceRacesTest = MaintenanceRaces.TestCase
MaintenanceRacesTest.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)


def run_wave(assignment: Assignment) -> tuple[Assignment, int]:
    """Run a whole wave without failures; return the final assignment and the number of steps."""
    machine = MaintenanceRaces()
    machine.assignment = assignment
    for count in range(400):
        machine.plan()
        machine.advance(0)
        machine.no_pool_is_planned_below_its_budget()
        if not machine.assignment.wave.remaining and not machine.assignment.placements:
            return machine.assignment, count
    raise AssertionError(f"not done: {machine.assignment}")


def test_a_wave_reaches_every_instance_and_returns_spare_ones() -> None:
    ended, _ = run_wave(wave())
    assert ended.placements == {}


def test_a_wave_waits_while_a_rack_is_lost_and_continues_afterwards() -> None:
    lost = {name for name, home in homes().items() if home.rack == "pool-a-0"}
    steps = next_steps(view(wave(), lost), 0.0)
    assert not [step for step in steps if step.placement.pool == "pool-a"]
    assert [step for step in next_steps(view(wave()), 0.0) if step.reason != "maintenance"]


def test_a_lost_instance_is_replaced_from_the_spare_pool() -> None:
    steps = next_steps(view(Assignment(), {"b0", "b1"}), 0.0)
    lent = [step for step in steps if step.placement.target == "pool-b"]
    assert len(lent) == 1
    assert lent[0].reason == "replaces a lost instance"


def test_an_assignment_survives_serialisation() -> None:
    placed = wave().with_placement("a1", Placement("pool-a", Phase.LEAVING, "", 3.0), "pool-a")
    assert Assignment.from_bytes(placed.to_bytes()) == placed
