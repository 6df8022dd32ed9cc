"""Model the pool of each instance and the margin of each pool above its availability budget.

The assignment is one map from instance to pool in one stored value, so an instance cannot be in two
pools. Each step is reserved by a write that succeeds only if the assignment is still the one that
the step was checked against. A planner that was paused or replaced cannot write, so it cannot
exceed a budget.
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
    """State of an instance."""

    SERVING = "serving"
    LEAVING = "leaving"
    """It gets no new requests; running ones are completed."""

    REBOOTING = "rebooting"


class WaveState(StrEnum):
    """State of a maintenance wave."""

    NONE = "none"
    RUNNING = "running"
    PAUSED = "paused"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class Placement:
    """Pool and state of an instance."""

    pool: str
    phase: Phase = Phase.SERVING
    target: str = ""
    """Pool it moves to once drained; empty if it is drained for maintenance."""

    since: float = 0.0
    """Time of the last change in seconds since the epoch; limits how long a drain may take."""


@dataclass(frozen=True, slots=True)
class Wave:
    """A maintenance wave."""

    wave_id: str = ""
    state: WaveState = WaveState.NONE
    remaining: tuple[str, ...] = ()
    done: tuple[str, ...] = ()

    def operation(self, instance: str) -> str:
        """Return the platform's id for one reboot, which is the same for every attempt."""
        return f"{self.wave_id}-{instance}"


@dataclass(frozen=True, slots=True)
class Assignment:
    """The stored document: placements that differ from an instance's home pool, and the wave."""

    version: int = 0
    placements: Mapping[str, Placement] = field(default_factory=dict)
    wave: Wave = Wave()
    wanted: Mapping[str, str] = field(default_factory=dict)
    """Pools that operators have moved instances to; each moves there when the budgets allow."""

    def home_of(self, instance: str, listed: str) -> str:
        """Return the home pool of an instance; `listed` is its pool in the configuration tree."""
        return self.wanted.get(instance, listed)

    def to_bytes(self) -> bytes:
        """Serialise the document."""
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
        """Parse the document."""
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
    """Number of instances that a pool needs beyond its own to serve its demand."""

    now: int = 0
    """Needed now, or for an expected peak."""

    held: int = 0
    """Kept for some time after they were needed, unless another pool needs them; at least `now`."""


NO_NEED = PoolNeed()
"""Need of a pool whose own instances are sufficient."""


@dataclass(frozen=True, slots=True)
class Home:
    """Pool and location of an instance in the configuration tree."""

    pool: str
    zone: str
    rack: str


@dataclass(frozen=True)
class FleetView:
    """All data that a planning decision is based on.

    With thousands of instances, one decision looks up the members of a pool many times, so the
    tables by pool are cached.
    """

    homes: Mapping[str, Home]
    budgets: Mapping[str, int]
    """Minimum number of available instances by pool."""

    spare_pools: frozenset[str]
    """Pools that run no service and lend instances."""

    live: frozenset[str]
    """Instances that are live according to the platform's list."""

    assignment: Assignment
    needs: Mapping[str, PoolNeed] = field(default_factory=dict)
    """Instances that pools need beyond their own to serve their demand."""

    evacuated_zones: frozenset[str] = frozenset()
    """Availability zones whose instances get no new requests."""

    def need(self, pool: str) -> PoolNeed:
        """Return the instances that a pool needs beyond its own."""
        return self.needs.get(pool, NO_NEED)

    @cached_property
    def _serving(self) -> Mapping[str, tuple[str, ...]]:
        found: dict[str, list[str]] = defaultdict(list)
        for name in self.homes:
            placement = self.placement(name)
            if placement.phase is Phase.SERVING and name in self.live:
                found[placement.pool].append(name)
        return {pool: tuple(names) for pool, names in found.items()}

    @cached_property
    def _members(self) -> Mapping[str, tuple[str, ...]]:
        return {
            pool: tuple(name for name in names if not self.is_evacuated(name))
            for pool, names in self._serving.items()
        }

    @cached_property
    def _sizes(self) -> Counter[str]:
        return Counter(home.pool for home in self.homes.values())

    @cached_property
    def _awaiting_maintenance(self) -> frozenset[str]:
        wave = self.assignment.wave
        return frozenset(wave.remaining if wave.state is WaveState.RUNNING else ())

    @cached_property
    def _moving_pools(self) -> frozenset[str]:
        moving = (
            item for item in self.assignment.placements.values() if item.phase is not Phase.SERVING
        )
        return frozenset(itertools.chain.from_iterable((item.pool, item.target) for item in moving))

    def size(self, pool: str) -> int:
        """Return the number of instances whose home is the pool."""
        return self._sizes[pool]

    def moving(self, pool: str) -> bool:
        """Return whether a step that affects the pool is in progress."""
        return pool in self._moving_pools

    def awaits_maintenance(self, instance: str) -> bool:
        """Return whether a running wave has yet to reach an instance."""
        return instance in self._awaiting_maintenance

    def lent(self, pool: str) -> list[str]:
        """Return the instances of other pools that serve in a pool or are moving to it."""
        arriving = (
            name for name, item in self.assignment.placements.items() if item.target == pool
        )
        names = {*self.members(pool), *arriving}
        return sorted(
            name for name in names if name in self.homes and self.homes[name].pool != pool
        )

    def placement(self, instance: str) -> Placement:
        """Return the placement of an instance; its home pool if nothing else is stored."""
        return self.assignment.placements.get(instance, Placement(self.homes[instance].pool))

    def is_evacuated(self, instance: str) -> bool:
        """Return whether an instance gets no new requests because its zone is evacuated."""
        return self.homes[instance].zone in self.evacuated_zones

    def members(self, pool: str) -> tuple[str, ...]:
        """Return the live instances that serve in a pool, without those in evacuated zones."""
        return self._members.get(pool, ())

    def assigned(self, pool: str) -> tuple[str, ...]:
        """Return the live instances that serve in a pool, including those in evacuated zones."""
        return self._serving.get(pool, ())

    def margin_without(self, pool: str, instance: str = "") -> int:
        """Return the margin of a pool above its budget if an instance leaves and a rack fails.

        The rack is the one whose failure affects the pool most. Failures are correlated and the
        platform's list reports them late, so the loss of a rack is assumed before it is detected.
        """
        left = [name for name in self.members(pool) if name != instance]
        racks = Counter((self.homes[name].zone, self.homes[name].rack) for name in left)
        worst = max(racks.values(), default=0)
        return len(left) - worst - self.budgets[pool]


@dataclass(frozen=True, slots=True)
class Step:
    """A change of one instance's placement."""

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
