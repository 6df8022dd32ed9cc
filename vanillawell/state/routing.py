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
    """One executor as a routing policy sees it."""

    name: str
    zone: str
    running: int
    """Attempts of this entry that run there now."""


@dataclass(frozen=True, slots=True)
class RoutingView:
    """What is known when an attempt is to be placed."""

    candidates: tuple[Candidate, ...]
    quotas: Mapping[str, int]
    """This entry's slots of each executor while the pool is full."""

    full: bool
    """Whether the pool's demand exceeds its slots."""

    may_exceed: bool
    """Whether one attempt beyond this entry's own slots may be made now."""

    most_running: int
    """Attempts that this entry may have at one executor, by its part of the connections."""

    zone: str
    """Zone of this entry."""

    avoid: Set[str]
    """Executors on which this request has already failed."""


class RoutingPolicy(Protocol):
    """Choose one executor, or None if none may take the attempt now."""

    def choose(self, view: RoutingView, health: PoolHealth, now: float) -> str | None:
        """Return the executor's name."""


class QuotaRouting:
    """Keep to this entry's own slots while the pool is full, else take the least loaded.

    While the pool is full, entries that all chose the least loaded executor would collide on
    it; with slots of its own each entry fills just what it frees. Reports are old by then, so
    some slots belong to entries that no longer need them; now and then an attempt beyond the own
    slots finds these, and the executor refuses it if there are none.
    """

    def choose(self, view: RoutingView, health: PoolHealth, now: float) -> str | None:
        """Return the executor with the most room, of the same zone among equals."""
        open_ones = [item for item in view.candidates if self._may_take(item, view, health, now)]
        fresh = [item for item in open_ones if item.name not in view.avoid]
        chosen = min(fresh, key=lambda item: self._load(item, view), default=None)
        return chosen.name if chosen else None

    def _may_take(self, item: Candidate, view: RoutingView, health: PoolHealth, now: float) -> bool:
        bound = view.most_running
        if view.full and not view.may_exceed:
            bound = min(bound, view.quotas.get(item.name, 0))
        return item.running < bound and health.of(item.name).available(now, item.running)

    def _load(self, item: Candidate, view: RoutingView) -> tuple[float, bool, str]:
        room = view.quotas.get(item.name, 0)
        return (item.running - room, item.zone != view.zone, item.name)


class LeastLoadedRouting:
    """Take the executor with the fewest attempts of this entry: the plain baseline."""

    def choose(self, view: RoutingView, health: PoolHealth, now: float) -> str | None:
        """Return the executor with the fewest attempts."""
        open_ones = [item for item in view.candidates if item.running < view.most_running]
        chosen = min(open_ones, key=lambda item: (item.running, item.name), default=None)
        return chosen.name if chosen else None


def connection_bound(connections: int, entries: int) -> int:
    """Return how many connections one entry may open to one executor.

    All entries together must stay within what the executor accepts; with nine entries, eight
    connections each would be 72 and exceed 64.
    """
    return max(1, connections // max(1, entries))


def subset(
    executors: tuple[str, ...], entries: tuple[str, ...], entry: str, connections: int
) -> tuple[str, ...]:
    """Return the executors that `entry` may use when the fleet outgrows their connections.

    Each executor is shared by the `connections` entries that rank first for it by rendezvous
    hashing, so that a change of membership moves few pairs.
    """
    if len(entries) <= connections:
        return executors
    return tuple(name for name in executors if entry in _ranked(name, entries)[:connections])


def _ranked(executor: str, entries: tuple[str, ...]) -> list[str]:
    def score(entry: str) -> bytes:
        return hashlib.blake2b(f"{executor}|{entry}".encode(), digest_size=8).digest()

    return sorted(entries, key=score, reverse=True)
