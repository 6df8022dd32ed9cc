"""Report the burn rates of error budgets from the counts that entries keep."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio

from vanillawell.commands.printing import print_line, print_rows
from vanillawell.commands.rollout import ADMIN_CALL_TIMEOUT, list_entries
from vanillawell.config.effective import effective_value
from vanillawell.exceptions import SettingsError
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
from vanillawell.state.burn import WindowCounts, burn_rate

if TYPE_CHECKING:
    from pathlib import Path

    from vanillawell.commands.context import CommandContext
    from vanillawell.config.tree import OperatorTree
    from vanillawell.protocol.documents import Presence
    from vanillawell.transport.admin_client import AdminAccess


@dataclass(frozen=True, slots=True)
class BurnRow:
    """One row of the report."""

    service: str
    organisation: str
    objective: float
    requests: int
    bad: int
    burn_5m: float
    burn_1h: float


def burn(context: CommandContext, plot: Path | None) -> None:
    """Print burn rates by service and organisation over five minutes and an hour.

    With `plot`, also write a plot of them to this file.
    """
    rows = anyio.run(_collect, context)
    if plot:
        _plot(rows, plot)
    print_rows([_printed_row(row) for row in rows], context.output, "Error budget burn")


def _printed_row(row: BurnRow) -> dict[str, Any]:
    return {
        "service": row.service,
        "organisation": row.organisation,
        "objective": row.objective,
        "requests": row.requests,
        "bad": row.bad,
        "burn_5m": round(row.burn_5m, 2),
        "burn_1h": round(row.burn_1h, 2),
    }


async def _collect(context: CommandContext) -> list[BurnRow]:
    async with context.connect() as store:
        entries = await list_entries(store, context.keys)
        current = await context.editor(store).current()
    if current is None:
        raise SettingsError("no configuration is in force yet")
    totals: dict[tuple[str, str], WindowCounts] = {}
    async with anyio.create_task_group() as tasks:
        for entry in entries:
            tasks.start_soon(_fetch_counts, context.access, entry, totals)
    return [_burn_row(current.tree, *key, counts) for key, counts in sorted(totals.items())]


async def _fetch_counts(
    access: AdminAccess, entry: Presence, totals: dict[tuple[str, str], WindowCounts]
) -> None:
    async with access.client(entry) as client:
        try:
            lines = await client.get("/burn", ADMIN_CALL_TIMEOUT)
        except (NotSentError, NoAnswerError):
            print_line(f"warning: {entry.instance} did not answer; its requests are not counted")
            return
    for line in lines:
        key = (line.pop("service"), line.pop("organisation"))
        totals[key] = totals.get(key, WindowCounts()) + WindowCounts(**line)


def _burn_row(tree: OperatorTree, service: str, organisation: str, counts: WindowCounts) -> BurnRow:
    is_in_tree = organisation in tree.nodes
    objective = effective_value(tree, organisation if is_in_tree else "fleet", "objective").value
    return BurnRow(
        service,
        organisation,
        objective,
        counts.good_long + counts.bad_long,
        counts.bad_long,
        burn_rate(counts.good_short, counts.bad_short, objective),
        burn_rate(counts.good_long, counts.bad_long, objective),
    )


def _plot(rows: list[BurnRow], path: Path) -> None:
    """Plot the burn rates of both windows; needs the `plots` extra."""
    try:
        import matplotlib.pyplot as plt
    except ImportError as error:
        raise SettingsError("--plot needs matplotlib: install vanillawell[plots]") from error
    names = [f"{row.service} · {row.organisation}" for row in rows]
    positions = range(len(rows))
    figure, axes = plt.subplots(figsize=(8, 1.5 + 0.35 * len(rows)))
    axes.barh(
        [position - 0.2 for position in positions],
        [row.burn_5m for row in rows],
        0.4,
        label="5 min",
    )
    axes.barh(
        [position + 0.2 for position in positions], [row.burn_1h for row in rows], 0.4, label="1 h"
    )
    axes.set_yticks(list(positions), names)
    axes.invert_yaxis()
    axes.axvline(1.0, color="grey", linestyle="--")
    axes.set_xlabel("error budget burn rate (1 = budget lasts exactly its period)")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
