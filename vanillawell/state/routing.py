"""Choose the executor for an attempt."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping, Set

    from vanillawell.state.health import PoolHealth


@dataclass(frozen=True, slots=True)
class Candidate:
    """An executor as seen by a routing policy."""

    name: str
    zone: str
    running: int
    """Attempts of this entry that are running there now."""


@dataclass(frozen=True, slots=True)
class RoutingView:
    """Data that a routing decision is based on."""

    candidates: tuple[Candidate, ...]
    quotas: Mapping[str, int]
    """Slots of each executor that belong to this entry while the pool is full."""

    full: bool
    """Whether the pool's demand exceeds its slots."""

    may_exceed: bool
    """Whether one attempt beyond this entry's own slots may be made now."""

    max_running: int
    """Maximum number of concurrent attempts of this entry at one executor, from its part of the
    connections."""

    zone: str
    """Zone of this entry."""

    avoid: Set[str]
    """Executors on which this request has already failed."""


class RoutingPolicy(Protocol):
    """A policy that chooses the executor for an attempt."""

    def choose(self, view: RoutingView, health: PoolHealth, now: float) -> str | None:
        """Return the name of an executor, or None if none can take the attempt now."""


class QuotaRouting:
    """Use this entry's own slots while the pool is full, otherwise the least loaded executor.

    If all entries chose the least loaded executor of a full pool, they would collide on it. With
    slots of its own, each entry fills just the slots that it frees. The division is based on
    reports that may be outdated, so some slots belong to entries that no longer need them. An
    occasional attempt beyond the own slots finds these; the executor refuses it if it has no free
    slot.
    """

    def choose(self, view: RoutingView, health: PoolHealth, now: float) -> str | None:
        """Return the executor with the most free slots, preferring the same zone among equals."""
        available = [item for item in view.candidates if self._may_take(item, view, health, now)]
        untried = [item for item in available if item.name not in view.avoid]
        chosen = min(untried, key=lambda item: self._load(item, view), default=None)
        return chosen.name if chosen else None

    def _may_take(self, item: Candidate, view: RoutingView, health: PoolHealth, now: float) -> bool:
        limit = view.max_running
        if view.full and not view.may_exceed:
            limit = min(limit, view.quotas.get(item.name, 0))
        return item.running < limit and health.of(item.name).available(now, item.running)

    def _load(self, item: Candidate, view: RoutingView) -> tuple[float, bool, str]:
        quota = view.quotas.get(item.name, 0)
        return (item.running - quota, item.zone != view.zone, item.name)


class LeastLoadedRouting:
    """Choose the executor with the fewest attempts of this entry, as a baseline for comparisons."""

    def choose(self, view: RoutingView, health: PoolHealth, now: float) -> str | None:
        """Return the executor with the fewest attempts."""
        available = [item for item in view.candidates if item.running < view.max_running]
        chosen = min(available, key=lambda item: (item.running, item.name), default=None)
        return chosen.name if chosen else None


def connection_bound(connections: int, entries: int) -> int:
    """Return how many connections one entry may open to one executor.

    All entries together must stay within the number that the executor accepts: nine entries with
    eight connections each would open 72 and exceed 64.
    """
    return max(1, connections // max(1, entries))


def executor_subset(
    executors: tuple[str, ...], entries: tuple[str, ...], entry: str, connections: int
) -> tuple[str, ...]:
    """Return the executors that `entry` may use if there are more entries than connections.

    Each executor is assigned to the `connections` entries that rank first for it by rendezvous
    hashing, so a change of membership affects few pairs.
    """
    if len(entries) <= connections:
        return executors
    return tuple(name for name in executors if entry in _ranked(name, entries)[:connections])


def _ranked(executor: str, entries: tuple[str, ...]) -> list[str]:
    def score(entry: str) -> bytes:
        return hashlib.blake2b(f"{executor}|{entry}".encode(), digest_size=8).digest()

    return sorted(entries, key=score, reverse=True)
