"""Decide which instance moves, drains or returns next, so that no pool falls below its budget.

The assignment is one map from instance to pool in one stored value, so an instance cannot be in
two pools. Each step is reserved by the same write that its check was made for; a planner that was
paused or has been replaced cannot write, and so cannot overrun a budget.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import TYPE_CHECKING, Any

import orjson

if TYPE_CHECKING:
    from collections.abc import Iterator


class Phase(StrEnum):
    """What an instance is doing."""

    SERVING = "serving"
    LEAVING = "leaving"
    """It gets no new work; what runs on it ends."""

    REBOOTING = "rebooting"


class WaveState(StrEnum):
    """How far a maintenance wave has come."""

    NONE = "none"
    RUNNING = "running"
    PAUSED = "paused"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class Placement:
    """Where an instance is and what happens to it."""

    pool: str
    phase: Phase = Phase.SERVING
    target: str = ""
    """Pool it moves to once drained; empty if it leaves for maintenance."""

    since: float = 0.0
    """Seconds since the epoch of the last change; bounds how long a drain is awaited."""


@dataclass(frozen=True, slots=True)
class Wave:
    """One maintenance wave."""

    wave_id: str = ""
    state: WaveState = WaveState.NONE
    remaining: tuple[str, ...] = ()
    done: tuple[str, ...] = ()

    def operation(self, instance: str) -> str:
        """Return the platform's id for one reboot, the same at every try."""
        return f"{self.wave_id}-{instance}"


@dataclass(frozen=True, slots=True)
class Assignment:
    """What is stored: placements that differ from an instance's home, and the wave."""

    version: int = 0
    placements: Mapping[str, Placement] = field(default_factory=dict)
    wave: Wave = Wave()
    wanted: Mapping[str, str] = field(default_factory=dict)
    """Pools that operators moved instances to; each goes there when the budgets allow."""

    def home_of(self, instance: str, listed: str) -> str:
        """Return the pool that an instance belongs to; `listed` is its pool in the tree."""
        return self.wanted.get(instance, listed)

    def to_bytes(self) -> bytes:
        """Write the document."""
        return orjson.dumps(
            {
                "version": self.version,
                "placements": dict(self.placements),
                "wave": self.wave,
                "wanted": dict(self.wanted),
            }
        )

    @classmethod
    def from_bytes(cls, data: bytes) -> Assignment:
        """Read the document."""
        document: dict[str, Any] = orjson.loads(data)
        placements = {
            name: Placement(**{**item, "phase": Phase(item["phase"])})
            for name, item in document["placements"].items()
        }
        wave = document["wave"]
        return cls(
            document["version"],
            placements,
            Wave(
                wave["wave_id"],
                WaveState(wave["state"]),
                tuple(wave["remaining"]),
                tuple(wave["done"]),
            ),
            document["wanted"],
        )

    def with_placement(self, instance: str, placement: Placement, home: str) -> Assignment:
        """Return the next version with one instance changed."""
        others = {name: item for name, item in self.placements.items() if name != instance}
        at_home = placement.pool == home and placement.phase is Phase.SERVING
        changed = others if at_home else {**others, instance: placement}
        return replace(self, version=self.version + 1, placements=changed)


@dataclass(frozen=True, slots=True)
class Home:
    """What the operators' tree says of an instance."""

    pool: str
    zone: str
    rack: str


@dataclass(frozen=True, slots=True)
class FleetView:
    """All that a decision is made from."""

    homes: Mapping[str, Home]
    budgets: Mapping[str, int]
    """Least number of available instances by pool."""

    spare_pools: frozenset[str]
    """Pools that run no service and lend instances."""

    live: frozenset[str]
    """Instances that the platform's list shows as live."""

    assignment: Assignment

    def placement(self, instance: str) -> Placement:
        """Return where an instance is; at home if nothing else is stored."""
        return self.assignment.placements.get(instance, Placement(self.homes[instance].pool))

    def members(self, pool: str) -> Iterator[str]:
        """Return the instances that serve in a pool and are live."""
        for name in self.homes:
            placement = self.placement(name)
            if placement.pool == pool and placement.phase is Phase.SERVING and name in self.live:
                yield name

    def margin_without(self, pool: str, instance: str = "") -> int:
        """Return how far a pool stays above its budget if an instance leaves and a rack fails.

        The rack is the worst one for the pool: failures come correlated, and the platform's
        list shows them late, so the loss of one is counted before it is seen.
        """
        left = [name for name in self.members(pool) if name != instance]
        racks = Counter((self.homes[name].zone, self.homes[name].rack) for name in left)
        worst = max(racks.values(), default=0)
        return len(left) - worst - self.budgets[pool]


