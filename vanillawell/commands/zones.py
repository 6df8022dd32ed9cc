"""Evacuate availability zones, take them back, and show the work that still runs there."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING, Any

import anyio

from vanillawell.commands.config import PushOptions, apply_change
from vanillawell.commands.printing import print_line, print_rows
from vanillawell.commands.status import fetch_statuses
from vanillawell.config.tree import Evacuation, OperatorTree
from vanillawell.exceptions import RolloutTimeoutError, SettingsError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from vanillawell.commands.context import CommandContext

IDLE_POLL_INTERVAL = 0.5
"""Seconds between two looks at what still runs in an evacuated zone."""


def evacuate(context: CommandContext, zone: str, options: PushOptions) -> None:
    """Send no new requests to the instances of a zone; running requests are completed."""
    author = context.author

    def change(tree: OperatorTree) -> OperatorTree:
        _require_zone(tree, zone)
        if zone in tree.evacuations:
            return tree
        evacuation = Evacuation(author=author, since=round(time.time(), 3), reason=options.note)
        return _with_evacuations(tree, {**tree.evacuations, zone: evacuation})

    apply_change(context, change, options)


def take_back(context: CommandContext, zone: str, options: PushOptions) -> None:
    """End the evacuation of a zone."""

    def change(tree: OperatorTree) -> OperatorTree:
        _require_zone(tree, zone)
        if zone not in tree.evacuations:
            raise SettingsError(f"zone {zone!r} is not evacuated")
        others = {name: item for name, item in tree.evacuations.items() if name != zone}
        return _with_evacuations(tree, others)

    apply_change(context, change, options)


def show(context: CommandContext) -> None:
    """Print the evacuated zones, and how many requests still run in each."""
    anyio.run(_show, context)


def wait_until_idle(context: CommandContext, zone: str, bound: float) -> None:
    """Wait until no request runs in an evacuated zone.

    Raises:
        RolloutTimeoutError: Requests still run there after `bound` seconds.
    """
    anyio.run(_wait_until_idle, context, zone, bound)


def _require_zone(tree: OperatorTree, zone: str) -> None:
    zones = tree.zones()
    if zone not in zones:
        known = ", ".join(sorted(zones)) or "none"
        raise SettingsError(f"no instance stands in zone {zone!r}; known zones: {known}")


def _with_evacuations(tree: OperatorTree, evacuations: Mapping[str, Evacuation]) -> OperatorTree:
    return tree.model_copy(update={"evacuations": dict(evacuations)})


async def _tree(context: CommandContext) -> OperatorTree:
    async with context.connect() as store:
        configuration = await context.editor(store).current()
    if configuration is None:
        raise SettingsError("no configuration is in force yet")
    return configuration.tree


async def _show(context: CommandContext) -> None:
    evacuations = (await _tree(context)).evacuations
    running = _running_by_zone(await fetch_statuses(context))
    rows = [
        {
            "zone": zone,
            "author": item.author,
            "since": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(item.since)),
            "reason": item.reason or "-",
            "running": running[zone],
        }
        for zone, item in sorted(evacuations.items())
    ]
    print_rows(rows, context.output, "Evacuated zones")


def _running_by_zone(statuses: Mapping[str, Mapping[str, Any]]) -> Counter[str]:
    """Return the requests that still run in each evacuated zone, over all entries that answer."""
    total: Counter[str] = Counter()
    for status in statuses.values():
        total.update(status["evacuated_zones"])
    return total


async def _wait_until_idle(context: CommandContext, zone: str, bound: float) -> None:
    if zone not in (await _tree(context)).evacuations:
        raise SettingsError(f"zone {zone!r} is not evacuated")
    deadline = time.monotonic() + bound
    while True:
        statuses = await fetch_statuses(context)
        unaware = [name for name, item in statuses.items() if zone not in item["evacuated_zones"]]
        running = _running_by_zone(statuses)[zone]
        if statuses and not unaware and not running:
            print_line(f"nothing runs in zone {zone}")
            return
        if time.monotonic() > deadline:
            raise RolloutTimeoutError(
                f"{running} requests still run in zone {zone}; "
                f"entries that have not confirmed: {', '.join(sorted(unaware)) or 'none'}"
            )
        await anyio.sleep(IDLE_POLL_INTERVAL)
