"""Report how fast error budgets burn, from the entries' own counts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio

from vanillawell.commands.printing import print_line, print_rows
from vanillawell.commands.rollout import ASK_TIMEOUT, list_entries
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
    """One line of the report."""

    service: str
    organisation: str
    objective: float
    requests: int
    bad: int
    burn_5m: float
    burn_1h: float


def burn(context: CommandContext, plot: Path | None) -> None:
    """Print burn by service and organisation over five minutes and an hour; optionally plot it."""
    rows = anyio.run(_collect, context)
    if plot:
        _plot(rows, plot)
    print_rows([_shown(row) for row in rows], context.output, "Error budget burn")


def _shown(row: BurnRow) -> dict[str, Any]:
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
            tasks.start_soon(_ask, context.access, entry, totals)
    return [_row(current.tree, *key, counts) for key, counts in sorted(totals.items())]


async def _ask(
    access: AdminAccess, entry: Presence, totals: dict[tuple[str, str], WindowCounts]
) -> None:
    async with access.client(entry) as client:
        try:
            lines = await client.get("/burn", ASK_TIMEOUT)
        except (NotSentError, NoAnswerError):
            print_line(f"warning: {entry.instance} does not answer; its requests are missing")
            return
    for line in lines:
        key = (line.pop("service"), line.pop("organisation"))
        totals[key] = totals.get(key, WindowCounts()) + WindowCounts(**line)


def _row(tree: OperatorTree, service: str, organisation: str, counts: WindowCounts) -> BurnRow:
    known = organisation in tree.nodes
    objective = effective_value(tree, organisation if known else "fleet", "objective").value
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
    """Draw both windows side by side; needs the `plots` extra."""
    try:
        import matplotlib.pyplot as plt
    except ImportError as error:
        raise SettingsError("--plot needs matplotlib: install vanillawell[plots]") from error
    names = [f"{row.service} · {row.organisation}" for row in rows]
    places = range(len(rows))
    figure, axes = plt.subplots(figsize=(8, 1.5 + 0.35 * len(rows)))
    axes.barh([place - 0.2 for place in places], [row.burn_5m for row in rows], 0.4, label="5 min")
    axes.barh([place + 0.2 for place in places], [row.burn_1h for row in rows], 0.4, label="1 h")
    axes.set_yticks(list(places), names)
    axes.invert_yaxis()
    axes.axvline(1.0, color="grey", linestyle="--")
    axes.set_xlabel("error budget burn (1 = used up just in time)")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
