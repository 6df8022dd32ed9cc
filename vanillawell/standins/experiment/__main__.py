"""Play the same simulated days with several versions of the scheduler, and compare them in pairs.

Example: python -m vanillawell.standins.experiment examples/experiments/many-tasks.jsonc \
    --variant packed=../packed

The first version is this one, named `standing`. Each variant is another checkout of the project,
whose decisions are played by its own copy of this program.
"""

from __future__ import annotations

import statistics
import subprocess
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Any

import orjson
import typer

from vanillawell.commands.context import OutputFormat
from vanillawell.commands.printing import print_rows
from vanillawell.config.loader import load_model
from vanillawell.standins.experiment.play import play_days
from vanillawell.standins.experiment.workload import Workload

STANDING = "standing"
"""Name of the version that the others are compared with."""

FIGURES = (
    "in_time",
    "worst_windows",
    "worst_queue",
    "machine_seconds",
    "moves",
    "price",
    "least_machine_seconds",
    "least_moves",
)

Days = list[dict[str, Any]]


def main(
    files: Annotated[list[Path], typer.Argument(help="Workloads.")],
    days: Annotated[int, typer.Option(help="Days of each workload.")] = 8,
    seed: Annotated[int, typer.Option(help="Seed of the first day.")] = 1,
    processes: Annotated[int, typer.Option(help="Days played at a time.")] = 2,
    variant: Annotated[list[str] | None, typer.Option(help="NAME=CHECKOUT to compare.")] = None,
    raw: Annotated[bool, typer.Option(help="Print each day of this version as JSON.")] = False,
    output: Annotated[OutputFormat, typer.Option()] = OutputFormat.TABLE,
) -> None:
    """Compare versions of the scheduler on simulated days."""
    seeds = range(seed, seed + days)
    for file in files:
        own = [asdict(day) for day in play_days(load_model(file, Workload), seeds, processes)]
        if raw:
            sys.stdout.write(orjson.dumps(own).decode() + "\n")
            continue
        versions = {STANDING: own}
        for text in variant or ():
            name, _, checkout = text.partition("=")
            versions[name] = _play_elsewhere(Path(checkout), file, seeds, processes)
        print_rows([_row(name, item, own) for name, item in versions.items()], output, file.stem)


def _play_elsewhere(checkout: Path, file: Path, seeds: range, processes: int) -> Days:
    """Play the same days with the scheduler of another checkout."""
    command = [
        sys.executable,
        "-m",
        "vanillawell.standins.experiment",
        str(file.resolve()),
        "--raw",
    ]
    command += ["--days", str(len(seeds)), "--seed", str(seeds.start)]
    command += ["--processes", str(processes)]
    done = subprocess.run(command, cwd=checkout, capture_output=True, check=True)
    days: Days = orjson.loads(done.stdout)
    return days


def _row(name: str, days: Days, standing: Days) -> dict[str, object]:
    """Return a row with the means of a version, and its paired differences with their errors."""
    row: dict[str, object] = {"version": name}
    for figure in FIGURES:
        values = [float(day[figure]) for day in days]
        differences = [
            float(day[figure]) - float(other[figure])
            for day, other in zip(days, standing, strict=True)
        ]
        row[figure] = _format(values, differences if name != STANDING else [])
    return row


def _format(values: list[float], differences: list[float]) -> str:
    mean = statistics.mean(values)
    digits = 3 if abs(mean) < 10 else 0
    text = f"{mean:.{digits}f}"
    if not differences:
        return text
    error = statistics.stdev(differences) / len(differences) ** 0.5 if len(differences) > 1 else 0.0
    return f"{text} ({statistics.mean(differences):+.{digits}f} ± {error:.{digits}f})"


if __name__ == "__main__":
    typer.run(main)
