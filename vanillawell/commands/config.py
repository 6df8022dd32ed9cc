"""Push, show, compare and restore configurations."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio

from vanillawell.commands.printing import print_document, print_line, print_rows
from vanillawell.commands.rollout import Rollout, wait_for_rollout
from vanillawell.config.effective import effective_settings
from vanillawell.config.loader import load_model
from vanillawell.config.tree import OperatorTree
from vanillawell.coordination.configuration_editor import compare_trees
from vanillawell.exceptions import RolloutTimeoutError, SettingsError

if TYPE_CHECKING:
    from pathlib import Path

    from vanillawell.commands.context import CommandContext
    from vanillawell.coordination.configuration_editor import Change


@dataclass(frozen=True, slots=True)
class PushOptions:
    """Options of a configuration change."""

    base: int | None = None
    note: str = ""
    wait: bool = False
    wait_bound: float = 30.0
    dry_run: bool = False


def push_file(context: CommandContext, path: Path, options: PushOptions) -> None:
    """Apply a file as the configuration in force."""
    tree = load_model(path, OperatorTree)
    apply_change(context, lambda _: tree, options)


def apply_change(context: CommandContext, change: Change, options: PushOptions) -> None:
    """Check a change, print the differences and, unless it is a dry run, apply it."""
    anyio.run(_apply_change, context, change, options)


async def _apply_change(context: CommandContext, change: Change, options: PushOptions) -> None:
    async with context.connect() as store:
        editor = context.editor(store)
        proposal = await editor.propose(change, options.base)
        for difference in proposal.differences:
            print_line(f"  {difference}")
        for warning in proposal.findings.warnings:
            print_line(f"warning: {warning}")
        if proposal.findings.errors:
            raise SettingsError("\n".join(str(error) for error in proposal.findings.errors))
        result: dict[str, Any] = {
            "changed": False,
            "differences": [str(item) for item in proposal.differences],
            "warnings": [str(item) for item in proposal.findings.warnings],
        }
        if options.dry_run or not proposal.differences:
            print_line("nothing was changed")
            print_document(result)
            return
        written_at = time.monotonic()
        accepted = await editor.accept(proposal, options.note)
        print_line(f"version {accepted.version} accepted as change {accepted.change_id}")
        result |= {"changed": True, "version": accepted.version, "change": accepted.change_id}
        if not options.wait:
            print_document(result)
            return
        rollout = await wait_for_rollout(
            store, context.keys, context.access, accepted.version, written_at, options.wait_bound
        )
    _report(result, rollout)


def _report(result: dict[str, Any], rollout: Rollout) -> None:
    print_document(
        {
            **result,
            "entries": len(rollout.seconds),
            "rollout_seconds": round(max(rollout.seconds.values(), default=0.0), 3),
            "lagging": sorted(rollout.lagging),
        }
    )
    if rollout.lagging:
        raise RolloutTimeoutError(f"not confirmed by: {', '.join(sorted(rollout.lagging))}")


def show(context: CommandContext, node: str | None) -> None:
    """Print the tree in force, or one node's effective settings and their levels."""
    anyio.run(_show, context, node)


async def _show(context: CommandContext, node: str | None) -> None:
    async with context.connect() as store:
        current = await context.editor(store).current()
    if current is None:
        raise SettingsError("no configuration is in force yet")
    if node is None:
        print_document(current.tree.model_dump(mode="json", exclude_defaults=True))
        return
    if node not in current.tree.nodes:
        raise SettingsError(f"no node is named {node!r}")
    rows = [
        {"setting": item.key, "value": item.value, "level": item.level}
        for item in effective_settings(current.tree, node).values()
    ]
    print_rows(rows, context.output, f"{node}, version {current.version}")


def history(context: CommandContext) -> None:
    """Print all stored versions."""
    anyio.run(_history, context)


async def _history(context: CommandContext) -> None:
    async with context.connect() as store:
        versions = await context.editor(store).history()
    rows = [
        {
            "version": item.version,
            "author": item.author,
            "time": time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(item.created_at)),
            "note": item.note,
            "change": item.change_id,
        }
        for item in versions
    ]
    print_rows(rows, context.output)


def compare(context: CommandContext, before: int, after: int) -> None:
    """Print the differences between two versions."""
    anyio.run(_compare, context, before, after)


async def _compare(context: CommandContext, before: int, after: int) -> None:
    async with context.connect() as store:
        editor = context.editor(store)
        old, new = await editor.version(before), await editor.version(after)
    differences = compare_trees(old.tree, new.tree)
    rows = [{"key": d.key, "before": d.before, "after": d.after} for d in differences]
    print_rows(rows, context.output)


def restore(context: CommandContext, number: int, options: PushOptions) -> None:
    """Apply the tree of an earlier version as a new version."""
    anyio.run(_restore, context, number, options)


async def _restore(context: CommandContext, number: int, options: PushOptions) -> None:
    async with context.connect() as store:
        earlier = await context.editor(store).version(number)
    await _apply_change(context, lambda _: earlier.tree, options)
