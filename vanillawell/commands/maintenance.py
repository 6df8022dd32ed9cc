"""Start, pause and follow maintenance waves, and show or change where instances are."""

from __future__ import annotations

import uuid
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from vanillawell.commands.context import OutputFormat
from vanillawell.commands.printing import print_document, print_line, print_rows
from vanillawell.exceptions import ConflictError, SettingsError, StoreOutcomeUnknownError
from vanillawell.protocol.store import Compare, Put, Transaction
from vanillawell.state.pools import Assignment, Placement, Wave, WaveState

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.commands.context import CommandContext
    from vanillawell.config.tree import OperatorTree
    from vanillawell.protocol.store import Store

TRIES = 10
"""Tries against a planner that writes at the same time."""

FOLLOW_PAUSE = 0.5
"""Seconds between two looks at a wave that is followed."""


def start(context: CommandContext, pools: list[str], wait: bool) -> None:
    """Begin a wave over all instances, or over those of some pools."""

    def edit(assignment: Assignment, tree: OperatorTree) -> Assignment:
        if assignment.wave.state in (WaveState.RUNNING, WaveState.PAUSED):
            raise SettingsError(f"wave {assignment.wave.wave_id} is still {assignment.wave.state}")
        chosen = pools or list(tree.of_kind("pool"))
        unknown = [name for name in chosen if name not in tree.of_kind("pool")]
        if unknown:
            raise SettingsError(f"no pool is named {unknown[0]!r}")
        names = tuple(sorted(name for pool in chosen for name in tree.nodes[pool].instances))
        wave = Wave(f"wave-{uuid.uuid4().hex[:8]}", WaveState.RUNNING, names)
        return replace(assignment, wave=wave)

    anyio.run(_change, context, edit)
    if wait:
        anyio.run(_follow, context)


def set_state(context: CommandContext, state: WaveState) -> None:
    """Pause or resume the wave."""

    def edit(assignment: Assignment, tree: OperatorTree) -> Assignment:
        if assignment.wave.state not in (WaveState.RUNNING, WaveState.PAUSED):
            raise SettingsError("no wave is under way")
        return replace(assignment, wave=replace(assignment.wave, state=state))

    anyio.run(_change, context, edit)


def move(context: CommandContext, instance: str, pool: str) -> None:
    """Move an instance to another pool for good, once budgets allow and it is drained."""

    def edit(assignment: Assignment, tree: OperatorTree) -> Assignment:
        homes = {name: p for p, n in tree.of_kind("pool").items() for name in n.instances}
        if instance not in homes:
            raise SettingsError(f"no instance is named {instance!r}")
        if pool not in tree.of_kind("pool"):
            raise SettingsError(f"no pool is named {pool!r}")
        wanted = {**assignment.wanted, instance: pool}
        placement = assignment.placements.get(
            instance, Placement(assignment.home_of(instance, homes[instance]))
        )
        placements = {**assignment.placements, instance: placement}
        return replace(assignment, wanted=wanted, placements=placements)

    anyio.run(_change, context, edit)


async def _change(context: CommandContext, edit: Callable[..., Assignment]) -> None:
    async with context.connect() as store:
        configuration = await context.editor(store).current()
        if configuration is None:
            raise SettingsError("no configuration is in force yet")
        for _ in range(TRIES):
            changed = await _try_change(context, store, configuration.tree, edit)
            if changed:
                print_document({"version": changed.version, "wave": changed.wave.wave_id})
                return
    raise ConflictError("the planner kept changing the assignment; run again")


async def _try_change(
    context: CommandContext, store: Store, tree: OperatorTree, edit: Callable[..., Assignment]
) -> Assignment | None:
    """Make one try; an answer that was lost is settled by reading back."""
    key = context.keys.assignment
    found = await store.get(key)
    before = Assignment.from_bytes(found.value) if found else Assignment()
    changed = replace(edit(before, tree), version=before.version + 1)
    compare = Compare(key, found.mod_revision if found else 0)
    document = changed.to_bytes()
    try:
        put = Put(key, document)
        result = await store.transact(Transaction(compares=[compare], puts=[put]))
        return changed if result.succeeded else None
    except StoreOutcomeUnknownError:
        now = await store.get(key)
        return changed if now and now.value == document else None


def show(context: CommandContext, wait: bool) -> None:
    """Print the wave and every instance that is not serving at home."""
    anyio.run(_follow if wait else _show, context)


async def _read(context: CommandContext, store: Store) -> Assignment:
    found = await store.get(context.keys.assignment)
    return Assignment.from_bytes(found.value) if found else Assignment()


async def _show(context: CommandContext) -> None:
    async with context.connect() as store:
        assignment = await _read(context, store)
    if context.output is OutputFormat.JSON:
        print_document(_document(assignment))
        return
    wave = assignment.wave
    print_line(f"wave {wave.wave_id or '-'}: {wave.state}")
    print_line(f"done {len(wave.done)}, remaining {len(wave.remaining)}")
    print_rows(_rows(assignment), context.output)


def _document(assignment: Assignment) -> dict[str, object]:
    wave = assignment.wave
    return {
        "wave": wave.wave_id,
        "state": wave.state,
        "done": list(wave.done),
        "remaining": list(wave.remaining),
        "instances": _rows(assignment),
    }


def _rows(assignment: Assignment) -> list[dict[str, object]]:
    """Return every instance that is not serving at home."""
    return [
        {"instance": name, "pool": item.pool, "phase": item.phase, "target": item.target or "-"}
        for name, item in sorted(assignment.placements.items())
    ]


async def _follow(context: CommandContext) -> None:
    """Print progress until the wave is done."""
    shown = -1
    async with context.connect() as store:
        while True:
            assignment = await _read(context, store)
            wave = assignment.wave
            if len(wave.done) != shown:
                shown = len(wave.done)
                print_line(f"{wave.wave_id}: {shown} done, {len(wave.remaining)} remaining")
            if wave.state in (WaveState.DONE, WaveState.NONE):
                if context.output is OutputFormat.JSON:
                    print_document(_document(assignment))
                return
            await anyio.sleep(FOLLOW_PAUSE)
