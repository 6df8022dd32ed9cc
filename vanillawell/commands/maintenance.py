"""Start, pause and monitor maintenance waves, and show or change the pools of instances."""

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

MAX_TRIES = 10
"""Maximum number of tries against a planner that writes to the same document."""

PROGRESS_POLL_INTERVAL = 0.5
"""Seconds between two reads of a wave whose progress is printed."""


def start(context: CommandContext, pools: list[str], wait: bool) -> None:
    """Start a wave over all instances, or over those of the given pools."""

    def edit(assignment: Assignment, tree: OperatorTree) -> Assignment:
        if assignment.wave.state in (WaveState.RUNNING, WaveState.PAUSED):
            raise SettingsError(f"wave {assignment.wave.wave_id} is still {assignment.wave.state}")
        selected = pools or list(tree.of_kind("pool"))
        unknown = [name for name in selected if name not in tree.of_kind("pool")]
        if unknown:
            raise SettingsError(f"no pool is named {unknown[0]!r}")
        names = tuple(sorted(name for pool in selected for name in tree.nodes[pool].instances))
        wave = Wave(f"wave-{uuid.uuid4().hex[:8]}", WaveState.RUNNING, names)
        return replace(assignment, wave=wave)

    anyio.run(_change, context, edit)
    if wait:
        anyio.run(_print_progress, context)


def set_state(context: CommandContext, state: WaveState) -> None:
    """Pause or resume the wave."""

    def edit(assignment: Assignment, tree: OperatorTree) -> Assignment:
        if assignment.wave.state not in (WaveState.RUNNING, WaveState.PAUSED):
            raise SettingsError("no wave is in progress")
        return replace(assignment, wave=replace(assignment.wave, state=state))

    anyio.run(_change, context, edit)


def move(context: CommandContext, instance: str, pool: str) -> None:
    """Move an instance permanently to another pool, once budgets allow and it is drained."""

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
        for _ in range(MAX_TRIES):
            changed = await _try_change(context, store, configuration.tree, edit)
            if changed:
                print_document({"version": changed.version, "wave": changed.wave.wave_id})
                return
    raise ConflictError("the planner kept changing the assignment; run the command again")


async def _try_change(
    context: CommandContext, store: Store, tree: OperatorTree, edit: Callable[..., Assignment]
) -> Assignment | None:
    """Try once to write a change; if the answer is lost, read back whether it was written."""
    key = context.keys.assignment
    stored = await store.get(key)
    before = Assignment.from_bytes(stored.value) if stored else Assignment()
    changed = replace(edit(before, tree), version=before.version + 1)
    compare = Compare(key, stored.mod_revision if stored else 0)
    document = changed.to_bytes()
    try:
        put = Put(key, document)
        result = await store.transact(Transaction(compares=[compare], puts=[put]))
        return changed if result.succeeded else None
    except StoreOutcomeUnknownError:
        read_back = await store.get(key)
        return changed if read_back and read_back.value == document else None


def show(context: CommandContext, wait: bool) -> None:
    """Print the wave and every instance that is not serving in its home pool."""
    anyio.run(_print_progress if wait else _show, context)


async def _read(context: CommandContext, store: Store) -> Assignment:
    stored = await store.get(context.keys.assignment)
    return Assignment.from_bytes(stored.value) if stored else Assignment()


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
    """Return a row for every instance that is not serving in its home pool."""
    return [
        {"instance": name, "pool": item.pool, "phase": item.phase, "target": item.target or "-"}
        for name, item in sorted(assignment.placements.items())
    ]


async def _print_progress(context: CommandContext) -> None:
    """Print progress until the wave is done or there is none."""
    printed_done = -1
    async with context.connect() as store:
        while True:
            assignment = await _read(context, store)
            wave = assignment.wave
            if len(wave.done) != printed_done:
                printed_done = len(wave.done)
                print_line(f"{wave.wave_id}: {printed_done} done, {len(wave.remaining)} remaining")
            if wave.state in (WaveState.DONE, WaveState.NONE):
                if context.output is OutputFormat.JSON:
                    print_document(_document(assignment))
                return
            await anyio.sleep(PROGRESS_POLL_INTERVAL)
