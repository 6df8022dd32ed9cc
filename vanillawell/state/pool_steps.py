"""Decide which instance moves, drains or returns next, so that no pool falls below its budget."""

from __future__ import annotations

import itertools
from collections import Counter
from typing import TYPE_CHECKING

from vanillawell.state.pools import Phase, Placement, Step

if TYPE_CHECKING:
    from collections.abc import Iterator

    from vanillawell.state.pools import FleetView


def next_steps(view: FleetView, now: float) -> list[Step]:
    """Return the steps to reserve now, at most one for each pool.

    Losses and maintenance take precedence over demand: budgets are guarantees, while a peak passes.
    """
    pools = sorted(view.budgets)
    steps = (_next_step(view, pool, now) for pool in pools)
    demand = (_lend_for_demand(view, pool, now) for pool in pools)
    spare = (_spare_step(view, pool, now) for pool in sorted(view.spare_pools))
    lent: set[str] = set()
    chosen = []
    for step in (*steps, *demand, *spare):
        if step and step.instance not in lent:
            lent.add(step.instance)
            chosen.append(step)
    return chosen


def _next_step(view: FleetView, pool: str, now: float) -> Step | None:
    if pool in view.spare_pools or view.moving(pool):
        return None
    candidate = _next_in_wave(view, pool)
    if candidate is not None and view.is_evacuated(candidate):
        return Step(candidate, Placement(pool, Phase.LEAVING, "", now), "maintenance")
    if view.margin_without(pool) < 0 and len(view.members(pool)) < view.size(pool):
        return _lend(view, pool, now, "replaces a lost instance")
    if candidate is None:
        return _return_lent(view, pool, now)
    if view.margin_without(pool, candidate) >= 0:
        return Step(candidate, Placement(pool, Phase.LEAVING, "", now), "maintenance")
    return _lend(view, pool, now, "covers maintenance")


def _next_in_wave(view: FleetView, pool: str) -> str | None:
    """Return the next instance of the wave in a pool; racks are handled one after another.

    Instances in evacuated zones come first: the pool does without them already.
    """
    waiting = (
        name
        for name in view.assigned(pool)
        if view.awaits_maintenance(name) and view.homes[name].pool == pool
    )
    return min(waiting, key=lambda name: _wave_order(view, name), default=None)


def _wave_order(view: FleetView, instance: str) -> tuple[bool, str, str, str]:
    home = view.homes[instance]
    return (not view.is_evacuated(instance), home.zone, home.rack, instance)


def _lend(view: FleetView, pool: str, now: float, reason: str) -> Step | None:
    """Move an idle spare instance in, preferring racks on which the pool has few instances."""
    idle = [name for spare in view.spare_pools for name in view.members(spare)]
    return _move_best(view, idle or list(_surplus(view, pool)), pool, now, reason)


def _move_best(
    view: FleetView, candidates: list[str], pool: str, now: float, reason: str
) -> Step | None:
    racks = Counter((view.homes[name].zone, view.homes[name].rack) for name in view.members(pool))
    best = min(
        candidates,
        key=lambda name: (racks[view.homes[name].zone, view.homes[name].rack], name),
        default=None,
    )
    if best is None:
        return None
    source = view.placement(best).pool
    return Step(best, Placement(source, Phase.LEAVING, pool, now), reason)


def _lend_for_demand(view: FleetView, pool: str, now: float) -> Step | None:
    """Move an instance in for demand, leaving the spare pools at their own budgets.

    Several instances may be moving at once: one that arrives lowers no other pool's margin.
    Instances that another pool holds without needing them are moved from there directly.
    """
    if pool in view.spare_pools or len(view.lent(pool)) >= view.need(pool).now:
        return None
    free = list(
        itertools.chain.from_iterable(_spare_beyond_budget(view, p) for p in view.spare_pools)
    )
    return _move_best(view, free or list(_surplus(view, pool)), pool, now, "demand")


def _spare_beyond_budget(view: FleetView, spare: str) -> list[str]:
    members = sorted(view.members(spare))
    # A spare instance that is lent again and again would never be rebooted and the wave would
    # never end, so an instance that awaits maintenance is not lent, and is returned if it is.
    ready = [name for name in members if not view.awaits_maintenance(name)]
    return ready[: max(0, len(members) - view.budgets[spare])]


def _surplus(view: FleetView, borrower: str) -> Iterator[str]:
    """Yield lent instances that other pools hold without needing them now."""
    for pool in sorted(view.budgets.keys() - {borrower, *view.spare_pools}):
        lent = view.lent(pool)
        unneeded = max(0, len(lent) - view.need(pool).now)
        serving = [name for name in view.members(pool) if name in lent]
        yield from (name for name in serving[:unneeded] if _may_leave(view, pool, name))


def _may_leave(view: FleetView, pool: str, lent: str) -> bool:
    """Return whether a lent instance may leave without reducing a margin that the pool needs."""
    beyond_size = len(view.members(pool)) > view.size(pool)
    return not view.moving(pool) and (view.margin_without(pool, lent) >= 0 or beyond_size)


def _return_lent(view: FleetView, pool: str, now: float) -> Step | None:
    """Return an instance to its home pool if the margin remains sufficient without it."""
    lent = view.lent(pool)
    due = [name for name in lent if view.awaits_maintenance(name)]
    unneeded = max(0, len(lent) - view.need(pool).held)
    free = next((name for name in due or lent[:unneeded] if _may_leave(view, pool, name)), None)
    if free is None:
        return None
    target = view.homes[free].pool
    return Step(free, Placement(pool, Phase.LEAVING, target, now), "no longer needed")


def _spare_step(view: FleetView, pool: str, now: float) -> Step | None:
    candidate = _next_in_wave(view, pool)
    if candidate is None or view.moving(pool):
        return None
    return Step(candidate, Placement(pool, Phase.LEAVING, "", now), "maintenance")
