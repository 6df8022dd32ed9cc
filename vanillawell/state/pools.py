"""Hold where each instance is, and the margin of each pool above its availability budget.

The assignment is one map from instance to pool in one stored value, so an instance cannot be in
two pools. Each step is reserved by the same write that its check was made for; a planner that was
paused or has been replaced cannot write, and so cannot overrun a budget.
"""

from __future__ import annotations

import itertools
from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum
from functools import cached_property
from typing import Any

import orjson


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
class PoolNeed:
    """How many instances beyond its own a pool needs for its demand."""

    now: int = 0
    """Needed now, or for a peak about to come."""

    held: int = 0
    """Kept for some time after they were needed, unless another pool needs them; at least `now`."""


NO_NEED = PoolNeed()
"""What a pool needs whose demand its own instances carry."""


@dataclass(frozen=True, slots=True)
class Home:
    """What the operators' tree says of an instance."""

    pool: str
    zone: str
    rack: str


@dataclass(frozen=True)
class FleetView:
    """All that a decision is made from.

    With thousands of instances a decision asks for the members of a pool many times, so each
    table by pool is made once.
    """

    homes: Mapping[str, Home]
    budgets: Mapping[str, int]
    """Least number of available instances by pool."""

    spare_pools: frozenset[str]
    """Pools that run no service and lend instances."""

    live: frozenset[str]
    """Instances that the platform's list shows as live."""

    assignment: Assignment
    needs: Mapping[str, PoolNeed] = field(default_factory=dict)
    """Instances beyond their own that pools need for their demand."""

    def need(self, pool: str) -> PoolNeed:
        """Return what a pool needs for its demand."""
        return self.needs.get(pool, NO_NEED)

    @cached_property
    def _members(self) -> Mapping[str, tuple[str, ...]]:
        found: dict[str, list[str]] = defaultdict(list)
        for name in self.homes:
            placement = self.placement(name)
            if placement.phase is Phase.SERVING and name in self.live:
                found[placement.pool].append(name)
        return {pool: tuple(names) for pool, names in found.items()}

    @cached_property
    def _sizes(self) -> Counter[str]:
        return Counter(home.pool for home in self.homes.values())

    @cached_property
    def _awaiting(self) -> frozenset[str]:
        wave = self.assignment.wave
        return frozenset(wave.remaining if wave.state is WaveState.RUNNING else ())

    @cached_property
    def _in_motion(self) -> frozenset[str]:
        moving = (
            item for item in self.assignment.placements.values() if item.phase is not Phase.SERVING
        )
        return frozenset(itertools.chain.from_iterable((item.pool, item.target) for item in moving))

    def size(self, pool: str) -> int:
        """Return the instances that a pool has at home."""
        return self._sizes[pool]

    def moving(self, pool: str) -> bool:
        """Tell whether a step concerning the pool is under way."""
        return pool in self._in_motion

    def awaits_maintenance(self, instance: str) -> bool:
        """Tell whether a running wave has yet to reach an instance."""
        return instance in self._awaiting

    def lent(self, pool: str) -> list[str]:
        """Return the instances of other pools that serve in a pool, or are on their way to it."""
        arriving = (
            name for name, item in self.assignment.placements.items() if item.target == pool
        )
        names = {*self.members(pool), *arriving}
        return sorted(
            name for name in names if name in self.homes and self.homes[name].pool != pool
        )

    def placement(self, instance: str) -> Placement:
        """Return where an instance is; at home if nothing else is stored."""
        return self.assignment.placements.get(instance, Placement(self.homes[instance].pool))

    def members(self, pool: str) -> tuple[str, ...]:
        """Return the instances that serve in a pool and are live."""
        return self._members.get(pool, ())

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