@dataclass(frozen=True, slots=True)
class Step:
    """One change of one instance's placement."""

    instance: str
    placement: Placement
    reason: str


def current_pools(homes: Mapping[str, str], assignment: Assignment) -> dict[str, str]:
    """Return the pool of each instance that takes new work."""
    placed = {
        name: assignment.placements.get(name, Placement(assignment.home_of(name, home)))
        for name, home in homes.items()
    }
    return {name: item.pool for name, item in placed.items() if item.phase is Phase.SERVING}


def next_steps(view: FleetView, now: float) -> list[Step]:
    """Return the steps to reserve now, at most one for each pool."""
    steps = (_next_step(view, pool, now) for pool in sorted(view.budgets))
    spare = (_spare_step(view, pool, now) for pool in sorted(view.spare_pools))
    lent: set[str] = set()
    chosen = []
    for step in (*steps, *spare):
        if step and step.instance not in lent:
            lent.add(step.instance)
            chosen.append(step)
    return chosen


def _next_step(view: FleetView, pool: str, now: float) -> Step | None:
    if pool in view.spare_pools or _moving(view, pool):
        return None
    if view.margin_without(pool) < 0 and len(list(view.members(pool))) < _size(view, pool):
        return _lend(view, pool, now, "replaces a lost instance")
    candidate = _next_in_wave(view, pool)
    if candidate is None:
        return _return_lent(view, pool, now)
    if view.margin_without(pool, candidate) >= 0:
        return Step(candidate, Placement(pool, Phase.LEAVING, "", now), "maintenance")
    return _lend(view, pool, now, "covers maintenance")


def _moving(view: FleetView, pool: str) -> bool:
    """Tell whether a step concerning the pool is under way; one at a time keeps checks true."""
    placements = view.assignment.placements.values()
    return any(
        pool in (item.pool, item.target) and item.phase is not Phase.SERVING for item in placements
    )


def _size(view: FleetView, pool: str) -> int:
    """Return the instances that a pool has at home."""
    return sum(home.pool == pool for home in view.homes.values())


def _next_in_wave(view: FleetView, pool: str) -> str | None:
    """Return the next instance of the wave in a pool; racks one after another."""
    if view.assignment.wave.state is not WaveState.RUNNING:
        return None
    waiting = (
        name
        for name in view.assignment.wave.remaining
        if name in view.homes
        and view.homes[name].pool == pool
        and view.placement(name).pool == pool
    )
    live = [name for name in waiting if name in view.live]
    return min(
        live, key=lambda name: (view.homes[name].zone, view.homes[name].rack, name), default=None
    )


def _lend(view: FleetView, pool: str, now: float, reason: str) -> Step | None:
    """Move an idle spare instance in, from the rack that the pool depends on least."""
    idle = [name for spare in view.spare_pools for name in view.members(spare)]
    racks = Counter((view.homes[name].zone, view.homes[name].rack) for name in view.members(pool))
    best = min(
        idle,
        key=lambda name: (racks[view.homes[name].zone, view.homes[name].rack], name),
        default=None,
    )
    if best is None:
        return None
    spare = view.placement(best).pool
    return Step(best, Placement(spare, Phase.LEAVING, pool, now), reason)


def _return_lent(view: FleetView, pool: str, now: float) -> Step | None:
    """Send an instance home when the pool keeps its margin without it."""
    lent = [name for name in view.members(pool) if view.homes[name].pool != pool]
    free = next((name for name in sorted(lent) if view.margin_without(pool, name) >= 0), None)
    if free is None and lent and len(list(view.members(pool))) > _size(view, pool):
        free = min(lent)
    if free is None:
        return None
    target = view.homes[free].pool
    return Step(free, Placement(pool, Phase.LEAVING, target, now), "no longer needed")


def _spare_step(view: FleetView, pool: str, now: float) -> Step | None:
    candidate = _next_in_wave(view, pool)
    if candidate is None or _moving(view, pool):
        return None
    return Step(candidate, Placement(pool, Phase.LEAVING, "", now), "maintenance")
