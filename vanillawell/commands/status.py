"""Show the status of the fleet as its entries report it."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import anyio

from vanillawell.commands.context import OutputFormat
from vanillawell.commands.printing import print_document, print_rows
from vanillawell.commands.rollout import ADMIN_CALL_TIMEOUT, list_entries
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError

if TYPE_CHECKING:
    from vanillawell.commands.context import CommandContext
    from vanillawell.protocol.documents import Presence
    from vanillawell.transport.admin_client import AdminAccess


def show_status(context: CommandContext) -> None:
    """Print entries, organisations and pools."""
    anyio.run(_show_status, context)


async def fetch_statuses(context: CommandContext) -> dict[str, dict[str, Any]]:
    """Return the status of each entry that answers, by the entry's name."""
    async with context.connect() as store:
        entries = await list_entries(store, context.keys)
    return await _fetch_all(context.access, entries)


async def _fetch_all(access: AdminAccess, entries: list[Presence]) -> dict[str, dict[str, Any]]:
    statuses: dict[str, dict[str, Any]] = {}
    async with anyio.create_task_group() as tasks:
        for entry in entries:
            tasks.start_soon(_fetch_status, access, entry, statuses)
    return statuses


async def _show_status(context: CommandContext) -> None:
    async with context.connect() as store:
        entries = await list_entries(store, context.keys)
    statuses = await _fetch_all(context.access, entries)
    if context.output is OutputFormat.JSON:
        print_document(statuses)
        return
    print_rows([_entry_row(entry, statuses) for entry in entries], context.output, "Entries")
    print_rows(_organisation_rows(statuses), context.output, "Organisations")
    print_rows(_pool_rows(statuses), context.output, "Pools")


async def _fetch_status(
    access: AdminAccess, entry: Presence, statuses: dict[str, dict[str, Any]]
) -> None:
    async with access.client(entry) as client:
        try:
            statuses[entry.instance] = await client.get("/status", ADMIN_CALL_TIMEOUT)
        except (NotSentError, NoAnswerError):
            return


def _entry_row(entry: Presence, statuses: dict[str, dict[str, Any]]) -> dict[str, Any]:
    status = statuses.get(entry.instance, {})
    return {
        "entry": entry.instance,
        "zone": entry.zone,
        "answers": bool(status),
        "ready": status.get("ready", "-"),
        "version": status.get("version", "-"),
        "configuration_age": round(status.get("fresh_age", -1.0), 1),
        "unfinished": status.get("unfinished", "-"),
        "evacuated_zones": sorted(status.get("evacuated_zones", ())),
    }


def _organisation_rows(statuses: dict[str, dict[str, Any]]) -> list[dict[str, Any]]:
    running: Counter[str] = Counter()
    held: Counter[str] = Counter()
    limits: dict[str, int] = {}
    for status in statuses.values():
        for name, organisation in status["organisations"].items():
            limits[name] = organisation["limit"]
            running[name] += organisation["running"]
            held[name] += organisation["units_held"]
    return [
        {"organisation": name, "limit": limits[name], "running": running[name], "held": held[name]}
        for name in sorted(limits)
    ]


def _pool_rows(statuses: dict[str, dict[str, Any]]) -> list[dict[str, Any]]:
    names = sorted({name for status in statuses.values() for name in status["pools"]})
    pools = {
        name: [s["pools"][name] for s in statuses.values() if name in s["pools"]] for name in names
    }
    return [
        {
            "pool": name,
            "service": pool_statuses[0]["service"] or "(spare)",
            "executors": max(item["executors"] for item in pool_statuses),
            "running": sum(item["running"] for item in pool_statuses),
            "queued": sum(item["queued"] for item in pool_statuses),
            "left_out": sorted(
                {executor for item in pool_statuses for executor in item["ejected"]}
            ),
        }
        for name, pool_statuses in pools.items()
    ]
